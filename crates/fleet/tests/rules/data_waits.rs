//! What submitters get if tasks wait for capacity near their data, and if they do not.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use fleet::model::FleetConfig;
use fleet::{DataWaitOutcome, Measurement, WaitCause};
use jobs::{JobPhase, JobSpec, StepSpec};
use rstest::rstest;
use state::{JobId, Mebibytes, Millicores, Millis, MinionId, VmId};

use crate::fixtures::{build_config, build_report, build_team, processor_limit, resources};
use crate::simulation::{PlannedJob, RunModel, Simulation};

const RACKS: usize = 4;
const VMS_PER_RACK: usize = 4;
/// Time at which the daemon owns the pool and every minion is in the roster.
const SUBMISSION_MS: u64 = 4_000;
/// Time from the first submission until all jobs have ended.
const RUN_MS: u64 = 40_000;
/// Run time away from the data, in percent of that near it.
const REMOTE_PERCENT: u64 = 200;

/// Whether the daemon's settings have the factor by which tasks take longer elsewhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Part {
    Off,
    On,
}

/// Jobs that a test submits.
struct Load {
    jobs: u64,
    interval_ms: u64,
    /// Real run times in percent of the estimate.
    error_percents: Vec<u64>,
    build_step: fn(u64) -> StepSpec,
}

fn config() -> FleetConfig {
    build_config(1, vec![build_team(0, processor_limit(Millicores(u64::MAX)))])
}

fn rack_name(rack: usize) -> Box<str> {
    format!("rack-{rack}").into()
}

fn job_name(number: u64) -> JobId {
    format!("{:016x}", 0x1000 + number).parse().expect("valid name")
}

fn submitted_ms(load: &Load, number: u64) -> u64 {
    SUBMISSION_MS + number * load.interval_ms
}

/// Returns a step with four tasks of a quarter of a VM. Three of five steps have their data in the
/// first rack, the others have none.
fn build_hot_step(number: u64) -> StepSpec {
    StepSpec {
        tasks: 4,
        demand: resources(Millicores(4_000), Mebibytes(1_000)),
        estimate: Millis(800),
        data_rack: (number % 5 < 3).then(|| rack_name(0)),
        ..StepSpec::default()
    }
}

/// Returns a gang of eight tasks that fills half a rack and should not be spread.
fn build_gang_step(number: u64) -> StepSpec {
    StepSpec {
        tasks: if number.is_multiple_of(3) { 6 } else { 8 },
        demand: resources(Millicores(4_000), Mebibytes(1_000)),
        estimate: Millis(800),
        gang: true,
        one_rack: true,
        ..StepSpec::default()
    }
}

/// Returns a step of eight tasks that should all run in one rack, without being a gang.
fn build_one_rack_step(number: u64) -> StepSpec {
    StepSpec { gang: false, ..build_gang_step(number) }
}

/// Submits a load to a pool of several racks.
fn start_load(load: &Load, part: Part) -> Simulation {
    let mut simulation = Simulation::new(1, 0, config());
    if part == Part::On {
        let factor = format!("{}", REMOTE_PERCENT as f64 / 100.0);
        simulation.remote_factor = factor.parse().expect("valid factor");
    }
    simulation.add_daemon();
    simulation.run_model = Some(RunModel::new(REMOTE_PERCENT, load.error_percents.clone()));
    for number in 0..RACKS * VMS_PER_RACK {
        let mut report = build_report(number);
        report.labels = vec!["a".into(), rack_name(number / VMS_PER_RACK)];
        simulation.add_minion(report);
    }
    for number in 0..load.jobs {
        let steps = vec![(load.build_step)(number)];
        let spec = JobSpec { payload: "text".into(), steps, timetable: None };
        let team = "team-0".parse().expect("valid name");
        let planned = PlannedJob { team, spec, queue: 0, cancel_after: None };
        let delay_ms = submitted_ms(load, number) - simulation.now;
        simulation.plan_job(delay_ms, job_name(number), planned);
    }
    simulation
}

