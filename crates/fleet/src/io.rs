//! Calls to the store, to minions and to the cloud, and their answers.

use std::net::SocketAddr;

use jobs::{RunNumber, TaskName};
use state::{Millis, MinionId, PoolId, Revision, VmId};

use crate::key::{KeyScope, StoreKey};
use crate::model::{FleetConfig, MinionReport, VmReport, WaveOrder, WavePhase};

/// A lease of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeaseId(pub u64);

/// What a key holds, decoded.
#[derive(Debug, Clone, PartialEq)]
pub enum ItemValue {
    /// The operator's configuration.
    Config(Box<FleetConfig>),
    /// The operator wants a data centre empty.
    Evacuation,
    /// The operator wants upkeep.
    Wave(WaveOrder),
    /// A minion's report.
    Minion(MinionReport),
    /// Bytes that pollenfall itself wrote.
    Own(Box<[u8]>),
    /// It cannot be read, with the reason.
    Unreadable(Box<str>),
}

/// One item of the store.
#[derive(Debug, Clone, PartialEq)]
pub struct StoreItem {
    /// Its key.
    pub key: StoreKey,
    /// What it holds.
    pub value: ItemValue,
    /// Its last change.
    pub revision: Revision,
    /// Its creation.
    pub created: Revision,
}

/// A change that a watch brought.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreEvent {
    /// Written.
    Put(StoreItem),
    /// Removed.
    Removed(StoreKey),
}

/// A value to write.
#[derive(Debug, Clone, PartialEq)]
pub enum PutValue {
    /// One of pollenfall's own records.
    Own(Box<[u8]>),
    /// What the operator is told of a wave.
    Status(WavePhase),
}

/// One row of a commit.
#[derive(Debug, Clone, PartialEq)]
pub struct StorePut {
    /// The key.
    pub key: StoreKey,
    /// The value.
    pub value: PutValue,
    /// The lease with which the item ends.
    pub lease: Option<LeaseId>,
}

/// Changes that are made all together, and only if every expectation holds.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct StoreCommit {
    /// Revisions that keys must have; 0 is "absent".
    pub expect: Vec<(StoreKey, Revision)>,
    /// Written.
    pub puts: Vec<StorePut>,
    /// Removed.
    pub remove: Vec<StoreKey>,
}

impl StoreCommit {
    /// Rows, which the store bounds.
    pub fn rows(&self) -> usize {
        self.expect.len() + self.puts.len() + self.remove.len()
    }
}

/// A call to the store.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreCall {
    /// Reads one key.
    Read(StoreKey),
    /// Reads one page of a scope.
    Range {
        /// What to read.
        scope: KeyScope,
        /// The last key of the page before.
        after: Option<StoreKey>,
    },
    /// Waits for changes.
    Watch {
        /// What to watch.
        scope: KeyScope,
        /// Changes after this revision.
        after: Revision,
        /// How long the store may wait.
        wait: Millis,
    },
    /// Changes keys.
    Commit(StoreCommit),
    /// Asks for a lease.
    Lease(Millis),
    /// Renews a lease.
    Renew(LeaseId),
    /// Ends a lease.
    EndLease(LeaseId),
}

/// The store's answer.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreAnswer {
    /// Of a read or a range.
    Items {
        /// The items.
        items: Vec<StoreItem>,
        /// Another page follows.
        more: bool,
        /// The store's revision at the answer.
        at: Revision,
    },
    /// Of a watch.
    Events {
        /// The changes, in order.
        events: Vec<StoreEvent>,
        /// Where to go on.
        at: Revision,
    },
    /// The history that a watch asked for is gone.
    Compacted,
    /// A commit took effect.
    Committed(Revision),
    /// An expectation did not hold; the current items, absent ones left out.
    Conflict(Vec<StoreItem>),
    /// There is no such key or lease.
    Absent,
    /// A lease was given or renewed.
    Leased(LeaseId, Millis),
    /// Nothing was done.
    Refused,
    /// Nobody knows whether the call took effect.
    Unknown,
}

/// Which life of which minion an order is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MinionTarget {
    /// The minion.
    pub minion: MinionId,
    /// Where it takes orders.
    pub address: SocketAddr,
}

