//! Random scenarios from fixed seeds against the production state machine.
//!
//! The tests guard against invariants that are violated only by a particular
//! sequence of operator actions and faults. Each seed determines the scenario
//! and all random choices of its simulation, so that a run can be repeated.
//! `scripts/trials.sh COUNT SEED` runs COUNT seeds from SEED on. A failure prints
//! the seed and the shortest failing list of steps that proptest found.
//!
//! Environment variables: `SEED` is the first seed, `TRIALS` the number of seeds,
//! `SHRINK` the maximum number of shrinking iterations; `FIRST` stops the test
//! at the first failing seed, and `TRACE` prints the decisions of the daemons.

use std::cell::RefCell;
use std::collections::BTreeMap;

use crate::simulation::Simulation;
use crate::simulation::scenario::{Scenario, scenario_strategy};
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};

const DURATION_MS: u64 = 60_000;
const MAX_STEPS: usize = 40;
const SEED_COUNT: u64 = 40;

/// Totals over all runs by counter name.
type CounterTotals = RefCell<BTreeMap<String, u64>>;

/// Returns the number in the environment variable `name`, or `fallback` if the
/// variable is unset or not a number.
fn parse_env_number(name: &str, fallback: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(fallback)
}

/// Widens a seed to the 32 bytes that ChaCha takes.
fn expand_seed(seed: u64) -> [u8; 32] {
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    bytes
}

/// Runs one scenario, adds its counters to `totals`, and returns the violations as
/// the error text.
fn run_scenario(seed: u64, scenario: &Scenario, totals: &CounterTotals) -> Result<(), String> {
    let simulation = Simulation::run(seed, scenario);
    let mut totals = totals.borrow_mut();
    *totals.entry("steps of the state machine".into()).or_default() += simulation.core_steps;
    *totals.entry("calls to the platform".into()).or_default() += simulation.platform.call_count;
    for (name, count) in &simulation.checker.counters {
        *totals.entry(name.clone()).or_default() += count;
    }
    for (name, count) in &simulation.checker.answer_counts {
        *totals.entry(format!("heard {name}")).or_default() += count;
    }
    match simulation.checker.violations() {
        [] => Ok(()),
        violations => Err(violations.join("\n")),
    }
}

#[test]
fn what_must_always_hold_holds_in_random_runs() {
    let first_seed = parse_env_number("SEED", 1);
    let seed_count = parse_env_number("TRIALS", SEED_COUNT);
    let totals = CounterTotals::default();
    let mut failed_seeds = Vec::new();
    for seed in first_seed..first_seed + seed_count {
        let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &expand_seed(seed));
        let config = Config {
            cases: 1,
            failure_persistence: None,
            max_shrink_iters: parse_env_number("SHRINK", 200) as u32,
            ..Config::default()
        };
        let mut runner = TestRunner::new_with_rng(config, rng);
        let outcome = runner.run(&scenario_strategy(DURATION_MS, MAX_STEPS), |scenario| {
            run_scenario(seed, &scenario, &totals).map_err(TestCaseError::fail)?;
            Ok(())
        });
        if let Err(error) = outcome {
            eprintln!("seed {seed}: {error}");
            failed_seeds.push(seed);
            if std::env::var("FIRST").is_ok() {
                break;
            }
        }
    }
    for (name, total) in totals.borrow().iter() {
        println!("{name}: {total}");
    }
    assert!(failed_seeds.is_empty(), "seeds that failed: {failed_seeds:?}");
}

#[test]
fn without_faults_most_requests_are_done() {
    let simulation = Simulation::run(7, &Scenario { duration_ms: DURATION_MS, steps: Vec::new() });
    assert_eq!(simulation.checker.violations(), &[] as &[String]);
    insta::assert_debug_snapshot!(simulation.checker.answer_counts);
}
