//! Evidence about one VM, and the last runs of each step on all VMs.

use std::collections::{BTreeMap, VecDeque};

use state::{Millis, Moment, VmId};

use super::median;

/// Number of the newest durations of a VM that are kept.
const MAX_SPEEDS: usize = 7;
/// Number of the newest outcomes of a VM that are kept.
const MAX_OUTCOMES: usize = 24;
/// Number of durations from which a VM's speed is known.
const MIN_SPEEDS: usize = 4;
/// Number of outcomes from which a VM's failures are known.
const MIN_OUTCOMES: usize = 3;
/// Part of a failure that must be the VM's fault for the failure to belong to a row of them, in
/// thousandths: less than for a task of which nothing else is known.
const MIN_STREAK_PERMILLE: u64 = 400;
/// Number of successive good outcomes, or normal durations, that outweigh earlier evidence.
const RECOVERY_COUNT: usize = 3;
/// Age from which evidence no longer counts.
const RETENTION: Millis = Millis(120_000);
/// Number of steps whose last runs are kept.
const MAX_STEPS: usize = 512;
/// Number of the last runs of a step that are kept.
const MAX_STEP_RUNS: usize = 8;
/// Number of a step's runs on other VMs from which these say what is normal.
const MIN_STEP_PEERS: usize = 2;
/// Units of a logarithm for each doubling.
const UNITS_PER_DOUBLING: f64 = 256.0;
/// Ratio up to which a duration counts as normal: 160 %, as a logarithm.
const NORMAL_SPEED: i32 = 174;

/// Identifies a step of a job, whose tasks are alike.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepKey(pub u64);

fn log_of(time: Millis) -> i32 {
    ((time.0.max(1) as f64).log2() * UNITS_PER_DOUBLING).round() as i32
}

/// Converts a logarithm of a ratio to percent.
pub(super) fn percent_of_log(log: i32) -> u64 {
    ((f64::from(log) / UNITS_PER_DOUBLING).exp2() * 100.0).round() as u64
}

/// Duration of a run in relation to what is normal.
#[derive(Debug, Clone, Copy)]
struct SpeedSample {
    /// Logarithm of the ratio.
    log_ratio: i32,
    step: StepKey,
    at: Moment,
}

/// Outcome of a run or an order: 0 if it was carried out, else how far the VM is at fault, in
/// thousandths.
#[derive(Debug, Clone, Copy)]
struct Outcome {
    failure_permille: u64,
    at: Moment,
}

/// Failures among the last outcomes of a VM.
#[derive(Debug, Clone, Copy)]
pub(super) struct FailureSummary {
    pub(super) sum_permille: u64,
    /// Mean of the outcomes.
    pub(super) permille: u64,
    pub(super) outcomes: usize,
    /// Number of the newest outcomes that all are failures.
    pub(super) streak: usize,
}

/// Newest evidence about a VM.
#[derive(Debug, Clone, Default)]
pub(super) struct VmEvidence {
    speeds: VecDeque<SpeedSample>,
    outcomes: VecDeque<Outcome>,
}

impl VmEvidence {
    /// Adds the duration of a run, compared with the median `peers` of the same step's runs elsewhere
    /// or else with the expected time. The expected times of one step share an error, so only one run of
    /// each step is compared with them.
    pub(super) fn add_speed(
        &mut self,
        step: StepKey,
        measured: Millis,
        peers: Option<Millis>,
        expected: Millis,
        at: Moment,
    ) {
        let is_step_known = self.speeds.iter().any(|sample| sample.step == step);
        if peers.is_none() && (is_step_known || expected.0 == 0) {
            return;
        }
        let log_ratio = log_of(measured) - log_of(peers.unwrap_or(expected));
        self.speeds.push_back(SpeedSample { log_ratio, step, at });
        if self.speeds.len() > MAX_SPEEDS {
            self.speeds.pop_front();
        }
    }

    /// Adds an outcome.
    pub(super) fn add_outcome(&mut self, failure_permille: u64, at: Moment) {
        self.outcomes.push_back(Outcome { failure_permille, at });
        if self.outcomes.len() > MAX_OUTCOMES {
            self.outcomes.pop_front();
        }
    }

