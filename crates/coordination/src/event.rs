//! Inputs and outputs of the state machine: [`Event`], [`Effect`] and the requests
//! and answers that they carry.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};
use state::{
    ChangeId, ConfigEdit, DaemonId, IdempotencyKey, JobId, JobSpec, KeyText, Millis, Moment,
    PoolId, RequestId, Revision, StoredAnswer, TeamId, VmId, VmListing,
};

use crate::frame::Frame;
pub use crate::io::{
    PlatformAnswer, PlatformRequest, StoredValue, TaskReport, TaskState, WorkerAnswer,
    WorkerRequest,
};

/// Current time of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Clock {
    /// Monotonic time since the start of the process.
    pub now: Moment,
    /// Wall-clock time in milliseconds since 1970, used only in records.
    pub wall_ms: u64,
}

/// Identifies the caller that waits for a directive or an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplyToken(pub u64);

/// Identifies one call to the platform or a worker until its answer arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IoCallId(pub u64);

/// Request of a caller, without its body.
#[derive(Debug, Clone)]
pub struct CallArrival {
    /// Reply token of the request thread that waits for the directive.
    pub token: ReplyToken,
    /// Client key that the request carries.
    pub key: Option<KeyText>,
    /// Pool that the request is addressed to.
    pub pool: PoolId,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Name that the caller gives to the request, by which a repeat is recognised.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Time until the caller's deadline, counted from the arrival.
    pub deadline: Option<Millis>,
}

/// Outcome of one attempt at a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The minion sent a complete answer.
    Answered {
        /// HTTP status of the minion's answer.
        status: u16,
        /// Answer, if it is small enough to be stored for a repeat of the request.
        stored_answer: Option<StoredAnswer>,
    },
    /// No part of the request was sent.
    NotSent {
        /// Reason for which the request was not sent.
        reason: Box<str>,
    },
    /// The decision to send was too old to be carried out.
    Stale,
    /// At least part of the request was sent, and no complete answer arrived.
    Broken {
        /// Reason for which the attempt failed.
        reason: Box<str>,
    },
}

/// Class of a refusal. Each class maps to one HTTP status.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalKind {
    /// The request is malformed or refers to an item that does not exist.
    Invalid,
    /// The request has no key, or an invalid one.
    Unauthorised,
    /// The plan of the team does not allow the request.
    Forbidden,
    /// The free capacity does not suffice for the request in time.
    Overloaded,
    /// This daemon may not accept the request now; another daemon may.
    Unavailable,
}

/// Refusal of a request or job, which did not run and will not run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Class of the refusal.
    pub kind: RefusalKind,
    /// Reason for the refusal, sent to the caller.
    pub reason: Box<str>,
    /// Time after which the caller may try again.
    pub retry_after: Option<Millis>,
}

/// Directive to a request thread.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallDirective {
    /// Send the request to a minion now.
    Send {
        /// Id of the request, which the minion echoes.
        request: RequestId,
        /// VM of the minion.
        vm: VmId,
        /// Address of the minion.
        address: Box<str>,
        /// Time that remains until the deadline.
        remaining: Millis,
    },
    /// Refuse the request, which did not run.
    Refuse(Refusal),
    /// Return the stored answer of an earlier run of the request.
    Replay(StoredAnswer),
    /// Report that the request ran before and that its answer was not stored.
    RanBefore,
    /// Report that the request may have run.
    Unknown {
        /// Reason for which the outcome is unknown, sent to the caller.
        reason: Box<str>,
    },
}

/// Action that an operator requests for one VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "action")]
pub enum VmAction {
    /// Drain the VM and keep it out of service.
    Drain,
    /// Drain the VM, reboot it and return it to service.
    Reboot,
    /// Drain the VM, reboot it and return it to service in another pool.
    Move {
        /// Pool that the VM moves to.
        to: PoolId,
    },
    /// Return a held or draining VM to service.
    Return,
}

/// Request of an operator or a submitter.
#[derive(Debug, Clone, PartialEq)]
pub enum ControlRequest {
    /// Changes the configuration.
    Change {
        /// Id of the change, by which a repeat is recognised.
        change: ChangeId,
        /// Latest change that the operator saw, if the new change builds on it.
        expect: Option<ChangeId>,
        /// Edits of the configuration, applied as a whole or not at all.
        edits: Vec<ConfigEdit>,
    },
    /// Reads the configuration.
    Config,
    /// Reads the state of the fleet as this daemon sees it.
    Status,
    /// Reads the counters of this daemon.
    Measures,
    /// Requests an action for a VM.
    Vm {
        /// VM that the action concerns.
        vm: VmId,
        /// Requested action.
        action: VmAction,
    },
    /// Submits a job.
    Submit {
        /// Client key of the submitter.
        key: Option<KeyText>,
        /// Id of the job, by which a repeat is recognised.
        job: JobId,
        /// Specification of the job.
        spec: JobSpec,
    },
    /// Reads the state of a job.
    Job {
        /// Client key of the submitter.
        key: Option<KeyText>,
        /// Id of the job.
        job: JobId,
    },
    /// Cancels a job.
    Cancel {
        /// Client key of the submitter.
        key: Option<KeyText>,
        /// Id of the job.
        job: JobId,
    },
}

