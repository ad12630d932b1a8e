//! Reads a list of VMs in the form of the product's own platform interface.

use findings::{InventoryVm, SourceFile, VmInventory};
use jobs::Resources;
use serde::Deserialize;
use state::{AcceleratorCount, Millicores, Position, SettingFault, VmListing, VmRole};

/// Answer to a request for the list of VMs.
#[derive(Deserialize)]
struct VmListDoc {
    vms: Vec<VmListing>,
}

/// Reads a list of VMs, in the product's form or in a form of the platform.
///
/// # Errors
///
/// Returns a fault if the file has none of the forms.
pub(crate) fn read_inventory(source: &SourceFile) -> Result<VmInventory, SettingFault> {
    if source.value.field("vms").is_none() {
        return platform::check::read_inventory(source);
    }
    let doc: VmListDoc = serde_json::from_value(source.value.to_json()?)
        .map_err(|error| SettingFault::new(Position::START, format!("the list of VMs: {error}")))?;
    let runs_work = |listing: &&VmListing| listing.role != VmRole::Entry;
    Ok(VmInventory { vms: doc.vms.iter().filter(runs_work).map(convert_listing).collect() })
}

fn convert_listing(listing: &VmListing) -> InventoryVm {
    // Only workers state their sizes.
    let capacity = (listing.role == VmRole::Worker).then(|| Resources {
        processor: Millicores(u64::from(listing.cores.0) * 1_000),
        memory: listing.memory,
        accelerators: AcceleratorCount(listing.accelerators),
    });
    InventoryVm {
        vm: listing.vm.clone(),
        pool: listing.pool.clone(),
        labels: Some(vec![listing.rack.as_str().into()]),
        capacity,
    }
}
