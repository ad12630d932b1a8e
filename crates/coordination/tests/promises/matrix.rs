//! The fault matrix: every fault kind at every protocol step.
//!
//! The test guards against invariants that a daemon violates when a fault
//! interrupts a protocol at one particular step. Each cell of the matrix is one
//! simulation run. Injection starts once the system has come up; the fault is
//! injected when any daemon is about to take the step for the second time from
//! then on. The table of results is a committed snapshot: "holds" means that
//! no invariant was violated, "BROKEN" that at least one was, and "-" that the
//! fault was never injected because the step was not taken twice.

use crate::simulation::scenario::{Scenario, ScenarioAction, ScenarioStep};
use crate::simulation::{FaultKind, InjectedFault, Simulation};
use coordination::ProtocolStep;

const DURATION_MS: u64 = 30_000;
const SEED: u64 = 3;

/// Returns a scenario whose actions exercise every protocol.
fn busy_scenario() -> Scenario {
    let steps = [
        (4_100, ScenarioAction::Limit { team: 0, limit: 3 }),
        (4_500, ScenarioAction::Reboot { vm: 1 }),
        (5_000, ScenarioAction::CentreOut { data_centre: 2 }),
        (6_000, ScenarioAction::WithdrawKey { team: 1 }),
        (7_000, ScenarioAction::CutLink { from: 0, to: 1, duration_ms: 1_200 }),
        (7_200, ScenarioAction::Limit { team: 2, limit: 7 }),
        (9_000, ScenarioAction::CentreBack { data_centre: 2 }),
        (10_000, ScenarioAction::Move { vm: 2, pool: 1 }),
        (11_000, ScenarioAction::GiveKey { team: 1 }),
        (12_000, ScenarioAction::Stop { daemon: 4 }),
        (13_000, ScenarioAction::Limit { team: 0, limit: 6 }),
        (14_000, ScenarioAction::Crash { daemon: 3, restart_delay_ms: 2_000 }),
        (18_000, ScenarioAction::CentreOut { data_centre: 0 }),
        (20_000, ScenarioAction::Limit { team: 1, limit: 2 }),
        (24_000, ScenarioAction::CentreBack { data_centre: 0 }),
    ];
    let steps = steps.map(|(at_ms, action)| ScenarioStep { at_ms, action });
    Scenario { duration_ms: DURATION_MS, steps: steps.into() }
}

/// Runs the scenario with `fault` at `step`, appends the violations that the checker
/// found, and returns the text of the cell.
fn run_cell(step: ProtocolStep, fault: FaultKind, violations: &mut Vec<String>) -> &'static str {
    let injected_fault = InjectedFault { step, fault, remaining_skips: 1, is_injected: false };
    let simulation = Simulation::run_with_fault(SEED, &busy_scenario(), Some(injected_fault));
    let is_injected =
        simulation.injected_fault.as_ref().is_some_and(|injected_fault| injected_fault.is_injected);
    for violation in simulation.checker.violations() {
        violations.push(format!("{fault:?} at {step:?}: {violation}"));
    }
    match (simulation.checker.has_violations(), is_injected) {
        (true, _) => "BROKEN",
        (false, true) => "holds",
        (false, false) => "-",
    }
}

#[test]
fn every_fault_at_every_step() {
    let mut violations = Vec::new();
    let mut table = String::from("step");
    for fault in FaultKind::ALL {
        table += &format!(" | {fault:?}");
    }
    for step in ProtocolStep::ALL {
        table += &format!("\n{step:?}");
        for fault in FaultKind::ALL {
            table += &format!(" | {}", run_cell(*step, *fault, &mut violations));
        }
    }
    assert_eq!(violations, Vec::<String>::new(), "{table}");
    insta::assert_snapshot!(table);
}
