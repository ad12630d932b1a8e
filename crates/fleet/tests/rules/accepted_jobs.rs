//! Runs in which the operator sends the path of accepted jobs to another pool, or removes it.

use fleet::model::{FleetConfig, QueueConfig};
use fleet::{ClientAction, ClientAnswer, ClientTarget};
use jobs::{JobPhase, JobSpec, StepSpec};
use rstest::rstest;
use state::{JobId, Millicores, Millis, PoolId};

use crate::config_rule::CONFIG_APPLY_MS;
use crate::seeded_runs::{DAEMON_COUNT, MINIONS_PER_POOL, POOL_COUNT, build_config, build_report};
use crate::simulation::{PlannedJob, Simulation};

/// Virtual time at which the job is submitted, in milliseconds.
const SUBMITTED_MS: u64 = 6_000;
/// Time in which the two steps of a job are done, with a margin.
const JOB_DURATION_MS: u64 = 8_000;
/// Time within which every daemon answers a request.
const ANSWER_MS: u64 = 100;

fn build_simulation(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(seed, DAEMON_COUNT, build_config());
    for pool in 0..POOL_COUNT {
        for number in 0..MINIONS_PER_POOL {
            simulation.add_minion(build_report(pool, number));
        }
    }
    simulation
}

fn job_name() -> JobId {
    "5c0e7a21d94b36f8".parse().expect("valid name")
}

/// Builds a job of two steps, the second of which starts after the first.
fn build_spec() -> JobSpec {
    let mut first = StepSpec { tasks: 3, estimate: Millis(1_000), ..StepSpec::default() };
    first.demand.processor = Millicores(1_000);
    let second = StepSpec { after: vec![0], ..first.clone() };
    JobSpec { payload: "text".into(), steps: vec![first, second], timetable: None }
}

/// Plans a job for the first queue.
fn plan_job(simulation: &mut Simulation, spec: JobSpec, cancel_after: Option<u64>) {
    let team = "team-0".parse().expect("valid name");
    let planned = PlannedJob { team, spec, queue: 0, cancel_after };
    simulation.plan_job(SUBMITTED_MS - simulation.now, job_name(), planned);
}

/// Sends the path of the first queue to the second pool, as a queue with another name. Another path
/// leads to the first pool.
fn move_path(simulation: &mut Simulation) {
    simulation.change_config(|config| {
        add_other_queue(config);
        let queue = &mut config.queues[0];
        queue.queue = "queue-moved".parse().expect("valid name");
        queue.pool = "pool-1".parse().expect("valid name");
    });
}

/// Removes the first queue, and adds another one that leads to its pool if `has_other`. Returns the
/// removed queue.
fn remove_queue(simulation: &mut Simulation, has_other: bool) -> QueueConfig {
    let removed = simulation.config.queues[0].clone();
    simulation.change_config(|config| {
        if has_other {
            add_other_queue(config);
        }
        config.queues.remove(0);
    });
    removed
}

/// Adds a queue with another path that leads to the pool of the first one.
fn add_other_queue(config: &mut FleetConfig) {
    let mut other = config.queues[0].clone();
    other.queue = "queue-other".parse().expect("valid name");
    other.prefix = "/other/".into();
    config.queues.push(other);
}

/// Puts a removed queue back and waits until the change is in force.
fn restore_queue(simulation: &mut Simulation, queue: QueueConfig) {
    simulation.change_config(|config| config.queues.insert(0, queue));
    simulation.run_until(simulation.now + CONFIG_APPLY_MS);
}

/// Sends a request for the job's path to every daemon and returns their answers.
fn ask_daemons(simulation: &mut Simulation, action: &ClientAction) -> Vec<ClientAnswer> {
    let path = format!("/q0/{}", job_name()).into();
    let target = ClientTarget::Route { host: "host.example".into(), path };
    ask_daemons_for(simulation, &target, action)
}

/// Sends a request to every daemon and returns their answers.
fn ask_daemons_for(
    simulation: &mut Simulation,
    target: &ClientTarget,
    action: &ClientAction,
) -> Vec<ClientAnswer> {
    simulation.operator.answers.clear();
    for daemon in 0..DAEMON_COUNT {
        simulation.send_action(daemon, target.clone(), Some("key-0"), action.clone());
    }
    simulation.run_until(simulation.now + ANSWER_MS);
    simulation.operator.answers.drain(..).map(|(_, answer)| answer).collect()
}

