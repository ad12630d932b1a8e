//! Drains VMs for maintenance waves, and drains minions that are about to leave.
//!
//! One record for each wave holds which VMs are down and which are done. All pools change
//! this record by compare-and-swap, so the bound on VMs that are down at one time holds
//! whichever daemons own the pools. A pool drains as many of its VMs side by side as it must to
//! begin all maintenance in time, so that a large wave does not end late and a small one takes no
//! capacity that it does not need. While jobs wait for capacity, a wave that has time to spare begins
//! no drain. A VM is first drained: it gets no starts; checkpointing
//! tasks are stopped and continue elsewhere; long-running tasks move one at a time within
//! what their step may miss; all other tasks run to their end. Then the VM is marked as
//! down, and the VM controller orders the maintenance.

use std::collections::{BTreeMap, BTreeSet};

use jobs::TaskName;
use state::{Millicores, Millis, MinionId, Moment, Revision, VmId};

use super::job::position_of;
use super::minion::{OwnedMinion, RunKey, RunPhase};
use super::{PoolCall, PoolOwner, StepContext};
use crate::io::{StoreAnswer, StoreCall};
use crate::model::WaveOrder;
use crate::records::{VmMaintenance, WaveProgressDoc};
use crate::timing::{COMMIT_RETRY_DELAY, EARLIER_ORDER_MARGIN};
use crate::vm_controller::{has_reached, incomplete_waves, wave_commit, wave_progress_of};

/// Time from the beginning of a drain until the VM is down, if its tasks run to their end.
const DRAIN_DURATION: Millis = Millis(2_500);
/// Part of the time that is left in which a pool tries to drain its VMs, in percent; the rest is
/// for tasks that take longer.
const PLANNED_TIME_PERCENT: u64 = 60;
/// Time from the beginning of a drain until the VM is back.
const ROUND_DURATION: Millis = Millis(5_000);
/// Multiple of the time that the maintenance takes at least which must be left while a pool puts
/// drains off.
const POSTPONE_FACTOR: u64 = 2;

/// Work of this pool for one wave.
#[derive(Debug)]
struct PoolWave {
    /// Time at which this owner first saw the wave.
    seen_at: Moment,
    /// VMs that are being drained or wait to be marked as down.
    draining_vms: BTreeSet<VmId>,
}

/// VM of this pool whose maintenance in a wave has not begun.
#[derive(Debug)]
struct WaitingVm {
    vm: VmId,
    minion: MinionId,
    /// Processor time that the runs on the VM reserve, in millicores.
    load: u64,
    /// Whether the VM can be taken down without loss.
    is_drained: bool,
}

/// State of the maintenance of this pool's VMs.
#[derive(Debug, Default)]
pub(super) struct MaintenanceState {
    /// Whether a write is not answered yet.
    is_write_in_flight: bool,
    /// Wave and revision of this pool's last write. The shared record of that wave must have reached
    /// this revision before it is changed again.
    last_write: (u64, Revision),
    /// Earliest time of the next write.
    next_write_at: Moment,
    /// Incomplete waves by number.
    waves: BTreeMap<u64, PoolWave>,
    /// VMs that are marked as down in a wave, whichever owner marked them.
    down_vms: BTreeSet<VmId>,
}

impl MaintenanceState {
    /// Whether a VM is being drained for a wave, or is marked as down, so that whatever runs on it may
    /// end at any time.
    fn is_draining(&self, vm: &VmId) -> bool {
        self.down_vms.contains(vm) || self.waves.values().any(|wave| wave.draining_vms.contains(vm))
    }
}

impl PoolOwner {
    /// Drains leaving minions and advances the incomplete waves.
    pub(super) fn update_maintenance(&mut self, context: &mut StepContext) {
        if !context.is_ownership_valid || !self.stage.is_loaded() {
            return;
        }
        self.note_down_vms(context);
        self.drain_leaving_minions(context);
        let incomplete = incomplete_waves(context);
        self.cancel_drains(&incomplete);
        for order in incomplete {
            self.advance_wave(context, &order);
        }
    }

    /// Whether a minion gets no starts because its VM is being drained, for maintenance or to be
    /// offered. The sets of VMs that are drained for each purpose decide, so a drain that is left out
    /// of its set has ended.
    pub(super) fn is_being_drained(&self, minion: &OwnedMinion) -> bool {
        let vm = minion.report.vm.as_ref();
        vm.is_some_and(|vm| self.maintenance.is_draining(vm) || self.demand.is_draining(vm))
    }

    /// Notes which VMs the waves' records mark as down. A mark stands until the maintenance has ended,
    /// so it also holds for minions that this owner finds after the VM was marked.
    pub(super) fn note_down_vms(&mut self, context: &StepContext) {
        let shared = context.shared;
        let ordered = |(wave, _): &(&u64, _)| shared.wave_orders.contains_key(wave);
        let docs = shared.wave_progress.iter().filter(ordered);
        let marks = docs.flat_map(|(_, doc)| &doc.record.vms);
        let down = marks.filter(|(_, mark)| **mark == VmMaintenance::Down);
        self.maintenance.down_vms = down.map(|(vm, _)| vm.clone()).collect();
    }

