//! What comes into the state machine and what goes out of it.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};
use state::{
    ChangeId, ConfigEdit, DaemonId, IdempotencyKey, JobId, JobSpec, KeptAnswer, KeyText, Millis,
    Moment, PoolId, RequestId, Revision, TeamId, VmId, VmListing,
};

use crate::frame::Frame;
pub use crate::io::{
    PlatformAnswer, PlatformRequest, StoredValue, TaskReport, TaskState, WorkerAnswer,
    WorkerRequest,
};

/// The time as the process sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Clock {
    /// Monotonic time since the process started.
    pub now: Moment,
    /// Wall-clock time in milliseconds since 1970; only for records.
    pub wall_ms: u64,
}

/// Names whoever waits for a verdict or an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplyToken(pub u64);

/// Names one call to the platform or a worker until its answer came.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IoCall(pub u64);

/// A caller's request, without its body.
#[derive(Debug, Clone)]
pub struct CallArrival {
    /// Who waits.
    pub token: ReplyToken,
    /// The key that came with it.
    pub key: Option<KeyText>,
    /// The pool it is for.
    pub pool: PoolId,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// The caller's name for it, by which a repeat is recognised.
    pub idempotency_key: Option<IdempotencyKey>,
    /// The caller's deadline, counted from now.
    pub deadline: Option<Millis>,
}

/// How one attempt at a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The minion answered in whole.
    Answered {
        /// The minion's status.
        status: u16,
        /// The answer, when it is small enough to keep for a repeat.
        kept: Option<KeptAnswer>,
    },
    /// Nothing was sent.
    NotSent {
        /// Why.
        reason: Box<str>,
    },
    /// The decision had grown old before it could be carried out.
    Stale,
    /// Something was sent, and no whole answer came.
    Broken {
        /// Why.
        reason: Box<str>,
    },
}

/// The class of a refusal; each has one HTTP status.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalKind {
    /// The request is malformed or names what does not exist.
    Invalid,
    /// No key, or one that does not work.
    Unauthorised,
    /// The team's plan does not allow it.
    Forbidden,
    /// There is no room for it in time.
    Overloaded,
    /// The daemon may not take work now; another may.
    Unavailable,
}

/// A request or job that did not run, and will not.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Its class.
    pub kind: RefusalKind,
    /// What is wrong, for the caller.
    pub reason: Box<str>,
    /// When another try makes sense.
    pub retry_after: Option<Millis>,
}

/// What to do with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallDirective {
    /// Send it now.
    Send {
        /// Its id, which the minion echoes.
        request: RequestId,
        /// The minion.
        vm: VmId,
        /// The minion's address.
        address: Box<str>,
        /// What is left of the deadline.
        left: Millis,
    },
    /// It did not run.
    Refuse(Refusal),
    /// It ran before; this is its answer.
    Replay(KeptAnswer),
    /// It ran before, and its answer was not kept.
    RanBefore,
    /// It may have run.
    Unknown {
        /// Why that is not known.
        reason: Box<str>,
    },
}

/// What an operator asks of one VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "action")]
pub enum VmAction {
    /// Drain and hold it.
    Drain,
    /// Drain, reboot and return it.
    Reboot,
    /// Drain it, reboot it and return it in another pool.
    Move {
        /// The other pool.
        to: PoolId,
    },
    /// Return a held VM.
    Return,
}

/// What an operator or a submitter asks.
#[derive(Debug, Clone, PartialEq)]
pub enum ControlRequest {
    /// Changes the configuration.
    Change {
        /// The change's name, by which a repeat is recognised.
        change: ChangeId,
        /// The latest change that the operator saw, if it builds on that.
        expect: Option<ChangeId>,
        /// The steps.
        edits: Vec<ConfigEdit>,
    },
    /// Reads the configuration.
    Config,
    /// Reads this daemon's view of the fleet.
    Status,
    /// Reads the measures.
    Measures,
    /// Acts on a VM.
    Vm {
        /// The VM.
        vm: VmId,
        /// What to do.
        action: VmAction,
    },
    /// Hands in a job.
    Submit {
        /// The submitter's key.
        key: Option<KeyText>,
        /// The job's name, by which a repeat is recognised.
        job: JobId,
        /// What is declared.
        spec: JobSpec,
    },
    /// Looks a job up.
    Job {
        /// The submitter's key.
        key: Option<KeyText>,
        /// The job.
        job: JobId,
    },
    /// Withdraws a job.
    Cancel {
        /// The submitter's key.
        key: Option<KeyText>,
        /// The job.
        job: JobId,
    },
}

