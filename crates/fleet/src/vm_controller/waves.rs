//! Progress of maintenance waves: orders the maintenance of VMs that are marked as down, and marks
//! those that are done.

use std::collections::BTreeSet;

use state::{Moment, Revision, VmId};

use super::{VmController, VmControllerCall, is_spare_pool};
use crate::io::{CloudCall, PutValue, StoreCall, StoreCommit, StorePut};
use crate::key::{OwnKey, ShardKey, StoreKey};
use crate::model::{VmPhase, WaveOrder, WavePhase};
use crate::outbox::CallPurpose;
use crate::pool::StepContext;
use crate::records::{VmMaintenance, WaveProgressDoc, encode};

impl VmController {
    /// Notes when this owner first saw each incomplete wave.
    pub(super) fn note_waves(&mut self, now: Moment, incomplete_waves: &[WaveOrder]) {
        let is_incomplete = |wave: &u64| incomplete_waves.iter().any(|order| order.wave == *wave);
        self.waves_seen_at.retain(|wave, _| is_incomplete(wave));
        for order in incomplete_waves {
            self.waves_seen_at.entry(order.wave).or_insert(now);
        }
    }

    pub(super) fn update_wave(&mut self, context: &mut StepContext, order: &WaveOrder) {
        let progress = wave_progress_of(context, order.wave);
        self.order_maintenance(context, order, &progress);
        let revision =
            context.shared.wave_progress.get(&order.wave).map(|progress| progress.revision);
        let revision = revision.unwrap_or(Revision(0));
        if self.is_write_in_flight
            || context.clock.now < self.next_write_at
            || !has_reached(self.last_write, order.wave, revision)
        {
            return;
        }
        let mut next_progress = progress.clone();
        self.mark_maintained(&mut next_progress, order);
        self.mark_gone_vms(&mut next_progress, order);
        self.mark_spare_vms(context, &mut next_progress, order);
        if next_progress != progress || revision.0 == 0 {
            self.write_progress(context, order, revision, &next_progress);
        }
    }

    fn order_maintenance(
        &mut self,
        context: &mut StepContext,
        order: &WaveOrder,
        progress: &WaveProgressDoc,
    ) {
        for (vm, state) in &progress.vms {
            let is_order_due = *state == VmMaintenance::Down
                && !self.pending_orders.contains(vm)
                && !self.maintenance_answered_at.contains_key(&(order.wave, vm.clone()));
            if is_order_due {
                let wave = order.wave;
                let inputs = format!("wave {wave}, {}", self.describe_basis(context));
                context.out.log("upkeep", vm, inputs, "ordered");
                let call = CloudCall::Maintenance {
                    vm: vm.clone(),
                    wave,
                    fencing_token: self.fencing_token.0,
                };
                self.send_order(
                    context,
                    vm,
                    VmControllerCall::Maintenance { vm: vm.clone(), wave },
                    call,
                );
            }
        }
    }

    /// Marks the VMs that are up again after maintenance.
    fn mark_maintained(&self, progress: &mut WaveProgressDoc, order: &WaveOrder) {
        let Some(listed_at) = self.listed_at else { return };
        for (vm, state) in &mut progress.vms {
            let is_up = self.vms.get(vm).is_some_and(|known| known.phase == VmPhase::Up);
            let answered_at = self.maintenance_answered_at.get(&(order.wave, vm.clone()));
            let is_over = answered_at.is_some_and(|at| *at < listed_at);
            if is_up && is_over {
                *state = VmMaintenance::Done;
            }
        }
    }

    /// Marks the VMs that no longer exist as done when no other VM of the wave is left, and gives back
    /// the places of those that were marked as down. A VM that comes back before then is maintained. A
    /// list that was requested before the order was seen shows nothing of the order's VMs.
    fn mark_gone_vms(&mut self, progress: &mut WaveProgressDoc, order: &WaveOrder) {
        let Some(seen_at) = self.waves_seen_at.get(&order.wave) else { return };
        if self.listed_at.is_none_or(|listed_at| listed_at < *seen_at) {
            return;
        }
        let is_done = |vm: &VmId| progress.vms.get(vm) == Some(&VmMaintenance::Done);
        let (gone, present): (Vec<&VmId>, Vec<&VmId>) =
            order.vms.iter().filter(|vm| !is_done(vm)).partition(|vm| !self.vms.contains_key(*vm));
        for vm in gone {
            if present.is_empty() {
                progress.vms.insert(vm.clone(), VmMaintenance::Done);
            } else {
                progress.vms.remove(vm);
                self.maintenance_answered_at.remove(&(order.wave, vm.clone()));
            }
        }
    }