    /// Marks drained VMs as down as far as the wave's bound allows, and drains the next VMs.
    fn advance_wave(&mut self, context: &mut StepContext, order: &WaveOrder) {
        let revision = context.shared.wave_progress.get(&order.wave).map(|doc| doc.revision);
        let revision = revision.unwrap_or(Revision(0));
        if self.maintenance.is_write_in_flight
            || context.clock.now < self.maintenance.next_write_at
            || !has_reached(self.maintenance.last_write, order.wave, revision)
        {
            return;
        }
        let doc = wave_progress_of(context, order.wave);
        let down = doc.vms.values().filter(|mark| **mark == VmMaintenance::Down).count();
        let allowed = (order.max_down as usize).saturating_sub(down);
        let waiting = self.list_waiting_vms(context.clock.now, order, &doc);
        let drained = waiting.iter().filter(|waiting| waiting.is_drained).take(allowed);
        let drained: Vec<&WaitingVm> = drained.collect();
        if !drained.is_empty() {
            let mut next = doc;
            for WaitingVm { vm, minion, .. } in drained {
                let inputs = format!(
                    "wave {}, {minion} has no runs, {down} of {} down",
                    order.wave, order.max_down
                );
                context.out.log("upkeep", vm, inputs, "emptied");
                next.vms.insert(vm.clone(), VmMaintenance::Down);
            }
            self.maintenance.is_write_in_flight = true;
            self.maintenance.last_write = (order.wave, revision);
            let commit = wave_commit(self.owner_key(), self.fencing_token, order, revision, &next);
            let purpose = self.purpose(PoolCall::WaveCommit);
            context.out.call_store(context.clock, purpose, StoreCall::Commit(commit));
        }
        self.drain_next_vms(context, order, waiting, allowed);
    }

    /// Returns the listed minion on a VM of this pool.
    pub(super) fn minion_of_vm(&self, vm: &VmId) -> Option<&OwnedMinion> {
        let is_on_vm =
            |minion: &&OwnedMinion| minion.is_listed && minion.report.vm.as_ref() == Some(vm);
        self.minions.values().find(is_on_vm)
    }

    /// Lists the wave's VMs of this pool without a mark, those with the least load first.
    fn list_waiting_vms(
        &self,
        now: Moment,
        order: &WaveOrder,
        doc: &WaveProgressDoc,
    ) -> Vec<WaitingVm> {
        self.work.add(self.minions.len());
        let wave_vms: BTreeSet<&VmId> = order.vms.iter().collect();
        let to_waiting = |minion: &OwnedMinion| {
            let vm = minion.report.vm.as_ref().filter(|_| minion.is_listed)?;
            let is_waiting = wave_vms.contains(vm) && !doc.vms.contains_key(vm);
            is_waiting.then(|| WaitingVm {
                vm: vm.clone(),
                minion: minion.report.minion.clone(),
                load: minion.used.processor.0,
                is_drained: self.is_being_drained(minion) && minion.is_drained(now),
            })
        };
        let mut waiting: Vec<WaitingVm> = self.minions.values().filter_map(to_waiting).collect();
        waiting.sort_by_key(|waiting| waiting.load);
        waiting
    }

    /// Drains the waiting VMs that are being drained already, and begins with as many more as are
    /// needed to be in time. `allowed` is the number of VMs that may still go down.
    fn drain_next_vms(
        &mut self,
        context: &mut StepContext,
        order: &WaveOrder,
        waiting: Vec<WaitingVm>,
        allowed: usize,
    ) {
        let now = context.clock.now;
        let new_wave = || PoolWave { seen_at: now, draining_vms: BTreeSet::new() };
        let wave = self.maintenance.waves.entry(order.wave).or_insert_with(new_wave);
        wave.draining_vms.retain(|vm| waiting.iter().any(|waiting| waiting.vm == *vm));
        let elapsed = now - wave.seen_at;
        let may_postpone =
            self.ready_queue.waits_for_capacity() && has_time(waiting.len(), order, elapsed);
        let count = if may_postpone {
            0
        } else {
            parallel_drains(waiting.len(), order.duration, elapsed).min(allowed.max(1))
        };
        for next in &waiting {
            if wave.draining_vms.len() >= count {
                break;
            }
            if wave.draining_vms.insert(next.vm.clone()) {
                let inputs = format!(
                    "wave {}, {} reserved on {}",
                    order.wave,
                    Millicores(next.load),
                    next.minion
                );
                context.out.log("upkeep", &next.vm, inputs, "emptying");
            }
        }
        let is_draining = |waiting: &WaitingVm| wave.draining_vms.contains(&waiting.vm);
        let draining: Vec<WaitingVm> = waiting.into_iter().filter(is_draining).collect();
        for WaitingVm { minion, .. } in draining {
            self.drain_minion(context, &minion, true);
        }
    }

