//! Maintenance waves that reach most VMs of a large pool while it is busy.

use fleet::io::ItemValue;
use fleet::model::WavePhase;
use fleet::{OwnKey, StoreKey};
use jobs::{JobPhase, JobSpec, StepSpec};
use rstest::rstest;
use state::{JobId, Millicores, Millis, VmId};

use crate::seeded_runs::{JobBatch, build_config, build_report, submit_batch};
use crate::simulation::{PlannedJob, Simulation};

/// Number of VMs of the pool, all of them in the wave.
const MINIONS: usize = 60;
/// Maximum number of VMs that may be down at one time.
const MAX_DOWN: u32 = 20;
/// Time at which the wave is ordered.
const ORDERED_MS: u64 = 5_000;
/// Duration within which the maintenance of all VMs must begin.
const DURATION_MS: u64 = 20_000;

/// Builds a simulation of one busy pool: its tasks take up to 2.5 s, and each VM has some.
fn build_busy_simulation(seed: u64) -> Simulation {
    let mut config = build_config();
    for team in &mut config.teams {
        team.limit.processor = Millicores(u64::MAX);
    }
    let mut simulation = Simulation::new(seed, 1, config);
    for number in 0..MINIONS {
        simulation.add_minion(build_report(0, number));
    }
    let processor = Millicores(2_000);
    let batch = JobBatch { jobs: 1_000, tasks: 5, processor, first_delay: 2_000, interval: 30 };
    submit_batch(&mut simulation, &batch);
    simulation
}

/// Guards against a wave that ends late because the pool empties its VMs one by one.
#[test]
fn wave_of_a_large_busy_pool_is_in_time() {
    let mut simulation = build_busy_simulation(1);
    simulation.run_until(ORDERED_MS);
    let vms: Vec<VmId> = simulation.cloud.vms.keys().cloned().collect();
    simulation.order_wave(1, vms.clone(), MAX_DOWN);
    simulation.run_until(ORDERED_MS + DURATION_MS);
    let begun = vms.iter().filter(|vm| simulation.cloud.has_begun_maintenance(1, vm)).count();
    assert_eq!(begun, vms.len(), "VMs whose maintenance began in time");
    simulation.run_until(ORDERED_MS + DURATION_MS + 4_000);
    assert_eq!(simulation.store.wave_statuses.last(), Some(&(1, WavePhase::Complete)));
    assert_eq!(simulation.checker.violations, Vec::new());
}

/// Guards against a wave that is never complete, because another wave's progress was written later.
#[test]
fn waves_at_the_same_time_are_all_complete() {
    let mut simulation = Simulation::new(1, 3, build_config());
    for pool in 0..2 {
        for number in 0..4 {
            simulation.add_minion(build_report(pool, number));
        }
    }
    simulation.run_until(ORDERED_MS);
    let vms: Vec<VmId> = simulation.cloud.vms.keys().cloned().collect();
    for (wave, vms) in (1..).zip(vms.chunks(2)) {
        simulation.order_wave(wave, vms.to_vec(), 1);
        simulation.run_until(simulation.now + 500);
    }
    simulation.run_until(ORDERED_MS + DURATION_MS);
    let is_complete =
        |wave: &u64| simulation.store.wave_statuses.contains(&(*wave, WavePhase::Complete));
    let complete: Vec<u64> = (1..=4).filter(is_complete).collect();
    assert_eq!(complete, [1, 2, 3, 4]);
    assert_eq!(simulation.checker.violations, Vec::new());
}

/// Guards against a pool that drains VMs for a long wave while its jobs wait for capacity, and against
/// one that puts the wave off for too long.
#[test]
fn wave_with_time_to_spare_waits_for_the_end_of_a_burst() {
    let mut config = build_config();
    for team in &mut config.teams {
        team.limit.processor = Millicores(u64::MAX);
    }
    let mut simulation = Simulation::new(1, 1, config);
    for number in 0..12 {
        simulation.add_minion(build_report(0, number));
    }
    // The burst needs 500 cores for two seconds, and the pool has 192.
    let processor = Millicores(2_000);
    let batch = JobBatch { jobs: 80, tasks: 5, processor, first_delay: 4_500, interval: 25 };
    submit_batch(&mut simulation, &batch);
    simulation.run_until(ORDERED_MS + 1_500);
    let vms: Vec<VmId> = simulation.cloud.vms.keys().take(6).cloned().collect();
    simulation.order_wave(1, vms.clone(), 6);
    let count_begun = |simulation: &Simulation| {
        vms.iter().filter(|vm| simulation.cloud.has_begun_maintenance(1, vm)).count()
    };
    simulation.run_until(ORDERED_MS + 3_500);
    assert_eq!(count_begun(&simulation), 0, "VMs whose maintenance began during the burst");
    simulation.run_until(ORDERED_MS + 1_500 + DURATION_MS);
    assert_eq!(count_begun(&simulation), vms.len(), "VMs whose maintenance began in time");
    assert_eq!(simulation.checker.violations, Vec::new());
}

/// Builds an idle pool of four VMs, to which a VM with the label "b" is added at `joins_at`.
fn build_joined_simulation(joins_at: u64) -> (Simulation, VmId) {
    let mut simulation = Simulation::new(1, 3, build_config());
    for number in 1..5 {
        simulation.add_minion(build_report(0, number));
    }
    simulation.run_until(joins_at);
    // The pool drains its idle VMs in the order of their minions' names.
    let mut joining = build_report(0, 0);
    joining.labels = vec!["b".into()];
    let vm = joining.vm.clone().expect("a VM");
    simulation.add_minion(joining);
    (simulation, vm)
}