/// Describes what the submitters of a load got, and what it cost.
fn describe_service(simulation: &Simulation, load: &Load) -> String {
    let model = simulation.run_model.as_ref().expect("a model");
    let mut ends: BTreeMap<&JobId, u64> = BTreeMap::new();
    for (task, end) in &model.ends {
        let known = ends.entry(&task.job).or_default();
        *known = (*known).max(*end);
    }
    let mut durations = Vec::new();
    let mut in_time = 0;
    for number in 0..load.jobs {
        let estimate = (load.build_step)(number).estimate.0;
        let duration = ends[&job_name(number)] - submitted_ms(load, number);
        in_time += u64::from(duration <= estimate * 8 / 5 + 600);
        durations.push(duration);
    }
    durations.sort_unstable();
    let mean = durations.iter().sum::<u64>() / load.jobs;
    let longest = durations.last().copied().unwrap_or(0);
    let mut text =
        format!("{in_time} of {} jobs in time, mean {mean} ms, longest {longest} ms, ", load.jobs);
    let _ = write!(text, "{} of {} runs away", model.away_runs, model.runs);
    text + &describe_waits(simulation)
}

fn describe_waits(simulation: &Simulation) -> String {
    let (mut begun, mut paid_off, mut abandoned, mut waited) = (0, 0, 0, 0);
    for (_, measurement) in &simulation.measurements {
        match measurement {
            Measurement::DataWaitsBegun(tasks) => begun += tasks,
            Measurement::DataWaitEnded(DataWaitOutcome::PaidOff, _) => paid_off += 1,
            Measurement::DataWaitEnded(DataWaitOutcome::Abandoned, _) => abandoned += 1,
            Measurement::TaskReady(WaitCause::DataWait, duration) => waited += duration.0,
            _ => {}
        }
    }
    assert_eq!(begun, paid_off + abandoned, "every wait ends");
    format!("; {begun} waits, {paid_off} paid off, {abandoned} abandoned, waited {waited} ms\n")
}

fn assert_all_complete(simulation: &Simulation) {
    assert_eq!(simulation.checker.violations, Vec::new());
    for (name, job) in &simulation.checker.jobs {
        assert_eq!(job.phase, Some(JobPhase::Complete), "{name}");
    }
}

/// Runs a load with the part off and on, and describes the service of both.
fn compare(load: &Load, disturb: fn(&mut Simulation)) -> String {
    let mut text = String::new();
    for part in [Part::Off, Part::On] {
        let mut simulation = start_load(load, part);
        simulation.run_until(SUBMISSION_MS + 2_000);
        disturb(&mut simulation);
        simulation.run_until(SUBMISSION_MS + RUN_MS);
        assert_all_complete(&simulation);
        let _ = write!(text, "{part:?}: {}", describe_service(&simulation, load));
    }
    text
}

fn hot_load(error_percents: Vec<u64>) -> Load {
    Load { jobs: 60, interval_ms: 120, error_percents, build_step: build_hot_step }
}

fn first_rack() -> impl Iterator<Item = usize> {
    0..VMS_PER_RACK
}

fn leave_alone(_: &mut Simulation) {}

fn crash_first_rack(simulation: &mut Simulation) {
    for number in first_rack() {
        let minion: MinionId = format!("i-{number}").parse().expect("valid name");
        simulation.crash_minion(&minion);
    }
}

fn maintain_first_rack(simulation: &mut Simulation) {
    let vm = |number: usize| -> VmId { format!("vm-{number}").parse().expect("valid name") };
    simulation.order_wave(1, first_rack().map(vm).collect(), VMS_PER_RACK as u32);
}

/// Guards against tasks that run away from a rack as soon as it is full, and against tasks that
/// wait for it without end.
#[test]
fn tasks_wait_for_a_hot_rack() {
    insta::assert_snapshot!("hot_rack", compare(&hot_load(vec![100]), leave_alone));
}

