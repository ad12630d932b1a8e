//! Runs in which the owner of a pool stops while it drains VMs for a maintenance wave.

use jobs::{JobSpec, StepSpec};
use rstest::rstest;
use state::{JobId, Millicores, VmId};

use crate::seeded_runs::{DAEMON_COUNT, MINIONS_PER_POOL, build_config, build_report};
use crate::simulation::{PlannedJob, Simulation};

/// Number of tasks of the long-running job.
const TASK_COUNT: u32 = 3;
/// Time that a stop takes; a new owner may begin meanwhile.
const STOP_DURATION_MS: u64 = 900;
/// Time for which the simulation is watched after the change of owner, in milliseconds.
const WATCHED_MS: u64 = 6_000;

/// Builds a simulation in which a long-running job, of which one task may be missing, runs on three
/// minions.
fn build_simulation(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(seed, DAEMON_COUNT, build_config());
    for number in 0..MINIONS_PER_POOL {
        simulation.add_minion(build_report(0, number));
    }
    for minion in simulation.minions.values_mut() {
        minion.stop_duration_ms = STOP_DURATION_MS;
    }
    let mut step = StepSpec { tasks: TASK_COUNT, long_running: true, ..StepSpec::default() };
    step.demand.processor = Millicores(6_000);
    step.max_per_minion = Some(1);
    step.may_miss = 1;
    let spec = JobSpec { payload: "text".into(), steps: vec![step], timetable: None };
    let team = "team-0".parse().expect("valid name");
    simulation.plan_job(3_000, job_name(), PlannedJob { team, spec, queue: 0, cancel_after: None });
    simulation.run_until(9_000);
    simulation
}

fn job_name() -> JobId {
    "0000000000001000".parse().expect("valid name")
}

fn list_vms_with_runs(simulation: &Simulation) -> Vec<VmId> {
    let minions = simulation.minions.values().filter(|minion| !minion.runs.is_empty());
    minions.filter_map(|minion| minion.report.vm.clone()).collect()
}

/// Returns the daemon that stopped a task last because its VM drains.
fn find_draining_owner(simulation: &Simulation) -> Option<usize> {
    let mut moves = simulation.order_decisions.iter().rev();
    moves.find(|(_, line)| line.decision == "move").map(|(daemon, _)| *daemon)
}

/// Guards against a new owner that stops a long-running task while another task of the same step
/// is still ending by an order of the previous owner.
#[rstest]
fn new_owner_waits_for_the_stops_of_the_previous_one(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut simulation = build_simulation(seed);
    assert_eq!(simulation.count_serving(&job_name()), TASK_COUNT);
    let [first_vm, second_vm, ..] = &list_vms_with_runs(&simulation)[..] else {
        panic!("the tasks are on one VM");
    };
    simulation.order_wave(2, vec![first_vm.clone()], 1);
    let owner = loop {
        simulation.run_until(simulation.now + 5);
        if let Some(owner) = find_draining_owner(&simulation) {
            break owner;
        }
    };
    simulation.stop_daemon(owner);
    simulation.order_wave(1, vec![second_vm.clone()], 1);
    let until = simulation.now + WATCHED_MS;
    while simulation.now < until {
        simulation.run_until(simulation.now + 5);
        let serving = simulation.count_serving(&job_name());
        assert!(serving >= TASK_COUNT - 1, "{serving} tasks serve at {}", simulation.now);
    }
}