    /// Forgets earlier outcomes if the newest ones are all good, on a VM that gets probes only.
    pub(super) fn forgive_failures(&mut self) {
        let newest = self.outcomes.iter().rev().take(RECOVERY_COUNT);
        if newest.filter(|outcome| outcome.failure_permille == 0).count() == RECOVERY_COUNT {
            let outdated = self.outcomes.len() - RECOVERY_COUNT;
            self.outcomes.drain(..outdated);
        }
    }

    pub(super) fn speed_count(&self) -> usize {
        self.speeds.len()
    }

    /// Returns the median logarithm of the ratios; `None` while too few are known.
    pub(super) fn median_speed(&self, now: Moment) -> Option<i32> {
        let recent = self.speeds.iter().filter(|sample| now - sample.at < RETENTION);
        let mut ratios: Vec<i32> = recent.map(|sample| sample.log_ratio).collect();
        if ratios.len() < MIN_SPEEDS {
            return None;
        }
        let newest = ratios.len() - RECOVERY_COUNT;
        if ratios[newest..].iter().all(|log_ratio| *log_ratio <= NORMAL_SPEED) {
            ratios.drain(..newest);
        }
        Some(median(&mut ratios))
    }

    /// Summarises the outcomes; `None` while too few are known.
    pub(super) fn failures(&self, now: Moment) -> Option<FailureSummary> {
        let recent = self.outcomes.iter().filter(|outcome| now - outcome.at < RETENTION);
        let recent: Vec<u64> = recent.map(|outcome| outcome.failure_permille).collect();
        if recent.len() < MIN_OUTCOMES {
            return None;
        }
        let sum_permille: u64 = recent.iter().sum();
        let outcomes = recent.len();
        let is_failure = |failure: &&u64| **failure >= MIN_STREAK_PERMILLE;
        let streak = recent.iter().rev().take_while(is_failure).count();
        let permille = sum_permille / outcomes as u64;
        Some(FailureSummary { sum_permille, permille, outcomes, streak })
    }
}

/// One of the last runs of a step.
#[derive(Debug, Clone)]
struct StepRun {
    vm: VmId,
    measured: Millis,
    has_failed: bool,
}

/// Last runs of the steps that ran last.
#[derive(Debug, Clone, Default)]
pub(super) struct StepHistory {
    steps: BTreeMap<StepKey, VecDeque<StepRun>>,
    /// Known steps, the one that was first known first.
    order: VecDeque<StepKey>,
}

impl StepHistory {
    /// Adds a run; `measured` is 0 if its duration is not known.
    pub(super) fn record(&mut self, step: StepKey, vm: &VmId, measured: Millis, has_failed: bool) {
        if !self.steps.contains_key(&step) {
            self.order.push_back(step);
            if self.order.len() > MAX_STEPS
                && let Some(oldest) = self.order.pop_front()
            {
                self.steps.remove(&oldest);
            }
        }
        let runs = self.steps.entry(step).or_default();
        runs.push_back(StepRun { vm: vm.clone(), measured, has_failed });
        if runs.len() > MAX_STEP_RUNS {
            runs.pop_front();
        }
    }

    fn runs_elsewhere(&self, step: StepKey, vm: &VmId) -> impl Iterator<Item = &StepRun> {
        let runs = self.steps.get(&step).into_iter().flatten();
        runs.filter(move |run| run.vm != *vm)
    }

    /// Returns the median duration of a step's runs on other VMs, if there are enough.
    pub(super) fn median_elsewhere(&self, step: StepKey, vm: &VmId) -> Option<Millis> {
        let done = self.runs_elsewhere(step, vm).filter(|run| run.measured.0 > 0);
        let mut durations: Vec<Millis> = done.map(|run| run.measured).collect();
        (durations.len() >= MIN_STEP_PEERS).then(|| median(&mut durations))
    }

    /// Estimates how often a step's runs succeed on other VMs, in thousandths: a half while nothing is
    /// known of them.
    pub(super) fn success_elsewhere_permille(&self, step: StepKey, vm: &VmId) -> u64 {
        let (mut done, mut total) = (0, 0);
        for run in self.runs_elsewhere(step, vm) {
            total += 1;
            done += u64::from(!run.has_failed);
        }
        (done + 1) * 1_000 / (total + 2)
    }
}
