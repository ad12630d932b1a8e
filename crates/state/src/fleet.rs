//! VMs: what the platform lists, and what pollenfall has decided for each.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Cores, DataCentreId, Mebibytes, PoolId, RackId, Revision, SlotCount, VmId};

/// What a VM does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmRole {
    /// Answers callers' requests.
    Minion,
    /// Runs tasks under leases.
    Worker,
    /// Runs a daemon.
    Entry,
}

/// How the platform's lagging list shows a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmPresence {
    /// It runs.
    Live,
    /// It is being taken away by the platform.
    Leaving,
    /// It is between a reboot's start and end.
    Rebooting,
}

/// One VM in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmListing {
    /// The VM.
    pub vm: VmId,
    /// IP address and port of what runs on it.
    pub address: Box<str>,
    /// What it does.
    pub role: VmRole,
    /// The pool it was created in.
    pub pool: PoolId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its rack.
    pub rack: RackId,
    /// Requests it runs at one time, for a minion.
    pub slots: SlotCount,
    /// Cores, for a worker.
    pub cores: Cores,
    /// Memory, for a worker.
    pub memory: Mebibytes,
    /// Accelerators, for a worker.
    #[serde(default)]
    pub accelerators: u32,
    /// How often it has booted; a reboot adds one.
    pub boot: u64,
    /// Whether it is live.
    pub presence: VmPresence,
}

/// What pollenfall is doing with a VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum VmState {
    /// It takes work.
    Serving,
    /// It takes no new work; what it has runs to its end.
    Draining {
        /// Reboot it once it is empty.
        reboot: bool,
        /// The pool it serves in afterwards.
        to: PoolId,
    },
    /// The platform was asked to reboot it.
    Rebooting {
        /// The boot count before the reboot.
        from_boot: u64,
        /// The pool it serves in afterwards.
        to: PoolId,
    },
    /// Drained and held, until an operator returns it.
    Held,
}

/// The one record of a VM. It names one pool, so a VM is in exactly one pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// The pool it belongs to.
    pub pool: PoolId,
    /// Its data centre, for budgets while the list is stale.
    pub data_centre: DataCentreId,
    /// What is being done with it.
    pub state: VmState,
    /// Goes up with each change; platform calls carry it as a fence.
    pub epoch: u64,
}

/// Every VM's record in one document, so that a budget check and the drain
/// that it permits are one atomic step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct FleetDoc {
    /// The configuration that the records go by. A change of configuration is
    /// accepted only once it stands here, so no planned stop that was decided
    /// under an older one can be written any more.
    #[serde(default)]
    pub config: Revision,
    /// Records by VM.
    pub vms: BTreeMap<VmId, VmRecord>,
}

impl FleetDoc {
    /// VMs of `pool` that are not in a planned stop.
    pub fn serving(&self, pool: &PoolId) -> impl Iterator<Item = (&VmId, &VmRecord)> {
        let pool = pool.clone();
        self.vms
            .iter()
            .filter(move |(_, record)| record.pool == pool && record.state == VmState::Serving)
    }
}
