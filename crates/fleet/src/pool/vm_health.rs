//! The health of the pool's VMs: collects the evidence, and applies the judgements.
//!
//! The decisions are those of `policy::VmHealth` and `policy::RackWatch`. The owner passes them the ends of
//! runs and the answers of minions, and applies their judgements twice a second: a minion's weight limits
//! the capacity that placement uses, a rack that is dark gets no starts, and a run that takes much longer
//! than expected on a slow VM is stopped within a budget, so that its task starts elsewhere
//! (`docs/design/vm-health.md`).

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

use jobs::{RunNumber, TaskName};
use policy::{FULL_WEIGHT, RackWatch, StepKey, VmHealth, VmJudgement};
use state::{Millis, MinionId, Moment, VmId};

use super::minion::{OwnedMinion, RunPhase};
use super::{PoolCall, PoolOwner, StepContext};
use crate::event::{Measurement, VmHealthDecision};
use crate::io::{EndKind, MinionAnswer};

/// Interval between two judgements.
const JUDGEMENT_INTERVAL: Millis = Millis(500);
/// Interval between two judgements while runs fail or VMs are lost.
const MIN_JUDGEMENT_INTERVAL: Millis = Millis(50);
/// Minimum number of VMs that share a label for the label to count as a rack.
const MIN_RACK_VMS: usize = 2;
/// Part of a pool's VMs above which a shared label does not count as a rack: one in two.
const MAX_RACK_DIVISOR: usize = 2;
/// Time in relation to the expected one from which a run on a slow VM is a straggler, in percent.
const STRAGGLER_PERCENT: u64 = 200;
/// Remaining time in relation to the expected one from which a stop pays off, in percent: the task runs
/// for its whole time elsewhere, and starts anew.
const MIN_REMAINING_PERCENT: u64 = 150;
/// Number of runs that must end for each straggler that may be stopped.
const ENDS_PER_STOP: u64 = 20;
/// Maximum number of stops that are saved up.
const MAX_SAVED_STOPS: u64 = 8;
/// Number of tasks that are remembered as restarted; a task is restarted once.
const MAX_REMEMBERED_TASKS: usize = 256;

/// Evidence about the pool's VMs.
#[derive(Debug, Default)]
pub(super) struct VmHealthState {
    health: VmHealth,
    racks: RackWatch,
    judged_at: Moment,
    /// Earliest time of the next judgement.
    next_judgement_at: Moment,
    /// Number of runs that have ended since the budget was last used, bounded.
    saved_ends: u64,
    restarted: BTreeSet<TaskName>,
    /// Restarted tasks, oldest first.
    restarted_order: VecDeque<TaskName>,
}

impl VmHealthState {
    /// Advances the next judgement after a failure. A VM on which every run fails at once would fail many
    /// jobs until the regular one, and a rack that is being lost would get starts.
    fn judge_early(&mut self) {
        let early = self.judged_at + MIN_JUDGEMENT_INTERVAL;
        self.next_judgement_at = self.next_judgement_at.min(early);
    }

    /// Takes a stop from the budget, for a task that was not restarted before.
    fn take_stop(&mut self, task: &TaskName) -> bool {
        if self.saved_ends < ENDS_PER_STOP || !self.restarted.insert(task.clone()) {
            return false;
        }
        self.saved_ends -= ENDS_PER_STOP;
        self.restarted_order.push_back(task.clone());
        if self.restarted_order.len() > MAX_REMEMBERED_TASKS
            && let Some(oldest) = self.restarted_order.pop_front()
        {
            self.restarted.remove(&oldest);
        }
        true
    }
}

/// Returns the VM of a minion. On a platform that names no VMs, each minion counts as one.
fn vm_of(minion: &OwnedMinion) -> Option<VmId> {
    minion.report.vm.clone().or_else(|| minion.report.minion.as_str().parse().ok())
}

/// Returns the key of a task's step; a step of another job may have the same one by chance.
fn step_key(task: &TaskName) -> StepKey {
    let mut hasher = DefaultHasher::new();
    (&task.job, task.step).hash(&mut hasher);
    StepKey(hasher.finish())
}

