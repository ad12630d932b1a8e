//! Changes of VM records.

use std::collections::BTreeSet;

use state::{DataCentreId, FleetDoc, PoolId, Revision, VmId, VmRecord, VmState};

/// What a planned stop must leave in service.
#[derive(Debug, Clone)]
pub struct Budget {
    /// The configuration that this budget comes from.
    pub config: Revision,
    /// VMs that must stay available.
    pub min_available: u32,
    /// Data centres that are taken out.
    pub out: BTreeSet<DataCentreId>,
    /// VMs that are not available now for reasons of their own.
    pub lost: BTreeSet<VmId>,
}

/// A change of one VM's record, or of what all go by.
#[derive(Debug, Clone)]
pub enum FleetMutation {
    /// Lets the records go by a newer configuration.
    Follow {
        /// The configuration.
        config: Revision,
    },
    /// Takes a VM that the platform lists into a pool.
    Adopt {
        /// The VM.
        vm: VmId,
        /// The pool that it was created in.
        pool: PoolId,
        /// Where it is.
        data_centre: DataCentreId,
    },
    /// Forgets a VM that the platform does not list any more.
    Forget {
        /// The VM.
        vm: VmId,
    },
    /// Begins a planned stop.
    Drain {
        /// The VM.
        vm: VmId,
        /// Reboot it once it is empty.
        reboot: bool,
        /// The pool it serves in afterwards.
        to: PoolId,
        /// What must stay in service.
        budget: Budget,
    },
    /// The VM is empty: reboot or hold it.
    Emptied {
        /// The VM.
        vm: VmId,
        /// The record's epoch.
        epoch: u64,
        /// The VM's boot count.
        boot: u64,
    },
    /// The VM is back from its reboot.
    Returned {
        /// The VM.
        vm: VmId,
        /// The record's epoch.
        epoch: u64,
    },
    /// Returns a VM that is held or drains.
    Release {
        /// The VM.
        vm: VmId,
    },
}

impl FleetMutation {
    /// The VM that is changed, if it is one.
    pub fn vm(&self) -> Option<&VmId> {
        match self {
            Self::Follow { .. } => None,
            Self::Adopt { vm, .. }
            | Self::Forget { vm }
            | Self::Drain { vm, .. }
            | Self::Emptied { vm, .. }
            | Self::Returned { vm, .. }
            | Self::Release { vm } => Some(vm),
        }
    }
}

/// What came of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FleetResult {
    /// The record has it.
    Applied,
    /// The pool has no VM to spare.
    OverBudget,
    /// The budget comes from a configuration that is not in force any more.
    Outdated,
    /// The VM is not there, or not in a state for this.
    NotApplicable,
}

/// Applies one change.
pub fn apply(doc: &mut FleetDoc, mutation: &FleetMutation) -> FleetResult {
    match mutation {
        FleetMutation::Follow { config } => {
            doc.config = doc.config.max(*config);
            FleetResult::Applied
        }
        FleetMutation::Adopt { vm, pool, data_centre } => adopt(doc, vm, pool, data_centre),
        FleetMutation::Forget { vm } => {
            doc.vms.remove(vm);
            FleetResult::Applied
        }
        FleetMutation::Drain { vm, reboot, to, budget } => drain(doc, vm, *reboot, to, budget),
        FleetMutation::Emptied { vm, epoch, boot } => {
            change(doc, vm, Some(*epoch), |record| emptied(record, *boot))
        }
        FleetMutation::Returned { vm, epoch } => change(doc, vm, Some(*epoch), returned),
        FleetMutation::Release { vm } if is_serving(doc, vm) => FleetResult::Applied,
        FleetMutation::Release { vm } => change(doc, vm, None, released),
    }
}

fn adopt(doc: &mut FleetDoc, vm: &VmId, pool: &PoolId, data_centre: &DataCentreId) -> FleetResult {
    if !doc.vms.contains_key(vm) {
        let record = VmRecord {
            pool: pool.clone(),
            data_centre: data_centre.clone(),
            state: VmState::Serving,
            epoch: 1,
        };
        doc.vms.insert(vm.clone(), record);
    }
    FleetResult::Applied
}

fn drain(doc: &mut FleetDoc, vm: &VmId, reboot: bool, to: &PoolId, budget: &Budget) -> FleetResult {
    let wanted = VmState::Draining { reboot, to: to.clone() };
    let Some(record) = doc.vms.get(vm) else { return FleetResult::NotApplicable };
    if record.state == wanted {
        return FleetResult::Applied;
    }
    if record.state != VmState::Serving {
        return FleetResult::NotApplicable;
    }
    if budget.config < doc.config {
        return FleetResult::Outdated;
    }
    let available = doc.serving(&record.pool).filter(|(other, row)| {
        *other != vm && !budget.lost.contains(*other) && !budget.out.contains(&row.data_centre)
    });
    if (available.count() as u32) < budget.min_available {
        return FleetResult::OverBudget;
    }
    doc.config = budget.config;
    change(doc, vm, None, |_| Some((None, wanted.clone())))
}

/// Changes a record's state, and raises its epoch if it did change.
fn change(
    doc: &mut FleetDoc,
    vm: &VmId,
    epoch: Option<u64>,
    decide: impl FnOnce(&VmRecord) -> Option<(Option<PoolId>, VmState)>,
) -> FleetResult {
    let Some(record) = doc.vms.get_mut(vm) else { return FleetResult::NotApplicable };
    if epoch.is_some_and(|epoch| epoch != record.epoch) {
        return FleetResult::NotApplicable;
    }
    let Some((pool, state)) = decide(record) else { return FleetResult::NotApplicable };
    record.pool = pool.unwrap_or_else(|| record.pool.clone());
    record.state = state;
    record.epoch += 1;
    FleetResult::Applied
}

fn emptied(record: &VmRecord, boot: u64) -> Option<(Option<PoolId>, VmState)> {
    match &record.state {
        VmState::Draining { reboot: true, to } => {
            Some((None, VmState::Rebooting { from_boot: boot, to: to.clone() }))
        }
        VmState::Draining { reboot: false, .. } => Some((None, VmState::Held)),
        _ => None,
    }
}

fn is_serving(doc: &FleetDoc, vm: &VmId) -> bool {
    doc.vms.get(vm).is_some_and(|record| record.state == VmState::Serving)
}

fn returned(record: &VmRecord) -> Option<(Option<PoolId>, VmState)> {
    match &record.state {
        VmState::Rebooting { to, .. } => Some((Some(to.clone()), VmState::Serving)),
        _ => None,
    }
}

fn released(record: &VmRecord) -> Option<(Option<PoolId>, VmState)> {
    match &record.state {
        VmState::Held | VmState::Draining { .. } => Some((None, VmState::Serving)),
        _ => None,
    }
}