/// Returns the daemon that owns a pool.
pub(crate) fn find_owner(simulation: &Simulation, pool: &str) -> usize {
    let pool: PoolId = pool.parse().expect("valid name");
    let is_owned = |(_, _, line): &&(u64, usize, fleet::DecisionLine)| {
        line.id == pool.as_str().into() && &*line.outcome == "owned"
    };
    simulation.pool_decisions.iter().rev().find(is_owned).expect("the pool has an owner").1
}

/// Guards against a job that is told not to exist, and that a late copy of its submission runs
/// again, because its path leads to another pool now.
#[test]
fn complete_job_is_known_and_runs_once_after_its_path_has_moved() {
    let mut simulation = build_simulation(1);
    plan_job(&mut simulation, build_spec(), None);
    simulation.run_until(SUBMITTED_MS + JOB_DURATION_MS);
    let start_count = simulation.checker.start_count;
    move_path(&mut simulation);
    simulation.run_until(simulation.now + CONFIG_APPLY_MS);
    let complete = vec![ClientAnswer::Phase(JobPhase::Complete); DAEMON_COUNT];
    assert_eq!(ask_daemons(&mut simulation, &ClientAction::Show), complete);
    let copy = ClientAction::Submit(Ok(build_spec()));
    let accepted = vec![ClientAnswer::Accepted; DAEMON_COUNT];
    assert_eq!(ask_daemons(&mut simulation, &copy), accepted);
    simulation.run_until(simulation.now + JOB_DURATION_MS);
    assert_eq!(simulation.checker.start_count, start_count);
    assert_eq!(simulation.checker.violations, Vec::new());
}

/// Guards against an accepted job that is lost because its pool changes its owner after the path
/// has moved.
#[rstest]
fn running_job_is_completed_by_the_next_owner_after_its_path_has_moved(
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let mut simulation = build_simulation(seed);
    plan_job(&mut simulation, build_spec(), None);
    simulation.run_until(SUBMITTED_MS + 300);
    move_path(&mut simulation);
    simulation.run_until(simulation.now + 100);
    let owner = find_owner(&simulation, "pool-0");
    simulation.kill_daemon(owner);
    simulation.run_until(simulation.now + 500);
    simulation.start_daemon(owner);
    simulation.run_until(simulation.now + 2 * JOB_DURATION_MS);
    let complete = vec![ClientAnswer::Phase(JobPhase::Complete); DAEMON_COUNT];
    assert_eq!(ask_daemons(&mut simulation, &ClientAction::Show), complete);
    assert_eq!(simulation.checker.violations, Vec::new());
}

/// Guards against a cancellation that finds no job because the path has moved.
#[test]
fn running_job_is_cancelled_after_its_path_has_moved() {
    let mut simulation = build_simulation(1);
    let mut spec = build_spec();
    spec.steps.truncate(1);
    spec.steps[0].long_running = true;
    plan_job(&mut simulation, spec, Some(JOB_DURATION_MS));
    simulation.run_until(SUBMITTED_MS + JOB_DURATION_MS - CONFIG_APPLY_MS);
    move_path(&mut simulation);
    simulation.run_until(SUBMITTED_MS + 2 * JOB_DURATION_MS);
    assert!(simulation.checker.jobs[&job_name()].cancel_acknowledged.is_some());
    let now = simulation.now;
    simulation.checker.check_final_state(now);
    assert_eq!(simulation.checker.violations, Vec::new());
}

/// Guards against a job that two pools accept: its first submission takes effect late, after
/// another daemon has accepted a copy for the pool to which the path leads by then.
#[rstest]
fn job_is_accepted_once_although_its_submission_takes_effect_late(
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12)] seed: u64,
) {
    let mut simulation = build_simulation(seed);
    plan_job(&mut simulation, build_spec(), None);
    simulation.run_until(SUBMITTED_MS - 1);
    simulation.faults.lost_write_probability = 1.0;
    simulation.run_until(SUBMITTED_MS + 50);
    simulation.faults.lost_write_probability = 0.0;
    for daemon in 0..DAEMON_COUNT {
        simulation.kill_daemon(daemon);
    }
    move_path(&mut simulation);
    for daemon in 0..DAEMON_COUNT {
        simulation.start_daemon(daemon);
    }
    simulation.run_until(SUBMITTED_MS + 3 * JOB_DURATION_MS);
    let complete = vec![ClientAnswer::Phase(JobPhase::Complete); DAEMON_COUNT];
    assert_eq!(ask_daemons(&mut simulation, &ClientAction::Show), complete);
    assert_eq!(simulation.checker.start_count, 6);
    assert_eq!(simulation.checker.violations, Vec::new());
}

