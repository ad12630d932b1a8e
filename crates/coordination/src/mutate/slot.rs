//! Changes of the daemons' quota allocations of minion slots.

use std::collections::BTreeSet;

use state::{AllocationTable, DaemonRef, SlotCount, SlotDoc, VmId};

/// Change of the slot document of a pool.
#[derive(Debug, Clone)]
pub enum SlotMutation {
    /// Sets the allocation of one daemon on a minion.
    SetAllocation {
        /// VM of the minion.
        vm: VmId,
        /// Number of slots of the minion.
        slots: SlotCount,
        /// Daemon that holds the allocation.
        holder: DaemonRef,
        /// Requested allocation, in slots.
        requested: u32,
    },
    /// Transfers unused slots of a minion from one daemon to another.
    TransferAllocation {
        /// VM of the minion.
        vm: VmId,
        /// Daemon that gives up slots.
        from: DaemonRef,
        /// Daemon that receives the slots.
        to: DaemonRef,
        /// Slots that the giving daemon retains.
        retained: u32,
    },
    /// Removes all allocations of daemon incarnations that have certainly ended.
    RemoveHolders {
        /// Daemon incarnations that have ended.
        holders: Vec<DaemonRef>,
    },
    /// Removes the allocations on minions that the platform no longer lists.
    RetainListed {
        /// Minions that the platform lists.
        listed: BTreeSet<VmId>,
    },
}

/// Applies one change.
pub fn apply(doc: &mut SlotDoc, mutation: &SlotMutation) {
    match mutation {
        SlotMutation::SetAllocation { vm, slots, holder, requested } => {
            let allocations = doc.minions.entry(vm.clone()).or_default();
            allocations.capacity = slots.0;
            allocations.set_allocation(holder, *requested, 0);
        }
        SlotMutation::TransferAllocation { vm, from, to, retained } => {
            if let Some(allocations) = doc.minions.get_mut(vm) {
                allocations.transfer(from, to, *retained);
            }
        }
        SlotMutation::RemoveHolders { holders } => {
            for allocations in doc.minions.values_mut() {
                remove_holders(allocations, holders);
            }
        }
        SlotMutation::RetainListed { listed } => doc.minions.retain(|vm, _| listed.contains(vm)),
    }
}

/// Removes the allocations of `holders` from one allocation table.
pub(super) fn remove_holders(table: &mut AllocationTable, holders: &[DaemonRef]) {
    table.allocations.retain(|holder, _| !holders.contains(holder));
}
