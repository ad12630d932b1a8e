//! Tests of saving finished runs while many jobs change.

use state::Millicores;

use crate::seeded_runs::{JobBatch, build_config, build_report, submit_batch};
use crate::simulation::Simulation;

/// Time within which a finished run must be saved and acknowledged, in milliseconds.
const ACKNOWLEDGEMENT_TARGET_MS: u64 = 6_000;

/// Guards against finished runs that stay unsaved as long as more jobs change than one commit
/// holds.
#[test]
fn finished_runs_are_acknowledged_while_more_jobs_change_than_a_commit_holds() {
    let mut simulation = Simulation::new(7, 1, build_config());
    for number in 0..8 {
        simulation.add_minion(build_report(0, number));
    }
    simulation.faults.commit_delay_ms = 400;
    let processor = Millicores(100);
    submit_batch(
        &mut simulation,
        &JobBatch { jobs: 160, tasks: 4, processor, first_delay: 2_000, interval: 125 },
    );
    let mut finished_by_second = Vec::new();
    for second in 3..24 {
        simulation.run_until(second * 1_000);
        let fakes = simulation.minions.values();
        finished_by_second.push(fakes.map(|fake| fake.finished_count()).collect::<Vec<u64>>());
        let target_seconds = (ACKNOWLEDGEMENT_TARGET_MS / 1_000) as usize;
        let Some(index) = finished_by_second.len().checked_sub(1 + target_seconds) else {
            continue;
        };
        let due_ends = &finished_by_second[index];
        for (fake, due_end) in simulation.minions.values().zip(due_ends) {
            assert!(
                fake.saved_end >= *due_end,
                "at {second} s, {} has saved {} of {due_end} runs that finished 6 s earlier",
                fake.report.minion,
                fake.saved_end
            );
        }
    }
    assert!(finished_by_second.last().is_some_and(|counts| counts.iter().sum::<u64>() > 500));
    assert_eq!(simulation.checker.violations, Vec::new());
}
