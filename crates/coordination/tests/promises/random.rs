//! Long randomised runs of the real decision code, from fixed seeds.
//!
//! `scripts/trials.sh COUNT SEED` runs more of them. A failure prints the seed
//! and the smallest list of steps that still fails.

use std::cell::RefCell;
use std::collections::BTreeMap;

use crate::simulation::World;
use crate::simulation::scenario::{Scenario, scenarios};
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};

const LENGTH_MS: u64 = 60_000;
const MOST_STEPS: usize = 40;
const SEEDS: u64 = 40;

type Totals = RefCell<BTreeMap<String, u64>>;

fn number(name: &str, fallback: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(fallback)
}

fn seed_bytes(seed: u64) -> [u8; 32] {
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    bytes
}

fn try_one(seed: u64, scenario: &Scenario, totals: &Totals) -> Result<(), String> {
    let world = World::run(seed, scenario);
    let mut totals = totals.borrow_mut();
    *totals.entry("steps of the state machine".into()).or_default() += world.steps;
    *totals.entry("calls to the platform".into()).or_default() += world.store.calls;
    for (name, count) in &world.checker.counts {
        *totals.entry(name.clone()).or_default() += count;
    }
    for (name, count) in &world.checker.heard {
        *totals.entry(format!("heard {name}")).or_default() += count;
    }
    match world.checker.failures() {
        [] => Ok(()),
        failures => Err(failures.join("\n")),
    }
}

#[test]
fn what_must_always_hold_holds_in_random_runs() {
    let first = number("SEED", 1);
    let count = number("TRIALS", SEEDS);
    let totals = Totals::default();
    let mut failed = Vec::new();
    for seed in first..first + count {
        let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed_bytes(seed));
        let config = Config {
            cases: 1,
            failure_persistence: None,
            max_shrink_iters: number("SHRINK", 200) as u32,
            ..Config::default()
        };
        let mut runner = TestRunner::new_with_rng(config, rng);
        let outcome = runner.run(&scenarios(LENGTH_MS, MOST_STEPS), |scenario| {
            try_one(seed, &scenario, &totals).map_err(TestCaseError::fail)?;
            Ok(())
        });
        if let Err(error) = outcome {
            eprintln!("seed {seed}: {error}");
            failed.push(seed);
            if std::env::var("FIRST").is_ok() {
                break;
            }
        }
    }
    for (name, total) in totals.borrow().iter() {
        println!("{name}: {total}");
    }
    assert!(failed.is_empty(), "seeds that failed: {failed:?}");
}

#[test]
fn without_faults_most_requests_are_done() {
    let world = World::run(7, &Scenario { length: LENGTH_MS, steps: Vec::new() });
    assert_eq!(world.checker.failures(), &[] as &[String]);
    insta::assert_debug_snapshot!(world.checker.heard);
}