/// An order to a minion, fenced by the owner's token.
#[derive(Debug, Clone, PartialEq)]
pub enum MinionCall {
    /// Starts a run.
    Start {
        /// The task.
        task: TaskName,
        /// The run.
        run: RunNumber,
        /// The job's text.
        payload: Box<str>,
        /// On the minion's clock: it refuses a later start, and its lease lasts so long.
        until_clock: u64,
        /// Where to go on from.
        checkpoint: Option<Box<str>>,
        /// The adviser's ticket.
        ticket: Option<Box<str>>,
    },
    /// Stops a run.
    Stop {
        /// The task.
        task: TaskName,
        /// The run.
        run: RunNumber,
    },
    /// Renews the lease of all that runs, and lists what runs and what has ended.
    Hold {
        /// On the minion's clock.
        until_clock: Option<u64>,
        /// Ends up to this number are in the store.
        saved_end: u64,
        /// How long the minion may wait for an end.
        wait: Millis,
    },
    /// Lets a run have a share of its processor time.
    Throttle {
        /// The task.
        task: TaskName,
        /// The run.
        run: RunNumber,
        /// 0 to 100.
        percent: u8,
    },
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndKind {
    /// The work is done.
    Done,
    /// It failed.
    Failed,
    /// It was stopped.
    Stopped,
    /// Its lease lapsed.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The others of its gang did not come.
    Alone,
}

/// A run that a minion lists as running.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningRow {
    /// The task.
    pub task: TaskName,
    /// The run.
    pub run: RunNumber,
    /// Its last checkpoint.
    pub checkpoint: Option<Box<str>>,
    /// Progress; a lasting task is at work at 100.
    pub percent: u8,
    /// Milliseconds of the tail for a serving task, thousandths of a core for others.
    pub reported_metric: Option<u64>,
}

/// A run that a minion lists as ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedRow {
    /// Counts from 1 in each life of the minion.
    pub number: u64,
    /// The task.
    pub task: TaskName,
    /// The run.
    pub run: RunNumber,
    /// How.
    pub kind: EndKind,
    /// Its last checkpoint.
    pub checkpoint: Option<Box<str>>,
}

/// Why a minion did not carry an order out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderRefusal {
    /// A later owner has given it orders.
    Fenced,
    /// The run is not later than one that ended there.
    Old,
    /// The order came after its time.
    Late,
    /// There is no room.
    Room,
    /// The ticket is not valid.
    Ticket,
    /// The minion does nothing at present.
    Unhealthy,
    /// The order is malformed.
    Malformed,
}

/// A minion's answer.
#[derive(Debug, Clone, PartialEq)]
pub enum MinionAnswer {
    /// Carried out.
    Ok {
        /// The minion's clock.
        clock_ms: u64,
    },
    /// Of a hold.
    Held {
        /// The minion's clock.
        clock_ms: u64,
        /// When this life began.
        minion_incarnation: u64,
        /// What runs.
        running: Vec<RunningRow>,
        /// What has ended and is not noted.
        ended: Vec<EndedRow>,
    },
    /// Nothing was done.
    Refused(OrderRefusal),
    /// Another life or another minion is at that address.
    WrongLife,
    /// Nobody knows whether the order is or will be carried out.
    Unknown,
}

/// A call to the cloud.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudCall {
    /// Lists every VM.
    List,
    /// Takes a VM down for its upkeep.
    Maintenance {
        /// The VM.
        vm: VmId,
        /// The wave.
        wave: u64,
        /// Fences the order.
        token: u64,
    },
    /// Moves a VM.
    Move {
        /// The VM.
        vm: VmId,
        /// Its new pool.
        pool: PoolId,
        /// Fences the order.
        token: u64,
    },
}

/// The cloud's answer.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudAnswer {
    /// All VMs.
    Listed(Vec<VmReport>),
    /// Carried out, now or before.
    Done,
    /// The VM is not up, or is leaving.
    Busy,
    /// Not done, and never will be: the reason.
    Refused(Box<str>),
    /// Nothing was done; later it may be.
    NotNow,
    /// Nobody knows.
    Unknown,
}
