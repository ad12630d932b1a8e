//! Work of a pool's owner per event, counted in examined jobs, minions and runs.

use fleet::model::FleetConfig;
use jobs::{JobSpec, StepSpec};
use state::{JobId, Mebibytes, Millicores, Millis, TeamId};

use crate::fixtures::{build_config, build_report, build_team, processor_limit, resources};
use crate::simulation::{PlannedJob, Simulation};

/// Time at which the daemon owns the pool and every minion is in the roster.
const SUBMISSION_MS: u64 = 4_000;
/// Time from the submission until all jobs are accepted and the pool is full.
const FILL_MS: u64 = 4_000;
/// Time over which the work is counted.
const WINDOW_MS: u64 = 3_000;
/// Tasks of each job; the jobs outlast the window.
const TASKS_PER_JOB: u32 = 60;

/// A pool of one daemon with a queue of jobs that wait for capacity.
struct BusyPool {
    minions: usize,
    waiting_jobs: u64,
    /// Limit of the only team, which is below the pool's capacity if the quota is to bind.
    team_limit: Millicores,
}

/// Work that a pool's owner did in a window of time.
struct WorkReport {
    checks: u64,
    events: u64,
}

impl WorkReport {
    fn checks_per_event(&self) -> u64 {
        self.checks / self.events
    }
}

fn team() -> TeamId {
    "team-0".parse().expect("valid name")
}

fn build_owner_config(team_limit: Millicores) -> FleetConfig {
    build_config(1, vec![build_team(0, processor_limit(team_limit))])
}

/// Builds a job whose demand differs from that of other jobs.
fn build_job(number: u64) -> (JobId, PlannedJob) {
    let step = StepSpec {
        tasks: TASKS_PER_JOB,
        demand: resources(Millicores(3_500 + number % 50 * 10), Mebibytes(500)),
        estimate: Millis(1_000),
        ..StepSpec::default()
    };
    let spec = JobSpec { payload: "text".into(), steps: vec![step], timetable: None };
    let job = format!("{:016x}", 0x1000 + number).parse().expect("valid name");
    (job, PlannedJob { team: team(), spec, queue: 0, cancel_after: None })
}

/// Runs a busy pool and reports the work of its owner while jobs wait.
fn measure_work(pool: &BusyPool) -> WorkReport {
    let mut simulation = Simulation::new(1, 1, build_owner_config(pool.team_limit));
    for number in 0..pool.minions {
        simulation.add_minion(build_report(number));
    }
    for number in 0..pool.waiting_jobs {
        let (job, planned) = build_job(number);
        simulation.plan_job(SUBMISSION_MS + number, job, planned);
    }
    simulation.run_until(SUBMISSION_MS + FILL_MS);
    assert_eq!(simulation.accepted_count, pool.waiting_jobs);
    let (checks, events) = (simulation.placement_checks(), simulation.event_count);
    simulation.run_until(SUBMISSION_MS + FILL_MS + WINDOW_MS);
    WorkReport {
        checks: simulation.placement_checks() - checks,
        events: simulation.event_count - events,
    }
}

/// Guards against an owner that each event costs more the more jobs wait for capacity.
#[test]
fn work_per_event_does_not_grow_with_waiting_jobs() {
    let work = |waiting_jobs| {
        let team_limit = Millicores(u64::MAX);
        measure_work(&BusyPool { minions: 78, waiting_jobs, team_limit }).checks_per_event()
    };
    let (few, many) = (work(100), work(400));
    assert!(many <= 2 * few, "{few} checks an event with 100 jobs, {many} with 400");
    assert!(many <= 300, "{many} checks an event");
}

/// Guards against an owner that each event costs more the more jobs wait for quota.
#[test]
fn work_per_event_does_not_grow_with_jobs_over_quota() {
    let work = |waiting_jobs| {
        let team_limit = Millicores(200_000);
        measure_work(&BusyPool { minions: 78, waiting_jobs, team_limit }).checks_per_event()
    };
    let (few, many) = (work(100), work(400));
    assert!(many <= 2 * few, "{few} checks an event with 100 jobs, {many} with 400");
    assert!(many <= 300, "{many} checks an event");
}

/// Guards against an owner that each event costs more the more minions the pool has.
#[test]
fn work_per_event_does_not_grow_with_minions() {
    let work = |minions| {
        let team_limit = Millicores(u64::MAX);
        measure_work(&BusyPool { minions, waiting_jobs: 200, team_limit }).checks_per_event()
    };
    let (few, many) = (work(40), work(160));
    assert!(many <= 2 * few, "{few} checks an event with 40 minions, {many} with 160");
}
