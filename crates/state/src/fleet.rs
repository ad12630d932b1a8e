//! VMs: the entries of the platform's VM list, and pollenfall's own record of each VM.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Cores, DataCentreId, Mebibytes, PoolId, RackId, Revision, SlotCount, VmId};

/// Role of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmRole {
    /// The VM answers callers' requests.
    Minion,
    /// The VM runs tasks under leases.
    Worker,
    /// The VM runs a daemon.
    Entry,
}

/// Condition of a VM according to the platform's list, which lags behind the real condition.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmPresence {
    /// The VM runs.
    Live,
    /// The platform is removing the VM.
    Leaving,
    /// A reboot of the VM has started and not ended.
    Rebooting,
}

/// Entry of one VM in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmListing {
    /// Identifier of the VM.
    pub vm: VmId,
    /// IP address and port of the service that runs on the VM.
    pub address: Box<str>,
    /// Role of the VM.
    pub role: VmRole,
    /// Pool in which the VM was created.
    pub pool: PoolId,
    /// Data centre of the VM.
    pub data_centre: DataCentreId,
    /// Rack of the VM.
    pub rack: RackId,
    /// Number of requests that the VM runs at the same time; used for minions only.
    pub slots: SlotCount,
    /// Number of processor cores; used for workers only.
    pub cores: Cores,
    /// Memory in MiB; used for workers only.
    pub memory: Mebibytes,
    /// Number of accelerators; used for workers only.
    #[serde(default)]
    pub accelerators: u32,
    /// Boot count of the VM; each reboot increments it.
    pub boot: u64,
    /// Condition of the VM according to the platform.
    pub presence: VmPresence,
}

/// State of a VM in pollenfall's own record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum VmState {
    /// The VM accepts work.
    Serving,
    /// The VM accepts no new work; requests and tasks that already run may finish.
    Draining {
        /// Whether the VM is rebooted once it is drained.
        reboot: bool,
        /// Pool in which the VM serves afterwards.
        to: PoolId,
    },
    /// A reboot of the VM was requested from the platform.
    Rebooting {
        /// Boot count before the reboot.
        from_boot: u64,
        /// Pool in which the VM serves afterwards.
        to: PoolId,
    },
    /// The VM is drained and stays out of service until an operator returns it.
    Held,
}

/// Record of a VM. A VM has one record and the record names one pool, so each VM is in exactly one
/// pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// Pool to which the VM belongs.
    pub pool: PoolId,
    /// Data centre of the VM, stored here so that disruption budgets can be checked while the
    /// platform's list is stale.
    pub data_centre: DataCentreId,
    /// Current state of the VM.
    pub state: VmState,
    /// Epoch that increases with each change of the record; platform calls carry it as a fencing
    /// token.
    pub epoch: u64,
}

/// Records of all VMs in one document, so that the check of a disruption budget and the drain that
/// the check permits are one atomic write.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct FleetDoc {
    /// Revision of the configuration on which the records are based. A change of configuration is
    /// accepted only after its revision is written here, so a planned stop that was decided under
    /// an older configuration can no longer be written.
    #[serde(default)]
    pub config: Revision,
    /// VM records by VM.
    pub vms: BTreeMap<VmId, VmRecord>,
}

impl FleetDoc {
    /// Returns the VMs of `pool` that are not in a planned stop.
    pub fn serving_vms(&self, pool: &PoolId) -> impl Iterator<Item = (&VmId, &VmRecord)> {
        let pool = pool.clone();
        self.vms
            .iter()
            .filter(move |(_, record)| record.pool == pool && record.state == VmState::Serving)
    }
}
