//! Declared run times that are far off: what the owner expects, and what submitters get.

use fleet::io::{EndKind, ItemValue};
use fleet::{Measurement, OwnKey, StoreKey};
use jobs::{JobSpec, StepSpec};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use state::{JobId, Mebibytes, Millicores, Millis, TeamId};

use crate::fixtures::{build_config, build_report, build_team, processor_limit, resources};
use crate::simulation::{PlannedJob, Simulation};

/// Number of VMs of the pool, of 16 cores each.
const MINIONS: usize = 8;
/// Time at which a daemon owns the pool and every minion is in the roster.
const SUBMISSION_MS: u64 = 5_000;
/// Time between two bursts of jobs.
const BURST_INTERVAL_MS: u64 = 18_000;
/// Duration of a burst.
const BURST_MS: u64 = 4_500;
/// Jobs of each burst. Together with those of the pauses they need more than the pool for a while.
const BURST_JOBS: u64 = 52;
/// Jobs between two bursts.
const PAUSE_JOBS: u64 = 10;
const BURSTS: u64 = 4;
/// Processor time that each task demands.
const TASK_DEMAND: Millicores = Millicores(2_000);

fn job_name(number: u64) -> JobId {
    format!("{:016x}", 0x1000 + number).parse().expect("valid name")
}

/// Builds a job of a chain of two steps of four tasks with the given declared time.
fn build_job(declared: Millis) -> PlannedJob {
    let step = |after| StepSpec {
        tasks: 4,
        demand: resources(TASK_DEMAND, Mebibytes(500)),
        estimate: declared,
        after,
        ..StepSpec::default()
    };
    let spec = JobSpec {
        payload: "text".into(),
        steps: vec![step(Vec::new()), step(vec![0])],
        timetable: None,
    };
    let team: TeamId = "team-0".parse().expect("valid name");
    PlannedJob { team, spec, queue: 0, cancel_after: None }
}

/// Time of submission and true run time of each planned job.
type PlannedTimes = Vec<(JobId, u64, u64)>;

/// Plans bursts of jobs whose declared times are off by up to the factor `error`.
fn plan_bursts(simulation: &mut Simulation, error: f64) -> PlannedTimes {
    let mut rng = StdRng::seed_from_u64(11);
    let mut planned = PlannedTimes::new();
    for number in 0..BURSTS * (BURST_JOBS + PAUSE_JOBS) {
        let (burst, position) =
            (number / (BURST_JOBS + PAUSE_JOBS), number % (BURST_JOBS + PAUSE_JOBS));
        let offset = if position < BURST_JOBS {
            position * BURST_MS / BURST_JOBS
        } else {
            BURST_MS + (position - BURST_JOBS) * (BURST_INTERVAL_MS - BURST_MS) / PAUSE_JOBS
        };
        let true_ms = 1_000.0 * rng.random_range(0.5..1.5);
        let declared_ms = true_ms * rng.random_range(1.0 - error..=1.0 + error);
        let name = job_name(number);
        let at = SUBMISSION_MS + burst * BURST_INTERVAL_MS + offset;
        simulation.true_run_ms.insert(name.clone(), true_ms as u64);
        let job = build_job(Millis(declared_ms as u64));
        simulation.plan_job(at - simulation.now, name.clone(), job);
        planned.push((name, at, true_ms as u64));
    }
    planned
}

fn build_simulation(daemons: usize) -> Simulation {
    let team = build_team(0, processor_limit(Millicores(u64::MAX)));
    let mut simulation = Simulation::new(1, daemons, build_config(1, vec![team]));
    for number in 0..MINIONS {
        simulation.add_minion(build_report(number));
    }
    simulation
}

/// Counts the jobs that were complete within their objective: the true critical path times the slack
/// factor, and the latency objective.
fn count_in_time(simulation: &Simulation, planned: &PlannedTimes) -> usize {
    let is_in_time = |(name, at, true_ms): &&(JobId, u64, u64)| {
        let ends = simulation.ended_runs.iter().filter(|(_, _, task, _)| task.job == *name);
        let done: Vec<u64> =
            ends.filter(|(.., kind)| *kind == EndKind::Done).map(|(ended, ..)| *ended).collect();
        let objective_ms = at + 2 * true_ms * 16 / 10 + 600;
        done.len() == 8 && done.into_iter().max().is_some_and(|last| last <= objective_ms)
    };
    planned.iter().filter(is_in_time).count()
}

/// Mean factor by which declared and expected run times were off, in percent above 1, over the runs
/// that ended after a time.
fn mean_errors_percent(simulation: &Simulation, after: u64) -> (u64, u64) {
    let measured = simulation.measurements.iter().filter(|(at, _)| *at > after);
    let errors: Vec<(f64, f64)> = measured
        .filter_map(|(_, measurement)| match measurement {
            Measurement::RunTime { declared, expected, measured } => {
                let off = |time: &Millis| (time.0.max(1) as f64 / measured.0 as f64).log2().abs();
                Some((off(declared), off(expected)))
            }
            _ => None,
        })
        .collect();
    assert!(!errors.is_empty(), "no run was measured");
    let percent = |sum: f64| (((sum / errors.len() as f64).exp2() - 1.0) * 100.0).round() as u64;
    (
        percent(errors.iter().map(|(declared, _)| declared).sum()),
        percent(errors.iter().map(|(_, expected)| expected).sum()),
    )
}

