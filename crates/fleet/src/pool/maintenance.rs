//! Empties VMs: for their upkeep, and when they leave.
//!
//! One record a wave says which VMs are down and which are done, so the bound of
//! VMs that are down at one time holds by compare-and-swap whoever owns the pools.
//! A VM is first emptied: it gets no starts, tasks that save are stopped and go on
//! elsewhere, lasting ones move one at a time within what their step may miss, and
//! the others run to their end. Then its mark is set, and the mover gives the order.

use jobs::TaskName;
use state::{MinionId, Moment, Revision, VmId};

use super::job::place_of;
use super::minion::{OwnedMinion, RunKey, RunPhase};
use super::{PoolCall, PoolOwner, StepContext};
use crate::io::{StoreAnswer, StoreCall};
use crate::model::WaveOrder;
use crate::records::{VmMaintenance, WaveProgressDoc};
use crate::timing::COMMIT_RETRY;
use crate::vm_controller::{doc_of, open_waves, wave_commit};

/// The VM that is being emptied, and the record's last change.
#[derive(Debug, Default)]
pub(super) struct MaintenanceState {
    is_writing: bool,
    /// The shared record must have this revision before it is changed again.
    written: Revision,
    next_write: Moment,
    draining_vm: Option<VmId>,
}

impl PoolOwner {
    pub(super) fn update_maintenance(&mut self, context: &mut StepContext) {
        if !context.is_valid || !self.stage.is_loaded() {
            return;
        }
        self.drain_leaving_minions(context);
        let open = open_waves(context);
        if open.is_empty() {
            self.cancel_drain();
            return;
        }
        for order in open {
            self.advance_wave(context, &order);
        }
    }

    fn advance_wave(&mut self, context: &mut StepContext, order: &WaveOrder) {
        let revision = context.shared.wave_docs.get(&order.wave).map(|doc| doc.revision);
        let revision = revision.unwrap_or(Revision(0));
        if self.maintenance.is_writing
            || context.clock.now < self.maintenance.next_write
            || revision < self.maintenance.written
        {
            return;
        }
        let doc = doc_of(context, order.wave);
        let down = doc.vms.values().filter(|mark| **mark == VmMaintenance::Down).count();
        if down < order.max_down as usize
            && let Some(vm) = self.drained_vm(order, &doc)
        {
            let mut next = doc.clone();
            next.vms.insert(vm.clone(), VmMaintenance::Down);
            self.maintenance.is_writing = true;
            let inputs = format!("wave {}, {down} of {} down", order.wave, order.max_down);
            context.out.log("upkeep", &vm, inputs, "emptied");
            let commit = wave_commit(self.owner_key(), self.fencing_token, order, revision, &next);
            let purpose = self.purpose(PoolCall::WaveCommit);
            context.out.store(context.clock, purpose, StoreCall::Commit(commit));
        }
        self.drain_next_vm(context, order, &doc);
    }

    /// The minion that a VM of this pool is at present.
    pub(super) fn minion_of_vm(&self, vm: &VmId) -> Option<&OwnedMinion> {
        let is_current_vm =
            |minion: &&OwnedMinion| minion.is_listed && minion.report.vm.as_ref() == Some(vm);
        self.minions.values().find(is_current_vm)
    }

    /// A VM of the wave on which nothing runs any more.
    fn drained_vm(&self, order: &WaveOrder, doc: &WaveProgressDoc) -> Option<VmId> {
        let is_empty = |vm: &&VmId| {
            !doc.vms.contains_key(*vm)
                && self
                    .minion_of_vm(vm)
                    .is_some_and(|minion| minion.is_being_drained && minion.is_drained())
        };
        order.vms.iter().find(is_empty).cloned()
    }

    /// Empties the VM with the least work.
    fn drain_next_vm(
        &mut self,
        context: &mut StepContext,
        order: &WaveOrder,
        doc: &WaveProgressDoc,
    ) {
        let still = self.maintenance.draining_vm.clone().filter(|vm| {
            order.vms.contains(vm) && !doc.vms.contains_key(vm) && self.minion_of_vm(vm).is_some()
        });
        let chosen = still.or_else(|| self.least_loaded_vm(order, doc));
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

    fn least_loaded_vm(&self, order: &WaveOrder, doc: &WaveProgressDoc) -> Option<VmId> {
        let load = |vm: &&VmId| self.minion_of_vm(vm).map_or(0, |minion| minion.used.processor.0);
        let waits = |vm: &&VmId| !doc.vms.contains_key(*vm) && self.minion_of_vm(vm).is_some();
        order.vms.iter().filter(waits).min_by_key(load).cloned()
    }

    fn cancel_drain(&mut self) {
        let Some(vm) = self.maintenance.draining_vm.take() else { return };
        let minion =
            self.minions.values_mut().find(|minion| minion.report.vm.as_ref() == Some(&vm));
        if let Some(minion) = minion {
            minion.is_being_drained = false;
        }
    }

    /// Moves what can be moved away from minions that will leave.
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

    /// Stops what goes on elsewhere without loss; lasting tasks only within what
    /// their step may miss, if `respects_may_miss`.
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
            if self.may_stop(&task, respects_may_miss, context.clock.now) {
                context.out.log("move", &task, format!("{id} is emptied"), "stopped");
                self.stop_run(context, id, &task, run);
            }
        }
    }

    fn may_stop(&self, task: &TaskName, respects_may_miss: bool, now: Moment) -> bool {
        let Some(job) = self.jobs.get(&task.job) else { return true };
        let place = place_of(task);
        let Some(step) = job.spec.steps.get(usize::from(place.1)) else { return true };
        if !step.long_running {
            return step.has_checkpoints && job.checkpoints.contains_key(&place);
        }
        if !respects_may_miss {
            return true;
        }
        let serving = (0..step.tasks)
            .filter(|index| *index != place.2)
            .filter(|index| self.is_serving(task, *index, now))
            .count() as u32;
        let missing_tasks = step.tasks - 1 - serving;
        missing_tasks < step.may_miss.max(1)
    }

    /// Whether another task of the same step is at work, as its minion lately said.
    fn is_serving(&self, task: &TaskName, index: u32, now: Moment) -> bool {
        let other = TaskName { index, ..task.clone() };
        let job = self.jobs.get(&task.job);
        let Some(live) = job.and_then(|job| job.live.get(&place_of(&other))) else {
            return false;
        };
        let Some(minion) = self.minions.get(&live.minion) else { return false };
        let run = minion.runs.get(&(other, live.run));
        minion.has_recent_contact(now)
            && run.is_some_and(|run| run.phase == RunPhase::Running && run.percent >= 100)
    }

    pub(super) fn on_wave_written(&mut self, context: &mut StepContext, answer: StoreAnswer) {
        self.maintenance.is_writing = false;
        match answer {
            StoreAnswer::Committed(revision) => self.maintenance.written = revision,
            StoreAnswer::Conflict(_) => {}
            other => {
                context.out.log("wave", &self.pool, format!("{other:?}"), "again");
                self.maintenance.next_write = context.clock.now + COMMIT_RETRY;
            }
        }
    }
}
