//! Changes of the daemons' parts of minions' slots.

use std::collections::BTreeSet;

use state::{AllocationTable, DaemonRef, SlotCount, SlotDoc, VmId};

/// A change of a pool's slots.
#[derive(Debug, Clone)]
pub enum SlotMutation {
    /// Sets a daemon's part of a minion's slots.
    SetPart {
        /// The minion.
        vm: VmId,
        /// Slots that it has.
        slots: SlotCount,
        /// Whose part.
        holder: DaemonRef,
        /// The part to have.
        wanted: u32,
    },
    /// Moves a daemon's unused slots of a minion to another daemon.
    MovePart {
        /// The minion.
        vm: VmId,
        /// Who gives.
        from: DaemonRef,
        /// Who gets.
        to: DaemonRef,
        /// What the giver keeps.
        left: u32,
    },
    /// Frees all parts of runs that have ended for certain.
    DropHolders {
        /// The ended runs.
        holders: Vec<DaemonRef>,
    },
    /// Forgets minions that have left the pool.
    Keep {
        /// Minions that the platform lists.
        listed: BTreeSet<VmId>,
    },
}

/// Applies one change.
pub fn apply(doc: &mut SlotDoc, mutation: &SlotMutation) {
    match mutation {
        SlotMutation::SetPart { vm, slots, holder, wanted } => {
            let holdings = doc.minions.entry(vm.clone()).or_default();
            holdings.capacity = slots.0;
            holdings.set_allocation(holder, *wanted, 0);
        }
        SlotMutation::MovePart { vm, from, to, left } => {
            if let Some(holdings) = doc.minions.get_mut(vm) {
                holdings.transfer(from, to, *left);
            }
        }
        SlotMutation::DropHolders { holders } => {
            for holdings in doc.minions.values_mut() {
                drop_holders(holdings, holders);
            }
        }
        SlotMutation::Keep { listed } => doc.minions.retain(|vm, _| listed.contains(vm)),
    }
}

pub(super) fn drop_holders(holdings: &mut AllocationTable, holders: &[DaemonRef]) {
    holdings.allocations.retain(|holder, _| !holders.contains(holder));
}
