//! Checks of a job and of the pools' policies against a list of VMs.

use std::collections::BTreeMap;

use findings::{FindingList, InventoryVm, SourceFile, VmInventory};
use jobs::{JobSpec, Resources, StepSpec};
use state::{ConfigEdit, PoolId, Position};

use crate::job::step_position;
use crate::lists::entry_positions;

/// Checks that each step of a job can run on some VM of the list.
pub(crate) fn check_job_capacity(
    source: &SourceFile,
    job: &JobSpec,
    inventory: &VmInventory,
    list: &mut FindingList,
) {
    for (index, step) in job.steps.iter().enumerate() {
        let at = |field: &str| step_position(source, index, field);
        if let Some((field, message)) = find_step_fault(step, inventory) {
            list.error(at(field), format!("step {index}: {message}"));
        }
        let rack = step.data_rack.as_deref();
        let is_unknown_rack = rack.is_some() && inventory.with_label(rack).next().is_none();
        if is_unknown_rack && inventory.states_labels() {
            let rack = rack.unwrap_or_default();
            let message = format!("step {index}: no VM of the list is in rack {rack:?}");
            list.warn(at("near"), message);
        }
    }
}

/// Returns why no VM of the list can run a step's tasks, with the field that is the cause.
fn find_step_fault(step: &StepSpec, inventory: &VmInventory) -> Option<(&'static str, String)> {
    let label = step.label.as_deref().filter(|_| inventory.states_labels());
    let candidates: Vec<&InventoryVm> = inventory.with_label(label).collect();
    if candidates.is_empty() {
        let label = label?;
        return Some(("label", format!("no VM of the list has the label {label:?}")));
    }
    let capacities: Vec<Resources> = candidates.iter().filter_map(|known| known.capacity).collect();
    if capacities.len() < candidates.len() {
        return None;
    }
    if !capacities.iter().any(|capacity| step.demand.fits_within(capacity)) {
        return Some(("needs", "one task needs more than any VM of the list has".to_owned()));
    }
    let places: u64 = capacities.iter().map(|capacity| places_on(step, capacity)).sum();
    (step.gang && places < u64::from(step.tasks)).then(|| {
        let message = format!(
            "the VMs of the list together have room for {places} of the {} tasks of the gang",
            step.tasks
        );
        ("tasks", message)
    })
}

/// Returns how many tasks of a step fit on an empty VM.
fn places_on(step: &StepSpec, capacity: &Resources) -> u64 {
    let count = |capacity: u64, demand: u64| capacity.checked_div(demand).unwrap_or(u64::MAX);
    let demand = &step.demand;
    let by_size = count(capacity.processor.0, demand.processor.0)
        .min(count(capacity.memory.0.into(), demand.memory.0.into()))
        .min(count(capacity.accelerators.0.into(), demand.accelerators.0.into()));
    by_size.min(step.max_per_minion.unwrap_or(step.tasks).into())
}

/// Checks that the pools' policies allow a planned stop of at least one VM.
pub(crate) fn check_pool_policies(
    source: &SourceFile,
    edit: &ConfigEdit,
    inventory: &VmInventory,
    list: &mut FindingList,
) {
    let ConfigEdit::Grants { pools, .. } = edit else { return };
    let sizes = pool_sizes(inventory);
    let positions = entry_positions(&source.value, "pools");
    for (pool, policy) in pools {
        let position = positions.get(pool.as_str()).copied().unwrap_or(Position::START);
        let size = sizes.get(pool).copied().unwrap_or(0);
        if size == 0 {
            list.warn(position, format!("pool {pool}: no VM of the list is in the pool"));
        } else if u64::from(policy.min_available) >= size {
            let message = format!(
                "pool {pool}: \"min_available\" of {} forbids every drain, because the pool has \
                 {size} VMs",
                policy.min_available
            );
            list.error(position, message);
        }
    }
}

fn pool_sizes(inventory: &VmInventory) -> BTreeMap<&PoolId, u64> {
    let mut sizes = BTreeMap::new();
    for known in &inventory.vms {
        *sizes.entry(&known.pool).or_default() += 1;
    }
    sizes
}
