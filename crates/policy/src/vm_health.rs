//! Judges each VM of a pool by its own runs against those of its peers.
//!
//! [`VmHealth`] collects evidence for each VM: how long its runs took in relation to the same step's runs
//! on other VMs, or to the expected time, and how many of its runs failed or were not carried out. A VM
//! that is much slower than its peers, or fails much more often, gets a lower weight: the part of its
//! capacity that is used. A few tasks are started on such a VM as probes, and successful ones restore its
//! weight. At most a third of the VMs are held back at one time, the worst first, since evidence against
//! most of a pool is evidence against something else.
//!
//! [`RackWatch`] recognises that the VMs of a rack have stopped answering at about the same time.
//! `docs/design/vm-health.md` describes the decisions.

mod evidence;
mod rack;

use std::collections::BTreeMap;

use state::{Millis, Moment, VmId};

pub use evidence::StepKey;
use evidence::{StepHistory, VmEvidence};
pub use rack::{RackChange, RackWatch};

/// Factor by which a VM must be slower than its peers to be held back, in percent.
const SLOW_PERCENT: u64 = 250;
/// Part by which a VM's failures must exceed those of its peers, in thousandths of its outcomes.
const FAILING_PERMILLE: u64 = 300;
/// Number of failures in a row from which a VM is held back whatever its earlier outcomes are, unless
/// failures are usual in the pool.
const FAILING_STREAK: usize = 5;
/// Number of failures from which a VM is held back, in thousandths; one that may be the fault of its task
/// counts less than 1,000.
const MIN_FAILURES_PERMILLE: u64 = 2_500;
/// Number of VMs with evidence from which they are compared.
const MIN_PEERS: usize = 3;
/// Part of the pool's VMs that may be held back at one time: one in three.
const HELD_BACK_DIVISOR: usize = 3;
/// Lower bound of the weight of a VM that is slow and does not fail, in percent.
const MIN_SLOW_WEIGHT: u8 = 10;
/// Time between a probe and the next one, while probes succeed.
const MIN_PROBE_INTERVAL: Millis = Millis(1_000);
/// Time between probes after several that failed.
const MAX_PROBE_INTERVAL: Millis = Millis(16_000);

/// Weight of a VM without evidence against it, in percent.
pub const FULL_WEIGHT: u8 = 100;

/// Evidence that determines the weight of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VmJudgement {
    /// Part of the VM's capacity that may be used, in percent; 0 if only probes may start.
    pub weight: u8,
    /// Median time of the VM's runs in percent of that of its peers; 100 while too little is known.
    pub slowness_percent: u64,
    /// Failures among the VM's last outcomes, in thousandths.
    pub failed_permille: u64,
    /// Number of outcomes that the evidence consists of.
    pub outcomes: usize,
}

impl VmJudgement {
    const HEALTHY: Self =
        Self { weight: FULL_WEIGHT, slowness_percent: 100, failed_permille: 0, outcomes: 0 };

    /// Whether the VM gets less work than others.
    pub fn is_held_back(&self) -> bool {
        self.weight < FULL_WEIGHT
    }

    /// Whether the VM is held back because its runs take longer.
    pub fn is_slow(&self) -> bool {
        self.is_held_back() && self.slowness_percent >= SLOW_PERCENT
    }
}

/// Evidence and judgement of one VM.
#[derive(Debug, Clone, Default)]
struct VmState {
    evidence: VmEvidence,
    judgement: Option<VmJudgement>,
    last_probe_at: Option<Moment>,
    probe_interval: Millis,
}

/// Evidence for and against the VMs of a pool.
#[derive(Debug, Clone, Default)]
pub struct VmHealth {
    vms: BTreeMap<VmId, VmState>,
    steps: StepHistory,
}

impl VmHealth {
    /// Records a run that ended `done`. `expected` is what such a run takes by earlier ones; `measured`
    /// is `None` if its duration is not known.
    pub fn record_done(
        &mut self,
        vm: &VmId,
        step: StepKey,
        measured: Option<Millis>,
        expected: Millis,
        at: Moment,
    ) {
        let peers = measured.and_then(|_| self.steps.median_elsewhere(step, vm));
        self.steps.record(step, vm, measured.unwrap_or_default(), false);
        let state = self.state_mut(vm);
        state.probe_interval = MIN_PROBE_INTERVAL;
        if let Some(measured) = measured {
            state.evidence.add_speed(step, measured, peers, expected, at);
        }
        state.evidence.add_outcome(0, at);
        if state.judgement.is_some_and(|judgement| judgement.weight == 0) {
            state.evidence.forgive_failures();
        }
    }

    /// Records a failed run. It counts as far as the step's runs do not fail on other VMs.
    pub fn record_failed(&mut self, vm: &VmId, step: StepKey, at: Moment) {
        let weight = self.steps.success_elsewhere_permille(step, vm);
        self.steps.record(step, vm, Millis(0), true);
        self.add_failure(vm, weight, at);
    }

    fn add_failure(&mut self, vm: &VmId, weight_permille: u64, at: Moment) {
        let state = self.state_mut(vm);
        state.evidence.add_outcome(weight_permille, at);
        let is_held_back = state.judgement.is_some_and(|judgement| judgement.is_held_back());
        if is_held_back {
            let doubled = Millis(state.probe_interval.0 * 2);
            state.probe_interval = doubled.clamp(MIN_PROBE_INTERVAL, MAX_PROBE_INTERVAL);
        }
    }

