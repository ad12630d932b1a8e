//! The fault matrix: every fault at every step of every protocol.
//!
//! Each cell is a run in which the fault strikes when a daemon is about to take
//! the step for the second time after the start. The table of verdicts is a
//! committed snapshot; "-" means that the step was not taken.

use crate::simulation::scenario::{Action, Scenario, Step};
use crate::simulation::{Fault, Strike, World};
use coordination::ProtocolStep;

const LENGTH_MS: u64 = 30_000;
const SEED: u64 = 3;

/// A run in which every protocol has work to do.
fn busy_scenario() -> Scenario {
    let steps = [
        (4_100, Action::Limit { team: 0, limit: 3 }),
        (4_500, Action::Reboot { vm: 1 }),
        (5_000, Action::CentreOut { centre: 2 }),
        (6_000, Action::WithdrawKey { team: 1 }),
        (7_000, Action::CutLink { from: 0, to: 1, span: 1_200 }),
        (7_200, Action::Limit { team: 2, limit: 7 }),
        (9_000, Action::CentreBack { centre: 2 }),
        (10_000, Action::Move { vm: 2, pool: 1 }),
        (11_000, Action::GiveKey { team: 1 }),
        (12_000, Action::Stop { daemon: 4 }),
        (13_000, Action::Limit { team: 0, limit: 6 }),
        (14_000, Action::Crash { daemon: 3, back_after: 2_000 }),
        (18_000, Action::CentreOut { centre: 0 }),
        (20_000, Action::Limit { team: 1, limit: 2 }),
        (24_000, Action::CentreBack { centre: 0 }),
    ];
    let steps = steps.map(|(at, action)| Step { at, action });
    Scenario { length: LENGTH_MS, steps: steps.into() }
}

fn cell(step: ProtocolStep, fault: Fault, failures: &mut Vec<String>) -> &'static str {
    let strike = Strike { step, fault, after: 1, struck: false };
    let world = World::run_struck(SEED, &busy_scenario(), Some(strike));
    let struck = world.strike.as_ref().is_some_and(|strike| strike.struck);
    for failure in world.checker.failures() {
        failures.push(format!("{fault:?} at {step:?}: {failure}"));
    }
    match (world.checker.has_failed(), struck) {
        (true, _) => "BROKEN",
        (false, true) => "holds",
        (false, false) => "-",
    }
}

#[test]
fn every_fault_at_every_step() {
    let mut failures = Vec::new();
    let mut table = String::from("step");
    for fault in Fault::ALL {
        table += &format!(" | {fault:?}");
    }
    for step in ProtocolStep::ALL {
        table += &format!("\n{step:?}");
        for fault in Fault::ALL {
            table += &format!(" | {}", cell(*step, *fault, &mut failures));
        }
    }
    assert_eq!(failures, Vec::<String>::new(), "{table}");
    insta::assert_snapshot!(table);
}
