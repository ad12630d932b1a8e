//! Drains VMs for maintenance waves, and drains minions that are about to leave.
//!
//! One record for each wave holds which VMs are down and which are done. All pools change
//! this record by compare-and-swap, so the bound on VMs that are down at one time holds
//! whichever daemons own the pools. A VM is first drained: it gets no starts; checkpointing
//! tasks are stopped and continue elsewhere; long-running tasks move one at a time within
//! what their step may miss; all other tasks run to their end. Then the VM is marked as
//! down, and the VM controller orders the maintenance.

use jobs::TaskName;
use state::{MinionId, Moment, Revision, VmId};

use super::job::position_of;
use super::minion::{OwnedMinion, RunKey, RunPhase};
use super::{PoolCall, PoolOwner, StepContext};
use crate::io::{StoreAnswer, StoreCall};
use crate::model::WaveOrder;
use crate::records::{VmMaintenance, WaveProgressDoc};
use crate::timing::{COMMIT_RETRY_DELAY, EARLIER_ORDER_MARGIN};
use crate::vm_controller::{incomplete_waves, wave_commit, wave_progress_of};

/// State of the maintenance of this pool's VMs.
#[derive(Debug, Default)]
pub(super) struct MaintenanceState {
    /// Whether a write is not answered yet.
    is_write_in_flight: bool,
    /// Revision of this pool's last write. The shared record must have reached this
    /// revision before it is changed again.
    written_revision: Revision,
    /// Earliest time of the next write.
    next_write_at: Moment,
    /// VM that is being drained for a wave.
    draining_vm: Option<VmId>,
}

impl PoolOwner {
    /// Drains leaving minions and advances the incomplete waves.
    pub(super) fn update_maintenance(&mut self, context: &mut StepContext) {
        if !context.is_ownership_valid || !self.stage.is_loaded() {
            return;
        }
        self.drain_leaving_minions(context);
        let incomplete = incomplete_waves(context);
        if incomplete.is_empty() {
            self.cancel_drain();
            return;
        }
        for order in incomplete {
            self.advance_wave(context, &order);
        }
    }

    /// Marks a drained VM as down if the wave's bound allows, and drains the next VM.
    fn advance_wave(&mut self, context: &mut StepContext, order: &WaveOrder) {
        let revision = context.shared.wave_progress.get(&order.wave).map(|doc| doc.revision);
        let revision = revision.unwrap_or(Revision(0));
        if self.maintenance.is_write_in_flight
            || context.clock.now < self.maintenance.next_write_at
            || revision < self.maintenance.written_revision
        {
            return;
        }
        let doc = wave_progress_of(context, order.wave);
        let down = doc.vms.values().filter(|mark| **mark == VmMaintenance::Down).count();
        if down < order.max_down as usize
            && let Some(vm) = self.drained_vm(order, &doc)
        {
            let mut next = doc.clone();
            next.vms.insert(vm.clone(), VmMaintenance::Down);
            self.maintenance.is_write_in_flight = true;
            let inputs = format!("wave {}, {down} of {} down", order.wave, order.max_down);
            context.out.log("upkeep", &vm, inputs, "emptied");
            let commit = wave_commit(self.owner_key(), self.fencing_token, order, revision, &next);
            let purpose = self.purpose(PoolCall::WaveCommit);
            context.out.call_store(context.clock, purpose, StoreCall::Commit(commit));
        }
        self.drain_next_vm(context, order, &doc);
    }

    /// Returns the listed minion on a VM of this pool.
    pub(super) fn minion_of_vm(&self, vm: &VmId) -> Option<&OwnedMinion> {
        let is_on_vm =
            |minion: &&OwnedMinion| minion.is_listed && minion.report.vm.as_ref() == Some(vm);
        self.minions.values().find(is_on_vm)
    }

    /// Finds a VM of the wave that is drained and has no mark yet.
    fn drained_vm(&self, order: &WaveOrder, doc: &WaveProgressDoc) -> Option<VmId> {
        let is_ready = |vm: &&VmId| {
            !doc.vms.contains_key(*vm)
                && self
                    .minion_of_vm(vm)
                    .is_some_and(|minion| minion.is_being_drained && minion.is_drained())
        };
        order.vms.iter().find(is_ready).cloned()
    }

    /// Drains the wave's VM that is being drained already, or else the one with the least
    /// load.
    fn drain_next_vm(
        &mut self,
        context: &mut StepContext,
        order: &WaveOrder,
        doc: &WaveProgressDoc,
    ) {
        let current = self.maintenance.draining_vm.clone().filter(|vm| {
            order.vms.contains(vm) && !doc.vms.contains_key(vm) && self.minion_of_vm(vm).is_some()
        });
        let chosen = current.or_else(|| self.least_loaded_vm(order, doc));
        self.maintenance.draining_vm = chosen.clone();
        let Some(vm) = chosen else { return };
        let minion = self.minion_of_vm(&vm).map(|minion| minion.report.minion.clone());
        let Some(id) = minion else { return };
        if let Some(minion) = self.minions.get_mut(&id)
            && !minion.is_being_drained
        {
            minion.is_being_drained = true;
            let inputs = format!("wave {}, {} runs", order.wave, minion.runs.len());
            context.out.log("upkeep", &vm, inputs, "emptying");
        }
        self.drain_minion(context, &id, true);
    }

    /// Finds the VM of the wave without a mark whose runs reserve the least processor time.
    fn least_loaded_vm(&self, order: &WaveOrder, doc: &WaveProgressDoc) -> Option<VmId> {
        let load = |vm: &&VmId| self.minion_of_vm(vm).map_or(0, |minion| minion.used.processor.0);
        let is_unmarked =
            |vm: &&VmId| !doc.vms.contains_key(*vm) && self.minion_of_vm(vm).is_some();
        order.vms.iter().filter(is_unmarked).min_by_key(load).cloned()
    }

    /// Allows starts again on the VM that was being drained, since no wave is
    /// incomplete.
    fn cancel_drain(&mut self) {
        let Some(vm) = self.maintenance.draining_vm.take() else { return };
        let minion =
            self.minions.values_mut().find(|minion| minion.report.vm.as_ref() == Some(&vm));
        if let Some(minion) = minion {
            minion.is_being_drained = false;
        }
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
            StoreAnswer::Committed(revision) => self.maintenance.written_revision = revision,
            StoreAnswer::Conflict(_) => {}
            other => {
                context.out.log("wave", &self.pool, format!("{other:?}"), "again");
                self.maintenance.next_write_at = context.clock.now + COMMIT_RETRY_DELAY;
            }
        }
    }
}