impl PoolOwner {
    /// Notes whether a minion has answered an order.
    pub(super) fn note_contact(&mut self, now: Moment, call: &PoolCall, answer: &MinionAnswer) {
        let (PoolCall::Hold { minion, .. } | PoolCall::Start { minion, .. }) = call else { return };
        let Some(vm) = self.minions.get(minion).and_then(vm_of) else { return };
        let state = &mut self.vm_health;
        match answer {
            MinionAnswer::Unknown => {
                // A loss of contact says as much about the owner's link as about the VM, so it is no
                // evidence against the VM alone.
                if state.racks.record_unanswered(&vm, now) {
                    state.judge_early();
                }
            }
            // A refused start costs its task nothing: the task starts on another minion at once.
            _ => state.racks.record_answered(&vm, now),
        }
    }

    /// Notes the end of a run, before it is released.
    pub(super) fn note_run_end(
        &mut self,
        context: &StepContext,
        id: &MinionId,
        task: &TaskName,
        number: RunNumber,
        kind: EndKind,
    ) {
        let now = context.clock.now;
        let Some(minion) = self.minions.get(id) else { return };
        let Some(vm) = vm_of(minion) else { return };
        let Some(job) = self.jobs.get(&task.job) else { return };
        let Some(step) = job.spec.steps.get(usize::from(task.step)) else { return };
        if step.long_running {
            return;
        }
        let is_near =
            step.data_rack.as_ref().is_none_or(|rack| minion.report.labels.contains(rack));
        let expected = job.expected_run_time(usize::from(task.step));
        let measured = self.measured_time(id, task, number, now).filter(|_| is_near);
        let state = &mut self.vm_health;
        match kind {
            EndKind::Done => {
                let saved = state.saved_ends + 1;
                state.saved_ends = saved.min(ENDS_PER_STOP * MAX_SAVED_STOPS);
                state.health.record_done(&vm, step_key(task), measured, expected, now);
            }
            EndKind::Failed => {
                state.health.record_failed(&vm, step_key(task), now);
                state.judge_early();
            }
            EndKind::Stopped | EndKind::Lapsed | EndKind::Broken | EndKind::Alone => {}
        }
    }

    /// Judges the VMs and racks, and applies the judgements to the minions.
    pub(super) fn judge_vms(&mut self, context: &mut StepContext) {
        let now = context.clock.now;
        if !self.stage.is_loaded() || now < self.vm_health.next_judgement_at {
            return;
        }
        self.vm_health.judged_at = now;
        self.vm_health.next_judgement_at = now + JUDGEMENT_INTERVAL;
        self.work.add(self.minions.len());
        let listed = self.minions.values().filter(|minion| minion.is_listed);
        let present: Vec<VmId> = listed.filter_map(vm_of).collect();
        for (vm, judgement) in self.vm_health.health.judge(&present, now) {
            log_judgement(context, &vm, &judgement);
        }
        self.judge_racks(context);
        self.apply_judgements(context);
        self.stop_stragglers(context);
    }

    /// Lists the VMs of each rack. A label is the minion's kind or its rack; one that most minions share
    /// is a kind.
    fn list_racks(&self) -> BTreeMap<Box<str>, Vec<VmId>> {
        let mut racks: BTreeMap<Box<str>, Vec<VmId>> = BTreeMap::new();
        for minion in self.minions.values().filter(|minion| minion.is_listed) {
            let Some(vm) = vm_of(minion) else { continue };
            for label in &minion.report.labels {
                racks.entry(label.clone()).or_default().push(vm.clone());
            }
        }
        let max_vms = self.minions.len() / MAX_RACK_DIVISOR;
        racks.retain(|_, vms| (MIN_RACK_VMS..=max_vms).contains(&vms.len()));
        racks
    }

    fn judge_racks(&mut self, context: &mut StepContext) {
        let racks = self.list_racks();
        for change in self.vm_health.racks.update(&racks) {
            let inputs = format!("pool {}, {} of {} VMs lost", self.pool, change.lost, change.vms);
            let (outcome, decision) = if change.is_dark {
                ("stopped answering; starts are paused", VmHealthDecision::RackPaused)
            } else {
                ("answers again", VmHealthDecision::RackResumed)
            };
            context.out.log("rack", &change.rack, inputs, outcome);
            context.out.measure(Measurement::VmHealth(decision));
        }
    }

