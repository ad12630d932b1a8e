//! Runs in which a minion begins its next incarnation at once, and that incarnation carries out
//! orders that were sent for the earlier one.

use fleet::Measurement;
use fleet::io::{EndKind, MinionCall};
use jobs::{JobSpec, StepSpec};
use rstest::rstest;
use state::{JobId, Millicores, Millis, MinionId};

use crate::accepted_jobs::find_owner;
use crate::replaced_minions::{
    first_minion, job_name, restart_at_once, set_answers_lost, set_partitioned, submit_timed_job,
};
use crate::seeded_runs::{DAEMON_COUNT, JobBatch, build_config, build_report, submit_batch};
use crate::simulation::{OrderKind, PlannedJob, Simulation};

/// Time until the minion restarts, in milliseconds. Its earlier clock is further ahead of the next
/// one than the longest lease.
const READY_MS: u64 = 16_000;
/// Run time of a task that is still executing when the longest lease ends, in milliseconds.
const LONG_RUN_MS: u64 = 14_000;
/// Time in which a job is submitted and its starts arrive, in milliseconds.
const START_MS: u64 = 60;
/// Time after which an order without an answer was given up and a later one answered, in
/// milliseconds.
const GIVEN_UP_MS: u64 = 700;
/// Time in which a job is submitted and its tasks are at work, in milliseconds.
const AT_WORK_MS: u64 = 770;
/// Time after which the longest lease has lapsed, in milliseconds.
const CUT_MS: u64 = 13_000;
/// Maximum time until an owner sends an order, in milliseconds.
const MAX_ORDER_WAIT_MS: u64 = 3_000;
/// Time in which all submitted jobs complete, in milliseconds.
const RECOVERY_MS: u64 = 20_000;
/// Longest lease that minions grant by default.
const MAX_LEASE: Millis = Millis(10_000);

/// Builds a pool whose owner knows its minions, in which orders and connections outlive the
/// incarnations of minions.
fn build_simulation(seed: u64, minions: usize, max_lease: Millis) -> Simulation {
    let mut simulation = Simulation::new(seed, DAEMON_COUNT, build_config());
    simulation.set_max_run_lease(max_lease);
    for number in 0..minions {
        simulation.add_minion(build_report(0, number));
    }
    simulation.run_until(READY_MS);
    simulation.faults.orders_outlive_incarnations = true;
    simulation.faults.connections_outlive_incarnations = true;
    simulation.faults.keeps_reports = true;
    simulation
}

fn run_for(simulation: &mut Simulation, duration: u64) {
    simulation.run_until(simulation.now + duration);
}

/// Names the job with a number.
fn numbered_job(number: u64) -> JobId {
    format!("{number:016x}").parse().expect("valid name")
}

fn is_start(order: &MinionCall) -> bool {
    matches!(order, MinionCall::Start { .. })
}

/// Whether an order is a hold that names an end of leases.
fn extends_leases(order: &MinionCall) -> bool {
    matches!(order, MinionCall::Hold { until_clock: Some(_), .. })
}

/// Whether an order is a hold that names saved ends.
fn names_saved_ends(order: &MinionCall) -> bool {
    matches!(order, MinionCall::Hold { saved_end, .. } if *saved_end > 0)
}

/// Whether an order concerns the third task of a step.
fn concerns_third_member(order: &MinionCall) -> bool {
    match order {
        MinionCall::Start { task, .. } | MinionCall::Stop { task, .. } => task.index == 2,
        _ => false,
    }
}

/// Waits until an order of a kind is on its way to the first minion, and returns its arrival time.
fn wait_for_order(simulation: &mut Simulation, is_kind: OrderKind) -> u64 {
    let until = simulation.now + MAX_ORDER_WAIT_MS;
    while simulation.now < until {
        let orders = simulation.in_flight_orders(&first_minion());
        if let Some((arrival, _)) = orders.iter().find(|(_, order)| is_kind(order)) {
            return *arrival;
        }
        run_for(simulation, 1);
    }
    panic!("no such order was sent");
}

