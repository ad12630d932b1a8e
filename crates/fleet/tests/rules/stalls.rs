//! Scenarios of a small fleet after which an accepted job must not wait for ever.

use fleet::model::MinionReport;
use fleet::{OwnKey, StoreKey};
use jobs::{JobPhase, JobSpec, Resources, StepSpec};
use rstest::rstest;
use state::{AcceleratorCount, JobId, Mebibytes, Millicores, Millis, MinionId, Revision};

use crate::fixtures::{build_config, build_team};
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

fn build_report(pool: usize, number: usize) -> MinionReport {
    MinionReport {
        minion: format!("i-{pool}{number}").parse().expect("valid name"),
        minion_incarnation: 1,
        vm: Some(format!("vm-{pool}{number}").parse().expect("valid name")),
        pool: format!("pool-{pool}").parse().expect("valid name"),
        address: format!("10.0.{pool}.{number}:80").parse().expect("valid address"),
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

/// Builds a simulation with one minion in each pool, and runs it until all pools have owners.
fn build_simulation(limit: Resources) -> Simulation {
    let mut simulation =
        Simulation::new(1, DAEMON_COUNT, build_config(POOL_COUNT, vec![build_team(0, limit)]));
    for pool in 0..POOL_COUNT {
        simulation.add_minion(build_report(pool, 0));
    }
    simulation.run_until(SETTLING_MS);
    simulation
}

/// Plans a chain of steps for a queue, and returns the job's name.
fn submit_chain(
    simulation: &mut Simulation,
    delay_ms: u64,
    queue: usize,
    demands: &[Resources],
) -> JobId {
    let name: JobId = format!("{:016x}", 0x1000 + queue).parse().expect("valid name");
    let team = "team-0".parse().expect("valid name");
    let planned = PlannedJob { team, spec: build_chain(demands), queue, cancel_after: None };
    simulation.plan_job(delay_ms, name.clone(), planned);
    name
}

/// Runs the simulation until a job's progress was saved the given number of times.
fn run_until_saved(simulation: &mut Simulation, job: &JobId, saves: usize) {
    let pool = "pool-0".parse().expect("valid name");
    let key = StoreKey::Own(OwnKey::Progress(pool, job.clone()));
    let mut last_revision = Revision(0);
    let mut saved = 0;
    while saved < saves {
        simulation.run_until(simulation.now + 1);
        assert!(simulation.now < RUN_END_MS, "the progress was saved {saved} times");
        let revision = simulation.store.get(&key).map_or(Revision(0), |item| item.revision);
        saved += usize::from(revision != last_revision);
        last_revision = revision;
    }
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
    #[case] first_chain: &[Resources],
    #[case] second_chain: &[Resources],
) {
    let mut simulation = build_simulation(limit);
    submit_chain(&mut simulation, 100, 0, first_chain);
    // The second pool asks for its task while the first pool's first task runs.
    submit_chain(&mut simulation, 300, 1, second_chain);
    simulation.run_until(RUN_END_MS);
    simulation.checker.check_final_state(simulation.now);
    assert_eq!(simulation.checker.violations, Vec::new());
}

/// Guards against two pools that rank their turns by different data and wait for each other.
#[test]
fn finished_job_does_not_make_pools_disagree_about_turns() {
    let mut simulation = build_simulation(processor_and_memory(6_000, 64_000));
    let demands = [[3_000, 3_600], [3_000, 4_800]];
    for (queue, by_job) in demands.into_iter().enumerate() {
        for (number, processor) in by_job.into_iter().enumerate() {
            let name = format!("{:016x}", 0x1000 + queue * 16 + number);
            let spec = build_chain(&[processor_and_memory(processor, 500)]);
            let team = "team-0".parse().expect("valid name");
            let planned = PlannedJob { team, spec, queue, cancel_after: None };
            let delay_ms = 100 + 50 * number as u64;
            simulation.plan_job(delay_ms, name.parse().expect("valid name"), planned);
        }
    }
    simulation.run_until(RUN_END_MS);
    simulation.checker.check_final_state(simulation.now);
    assert_eq!(simulation.checker.violations, Vec::new());
}

/// Guards against a task that exceeds its team's limit and makes its pool claim all of the
/// limit, so that no other task of the team runs.
#[test]
fn task_over_the_limit_does_not_block_other_pools() {
    let mut simulation = build_simulation(processor_and_memory(6_000, 64_000));
    submit_chain(&mut simulation, 100, 0, &[processor_and_memory(7_000, 500)]);
    submit_chain(&mut simulation, 300, 1, &[processor_and_memory(4_000, 500)]);
    simulation.run_until(RUN_END_MS);
    let phases: Vec<_> = simulation.checker.jobs.values().map(|job| job.phase).collect();
    assert_eq!(phases, [Some(JobPhase::Queued), Some(JobPhase::Complete)]);
}

/// Guards against a failure that stays uncertain because its minion left without an answer to
/// the new owner: the task is neither started again nor failed.
#[test]
fn uncertain_failure_of_departed_minion_does_not_block_its_task() {
    let mut simulation = build_simulation(processor_and_memory(60_000, 64_000));
    simulation.faults.run_failure_probability = 1.0;
    let job = submit_chain(&mut simulation, 100, 0, &[processor_and_memory(1_000, 500)]);
    // Each of the first two failures is saved as uncertain and then as certain.
    run_until_saved(&mut simulation, &job, 5);
    simulation.faults.run_failure_probability = 0.0;
    simulation.faults.keeps_reports = true;
    let departing: MinionId = "i-00".parse().expect("valid name");
    simulation.minions.get_mut(&departing).expect("known minion").is_partitioned = true;
    (0..DAEMON_COUNT).for_each(|daemon| simulation.kill_daemon(daemon));
    (0..DAEMON_COUNT).for_each(|daemon| simulation.start_daemon(daemon));
    // The leases of earlier owners expire while the registry still lists the minion.
    simulation.run_until(simulation.now + 15_000);
    simulation.faults.keeps_reports = false;
    simulation.add_minion(build_report(0, 1));
    simulation.run_until(RUN_END_MS);
    simulation.checker.check_final_state(simulation.now);
    assert_eq!(simulation.checker.violations, Vec::new());
}

/// Guards against a task that waits for ever for a minion that restarts while a start is on
/// its way and then never answers.
#[rstest]
#[case::and_stays_listed(true)]
#[case::and_departs(false)]
fn start_to_a_restarted_minion_that_never_answers_is_given_up(#[case] stays_listed: bool) {
    let mut simulation = build_simulation(processor_and_memory(60_000, 64_000));
    let silent: MinionId = "i-00".parse().expect("valid name");
    simulation.faults.keeps_reports = stays_listed;
    submit_chain(&mut simulation, 100, 0, &[processor_and_memory(1_000, 500)]);
    while simulation.checker.start_count == 0 {
        simulation.run_until(simulation.now + 1);
        assert!(simulation.now < RUN_END_MS, "no run was started");
    }
    simulation.crash_minion(&silent);
    simulation.restart_minion(&silent);
    simulation.run_until(simulation.now + 700);
    simulation.minions.get_mut(&silent).expect("known minion").is_partitioned = true;
    simulation.add_minion(build_report(0, 1));
    simulation.run_until(RUN_END_MS);
    simulation.checker.check_final_state(simulation.now);
    assert_eq!(simulation.checker.violations, Vec::new());
}