    /// Ends the drains for waves that are not incomplete any more.
    fn cancel_drains(&mut self, incomplete: &[WaveOrder]) {
        let is_incomplete = |wave: &u64| incomplete.iter().any(|order| order.wave == *wave);
        self.maintenance.waves.retain(|wave, _| is_incomplete(wave));
    }

    /// Drains minions that have reported that they will leave.
    fn drain_leaving_minions(&mut self, context: &mut StepContext) {
        let draining: Vec<MinionId> = self
            .minions
            .iter()
            .filter(|(_, minion)| minion.report.is_draining && !minion.runs.is_empty())
            .map(|(id, _)| id.clone())
            .collect();
        for id in draining {
            self.drain_minion(context, &id, false);
        }
    }

    /// Stops the runs that can continue elsewhere without loss. With `respects_may_miss`,
    /// long-running tasks are stopped only within what their step may miss.
    pub(super) fn drain_minion(
        &mut self,
        context: &mut StepContext,
        id: &MinionId,
        respects_may_miss: bool,
    ) {
        let Some(minion) = self.minions.get(id) else { return };
        let running: Vec<RunKey> = minion
            .runs
            .iter()
            .filter(|(_, run)| run.phase == RunPhase::Running)
            .map(|(key, _)| key.clone())
            .collect();
        for (task, run) in running {
            if self.may_stop(context, &task, respects_may_miss) {
                context.out.log("move", &task, format!("{id} is being drained"), "stopped");
                self.stop_run(context, id, &task, run);
            }
        }
    }

    /// Whether a run of the task may be stopped to drain its minion.
    fn may_stop(&self, context: &StepContext, task: &TaskName, respects_may_miss: bool) -> bool {
        let now = context.clock.now;
        let Some(job) = self.jobs.get(&task.job) else { return true };
        let position = position_of(task);
        let Some(step) = job.spec.steps.get(usize::from(position.1)) else { return true };
        if !step.long_running {
            return step.has_checkpoints && job.checkpoints.contains_key(&position);
        }
        if !respects_may_miss {
            return true;
        }
        // A minion lists a run as running until a stop that the previous owner has ordered ends it.
        if now < self.owned_since + context.settings.max_stop + EARLIER_ORDER_MARGIN {
            return false;
        }
        let serving = (0..step.tasks)
            .filter(|index| *index != position.2)
            .filter(|index| self.is_serving(task, *index, now))
            .count() as u32;
        let missing_tasks = step.tasks - 1 - serving;
        missing_tasks < step.may_miss.max(1)
    }

    /// Whether another task of the same step is serving, by a recent answer of its minion.
    fn is_serving(&self, task: &TaskName, index: u32, now: Moment) -> bool {
        let other = TaskName { index, ..task.clone() };
        let job = self.jobs.get(&task.job);
        let Some(live) = job.and_then(|job| job.live.get(&position_of(&other))) else {
            return false;
        };
        let Some(minion) = self.minions.get(&live.minion) else { return false };
        let run = minion.runs.get(&(other, live.run));
        minion.has_recent_contact(now)
            && run.is_some_and(|run| run.phase == RunPhase::Running && run.percent >= 100)
    }

    /// Handles the answer to a write of a wave's record.
    pub(super) fn on_wave_written(&mut self, context: &mut StepContext, answer: StoreAnswer) {
        self.maintenance.is_write_in_flight = false;
        match answer {
            StoreAnswer::Committed(revision) => self.maintenance.last_write.1 = revision,
            StoreAnswer::Conflict(_) => {}
            other => {
                context.out.log("wave", &self.pool, format!("{other:?}"), "again");
                self.maintenance.next_write_at = context.clock.now + COMMIT_RETRY_DELAY;
            }
        }
    }
}

/// Whether the maintenance of a pool's `waiting` VMs would be in time even if it began later.
fn has_time(waiting: usize, order: &WaveOrder, elapsed: Millis) -> bool {
    let rounds = waiting.div_ceil((order.max_down as usize).max(1)) as u64;
    let needed_ms = rounds.saturating_mul(ROUND_DURATION.0).saturating_mul(POSTPONE_FACTOR);
    needed_ms <= order.duration.0.saturating_sub(elapsed.0)
}

/// Returns how many of a pool's VMs should drain side by side so that all `waiting` ones are down
/// within the planned part of the time that is left of `duration`.
fn parallel_drains(waiting: usize, duration: Millis, elapsed: Millis) -> usize {
    let remaining_ms = duration.0.saturating_sub(elapsed.0) * PLANNED_TIME_PERCENT / 100;
    let rounds = (remaining_ms / DRAIN_DURATION.0).max(1) as usize;
    waiting.div_ceil(rounds)
}