/// Waits until an order of a kind was sent to the first minion as a late one, and returns its arrival
/// time.
fn wait_for_late_order(simulation: &mut Simulation, is_kind: OrderKind) -> u64 {
    simulation.faults.may_be_late = Some(is_kind);
    simulation.faults.late_order_probability = 1.0;
    let arrival = wait_for_order(simulation, is_kind);
    simulation.faults.late_order_probability = 0.0;
    arrival
}

/// Counts the starts that were ordered for a job.
fn count_starts(simulation: &Simulation, job: &JobId) -> usize {
    let lines = simulation.order_decisions.iter().map(|(_, line)| line);
    lines.filter(|line| line.decision == "start" && line.id.starts_with(job.as_str())).count()
}

/// Returns whether a run of the job has been stopped.
fn has_stopped_runs(simulation: &Simulation, job: &JobId) -> bool {
    let is_stopped = |kind: &EndKind| *kind == EndKind::Stopped;
    simulation.ended_runs.iter().any(|(_, _, task, kind)| task.job == *job && is_stopped(kind))
}

/// Guards against a new owner that waits for a shorter time than the longest lease, which an
/// incarnation that nobody knew has granted.
#[rstest]
fn new_owner_waits_for_runs_in_an_unknown_incarnation(
    #[values(false, true)] is_graceful: bool,
    #[values(0, 100, 200, 300, 400)] report_phase: u64,
) {
    let mut simulation = build_simulation(1, 4, MAX_LEASE);
    run_for(&mut simulation, report_phase);
    restart_at_once(&mut simulation, &first_minion());
    submit_timed_job(&mut simulation, job_name(), 10, 8, LONG_RUN_MS);
    run_for(&mut simulation, START_MS);
    set_partitioned(&mut simulation, &first_minion(), true);
    let owner = find_owner(&simulation, "pool-0");
    if is_graceful {
        simulation.stop_daemon(owner);
    } else {
        simulation.kill_daemon(owner);
    }
    run_for(&mut simulation, CUT_MS);
    set_partitioned(&mut simulation, &first_minion(), false);
    run_for(&mut simulation, RECOVERY_MS);
    assert_eq!(simulation.checker.violations, Vec::new());
}

/// Guards against a long-running task that is away for too long after its minion was lost with its owner,
/// since the new owner waits for incarnations that nothing shows.
#[rstest]
fn long_running_task_of_a_lost_minion_is_back_in_time(#[values(1, 2, 3, 4)] seed: u64) {
    const TASK_COUNT: u32 = 4;
    // A task may be away for 6 s after its last run, and 3 s more.
    const MAX_AWAY_MS: u64 = 9_000;
    let mut simulation = build_simulation(seed, 4, MAX_LEASE);
    let mut step = StepSpec { tasks: TASK_COUNT, long_running: true, ..StepSpec::default() };
    step.demand.processor = Millicores(500);
    step.max_per_minion = Some(2);
    let spec = JobSpec { payload: "text".into(), steps: vec![step], timetable: None };
    let team = "team-0".parse().expect("valid name");
    let planned = PlannedJob { team, spec, queue: 0, cancel_after: None };
    simulation.plan_job(10, job_name(), planned);
    run_for(&mut simulation, 5_000);
    assert_eq!(simulation.count_serving(&job_name()), TASK_COUNT);
    simulation.faults.keeps_reports = false;
    let is_busy = |minion: &MinionId| !simulation.minions[minion].runs.is_empty();
    let lost = simulation.minions.keys().find(|minion| is_busy(minion)).expect("a minion").clone();
    simulation.crash_minion(&lost);
    run_for(&mut simulation, 300);
    let owner = find_owner(&simulation, "pool-0");
    simulation.stop_daemon(owner);
    run_for(&mut simulation, MAX_AWAY_MS - 300);
    assert_eq!(simulation.count_serving(&job_name()), TASK_COUNT);
    assert_eq!(simulation.checker.violations, Vec::new());
}

