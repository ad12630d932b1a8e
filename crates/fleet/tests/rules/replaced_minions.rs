//! Runs in which a minion is gone and the next one begins on its VM, while the registry still has
//! the report of the first one or a VM of a wave waits for its maintenance.

use fleet::io::ItemValue;
use fleet::{OwnKey, PoolDemand, StoreKey};
use jobs::{JobSpec, StepSpec};
use rstest::rstest;
use state::{JobId, Millicores, Millis, MinionId, VmId};

use crate::seeded_runs::{DAEMON_COUNT, JobBatch, build_config, build_report, submit_batch};
use crate::simulation::{PlannedJob, Simulation};

/// Number of VMs of the pool.
const MINIONS: usize = 8;
/// Number of tasks of the long-running job, of which one may be missing.
const TASK_COUNT: u32 = 3;
/// Processor demand of each task.
const TASK_DEMAND: Millicores = Millicores(1_300);
/// Time from the crash of a minion until the next one begins on its VM, in milliseconds.
const RESTART_MS: u64 = 1_000;
/// Time in which the tasks of the job are at work, in milliseconds.
const STARTUP_MS: u64 = 3_000;
/// Time for which the simulation is watched, in milliseconds.
const WATCHED_MS: u64 = 15_000;

/// Builds a pool of which only the first VM has room for several tasks of the job.
fn build_simulation(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(seed, DAEMON_COUNT, build_config());
    for number in 0..MINIONS {
        let mut report = build_report(0, number);
        if number > 0 {
            report.capacity.processor = TASK_DEMAND;
        }
        simulation.add_minion(report);
    }
    simulation.run_until(6_000);
    simulation
}

pub(crate) fn first_minion() -> MinionId {
    "i-00".parse().expect("valid name")
}

fn first_vm() -> VmId {
    "vm-00".parse().expect("valid name")
}

pub(crate) fn job_name() -> JobId {
    "5c0e7a21d94b36f8".parse().expect("valid name")
}

/// Ends the first minion; a minion with another id begins on its VM, and the registry keeps the
/// report of the first one.
fn replace_first_minion(simulation: &mut Simulation) {
    simulation.faults.keeps_reports = true;
    simulation.crash_minion(&first_minion());
    simulation.run_until(simulation.now + RESTART_MS);
    simulation.start_minion_on_vm(&first_vm());
    simulation.run_until(simulation.now + RESTART_MS);
}

/// Submits a long-running job.
fn submit_job(simulation: &mut Simulation) {
    let mut step = StepSpec { tasks: TASK_COUNT, long_running: true, ..StepSpec::default() };
    step.demand.processor = TASK_DEMAND;
    step.may_miss = 1;
    let spec = JobSpec { payload: "text".into(), steps: vec![step], timetable: None };
    let team = "team-0".parse().expect("valid name");
    simulation.plan_job(0, job_name(), PlannedJob { team, spec, queue: 0, cancel_after: None });
}

/// Runs on, and checks that at most one task of the job is missing once all have been at work.
fn assert_tasks_serve(simulation: &mut Simulation, duration: u64) {
    let until = simulation.now + duration;
    let mut have_served = false;
    while simulation.now < until {
        simulation.run_until(simulation.now + 5);
        let serving = simulation.count_serving(&job_name());
        have_served |= serving == TASK_COUNT;
        assert!(
            !have_served || serving >= TASK_COUNT - 1,
            "{serving} tasks serve at {}",
            simulation.now
        );
    }
    assert!(have_served);
}

/// Ends the incarnation of a minion and starts the next one at once.
pub(crate) fn restart_at_once(simulation: &mut Simulation, minion: &MinionId) {
    simulation.crash_minion(minion);
    simulation.restart_minion(minion);
}

/// Cuts a minion off, or reconnects it.
pub(crate) fn set_partitioned(
    simulation: &mut Simulation,
    minion: &MinionId,
    is_partitioned: bool,
) {
    simulation.minions.get_mut(minion).expect("a minion").is_partitioned = is_partitioned;
}

/// Loses all that a minion sends, or no longer.
pub(crate) fn set_answers_lost(
    simulation: &mut Simulation,
    minion: &MinionId,
    loses_answers: bool,
) {
    simulation.minions.get_mut(minion).expect("a minion").loses_answers = loses_answers;
}

