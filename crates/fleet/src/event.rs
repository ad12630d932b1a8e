//! Events that the state machine processes and effects that it returns.

use std::fmt;

use jobs::{JobPhase, JobSpec};
use state::{Millis, Moment, QueueId};

use crate::io::{
    CloudAnswer, CloudCall, MinionAnswer, MinionCall, MinionTarget, StoreAnswer, StoreCall,
};
use crate::outbox::DecisionLine;

/// Times at which one step runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Clock {
    /// Monotonic time that continues while the VM is suspended.
    pub now: Moment,
    /// Wall-clock time in milliseconds since 1970.
    pub wall_ms: u64,
}

/// Identifier of a call that is not answered yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Identifier of a submitter's request that is not answered yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplyToken(pub u64);

/// Action that a submitter requests.
#[derive(Debug, Clone, PartialEq)]
pub enum ClientAction {
    /// Submits a job (the specification has no team yet), or the reason why the
    /// specification is malformed.
    Submit(Result<JobSpec, Box<str>>),
    /// Asks for the state of a job or, if no job is named, of the queue.
    Show,
    /// Cancels a job.
    Cancel,
}

/// Queue and job that a request addresses.
#[derive(Debug, Clone, PartialEq)]
pub enum ClientTarget {
    /// Queue to which the request's host and path are routed.
    Route {
        /// Host that the caller named.
        host: Box<str>,
        /// Prefix of the queue, followed by the name of a job; without a name, the
        /// request addresses the queue.
        path: Box<str>,
    },
    /// Queue that the caller named.
    Queue {
        /// Name of the queue.
        queue: QueueId,
        /// Name of a job; empty to address the queue.
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

/// Request of a submitter.
#[derive(Debug, Clone, PartialEq)]
pub struct ClientCall {
    /// Identifies the request in its reply.
    pub reply_token: ReplyToken,
    /// Queue and job that the request addresses.
    pub target: ClientTarget,
    /// Key that the caller presented.
    pub key: Option<Box<str>>,
    /// Duration that the caller waits for the answer.
    pub timeout: Millis,
    /// Action that the caller requests.
    pub action: ClientAction,
}

/// Answer to a submitter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClientAnswer {
    /// The job is stored.
    Accepted,
    /// State of a job.
    Phase(JobPhase),
    /// The job is cancelled or had ended before.
    Cancelled,
    /// The job does not exist.
    NoJob,
    /// Number of accepted jobs of a queue that have started no task.
    Pending(u64),
    /// No queue matches the request's host and path, or its name.
    NoQueue,
    /// The key is not known.
    BadKey,
    /// The request cannot be understood, for this reason.
    Malformed(Box<str>),
    /// The request was not carried out, and never will be unless it is sent again.
    NotDone {
        /// Delay after which the caller should send the request again.
        retry_after: Millis,
    },
    /// Unknown outcome: the request may have been carried out or may still be.
    Unknown,
}

/// Event that the state machine processes.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A submitter sent a request.
    Client(ClientCall),
    /// The store answered a call.
    Store(CallId, StoreAnswer),
    /// A minion answered a call.
    Minion(CallId, MinionAnswer),
    /// The cloud answered a call.
    Cloud(CallId, CloudAnswer),
    /// A graceful stop of the daemon was requested.
    Stop,
}

/// Reason why a ready task was not started by the last placement pass that visited it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum WaitCause {
    /// No pass had visited the task: it started in the first one.
    FirstPass,
    /// The pool's allocation of the team's limit was used up.
    Allocation,
    /// No minion had enough free capacity.
    Capacity,
    /// Only minions that get no starts at present had enough free capacity: paused after a
    /// refusal, being drained, evacuated, or not confirmed by this owner yet.
    UnusableMinions,
    /// Minions had enough free processor time and others enough free memory, but none had both, the
    /// label that the step requires, and fewer tasks of the step than may run on one minion.
    Constraints,
    /// The task waited for capacity near its data, or its gang for capacity in one rack.
    DataWait,
}

impl WaitCause {
    /// Returns the label of the cause in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::FirstPass => "first-pass",
            Self::Allocation => "allocation",
            Self::Capacity => "capacity",
            Self::UnusableMinions => "unusable-minions",
            Self::Constraints => "constraints",
            Self::DataWait => "data-wait",
        }
    }
}