/// Guards against a run that is counted by its own start, although a later start, which may be
/// refused for lack of room, has lengthened its lease.
#[rstest]
fn run_that_a_later_start_lengthens_runs_alone(
    #[values(6_000, 10_000)] max_lease: u64,
    #[values(0, 200, 400, 600, 800, 1_000)] hold_phase: u64,
    #[values(false, true)] is_refused: bool,
) {
    let mut simulation = build_simulation(1, 4, Millis(max_lease));
    run_for(&mut simulation, hold_phase);
    restart_at_once(&mut simulation, &first_minion());
    set_answers_lost(&mut simulation, &first_minion(), true);
    if is_refused {
        let minion = simulation.minions.get_mut(&first_minion()).expect("a minion");
        minion.report.capacity.processor = Millicores(2_000);
    }
    submit_timed_job(&mut simulation, job_name(), 10, 8, LONG_RUN_MS);
    for number in 1..=8 {
        submit_timed_job(&mut simulation, numbered_job(number), 200 * number, 1, LONG_RUN_MS);
    }
    run_for(&mut simulation, 2_000);
    set_partitioned(&mut simulation, &first_minion(), true);
    run_for(&mut simulation, CUT_MS);
    set_partitioned(&mut simulation, &first_minion(), false);
    set_answers_lost(&mut simulation, &first_minion(), false);
    run_for(&mut simulation, 2 * RECOVERY_MS);
    assert_eq!(simulation.checker.violations, Vec::new());
}

/// Guards against a run that is counted by its own start, although a hold that was sent for the
/// earlier incarnation arrives late and lengthens its lease.
#[rstest]
fn run_that_a_late_hold_lengthens_runs_alone(
    #[values(6_000, 10_000)] max_lease: u64,
    #[values(1_000, 2_500)] before_ms: u64,
    #[values(1, 2, 3, 5)] seed: u64,
) {
    let mut simulation = build_simulation(seed, 4, Millis(max_lease));
    submit_timed_job(&mut simulation, numbered_job(1), 0, 16, 300);
    run_for(&mut simulation, 1_000);
    let arrival = wait_for_late_order(&mut simulation, extends_leases);
    // The hold was given up, and the owner has had an answer since.
    assert!(simulation.now + GIVEN_UP_MS < arrival - before_ms);
    simulation.run_until(arrival - before_ms);
    restart_at_once(&mut simulation, &first_minion());
    set_answers_lost(&mut simulation, &first_minion(), true);
    submit_timed_job(&mut simulation, job_name(), 10, 8, LONG_RUN_MS);
    run_for(&mut simulation, before_ms + CUT_MS);
    set_answers_lost(&mut simulation, &first_minion(), false);
    run_for(&mut simulation, RECOVERY_MS);
    assert_eq!(simulation.checker.violations, Vec::new());
}

/// Guards against a start that its owner has given up as not listed, and that the next incarnation
/// carries out late: its clock has not passed the start's validity. `before_ms` is the time from the
/// beginning of that incarnation to the arrival of the start.
#[rstest]
#[case::before_the_owner_knows(5)]
#[case::before_the_next_hold(300)]
#[case::after_a_hold(1_500)]
#[case::after_two_holds(2_800)]
fn given_up_start_does_not_run_in_the_next_incarnation(
    #[case] before_ms: u64,
    #[values(1, 2, 4, 5, 7)] seed: u64,
    #[values(500, LONG_RUN_MS)] run_ms: u64,
    #[values(false, true)] drains: bool,
) {
    let mut simulation = build_simulation(seed, 4, MAX_LEASE);
    // The first of several equal minions gets the start.
    submit_timed_job(&mut simulation, job_name(), 0, 1, run_ms);
    let arrival = wait_for_late_order(&mut simulation, is_start);
    // The task's next run is on another minion if this one drains.
    let minion = simulation.minions.get_mut(&first_minion()).expect("a minion");
    minion.report.is_draining = drains;
    simulation.run_until(arrival - before_ms);
    assert_eq!(count_starts(&simulation, &job_name()), 2, "the start is not given up yet");
    restart_at_once(&mut simulation, &first_minion());
    run_for(&mut simulation, before_ms + RECOVERY_MS);
    assert_eq!(simulation.checker.violations, Vec::new());
}

