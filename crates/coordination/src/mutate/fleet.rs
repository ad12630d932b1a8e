//! Changes of the VM records.

use std::collections::BTreeSet;

use state::{DataCentreId, FleetDoc, PoolId, Revision, VmId, VmRecord, VmState};

/// Availability that a planned stop must preserve in the pool of the VM.
#[derive(Debug, Clone)]
pub struct AvailabilityBudget {
    /// Revision of the configuration that this budget was computed from.
    pub config: Revision,
    /// Minimum number of VMs that must stay available.
    pub min_available: u32,
    /// Data centres that are taken out of service.
    pub out_data_centres: BTreeSet<DataCentreId>,
    /// VMs that are unavailable for reasons other than a planned stop.
    pub unavailable: BTreeSet<VmId>,
}

/// Change of one VM record, or of the configuration revision of all records.
#[derive(Debug, Clone)]
pub enum FleetMutation {
    /// Raises the revision of the configuration that the records follow.
    FollowConfig {
        /// Revision of the configuration.
        config: Revision,
    },
    /// Adds the record of a VM that the platform lists.
    AddRecord {
        /// VM to add.
        vm: VmId,
        /// Pool in which the VM was created.
        pool: PoolId,
        /// Data centre of the VM.
        data_centre: DataCentreId,
    },
    /// Removes the record of a VM that the platform no longer lists.
    RemoveRecord {
        /// VM to remove.
        vm: VmId,
    },
    /// Begins a planned stop.
    BeginDrain {
        /// VM to drain.
        vm: VmId,
        /// Whether the VM is rebooted once it is drained.
        reboot: bool,
        /// Pool in which the VM serves afterwards.
        to: PoolId,
        /// Availability that the planned stop must preserve.
        budget: AvailabilityBudget,
    },
    /// Marks a drained VM as rebooting or held.
    FinishDrain {
        /// VM that is drained.
        vm: VmId,
        /// Epoch that the record must have.
        epoch: u64,
        /// Boot count of the VM before a reboot.
        boot: u64,
    },
    /// Returns a VM to service after its reboot.
    FinishReboot {
        /// VM that was rebooted.
        vm: VmId,
        /// Epoch that the record must have.
        epoch: u64,
    },
    /// Returns a held or draining VM to service.
    Release {
        /// VM to return.
        vm: VmId,
    },
}

impl FleetMutation {
    /// VM whose record is changed; `None` for a change of all records.
    pub fn vm(&self) -> Option<&VmId> {
        match self {
            Self::FollowConfig { .. } => None,
            Self::AddRecord { vm, .. }
            | Self::RemoveRecord { vm }
            | Self::BeginDrain { vm, .. }
            | Self::FinishDrain { vm, .. }
            | Self::FinishReboot { vm, .. }
            | Self::Release { vm } => Some(vm),
        }
    }
}

/// Result of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FleetResult {
    /// The document contains the change.
    Applied,
    /// The pool would have fewer available VMs than the budget requires.
    OverBudget,
    /// The budget was computed from an older configuration than the one that the
    /// records follow.
    Outdated,
    /// The VM has no record, or its record does not allow the change.
    NotApplicable,
}

/// Applies one change.
pub fn apply(doc: &mut FleetDoc, mutation: &FleetMutation) -> FleetResult {
    match mutation {
        FleetMutation::FollowConfig { config } => {
            doc.config = doc.config.max(*config);
            FleetResult::Applied
        }
        FleetMutation::AddRecord { vm, pool, data_centre } => {
            add_record(doc, vm, pool, data_centre)
        }
        FleetMutation::RemoveRecord { vm } => {
            doc.vms.remove(vm);
            FleetResult::Applied
        }
        FleetMutation::BeginDrain { vm, reboot, to, budget } => {
            begin_drain(doc, vm, *reboot, to, budget)
        }
        FleetMutation::FinishDrain { vm, epoch, boot } => {
            update_record(doc, vm, Some(*epoch), |record| state_after_drain(record, *boot))
        }
        FleetMutation::FinishReboot { vm, epoch } => {
            update_record(doc, vm, Some(*epoch), state_after_reboot)
        }
        FleetMutation::Release { vm } if is_serving(doc, vm) => FleetResult::Applied,
        FleetMutation::Release { vm } => update_record(doc, vm, None, state_after_release),
    }
}

fn add_record(
    doc: &mut FleetDoc,
    vm: &VmId,
    pool: &PoolId,
    data_centre: &DataCentreId,
) -> FleetResult {
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

fn begin_drain(
    doc: &mut FleetDoc,
    vm: &VmId,
    reboot: bool,
    to: &PoolId,
    budget: &AvailabilityBudget,
) -> FleetResult {
    let draining = VmState::Draining { reboot, to: to.clone() };
    let Some(record) = doc.vms.get(vm) else { return FleetResult::NotApplicable };
    if record.state == draining {
        return FleetResult::Applied;
    }
    if record.state != VmState::Serving {
        return FleetResult::NotApplicable;
    }
    if budget.config < doc.config {
        return FleetResult::Outdated;
    }
    let available = doc.serving_vms(&record.pool).filter(|(other, other_record)| {
        *other != vm
            && !budget.unavailable.contains(*other)
            && !budget.out_data_centres.contains(&other_record.data_centre)
    });
    if (available.count() as u32) < budget.min_available {
        return FleetResult::OverBudget;
    }
    doc.config = budget.config;
    update_record(doc, vm, None, |_| Some((None, draining.clone())))
}

/// Sets the pool and state that `decide` returns and raises the epoch of the
/// record. A record without a pool in the decision keeps its pool.
fn update_record(
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

fn state_after_drain(record: &VmRecord, boot: u64) -> Option<(Option<PoolId>, VmState)> {
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

fn state_after_reboot(record: &VmRecord) -> Option<(Option<PoolId>, VmState)> {
    match &record.state {
        VmState::Rebooting { to, .. } => Some((Some(to.clone()), VmState::Serving)),
        _ => None,
    }
}

fn state_after_release(record: &VmRecord) -> Option<(Option<PoolId>, VmState)> {
    match &record.state {
        VmState::Held | VmState::Draining { .. } => Some((None, VmState::Serving)),
        _ => None,
    }
}
