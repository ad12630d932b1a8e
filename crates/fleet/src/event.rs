//! What comes into the state machine and what goes out.

use std::fmt;

use jobs::{JobPhase, JobSpec};
use state::{Millis, Moment, QueueId};

use crate::io::{
    CloudAnswer, CloudCall, MinionAnswer, MinionCall, MinionTarget, StoreAnswer, StoreCall,
};
use crate::outbox::DecisionLine;

/// The time of one step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Clock {
    /// A clock that goes on while the VM is suspended.
    pub now: Moment,
    /// Milliseconds since 1970.
    pub wall_ms: u64,
}

/// A call that has not been answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// A submitter's request that has not been answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestToken(pub u64);

/// What a submitter asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum ClientAction {
    /// Hands a job in; the specification has no team yet.
    Submit(Result<JobSpec, Box<str>>),
    /// Asks for a job's or, where no job is named, for the queue's state.
    Show,
    /// Cancels a job.
    Cancel,
}

/// Which queue a request is for, and which of its jobs.
#[derive(Debug, Clone, PartialEq)]
pub enum ClientTarget {
    /// The host and path that the caller named lead there.
    Route {
        /// The host.
        host: Box<str>,
        /// The queue's prefix, and a job's name after it.
        path: Box<str>,
    },
    /// The caller named the queue.
    Queue {
        /// Its name.
        queue: QueueId,
        /// A job's name; nothing asks for the queue.
        job: Box<str>,
    },
}

impl fmt::Display for ClientTarget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Route { path, .. } => f.write_str(path),
            Self::Queue { queue, job } => write!(f, "{queue}/{job}"),
        }
    }
}

/// A submitter's request.
#[derive(Debug, Clone, PartialEq)]
pub struct ClientCall {
    /// Names the request for its answer.
    pub reply_token: RequestToken,
    /// What it is about.
    pub target: ClientTarget,
    /// The key that it showed.
    pub key: Option<Box<str>>,
    /// How long the caller waits.
    pub timeout: Millis,
    /// What it asks for.
    pub action: ClientAction,
}

/// An answer to a submitter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClientAnswer {
    /// The job is stored.
    Accepted,
    /// A job's state.
    Phase(JobPhase),
    /// The job is cancelled, or had ended before.
    Cancelled,
    /// There is no such job.
    NoJob,
    /// Accepted jobs of a queue of which no task has started.
    Pending(u64),
    /// No queue has this host and path.
    NoQueue,
    /// The key is not known.
    BadKey,
    /// The request cannot be understood: the reason.
    Malformed(Box<str>),
    /// Not done, and never will be without another request.
    NotDone {
        /// When to come back.
        retry_after: Millis,
    },
    /// Whether it was done is not known yet.
    Unknown,
}

/// What happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Time passed.
    Tick,
    /// A submitter asks.
    Client(ClientCall),
    /// The store answered.
    Store(CallId, StoreAnswer),
    /// A minion answered.
    Minion(CallId, MinionAnswer),
    /// The cloud answered.
    Cloud(CallId, CloudAnswer),
    /// The daemon shall stop.
    Stop,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Answers a submitter.
    Reply(RequestToken, ClientAnswer),
    /// Calls the store.
    Store(CallId, StoreCall),
    /// Gives a minion an order.
    Minion {
        /// Names the call for its answer.
        call: CallId,
        /// Whom.
        target: MinionTarget,
        /// Fences the order.
        fencing_token: u64,
        /// What.
        order: MinionCall,
    },
    /// Calls the cloud.
    Cloud(CallId, CloudCall),
    /// Writes a line.
    Log(DecisionLine),
    /// Nothing is left to do.
    Stopped,
}