/// Guards against a start that was given up and is not barred on a minion that its owner had forgotten: it
/// arrives when the owner knows of the minion's next incarnation.
#[rstest]
fn given_up_start_is_barred_on_a_forgotten_minion(
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)] seed: u64,
    #[values(0, 200)] max_answer_delay_ms: u64,
) {
    const KNOWN_MS: u64 = 2_000;
    const FORGOTTEN_MS: u64 = 6_200;
    let mut simulation = build_simulation(seed, 4, Millis(3_000));
    simulation.faults.keeps_reports = false;
    submit_timed_job(&mut simulation, job_name(), 0, 1, LONG_RUN_MS);
    let arrival = wait_for_late_order(&mut simulation, is_start);
    let minion = simulation.minions.get_mut(&first_minion()).expect("a minion");
    minion.report.is_draining = true;
    if arrival < simulation.now + FORGOTTEN_MS + KNOWN_MS {
        // The order arrives too soon with this seed.
        return;
    }
    run_for(&mut simulation, 1_900);
    simulation.crash_minion(&first_minion());
    simulation.run_until(arrival - KNOWN_MS);
    simulation.faults.max_answer_delay_ms = max_answer_delay_ms;
    simulation.restart_minion(&first_minion());
    run_for(&mut simulation, KNOWN_MS + LONG_RUN_MS);
    assert_eq!(simulation.checker.violations, Vec::new());
}

/// Guards against a start that is stopped before it is answered, since another member of its gang was
/// refused, and that the next incarnation carries out late.
#[rstest]
fn stopped_start_of_a_gang_is_barred_in_the_next_incarnation(
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
) {
    const KNOWN_MS: u64 = 1_500;
    let mut simulation = build_simulation(seed, 8, MAX_LEASE);
    let mut step = StepSpec { tasks: 3, gang: true, ..StepSpec::default() };
    step.estimate = Millis(LONG_RUN_MS);
    step.demand.processor = Millicores(1_000);
    step.max_per_minion = Some(1);
    let spec = JobSpec { payload: "text".into(), steps: vec![step], timetable: None };
    simulation.true_run_ms.insert(job_name(), LONG_RUN_MS);
    let team = "team-0".parse().expect("valid name");
    let planned = PlannedJob { team, spec, queue: 0, cancel_after: None };
    simulation.plan_job(0, job_name(), planned);
    let refusing = "i-01".parse().expect("valid name");
    let minion = simulation.minions.get_mut(&refusing).expect("a minion");
    minion.report.capacity.processor = Millicores(0);
    let arrival = wait_for_late_order(&mut simulation, concerns_third_member);
    simulation.faults.late_order_probability = 1.0;
    run_for(&mut simulation, 20);
    simulation.faults.late_order_probability = 0.0;
    let minion = simulation.minions.get_mut(&first_minion()).expect("a minion");
    minion.report.is_draining = true;
    if arrival < simulation.now + 2 * KNOWN_MS {
        // The order arrives too soon with this seed.
        return;
    }
    simulation.run_until(arrival - KNOWN_MS);
    restart_at_once(&mut simulation, &first_minion());
    run_for(&mut simulation, KNOWN_MS + RECOVERY_MS);
    let twice = simulation.checker.violations.iter().find(|violation| violation.rule == "TWICE");
    assert_eq!(twice, None);
}