/// Submits a job of one step, whose runs take `run_ms` milliseconds, after `delay` milliseconds.
pub(crate) fn submit_timed_job(
    simulation: &mut Simulation,
    job: JobId,
    delay: u64,
    tasks: u32,
    run_ms: u64,
) {
    let mut step = StepSpec { tasks, estimate: Millis(run_ms), ..StepSpec::default() };
    step.demand.processor = Millicores(1_000);
    let spec = JobSpec { payload: "text".into(), steps: vec![step], timetable: None };
    simulation.true_run_ms.insert(job.clone(), run_ms);
    let team = "team-0".parse().expect("valid name");
    simulation.plan_job(delay, job, PlannedJob { team, spec, queue: 0, cancel_after: None });
}

/// Returns whether a start was ordered to a minion.
fn has_start_on(simulation: &Simulation, minion: &MinionId) -> bool {
    let mut lines = simulation.order_decisions.iter().map(|(_, line)| line);
    lines.any(|line| line.decision == "start" && *line.outcome == *minion.as_str())
}

/// Guards against starts on a minion that is gone, at the times at which a hold to it is not
/// answered yet.
#[test]
fn minion_that_does_not_answer_gets_no_starts() {
    let mut simulation = build_simulation(1);
    simulation.faults.keeps_reports = true;
    simulation.crash_minion(&first_minion());
    simulation.run_until(simulation.now + 2 * RESTART_MS);
    let processor = Millicores(300);
    let batch = JobBatch { jobs: 40, tasks: 1, processor, first_delay: 0, interval: 50 };
    submit_batch(&mut simulation, &batch);
    simulation.run_until(simulation.now + STARTUP_MS);
    assert!(simulation.checker.start_count > 30, "{}", simulation.checker.start_count);
    assert!(!has_start_on(&simulation, &first_minion()));
}

/// Guards against a VM whose maintenance ends the tasks of its minion, since the report of an
/// earlier minion on the VM is still listed and has no runs.
#[rstest]
fn vm_is_not_drained_by_the_report_of_an_earlier_minion(#[values(1, 2, 3, 4)] seed: u64) {
    let mut simulation = build_simulation(seed);
    replace_first_minion(&mut simulation);
    submit_job(&mut simulation);
    simulation.run_until(simulation.now + STARTUP_MS);
    assert_eq!(simulation.count_serving(&job_name()), TASK_COUNT);
    simulation.order_wave(1, vec![first_vm()], 1);
    assert_tasks_serve(&mut simulation, WATCHED_MS);
    assert!(simulation.cloud.has_begun_maintenance(1, &first_vm()));
    assert_eq!(simulation.checker.violations, Vec::new());
}

/// Guards against a VM that is offered and moved with the tasks of its minion, since the report of
/// an earlier minion on the VM is counted as a further VM without tasks.
#[test]
fn vm_with_two_reports_is_not_offered() {
    let mut simulation = build_simulation(1);
    // The pool has requested VMs before, so it offers what it has in addition to these.
    let demand = PoolDemand { baseline: MINIONS as u32, ..PoolDemand::default() };
    let value = serde_json::to_vec(&demand).expect("a record").into();
    let key = StoreKey::Own(OwnKey::Need("pool-0".parse().expect("valid name")));
    simulation.store.put(key, ItemValue::Own(value), None);
    for daemon in 0..DAEMON_COUNT {
        simulation.kill_daemon(daemon);
        simulation.start_daemon(daemon);
    }
    simulation.run_until(simulation.now + 6_000);
    replace_first_minion(&mut simulation);
    submit_job(&mut simulation);
    assert_tasks_serve(&mut simulation, WATCHED_MS);
    assert_eq!(simulation.cloud.move_count, 0);
}

/// Guards against tasks that start on a VM that is about to go down: the VM was marked while its
/// minion was gone, or the pool changes its owner.
#[rstest]
fn vm_that_is_marked_as_down_gets_no_starts(#[values(false, true)] has_new_owner: bool) {
    let mut simulation = build_simulation(1);
    simulation.faults.is_cloud_down = true;
    simulation.order_wave(1, vec![first_vm()], 1);
    simulation.run_until(simulation.now + 1_000);
    if has_new_owner {
        for daemon in 0..DAEMON_COUNT {
            simulation.kill_daemon(daemon);
            simulation.start_daemon(daemon);
        }
        simulation.run_until(simulation.now + 6_000);
    } else {
        replace_first_minion(&mut simulation);
    }
    submit_job(&mut simulation);
    simulation.run_until(simulation.now + STARTUP_MS);
    simulation.faults.is_cloud_down = false;
    assert_tasks_serve(&mut simulation, WATCHED_MS);
    assert!(simulation.cloud.has_begun_maintenance(1, &first_vm()));
}

