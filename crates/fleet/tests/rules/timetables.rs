//! Jobs with a timetable whose occurrences are due all at once, or never.

use std::collections::BTreeMap;

use fleet::io::ItemValue;
use fleet::{AllocationDoc, OwnKey, StoreKey};
use jobs::{JobPhase, JobSpec, StepSpec, Timetable};
use rstest::rstest;
use state::{JobId, Millicores, Millis, PoolId};

use crate::seeded_runs::{build_config, build_report};
use crate::simulation::{PlannedJob, Simulation};

const MINIONS: usize = 2;
/// Time at which the timed job is submitted.
const SUBMITTED_MS: u64 = 4_000;
/// Time for which the runs of a task last.
const RUN_MS: u64 = 300;
/// Maximum size of the stored progress of a job with one task an occurrence: some 30 bytes for each
/// occurrence that may run at one time.
const MAX_PROGRESS_BYTES: usize = 8_192;
/// Maximum processor time that a pool requests for one job, in millicores: more than its VMs have.
const MAX_REQUESTED_MILLICORES: u64 = 200_000;

fn build_step() -> StepSpec {
    let mut step = StepSpec { tasks: 1, estimate: Millis(RUN_MS), ..StepSpec::default() };
    step.demand.processor = Millicores(500);
    step
}

fn plan_job(
    simulation: &mut Simulation,
    at: u64,
    name: u64,
    timetable: Option<Timetable>,
) -> JobId {
    let spec = JobSpec { payload: "text".into(), steps: vec![build_step()], timetable };
    let team = "team-0".parse().expect("valid name");
    let job: JobId = format!("{name:016x}").parse().expect("valid name");
    simulation.true_run_ms.insert(job.clone(), RUN_MS);
    let planned = PlannedJob { team, spec, queue: 0, cancel_after: None };
    simulation.plan_job(at - simulation.now, job.clone(), planned);
    job
}

fn build_simulation(daemons: usize) -> Simulation {
    let mut config = build_config();
    for team in &mut config.teams {
        team.limit.processor = Millicores(u64::MAX);
    }
    let mut simulation = Simulation::new(1, daemons, config);
    for number in 0..MINIONS {
        simulation.add_minion(build_report(0, number));
    }
    simulation
}

/// Counts the occurrences that ran, by the number of runs of each.
fn count_runs(simulation: &Simulation, job: &JobId) -> BTreeMap<u32, u32> {
    let mut runs: BTreeMap<u32, u32> = BTreeMap::new();
    for (_, _, task, _) in simulation.ended_runs.iter().filter(|(_, _, task, _)| task.job == *job) {
        *runs.entry(task.occurrence).or_default() += 1;
    }
    runs
}

/// Reads the bytes of a stored record.
fn read_record<'a>(simulation: &'a Simulation, key: &OwnKey) -> &'a [u8] {
    match simulation.store.get(&StoreKey::Own(key.clone())).map(|item| &item.value) {
        Some(ItemValue::Own(bytes)) => bytes,
        _ => &[],
    }
}

/// Returns the size of a job's stored progress, and the processor time that its pool requests.
fn read_costs(simulation: &Simulation, job: &JobId) -> (usize, u64) {
    let pool: PoolId = "pool-0".parse().expect("valid name");
    let progress = read_record(simulation, &OwnKey::Progress(pool.clone(), job.clone()));
    let allocations = read_record(simulation, &OwnKey::Parts);
    let allocations: AllocationDoc = serde_json::from_slice(allocations).expect("a record");
    let rows = allocations.teams.values().filter_map(|row| row.get(&pool));
    let requested = rows.map(|own| own.requested.processor.0).max();
    (progress.len(), requested.unwrap_or(0))
}

/// Guards against an owner that opens every occurrence that is due at once: its memory, the work at
/// each end and the stored progress grew with their number, and no other job of the pool was done.
#[test]
fn many_due_occurrences_leave_room_for_other_jobs() {
    let mut simulation = build_simulation(3);
    // The first time is given in seconds, so that all occurrences are due.
    let timetable =
        Timetable { first_due_ms: 1_700_000, interval: Millis(60_000), occurrences: 20_000 };
    let timed = plan_job(&mut simulation, SUBMITTED_MS, 0xff, Some(timetable));
    let ordinary: Vec<JobId> = (1..=20)
        .map(|name| plan_job(&mut simulation, SUBMITTED_MS + name * 500, name, None))
        .collect();
    simulation.run_until(SUBMITTED_MS + 16_000);
    let is_complete =
        |job: &&JobId| simulation.checker.jobs[*job].phase == Some(JobPhase::Complete);
    assert_eq!(ordinary.iter().filter(is_complete).count(), ordinary.len());
    let runs = count_runs(&simulation, &timed);
    assert!(runs.len() > 500, "{} occurrences of the timed job have run", runs.len());
    assert!(runs.values().all(|count| *count == 1));
    let (progress_bytes, requested) = read_costs(&simulation, &timed);
    assert!(progress_bytes <= MAX_PROGRESS_BYTES, "{progress_bytes} bytes of progress");
    assert!(requested <= MAX_REQUESTED_MILLICORES, "{requested}m requested");
    assert_eq!(simulation.checker.violations, Vec::new());
}

/// Guards against occurrences that run twice or never because the owner of their pool has changed.
#[test]
fn occurrences_run_once_whoever_owns_the_pool() {
    let mut simulation = build_simulation(3);
    let timetable = Timetable { first_due_ms: 0, interval: Millis(0), occurrences: 900 };
    let timed = plan_job(&mut simulation, SUBMITTED_MS, 0xff, Some(timetable));
    for daemon in 0..2 {
        simulation.run_until(simulation.now.max(SUBMITTED_MS) + 2_500);
        simulation.kill_daemon(daemon);
        simulation.run_until(simulation.now + 6_000);
        simulation.start_daemon(daemon);
    }
    simulation.run_until(simulation.now + 30_000);
    assert_eq!(simulation.checker.jobs[&timed].phase, Some(JobPhase::Complete));
    let runs = count_runs(&simulation, &timed);
    assert_eq!(runs.len(), 900);
    assert_eq!(simulation.checker.violations, Vec::new());
}

/// Guards against sums that overflow, and against a job that can't be cancelled.
#[rstest]
#[case::never_due(u64::MAX, u64::MAX, u32::MAX, 0)]
#[case::first_due(0, u64::MAX, u32::MAX, 1)]
#[case::all_due(0, 0, u32::MAX, 256)]
fn extreme_timetables_are_carried(
    #[case] first_due_ms: u64,
    #[case] interval_ms: u64,
    #[case] occurrences: u32,
    #[case] min_runs: usize,
) {
    let mut simulation = build_simulation(1);
    let timetable = Timetable { first_due_ms, interval: Millis(interval_ms), occurrences };
    let timed = plan_job(&mut simulation, SUBMITTED_MS, 0xff, Some(timetable));
    simulation.run_until(SUBMITTED_MS + 8_000);
    let runs = count_runs(&simulation, &timed).len();
    assert!(runs >= min_runs && (runs == min_runs || min_runs > 1), "{runs} occurrences have run");
    simulation.cancel_all_jobs();
    simulation.run_until(simulation.now + 4_000);
    assert_eq!(simulation.checker.jobs[&timed].phase, Some(JobPhase::Cancelled));
    let later = plan_job(&mut simulation, SUBMITTED_MS + 12_500, 1, None);
    simulation.run_until(simulation.now + 3_000);
    assert_eq!(simulation.checker.jobs[&later].phase, Some(JobPhase::Complete));
    assert_eq!(simulation.checker.violations, Vec::new());
}