    /// Marks VMs of spare pools as down without a drain, since no task runs on them.
    fn mark_spare_vms(
        &self,
        context: &StepContext,
        progress: &mut WaveProgressDoc,
        order: &WaveOrder,
    ) {
        for vm in &order.vms {
            let down_count =
                progress.vms.values().filter(|state| **state == VmMaintenance::Down).count();
            if down_count >= order.max_down as usize {
                return;
            }
            let is_up_in_spare_pool = self.vms.get(vm).is_some_and(|known| {
                is_spare_pool(context, &known.pool) && known.phase == VmPhase::Up
            });
            if is_up_in_spare_pool
                && !progress.vms.contains_key(vm)
                && !self.is_order_in_progress(vm)
            {
                progress.vms.insert(vm.clone(), VmMaintenance::Down);
            }
        }
    }

    fn write_progress(
        &mut self,
        context: &mut StepContext,
        order: &WaveOrder,
        revision: Revision,
        next_progress: &WaveProgressDoc,
    ) {
        self.is_write_in_flight = true;
        self.last_write = (order.wave, revision);
        let owner = StoreKey::Own(OwnKey::Owner(ShardKey::VmController));
        let commit = wave_commit(owner, self.fencing_token, order, revision, next_progress);
        let inputs = format!("{} of {} VMs marked", next_progress.vms.len(), order.vms.len());
        context.out.log("wave", order.wave, inputs, "written");
        let purpose = CallPurpose::VmController(self.fencing_token, VmControllerCall::WaveCommit);
        context.out.call_store(context.clock, purpose, StoreCall::Commit(commit));
    }
}

/// Whether the local copy of a wave's record, at `revision`, has the owner's last write: a write to
/// another wave says nothing of this one.
pub(crate) fn has_reached(last_write: (u64, Revision), wave: u64, revision: Revision) -> bool {
    last_write.0 != wave || revision >= last_write.1
}

/// Returns the waves that have VMs left to maintain.
pub(crate) fn incomplete_waves(context: &StepContext) -> Vec<WaveOrder> {
    let is_incomplete =
        |order: &&WaveOrder| !is_complete(order, &wave_progress_of(context, order.wave));
    context.shared.wave_orders.values().filter(is_incomplete).cloned().collect()
}

/// Returns the VMs of incomplete waves whose maintenance has not ended; they are not moved.
pub(crate) fn vms_due_for_maintenance(context: &StepContext) -> BTreeSet<VmId> {
    let mut due = BTreeSet::new();
    for order in incomplete_waves(context) {
        let progress = wave_progress_of(context, order.wave);
        let is_due = |vm: &VmId| progress.vms.get(vm) != Some(&VmMaintenance::Done);
        due.extend(order.vms.into_iter().filter(is_due));
    }
    due
}

pub(crate) fn wave_progress_of(context: &StepContext, wave: u64) -> WaveProgressDoc {
    context
        .shared
        .wave_progress
        .get(&wave)
        .map(|progress| progress.record.clone())
        .unwrap_or_default()
}

fn is_complete(order: &WaveOrder, progress: &WaveProgressDoc) -> bool {
    order.vms.iter().all(|vm| progress.vms.get(vm) == Some(&VmMaintenance::Done))
}

/// Builds the commit that writes a wave's progress together with the status for the
/// operator.
pub(crate) fn wave_commit(
    owner: StoreKey,
    fencing_token: Revision,
    order: &WaveOrder,
    revision: Revision,
    next_progress: &WaveProgressDoc,
) -> StoreCommit {
    let phase =
        if is_complete(order, next_progress) { WavePhase::Complete } else { WavePhase::Active };
    let key = StoreKey::Own(OwnKey::Wave(order.wave));
    let record =
        StorePut { key: key.clone(), value: PutValue::Own(encode(next_progress)), lease: None };
    let status = StorePut {
        key: StoreKey::WaveStatus(order.wave),
        value: PutValue::Status(phase),
        lease: None,
    };
    StoreCommit {
        expect: vec![(owner, fencing_token), (key, revision)],
        puts: vec![record, status],
        remove: Vec::new(),
    }
}