/// Guards against an owner that orders jobs by declared run times although the runs have shown that
/// these are far off.
#[test]
fn owner_expects_what_runs_have_taken() {
    let mut lines = Vec::new();
    for error in [0.2, 0.5, 0.9] {
        let mut simulation = build_simulation(1);
        let planned = plan_bursts(&mut simulation, error);
        simulation.run_until(SUBMISSION_MS + BURSTS * BURST_INTERVAL_MS + 10_000);
        let (declared, expected) =
            mean_errors_percent(&simulation, SUBMISSION_MS + BURST_INTERVAL_MS);
        let in_time = count_in_time(&simulation, &planned);
        lines.push(format!(
            "error {error}: declared off by {declared} %, expected by {expected} %, {in_time} of {} \
             jobs in time",
            planned.len()
        ));
        assert_eq!(simulation.checker.violations, Vec::new());
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// Mean difference between measured and true run times, in percent of the latter.
const MAX_BIAS_PERCENT: u64 = 2;

/// Guards against measured times that count the delay until an end is listed, which is long while the
/// owner waits for its saves.
#[rstest]
#[case::fast_store(0)]
#[case::slow_commits(150)]
fn measured_times_do_not_count_the_delay_of_holds(#[case] commit_delay_ms: u64) {
    let mut simulation = build_simulation(1);
    simulation.faults.commit_delay_ms = commit_delay_ms;
    let planned = plan_bursts(&mut simulation, 0.5);
    simulation.run_until(SUBMISSION_MS + BURSTS * BURST_INTERVAL_MS + 10_000);
    let measured = simulation.measurements.iter().filter_map(|(_, value)| match value {
        Measurement::RunTime { measured, .. } => Some(measured.0),
        _ => None,
    });
    let measured: Vec<u64> = measured.collect();
    let measured_mean = measured.iter().sum::<u64>() / measured.len() as u64;
    let true_mean = planned.iter().map(|(.., true_ms)| true_ms).sum::<u64>() / planned.len() as u64;
    let bias = measured_mean.abs_diff(true_mean);
    assert!(
        bias * 100 <= true_mean * MAX_BIAS_PERCENT,
        "{measured_mean} ms measured over {} runs, {true_mean} ms true",
        measured.len()
    );
}

fn record_key() -> StoreKey {
    StoreKey::Own(OwnKey::RunTimes("pool-0".parse().expect("valid name")))
}

/// Run time of each task of the handover test, and the time that its jobs declare.
const TRUE_MS: u64 = 1_000;
const DECLARED_MS: u64 = 3_000;

/// Returns the name of the last daemon that has loaded the pool, and the time.
fn last_loaded(simulation: &Simulation) -> (usize, u64) {
    let mut decisions = simulation.pool_decisions.iter().rev();
    let loaded = decisions.find(|(_, _, line)| line.outcome == "loaded");
    let (at, daemon, _) = loaded.expect("a daemon owns the pool");
    (*daemon, *at)
}

/// Guards against a new owner that learns everything again, and against a record that grows or is
/// written often.
#[test]
fn new_owner_starts_from_what_the_earlier_one_learned() {
    let mut simulation = build_simulation(2);
    for number in 0..200 {
        let name = job_name(number);
        simulation.true_run_ms.insert(name.clone(), TRUE_MS);
        let at = SUBMISSION_MS + number * 100 - simulation.now;
        simulation.plan_job(at, name, build_job(Millis(DECLARED_MS)));
    }
    simulation.run_until(SUBMISSION_MS + 10_000);
    let item = simulation.store.get(&record_key()).expect("the owner has written the record");
    let ItemValue::Own(bytes) = &item.value else { panic!("{item:?}") };
    assert!(bytes.len() <= 8_192, "{} bytes", bytes.len());
    let (owner, _) = last_loaded(&simulation);
    simulation.kill_daemon(owner);
    simulation.run_until(SUBMISSION_MS + 20_000);
    let (new_owner, loaded_at) = last_loaded(&simulation);
    assert_ne!(new_owner, owner);
    let mut measurements = simulation.measurements.iter();
    let first_expected = measurements.find_map(|(at, measurement)| match measurement {
        Measurement::RunTime { expected, .. } if *at > loaded_at => Some(expected.0),
        _ => None,
    });
    let first_expected = first_expected.expect("the new owner has measured a run");
    assert!(first_expected.abs_diff(TRUE_MS) * 10 <= TRUE_MS, "{first_expected} ms expected");
    assert_eq!(simulation.checker.violations, Vec::new());
}

/// Guards against an owner that does not place tasks because the record of run times cannot be read.
#[test]
fn unreadable_record_does_not_stop_the_owner() {
    let mut simulation = build_simulation(1);
    simulation.store.put(record_key(), ItemValue::Own(b"{".to_vec().into()), None);
    simulation.plan_job(SUBMISSION_MS, job_name(0), build_job(Millis(1_000)));
    simulation.run_until(SUBMISSION_MS + 10_000);
    let done = simulation.ended_runs.iter().filter(|(.., kind)| *kind == EndKind::Done).count();
    assert_eq!(done, 8);
    assert_eq!(simulation.checker.violations, Vec::new());
}

/// Guards against a record that every daemon follows, or whose key is not recognised when it is read.
#[test]
fn only_the_owner_reads_the_record() {
    let key = OwnKey::RunTimes("pool-0".parse().expect("valid name"));
    let text = key.to_string();
    assert!(!text.starts_with('o'), "{text}");
    assert_eq!(text.parse(), Ok(key));
}