/// Guards against tasks that start on an offered VM because its minion has begun a new incarnation.
#[test]
fn offered_vm_gets_no_starts_in_the_next_incarnation_of_its_minion() {
    let mut simulation = build_simulation(1);
    let demand = PoolDemand {
        offered: [first_vm()].into(),
        baseline: 1 + MINIONS as u32,
        ..PoolDemand::default()
    };
    let value = serde_json::to_vec(&demand).expect("a record").into();
    let key = StoreKey::Own(OwnKey::Need("pool-0".parse().expect("valid name")));
    simulation.faults.is_cloud_down = true;
    simulation.store.put(key, ItemValue::Own(value), None);
    for minion in simulation.minions.values_mut() {
        minion.report.capacity.processor = Millicores(16_000);
    }
    for daemon in 0..DAEMON_COUNT {
        simulation.kill_daemon(daemon);
        simulation.start_daemon(daemon);
    }
    simulation.run_until(simulation.now + 6_000);
    simulation.crash_minion(&first_minion());
    simulation.run_until(simulation.now + RESTART_MS);
    simulation.restart_minion(&first_minion());
    simulation.run_until(simulation.now + RESTART_MS);
    let processor = Millicores(300);
    let batch = JobBatch { jobs: 8, tasks: 1, processor, first_delay: 0, interval: 100 };
    submit_batch(&mut simulation, &batch);
    simulation.run_until(simulation.now + STARTUP_MS);
    assert!(simulation.checker.start_count > 0);
    assert!(!has_start_on(&simulation, &first_minion()));
    simulation.faults.is_cloud_down = false;
    simulation.run_until(simulation.now + WATCHED_MS);
    assert_eq!(simulation.cloud.move_count, 1);
}

/// Guards against a new owner that waits for the answers of minions whose VMs have gone down for
/// maintenance, until all leases have certainly expired.
#[rstest]
fn new_owner_does_not_wait_for_minions_of_maintained_vms(#[values(1, 2, 3, 4)] seed: u64) {
    let mut simulation = build_simulation(seed);
    simulation.order_wave(1, vec![first_vm()], 1);
    while !simulation.cloud.has_begun_maintenance(1, &first_vm()) {
        simulation.run_until(simulation.now + 5);
    }
    for daemon in 0..DAEMON_COUNT {
        simulation.kill_daemon(daemon);
        simulation.start_daemon(daemon);
    }
    let processor = Millicores(300);
    let batch = JobBatch { jobs: 8, tasks: 1, processor, first_delay: 100, interval: 10 };
    submit_batch(&mut simulation, &batch);
    let loaded_before = count_loads(&simulation);
    while count_loads(&simulation) == loaded_before {
        simulation.run_until(simulation.now + 5);
    }
    simulation.run_until(simulation.now + RESTART_MS);
    assert_eq!(simulation.checker.start_count, 8);
}

/// Counts the times at which an owner had loaded the pool's records.
fn count_loads(simulation: &Simulation) -> usize {
    let lines = simulation.pool_decisions.iter();
    lines.filter(|(_, _, line)| *line.id == *"pool-0" && &*line.outcome == "loaded").count()
}

/// Guards against a task that runs twice because its start has reached a new incarnation, which grants
/// the whole lease for it: the clock of that incarnation began anew, so it is far behind the end of the
/// start's validity. The owner, which had not learnt of the incarnation, counted the validity only.
#[rstest]
fn start_that_reached_an_unknown_incarnation_runs_alone(
    #[values(0, 100, 200, 300, 400)] report_phase: u64,
    #[values(0, 400)] outage_ms: u64,
) {
    const RUN_MS: u64 = 9_500;
    let mut simulation = Simulation::new(1, 3, build_config());
    for number in 0..4 {
        simulation.add_minion(build_report(0, number));
    }
    simulation.run_until(6_000 + report_phase);
    let minion = build_report(0, 0).minion;
    simulation.crash_minion(&minion);
    simulation.run_until(simulation.now + outage_ms);
    simulation.restart_minion(&minion);
    submit_timed_job(&mut simulation, job_name(), 10, 4, RUN_MS);
    simulation.run_until(simulation.now + 90);
    // The minion is cut off, and the store keeps the report of the earlier incarnation.
    simulation.faults.keeps_reports = true;
    set_partitioned(&mut simulation, &minion, true);
    simulation.run_until(simulation.now + 12_000);
    set_partitioned(&mut simulation, &minion, false);
    simulation.run_until(simulation.now + 12_000);
    assert_eq!(simulation.checker.violations, Vec::new());
}
