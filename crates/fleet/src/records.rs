//! Records that pollenfall keeps in the store, as JSON texts.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use jobs::{JobProgress, Resources};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use state::{DaemonId, Incarnation, MinionId, PoolId, TeamId, VmId};

/// Who has a duty.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRecord {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its run.
    pub incarnation: Incarnation,
}

/// A minion on which tasks of a pool may run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterRow {
    /// Where it takes orders.
    pub address: SocketAddr,
    /// When this life began.
    #[serde(rename = "born")]
    pub minion_incarnation: u64,
    /// Ends up to this number are in the jobs' progress.
    #[serde(rename = "noted")]
    pub saved_end: u64,
}

/// A failed end that its minion may not have been told to forget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UncertainFailure {
    /// The minion.
    pub minion: MinionId,
    /// When the life that lists the end began.
    #[serde(rename = "born")]
    pub minion_incarnation: u64,
    /// The end.
    pub number: u64,
    /// Occurrence, step and index of the task.
    pub task: (u32, u16, u32),
}

/// What has ended of a job.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ProgressRecord {
    /// A letter a task; doubted failures are counted.
    #[serde(rename = "marks")]
    pub progress: JobProgress,
    /// Failures that are taken back if the minion's life ends first.
    #[serde(default)]
    #[serde(rename = "doubts")]
    pub uncertain_failures: Vec<UncertainFailure>,
}

/// Every minion on which tasks of a pool may run.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PoolRoster {
    /// By minion.
    pub minions: BTreeMap<MinionId, RosterRow>,
}

/// A pool's part of a team's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PoolAllocation {
    /// What the pool may have running for the team.
    #[serde(rename = "part")]
    pub allocated: Resources,
    /// What it would have running if it could.
    #[serde(rename = "want")]
    pub requested: Resources,
}

/// All teams' limits, split among pools.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct AllocationDoc {
    /// By team and pool.
    pub teams: BTreeMap<TeamId, BTreeMap<PoolId, PoolAllocation>>,
}

/// What a pool asks of the mover.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PoolDemand {
    /// VMs that it wants besides those that it has.
    #[serde(rename = "wanted")]
    pub requested: u32,
    /// VMs that it has emptied and can spare.
    #[serde(rename = "spared")]
    pub offered: BTreeSet<VmId>,
    /// VMs that it had before it first wanted more: it spares none of these.
    #[serde(rename = "own")]
    pub baseline: u32,
}

/// How far a VM of a wave has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmMaintenance {
    /// It may be down: the order was or is about to be given.
    Down,
    /// It has been maintained, or is gone for good.
    Done,
}

/// How far a wave has come; VMs that are not in it wait for their turn.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct WaveProgressDoc {
    /// By VM.
    pub vms: BTreeMap<VmId, VmMaintenance>,
}

/// The bytes of a record.
pub(crate) fn encode<T: Serialize>(record: &T) -> Box<[u8]> {
    serde_json::to_vec(record).expect("records have text keys only").into()
}

/// Reads a record.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Box<str>> {
    serde_json::from_slice(bytes).map_err(|error| error.to_string().into())
}
