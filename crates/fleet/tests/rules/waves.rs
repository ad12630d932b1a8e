//! Maintenance waves that reach most VMs of a large pool while it is busy.

use fleet::model::WavePhase;
use state::{Millicores, VmId};

use crate::seeded_runs::{JobBatch, build_config, build_report, submit_batch};
use crate::simulation::Simulation;

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
