//! Scenarios in which every pool has an allocation of a team's limit that is too small for its
//! next task, although the limit allows the task.

use std::collections::BTreeMap;

use fleet::model::{FleetConfig, MinionReport, PoolConfig, QueueConfig, TeamConfig};
use jobs::{JobPhase, JobSpec, Resources, StepSpec};
use rstest::rstest;
use state::{AcceleratorCount, Mebibytes, Millicores, Millis};

use crate::simulation::{PlannedJob, Simulation};

const DAEMON_COUNT: usize = 2;
const POOL_COUNT: usize = 2;
/// Time by which all pools have owners and their minions have answered, in milliseconds.
const SETTLING_MS: u64 = 4_000;
/// Virtual time at which a run ends.
const RUN_END_MS: u64 = 60_000;

fn processor_and_memory(processor: u64, memory: u32) -> Resources {
    Resources {
        processor: Millicores(processor),
        memory: Mebibytes(memory),
        accelerators: AcceleratorCount(0),
    }
}

/// Builds a configuration with one queue for each pool, and one team with `limit`.
fn build_config(limit: Resources) -> FleetConfig {
    let mut pools = BTreeMap::new();
    let mut queues = Vec::new();
    for number in 0..POOL_COUNT {
        let pool: state::PoolId = format!("pool-{number}").parse().expect("valid name");
        pools.insert(pool.clone(), PoolConfig { enforces_capacity: true, is_spare: false });
        queues.push(QueueConfig {
            queue: format!("queue-{number}").parse().expect("valid name"),
            host: "host.example".into(),
            prefix: format!("/q{number}/").into(),
            pool,
            priority: 0,
            max_attempts: 3,
            slack_factor: 1.6,
            latency_objective: Millis(600),
            is_open: false,
            requires_ticket: false,
        });
    }
    let team = TeamConfig {
        team: "team-0".parse().expect("valid name"),
        keys: vec!["key-0".into()],
        share: 1.0,
        limit,
    };
    FleetConfig { version: 1, queues, pools, teams: vec![team] }
}

fn build_report(pool: usize) -> MinionReport {
    MinionReport {
        minion: format!("i-{pool}").parse().expect("valid name"),
        minion_incarnation: 1,
        vm: Some(format!("vm-{pool}").parse().expect("valid name")),
        pool: format!("pool-{pool}").parse().expect("valid name"),
        address: format!("10.0.{pool}.1:80").parse().expect("valid address"),
        data_centre: "dc-0".parse().expect("valid name"),
        is_draining: false,
        capacity: processor_and_memory(64_000, 256_000),
        labels: Vec::new(),
    }
}

/// Builds a chain of steps of one task each.
fn build_chain(demands: &[Resources]) -> JobSpec {
    let build_step = |(number, demand): (usize, &Resources)| StepSpec {
        tasks: 1,
        demand: *demand,
        estimate: Millis(1_000),
        after: (0..number as u16).collect(),
        ..StepSpec::default()
    };
    let steps = demands.iter().enumerate().map(build_step).collect();
    JobSpec { payload: "text".into(), steps, timetable: None }
}

/// Guards against a team's limit that stays split into allocations of which none is enough
/// for a task: no task of the team runs any more.
#[rstest]
#[case::of_processors(
    processor_and_memory(6_000, 64_000),
    &[processor_and_memory(4_000, 500), processor_and_memory(5_000, 500)],
    &[processor_and_memory(4_000, 500)],
)]
#[case::of_processors_and_memory(
    processor_and_memory(6_000, 6_000),
    &[processor_and_memory(4_000, 2_000), processor_and_memory(4_000, 5_000)],
    &[processor_and_memory(5_000, 4_000)],
)]
fn split_limit_does_not_block_all_pools(
    #[case] limit: Resources,
    #[case] first_pool: &[Resources],
    #[case] second_pool: &[Resources],
) {
    let mut simulation = Simulation::new(1, DAEMON_COUNT, build_config(limit));
    for pool in 0..POOL_COUNT {
        simulation.add_minion(build_report(pool));
    }
    simulation.run_until(SETTLING_MS);
    for (queue, demands) in [first_pool, second_pool].into_iter().enumerate() {
        let name = format!("{:016x}", 0x1000 + queue).parse().expect("valid name");
        let team = "team-0".parse().expect("valid name");
        let spec = build_chain(demands);
        let planned = PlannedJob { team, spec, queue, cancel_after: None };
        // The second pool asks for its task while the first one's first task runs.
        simulation.plan_job(100 + 200 * queue as u64, name, planned);
    }
    simulation.run_until(RUN_END_MS);
    simulation.checker.check_final_state(simulation.now);
    assert_eq!(simulation.checker.violations, Vec::new());
}

/// Guards against a task that exceeds its team's limit and makes its pool claim all of the
/// limit, so that no other task of the team runs.
#[test]
fn task_over_the_limit_does_not_block_other_pools() {
    let limit = processor_and_memory(6_000, 64_000);
    let mut simulation = Simulation::new(1, DAEMON_COUNT, build_config(limit));
    for pool in 0..POOL_COUNT {
        simulation.add_minion(build_report(pool));
    }
    simulation.run_until(SETTLING_MS);
    let demands = [processor_and_memory(7_000, 500), processor_and_memory(4_000, 500)];
    for (queue, demand) in demands.into_iter().enumerate() {
        let name = format!("{:016x}", 0x1000 + queue).parse().expect("valid name");
        let team = "team-0".parse().expect("valid name");
        let planned = PlannedJob { team, spec: build_chain(&[demand]), queue, cancel_after: None };
        simulation.plan_job(100 + 200 * queue as u64, name, planned);
    }
    simulation.run_until(RUN_END_MS);
    let phases: Vec<_> = simulation.checker.jobs.values().map(|job| job.phase).collect();
    assert_eq!(phases, [Some(JobPhase::Queued), Some(JobPhase::Complete)]);
}