/// Guards against runs of a known incarnation that a late hold for an earlier one lengthens.
#[rstest]
fn run_of_a_known_incarnation_that_a_late_hold_lengthens_runs_alone(
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
    #[values(6_000, 10_000)] max_lease: u64,
) {
    const KNOWN_MS: u64 = 3_000;
    let mut simulation = build_simulation(seed, 4, Millis(max_lease));
    submit_timed_job(&mut simulation, numbered_job(1), 0, 16, 300);
    run_for(&mut simulation, 1_000);
    let arrival = wait_for_late_order(&mut simulation, extends_leases);
    if arrival < simulation.now + KNOWN_MS + GIVEN_UP_MS {
        // The order arrives too soon with this seed.
        return;
    }
    simulation.run_until(arrival - KNOWN_MS);
    restart_at_once(&mut simulation, &first_minion());
    submit_timed_job(&mut simulation, job_name(), 1_000, 8, LONG_RUN_MS);
    simulation.run_until(arrival - 300);
    set_answers_lost(&mut simulation, &first_minion(), true);
    run_for(&mut simulation, CUT_MS);
    set_answers_lost(&mut simulation, &first_minion(), false);
    run_for(&mut simulation, RECOVERY_MS);
    assert_eq!(simulation.checker.violations, Vec::new());
}

/// Guards against an owner that learns late of an incarnation that its minion began at once.
#[rstest]
fn owner_learns_of_an_incarnation_by_the_next_hold(
    #[values(0, 150, 300, 450, 600, 750, 900, 1_050, 1_200)] hold_phase: u64,
) {
    // A hold waits for up to 1,200 ms.
    const MAX_DELAY_MS: u64 = 1_250;
    let mut simulation = build_simulation(1, 4, MAX_LEASE);
    run_for(&mut simulation, hold_phase);
    let restarted_at = simulation.now;
    restart_at_once(&mut simulation, &first_minion());
    run_for(&mut simulation, MAX_DELAY_MS);
    let mut lines = simulation.incarnation_decisions.iter();
    let learned = lines.find(|(_, line)| line.outcome == "new incarnation");
    let (learned_at, _) = learned.expect("the owner knows the incarnation");
    assert!(learned_at - restarted_at < MAX_DELAY_MS);
}

/// Guards against an owner that stops a long-running task although the new incarnation lists its run,
/// while another task of its step is away.
#[rstest]
fn run_that_the_new_incarnation_lists_is_not_stopped(
    #[values(0, 150, 300, 450, 600, 750, 900, 1_050)] hold_phase: u64,
) {
    const TASK_COUNT: u32 = 6;
    let mut simulation = build_simulation(1, TASK_COUNT as usize, MAX_LEASE);
    run_for(&mut simulation, hold_phase);
    restart_at_once(&mut simulation, &first_minion());
    let mut step = StepSpec { tasks: TASK_COUNT, long_running: true, ..StepSpec::default() };
    step.demand.processor = Millicores(500);
    step.max_per_minion = Some(1);
    step.may_miss = 1;
    let spec = JobSpec { payload: "text".into(), steps: vec![step], timetable: None };
    let team = "team-0".parse().expect("valid name");
    let planned = PlannedJob { team, spec, queue: 0, cancel_after: None };
    simulation.plan_job(10, job_name(), planned);
    run_for(&mut simulation, AT_WORK_MS);
    // Another minion fails, and its task stays away.
    simulation.crash_minion(&"i-01".parse().expect("valid name"));
    let until = simulation.now + 3_000;
    while simulation.now < until {
        run_for(&mut simulation, 5);
        let serving = simulation.count_serving(&job_name());
        let stopped = has_stopped_runs(&simulation, &job_name());
        assert!(!stopped, "a run was stopped by {}, {serving} tasks serve", simulation.now);
    }
    assert_eq!(simulation.checker.violations, Vec::new());
}

