//! Tasks that fail in every run, on queues with any number of attempts.

use jobs::{JobPhase, JobSpec, StepSpec};
use rstest::rstest;
use state::{JobId, Millicores, Millis};

use crate::seeded_runs::{build_config, build_report};
use crate::simulation::{PlannedJob, Simulation};

const RUN_MS: u64 = 200;
const SUBMITTED_MS: u64 = 4_000;

/// Guards against a task that is started without end because the count of its failed runs stops below
/// the queue's attempts, also if the owner of the pool changes.
#[rstest]
fn task_fails_its_job_after_all_attempts(
    #[values(3, 9, 10, 12, 25)] max_attempts: u32,
    #[values(false, true)] is_owner_killed: bool,
) {
    let mut config = build_config();
    for queue in &mut config.queues {
        queue.terms.max_attempts = max_attempts;
    }
    let mut simulation = Simulation::new(1, 3, config);
    simulation.add_minion(build_report(0, 0));
    simulation.faults.run_failure_probability = 1.0;
    let mut step = StepSpec { tasks: 1, estimate: Millis(RUN_MS), ..StepSpec::default() };
    step.demand.processor = Millicores(1_000);
    let spec = JobSpec { payload: "text".into(), steps: vec![step], timetable: None };
    let team = "team-0".parse().expect("valid name");
    let job: JobId = "5c0e7a21d94b36f8".parse().expect("valid name");
    simulation.true_run_ms.insert(job.clone(), RUN_MS);
    let planned = PlannedJob { team, spec, queue: 0, cancel_after: None };
    simulation.plan_job(SUBMITTED_MS - simulation.now, job.clone(), planned);
    if is_owner_killed {
        simulation.run_until(SUBMITTED_MS + u64::from(max_attempts) * RUN_MS);
        (0..3).for_each(|daemon| simulation.kill_daemon(daemon));
        (0..3).for_each(|daemon| simulation.start_daemon(daemon));
    }
    simulation.run_until(SUBMITTED_MS + 30_000);
    assert_eq!(simulation.checker.jobs[&job].phase, Some(JobPhase::Failed));
    assert_eq!(simulation.ended_runs.len(), max_attempts as usize);
    assert_eq!(simulation.checker.violations, Vec::new());
}
