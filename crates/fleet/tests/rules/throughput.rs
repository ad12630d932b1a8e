//! Work that one owner gets done while the demand of its queue exceeds its pool.

use fleet::model::FleetConfig;
use fleet::{Measurement, OwnKey, StoreKey};
use jobs::{JobSpec, StepSpec};
use rstest::rstest;
use state::{JobId, Mebibytes, Millicores, Millis, TeamId};

use crate::fixtures::{build_config, build_report, build_team, processor_limit, resources};
use crate::simulation::{PlannedJob, Simulation};

/// Number of VMs of the pool.
const MINIONS: usize = 120;
/// Time at which the daemon owns the pool and every minion is in the roster.
const SUBMISSION_MS: u64 = 4_000;
/// Time over which jobs are submitted.
const SUBMISSION_SPAN_MS: u64 = 6_000;
/// Number of jobs, which together need more than the pool has.
const JOBS: u64 = 1_200;
/// Time within which a finished run must be saved. Until then its minion is asked for further
/// finished runs only once a second.
const SAVE_TARGET: Millis = Millis(250);

fn team() -> TeamId {
    "team-0".parse().expect("valid name")
}

fn build_unlimited_config() -> FleetConfig {
    let limit = processor_limit(Millicores(u64::MAX));
    build_config(1, vec![build_team(0, limit)])
}

/// Builds a job of two steps of eight tasks.
fn build_job() -> PlannedJob {
    let step = |after| StepSpec {
        tasks: 8,
        demand: resources(Millicores(1_400), Mebibytes(500)),
        estimate: Millis(1_000),
        after,
        ..StepSpec::default()
    };
    let steps = vec![step(Vec::new()), step(vec![0])];
    let spec = JobSpec { payload: "text".into(), steps, timetable: None };
    PlannedJob { team: team(), spec, queue: 0, cancel_after: None }
}

fn build_loaded_simulation() -> Simulation {
    let mut simulation = Simulation::new(1, 1, build_unlimited_config());
    for number in 0..MINIONS {
        simulation.add_minion(build_report(number));
    }
    for number in 0..JOBS {
        let name: JobId = format!("{:016x}", 0x1000 + number).parse().expect("valid name");
        let at = SUBMISSION_MS + number * SUBMISSION_SPAN_MS / JOBS;
        simulation.plan_job(at, name, build_job());
    }
    simulation
}

/// Guards against saves that fall behind the finished runs of a full pool, so that the owner learns
/// late which capacity is free; also if the store takes long to answer a full commit.
#[rstest]
#[case::fast_store(0)]
#[case::slow_commits(25)]
fn finished_runs_of_a_full_pool_are_saved_in_time(#[case] commit_delay_ms: u64) {
    let mut simulation = build_loaded_simulation();
    simulation.faults.commit_delay_ms = commit_delay_ms;
    simulation.run_until(SUBMISSION_MS + SUBMISSION_SPAN_MS);
    let saved = simulation.measurements.iter().filter_map(|(_, measurement)| match measurement {
        Measurement::EndSaved(duration) => Some(*duration),
        _ => None,
    });
    let durations: Vec<Millis> = saved.collect();
    let longest = durations.iter().max().copied().unwrap_or_default();
    assert!(durations.len() > 2_000, "{} finished runs were saved", durations.len());
    assert!(longest <= SAVE_TARGET, "a finished run was saved after {longest}");
    assert_eq!(simulation.checker.violations, Vec::new());
}

/// Number of lanes with a save sequence in the store.
fn count_used_lanes(simulation: &Simulation) -> usize {
    let key = |lane| {
        let pool = "pool-0".parse().expect("valid name");
        StoreKey::Own(OwnKey::SaveSequence(pool, lane))
    };
    (0..=u8::MAX).filter(|lane| simulation.store.get(&key(*lane)).is_some()).count()
}

/// Guards against a pool with little work that makes more commits than one lane needs.
#[test]
fn calm_pool_saves_in_one_lane() {
    let mut simulation = Simulation::new(1, 1, build_unlimited_config());
    for number in 0..4 {
        simulation.add_minion(build_report(number));
    }
    for number in 0..20 {
        let name: JobId = format!("{:016x}", 0x1000 + number).parse().expect("valid name");
        simulation.plan_job(SUBMISSION_MS + number * 200, name, build_job());
    }
    simulation.run_until(SUBMISSION_MS + 10_000);
    assert_eq!(count_used_lanes(&simulation), 1);
}