    /// Sets the weights of the minions, and allows the probes that are due.
    fn apply_judgements(&mut self, context: &mut StepContext) {
        let now = context.clock.now;
        let state = &mut self.vm_health;
        for minion in self.minions.values_mut() {
            let Some(vm) = vm_of(minion) else { continue };
            minion.weight = state.health.judgement(&vm).weight;
            minion.is_rack_dark =
                minion.report.labels.iter().any(|label| state.racks.is_dark(label));
            let may_start = minion.is_listed && minion.runs.is_empty() && !minion.is_unresponsive;
            if minion.is_held_back() && !minion.may_probe && may_start {
                if state.health.may_probe(&vm, now) {
                    state.health.record_probe(&vm, now);
                    minion.may_probe = true;
                    context.out.measure(Measurement::VmHealth(VmHealthDecision::Probe));
                }
            } else if !minion.is_held_back() {
                minion.may_probe = false;
            }
        }
    }

    /// Stops runs that take much longer than expected on VMs that are slow by the evidence.
    fn stop_stragglers(&mut self, context: &mut StepContext) {
        let now = context.clock.now;
        let mut stragglers: Vec<(MinionId, TaskName, RunNumber, String)> = Vec::new();
        for (id, minion) in &self.minions {
            let Some(vm) = vm_of(minion).filter(|_| minion.is_held_back()) else { continue };
            let judgement = self.vm_health.health.judgement(&vm);
            if !judgement.is_slow() {
                continue;
            }
            self.work.add(minion.runs.len());
            for ((task, number), run) in &minion.runs {
                let elapsed = now - run.confirmed_at;
                if run.phase == RunPhase::Running
                    && self.is_worth_restarting(task, elapsed, judgement.slowness_percent)
                {
                    let inputs = format!(
                        "run {number} on {id} for {elapsed}, VM takes {}% of its peers' time",
                        judgement.slowness_percent
                    );
                    stragglers.push((id.clone(), task.clone(), *number, inputs));
                }
            }
        }
        for (id, task, number, inputs) in stragglers {
            if context.is_ownership_valid && self.vm_health.take_stop(&task) {
                context.out.log("straggler", &task, inputs, "stopped, starts elsewhere");
                let decision = VmHealthDecision::StragglerStopped;
                context.out.measure(Measurement::VmHealth(decision));
                self.stop_run(context, &id, &task, number);
            }
        }
    }

    /// Whether a task that has run for `elapsed` on a slow VM would end earlier elsewhere.
    fn is_worth_restarting(&self, task: &TaskName, elapsed: Millis, slowness_percent: u64) -> bool {
        let Some(job) = self.jobs.get(&task.job) else { return false };
        let Some(step) = job.spec.steps.get(usize::from(task.step)) else { return false };
        let expected = job.expected_run_time(usize::from(task.step)).0;
        let percent_elapsed = (elapsed.0 * 100).checked_div(expected).unwrap_or(0);
        // A member of a gang ends with the others, whatever its VM is.
        !step.long_running
            && !step.gang
            && percent_elapsed >= STRAGGLER_PERCENT
            && percent_elapsed + MIN_REMAINING_PERCENT <= slowness_percent
    }
}

fn log_judgement(context: &mut StepContext, vm: &VmId, judgement: &VmJudgement) {
    let inputs = format!(
        "runs take {}% of its peers' time, {} of 1000 failed, {} outcomes",
        judgement.slowness_percent, judgement.failed_permille, judgement.outcomes
    );
    let (outcome, decision) = match judgement.weight {
        FULL_WEIGHT => ("gets all work".to_owned(), VmHealthDecision::Restored),
        0 => ("gets probes only".to_owned(), VmHealthDecision::HeldBack),
        weight => (format!("gets {weight}% of its work"), VmHealthDecision::HeldBack),
    };
    context.out.log("vm-health", vm, inputs, outcome);
    context.out.measure(Measurement::VmHealth(decision));
}