impl fmt::Display for WaitCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}

/// Decision about the health of a VM or a rack.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum VmHealthDecision {
    /// A VM that is slow or fails gets less work.
    HeldBack,
    /// A VM gets all its work back.
    Restored,
    /// A task may start on a VM that is held back, to learn whether it has recovered.
    Probe,
    /// A run on a slow VM was stopped, so that its task starts elsewhere.
    StragglerStopped,
    /// A rack has stopped answering, so no task is started there.
    RackPaused,
    /// A VM of a paused rack answers again.
    RackResumed,
}

impl VmHealthDecision {
    /// Returns the label of the decision in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::HeldBack => "held-back",
            Self::Restored => "restored",
            Self::Probe => "probe",
            Self::StragglerStopped => "straggler-stopped",
            Self::RackPaused => "rack-paused",
            Self::RackResumed => "rack-resumed",
        }
    }
}

/// Value that the caller of the state machine adds to its metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Measurement {
    /// Time for which a started task had been ready, and what had prevented its start.
    TaskReady(WaitCause, Millis),
    /// Time from the request of a placement pass to the pass.
    PassDelay(Millis),
    /// Time from the processing of a finished run until it was saved.
    EndSaved(Millis),
    /// Time from a commit of progress to its answer.
    SaveAnswered(Millis),
    /// Run time of a task, as declared, as expected when its end was processed, and as measured.
    RunTime {
        /// Time that the submitter declared.
        declared: Millis,
        /// Time that was expected by earlier runs.
        expected: Millis,
        /// Time from the confirmed start to the listed end.
        measured: Millis,
    },
    /// Decision about the health of a VM or a rack.
    VmHealth(VmHealthDecision),
    /// A run was released without a listed end.
    RunReleased(ReleaseCause),
    /// Number of tasks that began to wait for capacity near their data.
    DataWaitsBegun(u32),
    /// Time for which a task waited for capacity near its data, and how the wait ended.
    DataWaitEnded(DataWaitOutcome, Millis),
}

/// Reason why a run was released without a listed end, so that its task starts again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReleaseCause {
    /// The leases of a run of the known incarnation have expired.
    LeaseExpired,
    /// The leases of a run have expired in every incarnation that may execute it.
    UnattributedLeaseExpired,
    /// The minion has begun a new incarnation.
    NewIncarnation,
    /// The minion does not list the run although it should.
    NotListed,
}

impl ReleaseCause {
    /// Returns the label of the cause in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::LeaseExpired => "lease-expired",
            Self::UnattributedLeaseExpired => "unattributed-lease-expired",
            Self::NewIncarnation => "new-incarnation",
            Self::NotListed => "not-listed",
        }
    }
}

impl fmt::Display for ReleaseCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::LeaseExpired | Self::UnattributedLeaseExpired => "its lease has lapsed",
            Self::NewIncarnation => "its minion has begun a new incarnation",
            Self::NotListed => "not listed by the minion; released",
        })
    }
}

/// End of a wait for capacity near a task's data.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DataWaitOutcome {
    /// The task started near its data.
    PaidOff,
    /// The task started elsewhere or not at all.
    Abandoned,
}

impl DataWaitOutcome {
    /// Returns the label of the outcome in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::PaidOff => "paid-off",
            Self::Abandoned => "abandoned",
        }
    }
}

impl fmt::Display for DataWaitOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}

/// Effect that the caller of the state machine carries out.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Replies to a submitter.
    Reply(ReplyToken, ClientAnswer),
    /// Calls the store.
    Store(CallId, StoreCall),
    /// Sends an order to a minion.
    Minion {
        /// Identifies the call in its answer.
        call: CallId,
        /// Minion and address to which the order is sent.
        target: MinionTarget,
        /// Fencing token of the order.
        fencing_token: u64,
        /// Order that the minion carries out.
        order: MinionCall,
    },
    /// Calls the cloud.
    Cloud(CallId, CloudCall),
    /// Writes a log line.
    Log(DecisionLine),
    /// Adds a duration to the metrics.
    Measure(Measurement),
    /// Reports that the daemon has stopped and can exit.
    Stopped,
}
