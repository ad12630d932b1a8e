//! The bounded rings between threads.

use coordination::{
    CallDirective, ControlAnswer, Decision, Frame, IoCallId, PlatformRequest, ReplyToken,
    WorkerRequest,
};
use crossbeam::channel::{Receiver, Sender, bounded};

/// Frames that wait for the state machine, at most; more are dropped.
const FRAME_CHANNEL_CAPACITY: usize = 1_024;
/// Calls that wait for a thread, at most; more are refused.
const CALL_CHANNEL_CAPACITY: usize = 1_024;

/// Decisions that wait to be logged, at most.
const DECISION_CHANNEL_CAPACITY: usize = 4_096;

/// What the state machine tells a request's carrier.
#[derive(Debug, Clone)]
pub enum RequestReply {
    /// What to do with a request.
    Directive(CallDirective),
    /// The answer to a control request.
    Control(ControlAnswer),
}

/// A call to the platform for a thread to make.
#[derive(Debug, Clone)]
pub struct QueuedPlatformCall {
    /// Which call.
    pub call: IoCallId,
    /// What to ask.
    pub request: PlatformRequest,
}

/// A call to a worker for a thread to make.
#[derive(Debug, Clone)]
pub struct QueuedWorkerCall {
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
    pub platform: Sender<QueuedPlatformCall>,
    /// Watches, which wait.
    pub watch: Sender<QueuedPlatformCall>,
    /// Calls to workers.
    pub worker: Sender<QueuedWorkerCall>,
    /// Decisions to log.
    pub decisions: Sender<Decision>,
    /// Replies by the carriers' tokens.
    pub replies: Vec<Sender<RequestReply>>,
}

/// Where the threads take what they have to do.
pub struct ChannelReceivers {
    /// Calls to the platform that end within a round trip.
    pub platform: Receiver<QueuedPlatformCall>,
    /// Watches, which wait.
    pub watch: Receiver<QueuedPlatformCall>,
    /// Calls to workers.
    pub worker: Receiver<QueuedWorkerCall>,
    /// Decisions to log.
    pub decisions: Receiver<Decision>,
    /// Replies, one ring for each carrier.
    pub replies: Vec<Receiver<RequestReply>>,
}

/// Makes the rings between the state machine and `request_threads` request threads and
/// the threads that make calls.
pub fn open_channels(request_threads: u32) -> (ChannelSenders, ChannelReceivers) {
    let (platform_sender, platform) = bounded(CALL_CHANNEL_CAPACITY);
    let (watch_sender, watch) = bounded(CALL_CHANNEL_CAPACITY);
    let (worker_sender, worker) = bounded(CALL_CHANNEL_CAPACITY);
    let (decision_sender, decisions) = bounded(DECISION_CHANNEL_CAPACITY);
    let (reply_senders, replies) = (0..request_threads).map(|_| bounded(1)).unzip();
    let senders = ChannelSenders {
        platform: platform_sender,
        watch: watch_sender,
        worker: worker_sender,
        decisions: decision_sender,
        replies: reply_senders,
    };
    (senders, ChannelReceivers { platform, watch, worker, decisions, replies })
}

/// Makes the ring for frames that came from peers.
pub fn open_frame_channel() -> (Sender<Box<Frame>>, Receiver<Box<Frame>>) {
    bounded(FRAME_CHANNEL_CAPACITY)
}

/// The index of a carrier's ring.
pub fn reply_index(token: ReplyToken) -> usize {
    token.0 as usize
}
