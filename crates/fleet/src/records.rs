//! Records that pollenfall keeps in the store, encoded as JSON.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use jobs::{JobProgress, Resources};
use policy::TurnRecord;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use state::{DaemonId, Incarnation, MinionId, PoolId, TeamId, VmId};

/// Record of the daemon that owns a shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRecord {
    /// Daemon that owns the shard.
    pub daemon: DaemonId,
    /// Incarnation of that daemon.
    pub incarnation: Incarnation,
}

/// Minion on which tasks of a pool may run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterRow {
    /// Address at which the minion takes orders.
    pub address: SocketAddr,
    /// Start time of this incarnation of the minion, in milliseconds since 1970.
    #[serde(rename = "born")]
    pub minion_incarnation: u64,
    /// Finished runs up to this number were saved in the jobs' progress when the roster was
    /// written.
    #[serde(rename = "noted")]
    pub saved_end: u64,
    /// VM that the minion runs on; no earlier minion of this VM runs any more.
    #[serde(default)]
    pub vm: Option<VmId>,
    /// Whether runs that the writer of the roster did not know may still execute there.
    #[serde(default = "RosterRow::default_flag")]
    pub may_have_runs: bool,
    /// Whether the minion had answered its owner in this incarnation, so that the owner's orders named
    /// ends of leases by its clock.
    #[serde(default = "RosterRow::default_flag")]
    pub has_answered: bool,
}

impl RosterRow {
    fn default_flag() -> bool {
        true
    }
}

/// Failed run whose end may not have been acknowledged to its minion.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UncertainFailure {
    /// Minion that lists the finished run.
    pub minion: MinionId,
    /// Start time of the minion's incarnation that lists the finished run.
    #[serde(rename = "born")]
    pub minion_incarnation: u64,
    /// Number of the finished run in the minion's list.
    pub number: u64,
    /// Occurrence, step and index of the task.
    pub task: (u32, u16, u32),
}

/// Progress of a job: its finished tasks and its failures.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ProgressRecord {
    /// One letter per task; uncertain failures are included.
    #[serde(rename = "marks")]
    pub progress: JobProgress,
    /// Failures that are discounted if the minion's incarnation ends before the
    /// acknowledgement.
    #[serde(default)]
    #[serde(rename = "doubts")]
    pub uncertain_failures: Vec<UncertainFailure>,
}

/// All minions on which tasks of a pool may run.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PoolRoster {
    /// Roster rows by minion.
    pub minions: BTreeMap<MinionId, RosterRow>,
}

/// Number of commits that have saved changes of a pool in one lane. Each of them replaces this
/// record, so they take effect in one order, and one that is carried out late takes none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct SaveSequence {
    /// Number of commits, over all owners of the pool.
    pub commits: u64,
}

/// Quota allocation of one pool: its part of a team's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PoolAllocation {
    /// Resources that the pool may have in use for the team.
    #[serde(rename = "part")]
    pub allocated: Resources,
    /// Resources that the pool would have in use for the team without the limit.
    #[serde(rename = "want")]
    pub requested: Resources,
}

/// Quota allocations of all teams: each team's limit, split among pools.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct AllocationDoc {
    /// Allocations by team and pool.
    pub teams: BTreeMap<TeamId, BTreeMap<PoolId, PoolAllocation>>,
}

/// VMs that a pool requests from the VM controller, and VMs that the pool offers.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PoolDemand {
    /// Number of VMs that the pool requests in addition to those that it has.
    #[serde(rename = "wanted")]
    pub requested: u32,
    /// Drained VMs that the pool offers to other pools.
    #[serde(rename = "spared")]
    pub offered: BTreeSet<VmId>,
    /// Number of VMs that the pool had at first.
    #[serde(rename = "own")]
    pub baseline: u32,
    /// Number of VMs of the pool that its owner knew when it computed the request; VMs beyond
    /// these have moved to the pool since. `None` in records of earlier versions.
    #[serde(rename = "known", default)]
    pub known_vms: Option<u32>,
    /// Bursts of the pool's demand, from which its next owner goes on. `None` in records of earlier
    /// versions.
    #[serde(default)]
    pub turns: Option<TurnRecord>,
}

/// Maintenance state of a VM in a wave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmMaintenance {
    /// The VM may be down: the maintenance order was given or is about to be given.
    Down,
    /// The VM has been maintained or no longer exists.
    Done,
}

/// Progress of a wave; VMs without an entry are still waiting.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct WaveProgressDoc {
    /// Maintenance states by VM.
    pub vms: BTreeMap<VmId, VmMaintenance>,
}

/// Encodes a record as JSON bytes.
pub(crate) fn encode<T: Serialize>(record: &T) -> Box<[u8]> {
    serde_json::to_vec(record).expect("records have text keys only").into()
}

/// Decodes a record from JSON bytes.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Box<str>> {
    serde_json::from_slice(bytes).map_err(|error| error.to_string().into())
}