impl ControlRequest {
    /// Whether a team's key is needed for it, and not the operators'.
    pub fn is_submitters(&self) -> bool {
        matches!(self, Self::Submit { .. } | Self::Job { .. } | Self::Cancel { .. })
    }
}

/// The answer to a [`ControlRequest`].
#[derive(Debug, Clone, PartialEq)]
pub enum ControlAnswer {
    /// The change is in force everywhere.
    InForce {
        /// The configuration's revision.
        revision: Revision,
    },
    /// The change is committed and will be in force; some daemons have not
    /// confirmed it yet.
    Committed {
        /// The configuration's revision.
        revision: Revision,
        /// Daemons that are waited for.
        waiting: Vec<DaemonId>,
    },
    /// The change clashes with another operator's, or breaks the lists.
    Clash {
        /// Everything that is wrong.
        reasons: Vec<Box<str>>,
        /// The configuration's revision.
        revision: Revision,
    },
    /// It was not done.
    Refused(Refusal),
    /// It may or may not have been done.
    Unknown {
        /// Why that is not known.
        reason: Box<str>,
    },
    /// It was done.
    Done,
    /// What was asked for, as JSON.
    Document(serde_json::Value),
}

/// A routing or placement decision, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// What was decided on.
    pub subject: &'static str,
    /// The request, job, VM or change.
    pub id: Box<str>,
    /// The team it is for.
    pub team: Option<TeamId>,
    /// The pool it is in.
    pub pool: Option<PoolId>,
    /// What was chosen.
    pub choice: Box<str>,
    /// Why.
    pub reason: Box<str>,
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}: {} ({})", self.subject, self.id, self.choice, self.reason)
    }
}

/// Everything that can happen to a daemon.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A request came.
    Call(CallArrival),
    /// An attempt at a request ended.
    CallEnded {
        /// Who carried it.
        token: ReplyToken,
        /// How it ended.
        outcome: AttemptOutcome,
    },
    /// The platform answered.
    Platform {
        /// Which call.
        call: IoCall,
        /// What it said.
        answer: PlatformAnswer,
    },
    /// A worker answered.
    Worker {
        /// Which call.
        call: IoCall,
        /// What it said.
        answer: WorkerAnswer,
    },
    /// A peer's frame came.
    Frame(Box<Frame>),
    /// An operator or a submitter asks.
    Control {
        /// Who waits.
        token: ReplyToken,
        /// What for.
        request: ControlRequest,
    },
    /// The process is to stop gracefully.
    Stop,
}

/// Everything that a daemon can do.
#[derive(Debug, Clone)]
pub enum Effect {
    /// Tells a request's carrier what to do.
    Directive {
        /// Who waits.
        token: ReplyToken,
        /// What to do.
        directive: CallDirective,
    },
    /// Calls the platform.
    Platform {
        /// Which call.
        call: IoCall,
        /// What to ask.
        request: PlatformRequest,
    },
    /// Calls a worker.
    Worker {
        /// Which call.
        call: IoCall,
        /// The worker's address.
        address: Box<str>,
        /// What to ask.
        request: WorkerRequest,
    },
    /// Sends a frame to a peer.
    Frame {
        /// The peer.
        to: DaemonId,
        /// The peer's address.
        address: Box<str>,
        /// The frame.
        frame: Box<Frame>,
    },
    /// Answers an operator or a submitter.
    Control {
        /// Who waits.
        token: ReplyToken,
        /// The answer.
        answer: ControlAnswer,
    },
    /// Writes a log line.
    Log(Decision),
    /// Reports an invariant that is broken; the process must stop.
    Broken(Vec<state::verify::Violation>),
    /// The graceful stop is complete.
    Stopped,
}

/// VMs by id, as the platform last listed them.
pub(crate) type Listing = BTreeMap<VmId, VmListing>;