/// Guards against a submission that is accepted as a copy of another queue's job, and never runs.
#[test]
fn name_of_another_queues_job_is_refused() {
    let mut simulation = build_simulation(1);
    plan_job(&mut simulation, build_spec(), None);
    simulation.run_until(SUBMITTED_MS + JOB_DURATION_MS);
    let queue = "queue-1".parse().expect("valid name");
    let target = ClientTarget::Queue { queue, job: job_name().as_str().into() };
    let actions =
        [ClientAction::Submit(Ok(build_spec())), ClientAction::Show, ClientAction::Cancel];
    let answers: Vec<ClientAnswer> = actions
        .iter()
        .map(|action| ask_daemons_for(&mut simulation, &target, action).remove(0))
        .collect();
    insta::assert_debug_snapshot!(answers);
    let complete = vec![ClientAnswer::Phase(JobPhase::Complete); DAEMON_COUNT];
    assert_eq!(ask_daemons(&mut simulation, &ClientAction::Show), complete);
}

/// Guards against a task that fails and is started without an end, because its queue is removed and
/// another one leads to its pool.
#[test]
fn attempts_are_those_of_the_queue_that_accepted_the_job() {
    let mut simulation = build_simulation(1);
    simulation.faults.run_failure_probability = 1.0;
    let mut spec = build_spec();
    spec.steps.truncate(1);
    spec.steps[0].tasks = 1;
    plan_job(&mut simulation, spec, None);
    simulation.run_until(SUBMITTED_MS + 100);
    let removed = remove_queue(&mut simulation, true);
    simulation.run_until(SUBMITTED_MS + 3 * JOB_DURATION_MS);
    assert_eq!(simulation.checker.start_count, u64::from(removed.terms.max_attempts));
    restore_queue(&mut simulation, removed);
    let failed = vec![ClientAnswer::Phase(JobPhase::Failed); DAEMON_COUNT];
    assert_eq!(ask_daemons(&mut simulation, &ClientAction::Show), failed);
    assert_eq!(simulation.checker.violations, Vec::new());
}

/// Guards against a job that is not counted as waiting, because a start was sent that never arrived.
#[test]
fn job_waits_until_a_task_is_known_to_have_started() {
    let mut simulation = Simulation::new(1, DAEMON_COUNT, build_config());
    simulation.add_minion(build_report(0, 0));
    simulation.faults.keeps_reports = true;
    plan_job(&mut simulation, build_spec(), None);
    simulation.run_until(SUBMITTED_MS - 1);
    simulation.minions.values_mut().for_each(|minion| minion.is_partitioned = true);
    simulation.run_until(SUBMITTED_MS + 4_000);
    let start_lines =
        simulation.order_decisions.iter().filter(|(_, line)| line.decision == "start");
    assert!(start_lines.count() > 0);
    let target = ClientTarget::Route { host: "host.example".into(), path: "/q0/".into() };
    let waiting = vec![ClientAnswer::Pending(1); DAEMON_COUNT];
    assert_eq!(ask_daemons_for(&mut simulation, &target, &ClientAction::Show), waiting);
}

/// Guards against accepted jobs whose next steps never start because no queue leads to their pool
/// any more.
#[rstest]
fn running_job_is_completed_after_its_pools_last_queue_is_removed(
    #[values(false, true)] is_owner_killed: bool,
) {
    let mut simulation = build_simulation(1);
    plan_job(&mut simulation, build_spec(), None);
    simulation.run_until(SUBMITTED_MS + 100);
    let removed = remove_queue(&mut simulation, false);
    if is_owner_killed {
        simulation.run_until(simulation.now + 100);
        let owner = find_owner(&simulation, "pool-0");
        simulation.kill_daemon(owner);
        simulation.start_daemon(owner);
    }
    simulation.run_until(SUBMITTED_MS + 3 * JOB_DURATION_MS);
    assert_eq!(simulation.checker.start_count, 6);
    restore_queue(&mut simulation, removed);
    let complete = vec![ClientAnswer::Phase(JobPhase::Complete); DAEMON_COUNT];
    assert_eq!(ask_daemons(&mut simulation, &ClientAction::Show), complete);
    assert_eq!(simulation.checker.violations, Vec::new());
}
