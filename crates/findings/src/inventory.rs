//! VMs of a deployment, as far as a check needs them.

use jobs::Resources;
use state::{PoolId, VmId};

/// VM of a deployment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InventoryVm {
    /// Name of the VM.
    pub vm: VmId,
    /// Pool of the VM.
    pub pool: PoolId,
    /// Labels of the VM, which include its rack; `None` where the list does not state them.
    pub labels: Option<Vec<Box<str>>>,
    /// Resources of the VM; `None` where the list does not state them.
    pub capacity: Option<Resources>,
}

/// List of the VMs of a deployment.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct VmInventory {
    /// VMs in the order of the list.
    pub vms: Vec<InventoryVm>,
}

impl VmInventory {
    /// Returns the number of VMs of a pool.
    pub fn count_in_pool(&self, pool: &PoolId) -> usize {
        self.vms.iter().filter(|known| known.pool == *pool).count()
    }

    /// Returns whether the list has the VM.
    pub fn has_vm(&self, vm: &VmId) -> bool {
        self.vms.iter().any(|known| known.vm == *vm)
    }

    /// Returns whether the list states labels at all.
    pub fn states_labels(&self) -> bool {
        self.vms.iter().any(|known| known.labels.is_some())
    }

    /// Returns the VMs that have a label; all VMs if `label` is `None`.
    pub fn with_label(&self, label: Option<&str>) -> impl Iterator<Item = &InventoryVm> {
        self.vms.iter().filter(move |known| label.is_none_or(|label| known.has_label(label)))
    }
}

impl InventoryVm {
    fn has_label(&self, label: &str) -> bool {
        self.labels.iter().flatten().any(|known| &**known == label)
    }
}