    fn state_mut(&mut self, vm: &VmId) -> &mut VmState {
        if !self.vms.contains_key(vm) {
            self.vms.insert(vm.clone(), VmState::default());
        }
        self.vms.get_mut(vm).expect("the VM was inserted")
    }

    /// Returns the judgement of a VM.
    pub fn judgement(&self, vm: &VmId) -> VmJudgement {
        let known = self.vms.get(vm).and_then(|state| state.judgement);
        known.unwrap_or(VmJudgement::HEALTHY)
    }

    /// Whether a task may be started as a probe on a VM that is held back.
    pub fn may_probe(&self, vm: &VmId, now: Moment) -> bool {
        self.vms.get(vm).is_some_and(|state| {
            let interval = state.probe_interval.max(MIN_PROBE_INTERVAL);
            state.last_probe_at.is_none_or(|at| now >= at + interval)
        })
    }

    /// Records that a probe has been started.
    pub fn record_probe(&mut self, vm: &VmId, now: Moment) {
        self.state_mut(vm).last_probe_at = Some(now);
    }

    /// Judges all VMs of the pool by the evidence, and returns those whose judgement has changed. VMs that
    /// are not `present` are forgotten.
    pub fn judge(&mut self, present: &[VmId], now: Moment) -> Vec<(VmId, VmJudgement)> {
        self.vms.retain(|vm, _| present.contains(vm));
        let peers = self.compare_peers(now);
        let mut held_back: Vec<(VmId, VmJudgement)> = self
            .vms
            .iter()
            .map(|(vm, state)| (vm.clone(), peers.judge(&state.evidence, now)))
            .filter(|(_, judgement)| judgement.is_held_back())
            .collect();
        // The worst first: those that fail, then the slowest.
        held_back.sort_by_key(|(_, judgement)| {
            (
                judgement.weight,
                u64::MAX - judgement.failed_permille,
                u64::MAX - judgement.slowness_percent,
            )
        });
        held_back.truncate(present.len() / HELD_BACK_DIVISOR);
        let held_back: BTreeMap<VmId, VmJudgement> = held_back.into_iter().collect();
        let mut changed = Vec::new();
        for (vm, state) in &mut self.vms {
            let next = held_back.get(vm).copied().unwrap_or(VmJudgement::HEALTHY);
            let previous = state.judgement.unwrap_or(VmJudgement::HEALTHY);
            state.judgement = Some(next);
            if previous.is_held_back() != next.is_held_back()
                || (previous.weight == 0) != (next.weight == 0)
            {
                changed.push((vm.clone(), next));
            }
        }
        changed
    }

    /// Summarises the evidence of all VMs, which each of them is compared with.
    fn compare_peers(&self, now: Moment) -> PeerSummary {
        let evidence = || self.vms.values().map(|state| &state.evidence);
        let mut speeds: Vec<i32> = evidence().filter_map(|one| one.median_speed(now)).collect();
        let mut failures: Vec<u64> =
            evidence().filter_map(|one| Some(one.failures(now)?.permille)).collect();
        PeerSummary {
            speed: (speeds.len() >= MIN_PEERS).then(|| median(&mut speeds)),
            failed_permille: (failures.len() >= MIN_PEERS).then(|| lower_quartile(&mut failures)),
        }
    }
}

/// What is usual among the VMs of a pool; `None` while too few VMs have evidence.
#[derive(Debug, Clone, Copy)]
struct PeerSummary {
    /// Median speed, as a logarithm.
    speed: Option<i32>,
    /// Failures of the VM that fails more often than a quarter of them: a pool of which half fails
    /// everything still has healthy VMs to compare with.
    failed_permille: Option<u64>,
}

impl PeerSummary {
    fn judge(&self, evidence: &VmEvidence, now: Moment) -> VmJudgement {
        let mut judgement = VmJudgement::HEALTHY;
        if let (Some(own), Some(usual)) = (evidence.median_speed(now), self.speed) {
            judgement.slowness_percent = evidence::percent_of_log(own - usual);
            judgement.outcomes = evidence.speed_count();
            if judgement.slowness_percent >= SLOW_PERCENT {
                let weight = 10_000 / judgement.slowness_percent;
                judgement.weight = (weight as u8).max(MIN_SLOW_WEIGHT);
            }
        }
        if let (Some(own), Some(usual)) = (evidence.failures(now), self.failed_permille) {
            judgement.failed_permille = own.permille;
            judgement.outcomes = judgement.outcomes.max(own.outcomes);
            let fails_often = own.sum_permille >= MIN_FAILURES_PERMILLE
                && own.permille >= usual + FAILING_PERMILLE;
            let fails_now = own.streak >= FAILING_STREAK && usual < FAILING_PERMILLE;
            if fails_often || fails_now {
                judgement.weight = 0;
            }
        }
        judgement
    }
}

fn lower_quartile<T: Ord + Copy>(values: &mut [T]) -> T {
    let position = values.len() / 4;
    *values.select_nth_unstable(position).1
}

/// Returns the median of values, of which there is at least one.
fn median<T: Ord + Copy>(values: &mut [T]) -> T {
    let middle = values.len() / 2;
    *values.select_nth_unstable(middle).1
}
