//! VMs that are slow or fail, and racks that are lost: what submitters get.

use fleet::io::EndKind;
use fleet::{Measurement, VmHealthDecision};
use jobs::{JobPhase, JobSpec, StepSpec};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use state::{JobId, Mebibytes, Millicores, Millis, MinionId, TeamId};

use crate::fixtures::{build_config, build_report, build_team, processor_limit, resources};
use crate::simulation::{PlannedJob, Simulation};

/// Number of VMs of the pool, of 16 cores each.
const MINIONS: usize = 12;
const VMS_PER_RACK: usize = 4;
/// Time at which a daemon owns the pool and every minion is in the roster.
const SUBMISSION_MS: u64 = 5_000;
/// Time between two jobs.
const JOB_INTERVAL_MS: u64 = 100;
const JOBS: u64 = 300;
/// Time after the first submission at which the faults begin.
const FAULT_MS: u64 = 5_000;
/// Time after the last submission until which jobs may end.
const TAIL_MS: u64 = 15_000;

/// Job with its time of submission and the true run time of its tasks.
type PlannedTimes = Vec<(JobId, u64, u64)>;

fn minion(number: usize) -> MinionId {
    build_report(number).minion
}

/// Builds a pool of three racks.
fn build_simulation() -> Simulation {
    let team = build_team(0, processor_limit(Millicores(u64::MAX)));
    let mut simulation = Simulation::new(1, 1, build_config(1, vec![team]));
    for number in 0..MINIONS {
        let mut report = build_report(number);
        report.labels.push(format!("rack-{}", number / VMS_PER_RACK).into());
        simulation.add_minion(report);
    }
    simulation
}

/// Plans jobs of six tasks that need a half of the pool, with declared times that are off by up to 50 %.
fn plan_jobs(simulation: &mut Simulation) -> PlannedTimes {
    let mut rng = StdRng::seed_from_u64(5);
    let mut planned = PlannedTimes::new();
    for number in 0..JOBS {
        let true_ms = rng.random_range(500..1_500);
        let declared = Millis((true_ms as f64 * rng.random_range(0.5..1.5)) as u64);
        let step = StepSpec {
            tasks: 6,
            demand: resources(Millicores(1_600), Mebibytes(500)),
            estimate: declared,
            ..StepSpec::default()
        };
        let spec = JobSpec { payload: "text".into(), steps: vec![step], timetable: None };
        let team: TeamId = "team-0".parse().expect("valid name");
        let name: JobId = format!("{:016x}", 0x1000 + number).parse().expect("valid name");
        let at = SUBMISSION_MS + number * JOB_INTERVAL_MS;
        simulation.true_run_ms.insert(name.clone(), true_ms);
        let job = PlannedJob { team, spec, queue: 0, cancel_after: None };
        simulation.plan_job(at - simulation.now, name.clone(), job);
        planned.push((name, at, true_ms));
    }
    planned
}

/// Whether all tasks of a job were done within its objective.
fn is_in_time(simulation: &Simulation, (name, at, true_ms): &(JobId, u64, u64)) -> bool {
    let done: Vec<u64> = simulation
        .ended_runs
        .iter()
        .filter(|(_, _, task, kind)| task.job == *name && *kind == EndKind::Done)
        .map(|(ended, ..)| *ended)
        .collect();
    let objective_ms = at + true_ms * 16 / 10 + 600;
    done.len() == 6 && done.into_iter().max().is_some_and(|last| last <= objective_ms)
}

fn count_decisions(simulation: &Simulation, counted: VmHealthDecision) -> usize {
    let is_counted =
        |(_, measurement): &&(u64, Measurement)| *measurement == Measurement::VmHealth(counted);
    simulation.measurements.iter().filter(is_counted).count()
}

/// Runs the jobs with faults that begin while they run, and describes what their submitters get and what
/// the owner decided.
fn run_scenario(name: &str, inject: impl FnOnce(&mut Simulation)) -> String {
    let mut simulation = build_simulation();
    let planned = plan_jobs(&mut simulation);
    simulation.run_until(SUBMISSION_MS + FAULT_MS);
    inject(&mut simulation);
    simulation.run_until(SUBMISSION_MS + JOBS * JOB_INTERVAL_MS + TAIL_MS);
    assert_eq!(simulation.checker.violations, Vec::new());
    let in_time = planned.iter().filter(|job| is_in_time(&simulation, job)).count();
    let jobs = simulation.checker.jobs.values();
    let failed = jobs.filter(|job| job.phase == Some(JobPhase::Failed)).count();
    let count = |decision| count_decisions(&simulation, decision);
    format!(
        "{name}: {in_time} of {JOBS} jobs in time, {failed} failed; held back {}, restored {}, probes {}, \
         stragglers stopped {}, racks paused {}, resumed {}",
        count(VmHealthDecision::HeldBack),
        count(VmHealthDecision::Restored),
        count(VmHealthDecision::Probe),
        count(VmHealthDecision::StragglerStopped),
        count(VmHealthDecision::RackPaused),
        count(VmHealthDecision::RackResumed),
    )
}

fn set_slowdown(simulation: &mut Simulation, minions: std::ops::Range<usize>, slowdown: u64) {
    for number in minions {
        simulation.minions.get_mut(&minion(number)).expect("known minion").slowdown = slowdown;
    }
}

fn set_partitioned(
    simulation: &mut Simulation,
    minions: std::ops::Range<usize>,
    is_partitioned: bool,
) {
    for number in minions {
        let fake = simulation.minions.get_mut(&minion(number)).expect("known minion");
        fake.is_partitioned = is_partitioned;
    }
}

/// Guards against an owner that gives slow, failing or lost VMs as much work as others, so that the jobs
/// with tasks there are late or fail; and against one that holds healthy VMs back.
#[test]
fn submitters_are_served_beside_faulty_vms() {
    let lines = [
        run_scenario("healthy", |_| {}),
        run_scenario("two slow VMs", |simulation| set_slowdown(simulation, 0..2, 5)),
        run_scenario("two VMs slow for 10 s", |simulation| {
            set_slowdown(simulation, 0..2, 5);
            simulation.run_until(simulation.now + 10_000);
            set_slowdown(simulation, 0..2, 1);
        }),
        run_scenario("one VM fails all", |simulation| {
            simulation.minions.get_mut(&minion(0)).expect("known minion").fails_all = true;
        }),
        run_scenario("a rack is dark for 8 s", |simulation| {
            simulation.faults.keeps_reports = true;
            set_partitioned(simulation, 0..VMS_PER_RACK, true);
            simulation.run_until(simulation.now + 8_000);
            set_partitioned(simulation, 0..VMS_PER_RACK, false);
        }),
        run_scenario("a rack goes dark VM by VM", |simulation| {
            simulation.faults.keeps_reports = true;
            for number in 0..VMS_PER_RACK {
                set_partitioned(simulation, number..number + 1, true);
                simulation.run_until(simulation.now + 900);
            }
            simulation.run_until(simulation.now + 5_000);
            set_partitioned(simulation, 0..VMS_PER_RACK, false);
        }),
        run_scenario("a VM flaps", |simulation| {
            simulation.faults.keeps_reports = true;
            for _ in 0..8 {
                set_partitioned(simulation, 0..1, true);
                simulation.run_until(simulation.now + 1_000);
                set_partitioned(simulation, 0..1, false);
                simulation.run_until(simulation.now + 1_500);
            }
        }),
    ];
    insta::assert_snapshot!(lines.join("\n"));
}