/// Submits a job whose only task needs the label "b".
fn submit_labelled_job(simulation: &mut Simulation) -> JobId {
    let mut step = StepSpec { tasks: 1, estimate: Millis(500), ..StepSpec::default() };
    step.demand.processor = Millicores(1_000);
    step.label = Some("b".into());
    let spec = JobSpec { payload: "text".into(), steps: vec![step], timetable: None };
    let team = "team-0".parse().expect("valid name");
    let job: JobId = "5c0e7a21d94b36f8".parse().expect("valid name");
    let planned = PlannedJob { team, spec, queue: 0, cancel_after: None };
    simulation.plan_job(0, job.clone(), planned);
    job
}

/// Guards against a VM that gets no task any more, because its drain was left out of the wave's list
/// of drains while its minion still counted as being drained.
#[test]
fn vm_that_is_done_without_maintenance_gets_tasks_again() {
    let (mut simulation, joined_vm) = build_joined_simulation(ORDERED_MS);
    simulation.run_until(ORDERED_MS + 2_000);
    // The cloud refuses no order, but carries none out either.
    simulation.faults.is_cloud_down = true;
    simulation.order_wave(1, vec![joined_vm.clone(), "vm-01".parse().expect("valid name")], 1);
    simulation.run_until(simulation.now + 30);
    let record = format!(r#"{{"vms":{{"{joined_vm}":"done"}}}}"#).into_bytes();
    let key = StoreKey::Own(OwnKey::Wave(1));
    simulation.store.put(key, ItemValue::Own(record.into()), None);
    let job = submit_labelled_job(&mut simulation);
    simulation.run_until(simulation.now + 6_000);
    assert_eq!(simulation.checker.jobs[&job].phase, Some(JobPhase::Complete));
}

/// Guards against a wave that is said to be complete although a VM of it, which joined after the VM list
/// had been read, has not begun its maintenance.
#[rstest]
fn wave_has_the_vm_that_joined_shortly_before(
    #[values(0, 500, 1_000, 1_500, 2_000, 2_500)] list_phase: u64,
) {
    let (mut simulation, joined_vm) = build_joined_simulation(ORDERED_MS + list_phase);
    simulation.run_until(simulation.now + 500);
    let vms = vec![joined_vm, "vm-01".parse().expect("valid name")];
    simulation.order_wave(1, vms.clone(), 1);
    let is_complete = |simulation: &Simulation| {
        simulation.store.wave_statuses.contains(&(1, WavePhase::Complete))
    };
    let limit = simulation.now + DURATION_MS;
    while !is_complete(&simulation) && simulation.now < limit {
        simulation.run_until(simulation.now + 50);
    }
    let begun = vms.iter().map(|vm| simulation.cloud.has_begun_maintenance(1, vm));
    assert_eq!((is_complete(&simulation), begun.collect()), (true, vec![true, true]));
    let job = submit_labelled_job(&mut simulation);
    simulation.run_until(simulation.now + 6_000);
    assert_eq!(simulation.checker.jobs[&job].phase, Some(JobPhase::Complete));
    assert_eq!(simulation.checker.violations, Vec::new());
}

/// Guards against a wave that is said to be complete without a VM that the list lacked for a while.
#[test]
fn wave_has_the_vm_that_came_back() {
    let (mut simulation, away_vm) = build_joined_simulation(ORDERED_MS);
    simulation.run_until(ORDERED_MS + 4_000);
    let vms: Vec<VmId> = simulation.cloud.vms.keys().take(3).cloned().collect();
    let away = simulation.cloud.vms.remove(&away_vm).expect("a VM");
    simulation.order_wave(1, vms.clone(), 1);
    simulation.run_until(simulation.now + 1_500);
    simulation.cloud.vms.insert(away_vm, away);
    simulation.run_until(simulation.now + DURATION_MS);
    assert_eq!(simulation.store.wave_statuses.last(), Some(&(1, WavePhase::Complete)));
    let begun = vms.iter().filter(|vm| simulation.cloud.has_begun_maintenance(1, vm)).count();
    assert_eq!(begun, vms.len(), "VMs whose maintenance began");
}

/// Guards against a wave that never ends because one of its VMs is gone.
#[test]
fn wave_ends_without_the_vm_that_is_gone() {
    let (mut simulation, gone_vm) = build_joined_simulation(ORDERED_MS);
    simulation.run_until(ORDERED_MS + 4_000);
    let vms: Vec<VmId> = simulation.cloud.vms.keys().take(3).cloned().collect();
    let gone = simulation.cloud.vms.remove(&gone_vm).expect("a VM");
    simulation.crash_minion(&gone.minion.expect("a minion"));
    simulation.order_wave(1, vms.clone(), 1);
    simulation.run_until(simulation.now + DURATION_MS);
    assert_eq!(simulation.store.wave_statuses.last(), Some(&(1, WavePhase::Complete)));
    let begun = vms.iter().filter(|vm| simulation.cloud.has_begun_maintenance(1, vm)).count();
    assert_eq!(begun, vms.len() - 1, "VMs whose maintenance began");
}
