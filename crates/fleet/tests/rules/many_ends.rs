//! Minions on which more runs have finished than an answer to a hold lists.

use jobs::{JobPhase, JobSpec, StepSpec};
use rstest::rstest;
use state::{JobId, Mebibytes, Millicores, Millis};

use crate::seeded_runs::{build_config, build_report};
use crate::simulation::{PlannedJob, Simulation};

const MINIONS: usize = 2;
const JOBS: u64 = 50;
const TASKS: u32 = 32;
const RUN_MS: u64 = 3_000;
/// Time at which the jobs are submitted.
const SUBMITTED_MS: u64 = 4_000;
/// Time from the submission until the store is silent, and until it answers again.
const SILENCE_MS: (u64, u64) = (2_900, 7_000);

/// Plans jobs whose tasks all run at once, so that each minion has some 800 finished runs that no
/// owner has saved.
fn build_simulation() -> (Simulation, Vec<JobId>) {
    let mut simulation = Simulation::new(1, 3, build_config());
    for number in 0..MINIONS {
        simulation.add_minion(build_report(0, number));
    }
    let mut step = StepSpec { tasks: TASKS, estimate: Millis(RUN_MS), ..StepSpec::default() };
    step.demand.processor = Millicores(10);
    step.demand.memory = Mebibytes(20);
    let plan_job = |number: u64| {
        let job: JobId = format!("{number:016x}").parse().expect("valid name");
        let spec = JobSpec { payload: "text".into(), steps: vec![step.clone()], timetable: None };
        let team = "team-0".parse().expect("valid name");
        simulation.true_run_ms.insert(job.clone(), RUN_MS);
        let planned = PlannedJob { team, spec, queue: 0, cancel_after: None };
        simulation.plan_job(SUBMITTED_MS - simulation.now, job.clone(), planned);
        job
    };
    let jobs = (1..=JOBS).map(plan_job).collect();
    (simulation, jobs)
}

/// Guards against tasks that run again because the ends of their runs are not on the first page that
/// their minion lists, for the owner that started them and for the next one.
#[rstest]
#[case::same_owner(false)]
#[case::next_owner(true)]
fn runs_beyond_a_full_page_are_not_repeated(#[case] is_owner_killed: bool) {
    let (mut simulation, jobs) = build_simulation();
    simulation.run_until(SUBMITTED_MS + SILENCE_MS.0);
    simulation.faults.is_store_silent = true;
    simulation.run_until(SUBMITTED_MS + SILENCE_MS.1);
    if is_owner_killed {
        (0..3).for_each(|daemon| simulation.kill_daemon(daemon));
        (0..3).for_each(|daemon| simulation.start_daemon(daemon));
    }
    simulation.faults.is_store_silent = false;
    simulation.run_until(SUBMITTED_MS + 40_000);
    let is_complete =
        |job: &&JobId| simulation.checker.jobs[*job].phase == Some(JobPhase::Complete);
    assert_eq!(jobs.iter().filter(is_complete).count(), jobs.len());
    let runs = simulation.ended_runs.len();
    assert_eq!(
        (runs, &simulation.checker.violations),
        ((JOBS * u64::from(TASKS)) as usize, &vec![])
    );
}