/// Guards against waits that cost more than they gain because the declared run times are wrong.
#[rstest]
#[case::usual("estimates_usual", vec![60, 130, 80, 150, 100, 90, 110])]
#[case::far_off("estimates_far_off", vec![10, 190, 30, 170, 190, 60, 100])]
#[case::stragglers("estimates_stragglers", vec![90, 100, 110, 700, 100, 80, 100, 100, 120, 100, 95])]
#[case::too_low("estimates_too_low", vec![400, 500, 300])]
fn waits_bear_wrong_estimates(#[case] name: &str, #[case] error_percents: Vec<u64>) {
    insta::assert_snapshot!(name, compare(&hot_load(error_percents), leave_alone));
}

/// Guards against tasks that wait for a rack that has failed or is about to be taken down.
#[rstest]
#[case::crash("rack_crashes", crash_first_rack)]
#[case::maintenance("rack_maintained", maintain_first_rack)]
fn waits_end_with_the_rack(#[case] name: &str, #[case] disturb: fn(&mut Simulation)) {
    insta::assert_snapshot!(name, compare(&hot_load(vec![100]), disturb));
}

/// Guards against gangs, or steps for one rack, that are spread although one rack soon has room.
#[rstest]
#[case::gang("gangs", build_gang_step)]
#[case::step("one_rack_steps", build_one_rack_step)]
fn steps_for_one_rack_wait_for_it(#[case] name: &str, #[case] build_step: fn(u64) -> StepSpec) {
    let load = Load { jobs: 40, interval_ms: 100, error_percents: vec![100], build_step };
    insta::assert_snapshot!(name, compare(&load, leave_alone));
}

/// Guards against a wait that keeps tasks without data from a VM that is free.
#[test]
fn other_tasks_use_capacity_meanwhile() {
    let load = hot_load(vec![100]);
    let simulation = {
        let mut simulation = start_load(&load, Part::On);
        simulation.run_until(SUBMISSION_MS + RUN_MS);
        simulation
    };
    let is_late_elsewhere = |line: &fleet::DecisionLine| {
        let number = u64::from_str_radix(line.id.split('.').next().unwrap_or(""), 16).unwrap_or(0);
        line.decision == "start"
            && (number - 0x1000) % 5 >= 3
            && line.inputs.contains("(data-wait)")
    };
    assert!(!simulation.order_decisions.iter().any(|(_, line)| is_late_elsewhere(line)));
    assert_all_complete(&simulation);
}

/// Guards against a task that waits for its rack although a VM elsewhere has had room for longer
/// than the wait is worth: 75 % of the 800 ms that the task saves, and the time until a pass.
#[rstest]
#[case::stragglers(240, vec![100, 700, 100, 100], leave_alone)]
#[case::crash(120, vec![100], crash_first_rack)]
fn waits_are_bounded(
    #[case] interval_ms: u64,
    #[case] error_percents: Vec<u64>,
    #[case] disturb: fn(&mut Simulation),
) {
    let load = Load { jobs: 30, interval_ms, ..hot_load(error_percents) };
    let mut simulation = start_load(&load, Part::On);
    simulation.run_until(SUBMISSION_MS + 2_000);
    disturb(&mut simulation);
    simulation.run_until(SUBMISSION_MS + RUN_MS);
    assert_all_complete(&simulation);
    let ended = simulation.measurements.iter().filter_map(|(_, measurement)| match measurement {
        Measurement::DataWaitEnded(_, duration) => Some(*duration),
        _ => None,
    });
    let durations: Vec<Millis> = ended.collect();
    assert!(!durations.is_empty(), "no task has waited");
    let longest = durations.iter().max().copied().unwrap_or_default();
    assert!(longest <= Millis(700), "a task has waited for {longest}");
}
