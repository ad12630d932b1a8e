//! Calls to the store, the minions and the cloud, and their answers.

use std::net::SocketAddr;

use jobs::{RunNumber, TaskName};
use state::{Millis, MinionId, PoolId, Revision, VmId};

use crate::key::{KeyScope, StoreKey};
use crate::model::{FleetConfig, LinkRate, MinionReport, VmReport, WaveOrder, WavePhase};
use crate::timing::STORE_TIMEOUT;

/// Maximum size of one page of a range, in bytes: a megabyte of values as base64 text, with
/// the other fields of 500 items.
const MAX_PAGE_BYTES: u64 = 1_450_000;
/// Divisor of the part of the link that a range may count on; other calls use the rest.
const PAGE_LINK_SHARE: u64 = 2;

/// Identifier of a lease in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeaseId(pub u64);

/// Decoded value of a key.
#[derive(Debug, Clone, PartialEq)]
pub enum ItemValue {
    /// Configuration by the operator.
    Config(Box<FleetConfig>),
    /// Order of the operator to evacuate a data centre.
    Evacuation,
    /// Maintenance wave that the operator ordered.
    Wave(WaveOrder),
    /// Report of a minion.
    Minion(MinionReport),
    /// Bytes of a record that pollenfall itself wrote.
    Own(Box<[u8]>),
    /// Reason why the value cannot be read.
    Unreadable(Box<str>),
}

/// Item of the store.
#[derive(Debug, Clone, PartialEq)]
pub struct StoreItem {
    /// Key of the item.
    pub key: StoreKey,
    /// Decoded value of the item.
    pub value: ItemValue,
    /// Revision of the item's last change.
    pub revision: Revision,
    /// Revision of the item's creation.
    pub created: Revision,
}

/// Change that a watch delivers.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreEvent {
    /// Item that was created or changed.
    Put(StoreItem),
    /// Key that was removed.
    Removed(StoreKey),
}

/// Value that a commit writes.
#[derive(Debug, Clone, PartialEq)]
pub enum PutValue {
    /// Bytes of a record of pollenfall itself.
    Own(Box<[u8]>),
    /// Status of a wave, shown to the operator.
    Status(WavePhase),
}

/// Write of one key in a commit.
#[derive(Debug, Clone, PartialEq)]
pub struct StorePut {
    /// Key to write.
    pub key: StoreKey,
    /// Value to write.
    pub value: PutValue,
    /// Lease that the item is bound to; the store removes the item when the lease ends.
    pub lease: Option<LeaseId>,
}

/// Changes that the store applies together, and only if every expectation holds.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct StoreCommit {
    /// Expected revisions of keys; revision 0 means that the key is absent.
    pub expect: Vec<(StoreKey, Revision)>,
    /// Keys to write.
    pub puts: Vec<StorePut>,
    /// Keys to remove.
    pub remove: Vec<StoreKey>,
}

impl StoreCommit {
    /// Returns the number of rows, which the store bounds.
    pub fn rows(&self) -> usize {
        self.expect.len() + self.puts.len() + self.remove.len()
    }
}

/// Call to the store.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreCall {
    /// Reads one key.
    Read(StoreKey),
    /// Reads one page of a scope.
    Range {
        /// Scope to read.
        scope: KeyScope,
        /// Last key of the previous page, or `None` for the first page.
        after: Option<StoreKey>,
    },
    /// Waits for changes in a scope.
    Watch {
        /// Scope to watch.
        scope: KeyScope,
        /// Revision after which changes are delivered.
        after: Revision,
        /// Maximum duration that the store waits for a change.
        wait: Millis,
    },
    /// Writes and removes keys.
    Commit(StoreCommit),
    /// Requests a lease of this duration.
    Lease(Millis),
    /// Renews a lease.
    Renew(LeaseId),
    /// Ends a lease.
    EndLease(LeaseId),
}

impl StoreCall {
    /// Whether the daemon's ownership of its shards depends on a timely answer, so that
    /// neither the call nor its answer may wait behind other work.
    pub fn is_lease_call(&self) -> bool {
        matches!(self, Self::Lease(_) | Self::Renew(_) | Self::EndLease(_))
    }

    /// Returns the time after which a call without a complete answer counts as unknown, on a
    /// daemon with this link.
    ///
    /// A short timeout notices connections that have gone silent, so only ranges, whose pages
    /// are long, get the time that their answer takes on the link.
    pub fn timeout(&self, link: LinkRate) -> Millis {
        let allowance = match self {
            Self::Range { .. } => link.transfer_time(MAX_PAGE_BYTES * PAGE_LINK_SHARE),
            Self::Watch { wait, .. } => *wait,
            _ => Millis(0),
        };
        Millis(STORE_TIMEOUT.0 + allowance.0)
    }
}

/// Answer of the store.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreAnswer {
    /// Result of a read or a range.
    Items {
        /// Items that were read.
        items: Vec<StoreItem>,
        /// Whether another page follows.
        more: bool,
        /// Revision of the store at the time of the answer.
        at: Revision,
    },
    /// Result of a watch.
    Events {
        /// Changes in order.
        events: Vec<StoreEvent>,
        /// Revision from which the next watch continues.
        at: Revision,
    },
    /// The store no longer has the history that the watch asked for.
    Compacted,
    /// The commit took effect at this revision.
    Committed(Revision),
    /// An expectation of the commit did not hold; contains the current items without
    /// absent ones.
    Conflict(Vec<StoreItem>),
    /// The key or lease does not exist.
    Absent,
    /// The lease was granted or renewed for this duration.
    Leased(LeaseId, Millis),
    /// The store did nothing.
    Refused,
    /// Unknown outcome: the call may or may not have taken effect.
    Unknown,
}

