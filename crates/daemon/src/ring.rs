//! The bounded rings between threads.

use coordination::{
    CallDirective, ControlAnswer, Decision, Frame, IoCallId, PlatformRequest, ReplyToken,
    WorkerRequest,
};
use crossbeam::channel::{Receiver, Sender, bounded};

/// Frames that wait for the state machine, at most; more are dropped.
const FRAME_RING: usize = 1_024;
/// Calls that wait for a thread, at most; more are refused.
const IO_RING: usize = 1_024;

/// Decisions that wait to be logged, at most.
const LOG_RING: usize = 4_096;

/// What the state machine tells a request's carrier.
#[derive(Debug, Clone)]
pub enum Reply {
    /// What to do with a request.
    Directive(CallDirective),
    /// The answer to a control request.
    Control(ControlAnswer),
}

/// A call to the platform for a thread to make.
#[derive(Debug, Clone)]
pub struct PlatformJob {
    /// Which call.
    pub call: IoCallId,
    /// What to ask.
    pub request: PlatformRequest,
}

/// A call to a worker for a thread to make.
#[derive(Debug, Clone)]
pub struct WorkerJob {
    /// Which call.
    pub call: IoCallId,
    /// The worker's address.
    pub address: Box<str>,
    /// What to ask.
    pub request: WorkerRequest,
}

/// Where the state machine puts what others have to do.
pub struct ChannelSenders {
    /// Calls to the platform that end within a round trip.
    pub platform: Sender<PlatformJob>,
    /// Watches, which wait.
    pub watch: Sender<PlatformJob>,
    /// Calls to workers.
    pub worker: Sender<WorkerJob>,
    /// Decisions to log.
    pub decisions: Sender<Decision>,
    /// Replies by the carriers' tokens.
    pub replies: Vec<Sender<Reply>>,
}

/// Where the threads take what they have to do.
pub struct ChannelReceivers {
    /// Calls to the platform that end within a round trip.
    pub platform: Receiver<PlatformJob>,
    /// Watches, which wait.
    pub watch: Receiver<PlatformJob>,
    /// Calls to workers.
    pub worker: Receiver<WorkerJob>,
    /// Decisions to log.
    pub decisions: Receiver<Decision>,
    /// Replies, one ring for each carrier.
    pub replies: Vec<Receiver<Reply>>,
}

/// Makes the rings between the state machine and `carriers` request threads and
/// the threads that make calls.
pub fn rings(carriers: u32) -> (ChannelSenders, ChannelReceivers) {
    let (platform_in, platform) = bounded(IO_RING);
    let (watch_in, watch) = bounded(IO_RING);
    let (worker_in, worker) = bounded(IO_RING);
    let (decisions_in, decisions) = bounded(LOG_RING);
    let (replies_in, replies) = (0..carriers).map(|_| bounded(1)).unzip();
    let inlets = ChannelSenders {
        platform: platform_in,
        watch: watch_in,
        worker: worker_in,
        decisions: decisions_in,
        replies: replies_in,
    };
    (inlets, ChannelReceivers { platform, watch, worker, decisions, replies })
}

/// Makes the ring for frames that came from peers.
pub fn frame_ring() -> (Sender<Box<Frame>>, Receiver<Box<Frame>>) {
    bounded(FRAME_RING)
}

/// The index of a carrier's ring.
pub fn index_of(token: ReplyToken) -> usize {
    token.0 as usize
}
