//! Jobs that meet their objective while the demand of a queue exceeds its pool.

use std::collections::BTreeMap;

use fleet::model::FleetConfig;
use jobs::{JobSpec, StepSpec};
use rstest::rstest;
use state::{JobId, Mebibytes, Millicores, Millis, TeamId};

use crate::fixtures::{
    build_config, build_report, build_team, build_terms, processor_limit, resources,
};
use crate::simulation::{PlannedJob, Simulation};

/// Number of VMs of the pool, with 16 cores each.
const MINIONS: usize = 20;
const TEAMS: u64 = 8;
/// Time at which the daemon owns the pool and every minion is in the roster.
const SUBMISSION_MS: u64 = 4_000;
/// Duration of the burst.
const BURST_MS: u64 = 4_500;
/// Work of the burst, in percent of what the pool can do meanwhile.
const DEMAND_PERCENT: u64 = 200;
/// Mean run time of a run in the simulation, which the submitters declare.
const RUN_TIME: Millis = Millis(1_350);
const TASKS_PER_STEP: u32 = 4;
const TASK_MILLICORES: u64 = 2_000;
/// Every fourth job is of one of the other teams.
const OTHERS_INTERVAL: u64 = 4;

fn team(number: u64) -> TeamId {
    format!("team-{number}").parse().expect("valid name")
}

fn build_unlimited_config() -> FleetConfig {
    let limit = processor_limit(Millicores(u64::MAX));
    build_config(1, (0..TEAMS).map(|number| build_team(number as usize, limit)).collect())
}

/// Builds a job of one or two steps.
fn build_spec(number: u64) -> JobSpec {
    let step = |after| StepSpec {
        tasks: TASKS_PER_STEP,
        demand: resources(Millicores(TASK_MILLICORES), Mebibytes(500)),
        estimate: RUN_TIME,
        after,
        ..StepSpec::default()
    };
    let mut steps = vec![step(Vec::new())];
    if number.is_multiple_of(2) {
        steps.push(step(vec![0]));
    }
    JobSpec { payload: "text".into(), steps, timetable: None }
}

/// Returns the time from the submission of a job to its objective, in milliseconds.
fn objective_ms(spec: &JobSpec) -> u64 {
    let terms = build_terms();
    let critical_path = spec.critical_path().0 as f64 * terms.slack_factor;
    critical_path as u64 + terms.latency_objective.0
}

/// Number of jobs that met their objective, and of all jobs.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
struct InTime {
    in_time: u64,
    jobs: u64,
}

struct Burst {
    simulation: Simulation,
    /// Teams and submission times of the jobs.
    submissions: BTreeMap<JobId, (TeamId, u64)>,
}

impl Burst {
    fn count(&self, is_counted: impl Fn(&TeamId) -> bool) -> InTime {
        let mut counts = InTime::default();
        let counted = self.submissions.iter().filter(|(_, (owner, _))| is_counted(owner));
        for (job, (_, at)) in counted {
            let objective = at + objective_ms(&self.simulation.checker.jobs[job].spec);
            counts.jobs += 1;
            counts.in_time += u64::from(self.simulation.done_at[job] <= objective);
        }
        counts
    }
}

/// Runs a burst of which team 0 submits three quarters, until all jobs are done.
fn run_burst(seed: u64) -> Burst {
    let mut simulation = Simulation::new(seed, 1, build_unlimited_config());
    for number in 0..MINIONS {
        simulation.add_minion(build_report(number));
    }
    let pool_work = MINIONS as u64 * 16_000 * BURST_MS * DEMAND_PERCENT / 100;
    let mut submissions = BTreeMap::new();
    let (mut work, mut number) = (0, 0_u64);
    while work < pool_work {
        let at = SUBMISSION_MS + work * BURST_MS / pool_work;
        let job: JobId = format!("{:016x}", 0x1000 + number).parse().expect("valid name");
        let is_other = number.is_multiple_of(OTHERS_INTERVAL);
        let owner =
            if is_other { team(1 + number / OTHERS_INTERVAL % (TEAMS - 1)) } else { team(0) };
        let spec = build_spec(number);
        work += spec.estimated_work();
        number += 1;
        submissions.insert(job.clone(), (owner.clone(), at));
        let delay = at - simulation.now;
        simulation.plan_job(
            delay,
            job,
            PlannedJob { team: owner, spec, queue: 0, cancel_after: None },
        );
    }
    simulation.run_until(SUBMISSION_MS + 10 * BURST_MS);
    Burst { simulation, submissions }
}

/// Guards against an order by which no more jobs meet their objective than by the latest start alone.
/// The last two values count the jobs in time by that order, on the same load: all jobs, and those of
/// the teams that submit a quarter of the burst together.
#[rstest]
#[case(1, 78, 6)]
#[case(2, 79, 11)]
#[case(3, 76, 10)]
fn more_jobs_meet_their_objective_than_by_latest_start(
    #[case] seed: u64,
    #[case] by_latest_start: u64,
    #[case] others_by_latest_start: u64,
) {
    let burst = run_burst(seed);
    let all = burst.count(|_| true);
    let others = burst.count(|owner| *owner != team(0));
    assert!(all.in_time > by_latest_start, "{all:?}");
    assert!(others.in_time > others_by_latest_start, "{others:?}");
    assert_eq!(burst.simulation.checker.violations, Vec::new());
    let lines = &burst.simulation.selection_decisions;
    assert!(!lines.is_empty() && lines.len() < 30, "{} lines", lines.len());
}