/// Minion and address to which an order is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MinionTarget {
    /// Minion that the order is for.
    pub minion: MinionId,
    /// Address at which the minion takes orders.
    pub address: SocketAddr,
}

/// Order to a minion, fenced by the owner's fencing token.
#[derive(Debug, Clone, PartialEq)]
pub enum MinionCall {
    /// Starts a run.
    Start {
        /// Task that the run executes.
        task: TaskName,
        /// Number of the run.
        run: RunNumber,
        /// Text of the job, handed to the run.
        payload: Box<str>,
        /// Time on the minion's clock after which the minion refuses the start, and
        /// until which the run's lease lasts.
        until_clock: u64,
        /// Checkpoint from which the run continues.
        checkpoint: Option<Box<str>>,
        /// Ticket of the adviser.
        ticket: Option<Box<str>>,
    },
    /// Stops a run.
    Stop {
        /// Task that the run executes.
        task: TaskName,
        /// Number of the run.
        run: RunNumber,
    },
    /// Renews the lease of all runs on a minion, and lists the running and finished
    /// runs.
    Hold {
        /// Time on the minion's clock until which the leases are renewed; `None` renews no
        /// lease.
        until_clock: Option<u64>,
        /// Finished runs up to this number are saved in the store.
        saved_end: u64,
        /// Maximum duration that the minion waits for a run to finish.
        wait: Millis,
    },
    /// Limits the processor share of a run.
    Throttle {
        /// Task that the run executes.
        task: TaskName,
        /// Number of the run.
        run: RunNumber,
        /// Processor share in percent, from 0 to 100.
        percent: u8,
    },
}

/// Way in which a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndKind {
    /// The run completed its work.
    Done,
    /// The run failed.
    Failed,
    /// The run was stopped.
    Stopped,
    /// The lease of the run expired.
    Lapsed,
    /// Another member of the run's gang ended.
    Broken,
    /// The other members of the run's gang did not arrive.
    Alone,
}

/// Run that a minion lists as running.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningRow {
    /// Task that the run executes.
    pub task: TaskName,
    /// Number of the run.
    pub run: RunNumber,
    /// Last checkpoint of the run.
    pub checkpoint: Option<Box<str>>,
    /// Progress in percent; 100 means that a long-running task is at work.
    pub percent: u8,
    /// Tail latency in milliseconds for a serving task, millicores for other tasks.
    pub reported_metric: Option<u64>,
}

/// Run that a minion lists as finished.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedRow {
    /// Number of the finished run, counted from 1 in each incarnation of the minion.
    pub number: u64,
    /// Task that the run executed.
    pub task: TaskName,
    /// Number of the run.
    pub run: RunNumber,
    /// Way in which the run ended.
    pub kind: EndKind,
    /// Last checkpoint of the run.
    pub checkpoint: Option<Box<str>>,
}

/// Reason why a minion refused an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderRefusal {
    /// A later owner has given orders to the minion.
    Fenced,
    /// The run is not later than a run that ended on the minion.
    Old,
    /// The order arrived after its validity had ended.
    Late,
    /// The minion lacks free capacity.
    Room,
    /// The ticket is not valid.
    Ticket,
    /// The minion is unhealthy and carries out no orders at present.
    Unhealthy,
    /// The order is malformed.
    Malformed,
}

/// Answer of a minion.
#[derive(Debug, Clone, PartialEq)]
pub enum MinionAnswer {
    /// The order was carried out.
    Ok {
        /// Time on the minion's clock, in milliseconds.
        clock_ms: u64,
    },
    /// Result of a hold.
    Held {
        /// Time on the minion's clock, in milliseconds.
        clock_ms: u64,
        /// Start time of the minion's incarnation, in milliseconds since 1970.
        minion_incarnation: u64,
        /// Runs that are running.
        running: Vec<RunningRow>,
        /// Finished runs that are not acknowledged as saved, those with the lowest numbers first.
        ended: Vec<EndedRow>,
        /// Whether the minion may have further finished runs, which it lists only once these are
        /// acknowledged. Nothing then follows from the absence of a run from both lists.
        has_more_ends: bool,
    },
    /// The minion did nothing, for this reason.
    Refused(OrderRefusal),
    /// Another incarnation of the minion or another minion is at the address.
    WrongLife,
    /// Unknown outcome: the order may have been carried out or may still be.
    Unknown,
}

/// Call to the cloud.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudCall {
    /// Lists all VMs.
    List,
    /// Takes a VM down for maintenance.
    Maintenance {
        /// VM to maintain.
        vm: VmId,
        /// Number of the wave.
        wave: u64,
        /// Fencing token of the order.
        fencing_token: u64,
    },
    /// Moves a VM to another pool.
    Move {
        /// VM to move.
        vm: VmId,
        /// Target pool of the VM.
        pool: PoolId,
        /// Fencing token of the order.
        fencing_token: u64,
    },
}

/// Answer of the cloud.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudAnswer {
    /// All VMs.
    Listed(Vec<VmReport>),
    /// The order was carried out, now or before.
    Done,
    /// The VM is not up or is being drained.
    Busy,
    /// The VM has had an order under a higher fencing token, so this one is never carried out.
    Fenced,
    /// The order was not carried out and never will be, for this reason.
    Refused(Box<str>),
    /// The order was not carried out, but may be later.
    NotNow,
    /// Unknown outcome: the order may or may not have been carried out.
    Unknown,
}