/// Guards against a hold that names saved ends although the minion was told them before: the next
/// incarnation, which carries it out, forgets its own first ends, and their tasks run again.
#[rstest]
#[case::in_flight(wait_for_order, 1)]
#[case::late_and_known(wait_for_late_order, 1_500)]
#[case::late_and_unknown(wait_for_late_order, 20)]
fn hold_after_an_acknowledgement_forgets_no_ends(
    #[case] wait: fn(&mut Simulation, OrderKind) -> u64,
    #[case] before_ms: u64,
    #[values(1, 2, 3, 5)] seed: u64,
) {
    let mut simulation = build_simulation(seed, 4, MAX_LEASE);
    submit_timed_job(&mut simulation, numbered_job(1), 0, 16, 300);
    run_for(&mut simulation, 1_000);
    assert!(simulation.minions[&first_minion()].saved_end > 0, "no end is acknowledged");
    let arrival = wait(&mut simulation, extends_leases);
    restart_before_arrival(&mut simulation, arrival, before_ms);
    run_for(&mut simulation, RECOVERY_MS);
    assert_eq!(simulation.checker.violations, Vec::new());
}

/// Guards against a hold that tells a minion its saved ends and is carried out by the next incarnation,
/// which thereby forgets its own first ends: their tasks run again.
#[rstest]
#[case::in_flight(wait_for_order, 1)]
#[case::late_and_known(wait_for_late_order, 1_500)]
#[case::late_and_unknown(wait_for_late_order, 20)]
fn acknowledgement_for_the_earlier_incarnation_forgets_no_ends(
    #[case] wait: fn(&mut Simulation, OrderKind) -> u64,
    #[case] before_ms: u64,
    #[values(1, 2, 3, 5)] seed: u64,
) {
    let mut simulation = build_simulation(seed, 4, MAX_LEASE);
    submit_timed_job(&mut simulation, numbered_job(1), 0, 16, 300);
    let arrival = wait(&mut simulation, names_saved_ends);
    restart_before_arrival(&mut simulation, arrival, before_ms);
    assert!(simulation.minions[&first_minion()].saved_end > 0, "the hold has not arrived");
    run_for(&mut simulation, RECOVERY_MS);
    assert_eq!(simulation.checker.violations, Vec::new());
}

/// Begins the next incarnation of the first minion before an order arrives there, and submits a job whose
/// tasks run in it.
fn restart_before_arrival(simulation: &mut Simulation, arrival: u64, before_ms: u64) {
    simulation.run_until(arrival - before_ms);
    restart_at_once(simulation, &first_minion());
    submit_timed_job(simulation, job_name(), before_ms + 10, 12, 600);
    simulation.run_until(arrival + 1);
}

/// Guards against an answer that is taken for another incarnation's, since another answer has overtaken
/// it: the minion's starts are paused then.
#[rstest]
fn overtaken_answer_is_not_taken_for_another_incarnations(
    #[values(3, 20, 80)] max_answer_delay_ms: u64,
    #[values(0, 150)] suspension_ms: u64,
) {
    // A pause after an answer of another incarnation lasts 250 ms.
    const MAX_WAIT: Millis = Millis(200);
    let mut simulation = build_simulation(1, 1, MAX_LEASE);
    simulation.faults.max_answer_delay_ms = max_answer_delay_ms;
    let processor = Millicores(100);
    let batch = JobBatch { jobs: 60, tasks: 2, processor, first_delay: 0, interval: 50 };
    submit_batch(&mut simulation, &batch);
    for _ in 0..8 {
        let owner = find_owner(&simulation, "pool-0");
        simulation.suspend_daemon(owner, suspension_ms);
        run_for(&mut simulation, 500);
    }
    let mut lines = simulation.incarnation_decisions.iter();
    let is_alarm = |line: &fleet::DecisionLine| line.decision == "start-answered";
    assert_eq!(lines.find(|(_, line)| is_alarm(line)), None);
    let waits = simulation.measurements.iter().filter_map(|(_, measurement)| match measurement {
        Measurement::TaskReady(_, wait) => Some(*wait),
        _ => None,
    });
    let longest_wait = waits.max().expect("a start");
    assert!(longest_wait < MAX_WAIT, "a start waited for {longest_wait}");
    assert_eq!(simulation.checker.violations, Vec::new());
}