impl ControlRequest {
    /// Whether the request needs the key of a team instead of the operators' key.
    pub fn needs_team_key(&self) -> bool {
        matches!(self, Self::Submit { .. } | Self::Job { .. } | Self::Cancel { .. })
    }
}

/// Answer to a [`ControlRequest`].
#[derive(Debug, Clone, PartialEq)]
pub enum ControlAnswer {
    /// The change is in force on every daemon.
    InForce {
        /// Revision of the configuration.
        revision: Revision,
    },
    /// The change is committed and will be in force, but some daemons have not
    /// confirmed it yet.
    Committed {
        /// Revision of the configuration.
        revision: Revision,
        /// Daemons that have not confirmed the change.
        waiting: Vec<DaemonId>,
    },
    /// The change conflicts with a change of another operator, or violates a rule
    /// of the configuration.
    Clash {
        /// One reason for each conflict or violation.
        reasons: Vec<Box<str>>,
        /// Revision of the configuration.
        revision: Revision,
    },
    /// The request was refused and had no effect.
    Refused(Refusal),
    /// The request may or may not have taken effect.
    Unknown {
        /// Reason for which the outcome is unknown, sent to the client.
        reason: Box<str>,
    },
    /// The request was carried out.
    Done,
    /// Requested document as JSON.
    Document(serde_json::Value),
}

/// Routing or placement decision, which is written to the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// Kind of the item that the decision concerns, such as `request`.
    pub subject: &'static str,
    /// Id of that request, job, VM or change.
    pub id: Box<str>,
    /// Team that the item belongs to.
    pub team: Option<TeamId>,
    /// Pool that the item belongs to.
    pub pool: Option<PoolId>,
    /// Chosen option.
    pub choice: Box<str>,
    /// Reason for the choice.
    pub reason: Box<str>,
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}: {} ({})", self.subject, self.id, self.choice, self.reason)
    }
}

/// Input of the state machine.
#[derive(Debug, Clone)]
pub enum Event {
    /// The tick interval has passed.
    Tick,
    /// A request arrived.
    Call(CallArrival),
    /// An attempt at a request ended.
    CallEnded {
        /// Reply token of the request thread that made the attempt.
        token: ReplyToken,
        /// Outcome of the attempt.
        outcome: AttemptOutcome,
    },
    /// The platform answered.
    Platform {
        /// Call that the platform answered.
        call: IoCallId,
        /// Answer of the platform.
        answer: PlatformAnswer,
    },
    /// A worker answered.
    Worker {
        /// Call that the worker answered.
        call: IoCallId,
        /// Answer of the worker.
        answer: WorkerAnswer,
    },
    /// A frame from a peer arrived.
    Frame(Box<Frame>),
    /// A request of an operator or a submitter arrived.
    Control {
        /// Reply token of the client that waits for the answer.
        token: ReplyToken,
        /// Request of the client.
        request: ControlRequest,
    },
    /// A graceful stop of the process was requested.
    Stop,
}

/// Output of the state machine, carried out by the runtime.
#[derive(Debug, Clone)]
pub enum Effect {
    /// Sends a directive to a request thread.
    Directive {
        /// Reply token of the request thread.
        token: ReplyToken,
        /// Directive for the request thread.
        directive: CallDirective,
    },
    /// Calls the platform.
    Platform {
        /// Id of the call.
        call: IoCallId,
        /// Request to the platform.
        request: PlatformRequest,
    },
    /// Calls a worker.
    Worker {
        /// Id of the call.
        call: IoCallId,
        /// Address of the worker.
        address: Box<str>,
        /// Request to the worker.
        request: WorkerRequest,
    },
    /// Sends a frame to a peer.
    Frame {
        /// Daemon that receives the frame.
        to: DaemonId,
        /// Address of the peer.
        address: Box<str>,
        /// Frame to send.
        frame: Box<Frame>,
    },
    /// Answers an operator or a submitter.
    Control {
        /// Reply token of the client that waits for the answer.
        token: ReplyToken,
        /// Answer for the client.
        answer: ControlAnswer,
    },
    /// Writes a decision to the log.
    Log(Decision),
    /// Reports violated invariants, after which the process must stop.
    Broken(Vec<state::verify::Violation>),
    /// The graceful stop is complete.
    Stopped,
}

/// VMs by id, from the latest listing of the platform.
pub(crate) type VmListings = BTreeMap<VmId, VmListing>;
