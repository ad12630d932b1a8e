//! Bounded channels between the state machine and the daemon's other threads.
//!
//! [`open_channels`] creates the channels for effects and replies, [`open_frame_channel`] the
//! channel for frames from peers. The comment of each capacity constant states
//! what happens when the channel is full.

use coordination::{
    CallDirective, ControlAnswer, Decision, Frame, IoCallId, PlatformRequest, ReplyToken,
    WorkerRequest,
};
use crossbeam::channel::{Receiver, Sender, bounded};

/// Capacity of the channel for frames from peers; frames that exceed the capacity are dropped.
const FRAME_CHANNEL_CAPACITY: usize = 1_024;
/// Capacity of each channel for calls; calls that exceed the capacity are refused.
const CALL_CHANNEL_CAPACITY: usize = 1_024;
/// Capacity of the channel for decisions; the deciding thread logs a decision that exceeds the
/// capacity.
const DECISION_CHANNEL_CAPACITY: usize = 4_096;

/// Reply of the state machine to a request thread.
#[derive(Debug, Clone)]
pub enum RequestReply {
    /// Next step for a caller's request.
    Directive(CallDirective),
    /// Answer to an operator's or submitter's control request.
    Control(ControlAnswer),
}

/// Call to the platform that waits for a thread.
#[derive(Debug, Clone)]
pub struct QueuedPlatformCall {
    /// Identifier under which the state machine expects the answer.
    pub call: IoCallId,
    /// Request to send to the platform.
    pub request: PlatformRequest,
}

/// Call to a worker that waits for a thread.
#[derive(Debug, Clone)]
pub struct QueuedWorkerCall {
    /// Identifier under which the state machine expects the answer.
    pub call: IoCallId,
    /// Address of the worker: host and port.
    pub address: Box<str>,
    /// Request to send to the worker.
    pub request: WorkerRequest,
}

/// Sending ends of the channels from the state machine to other threads.
pub struct ChannelSenders {
    /// Calls to the platform that end within one round trip.
    pub platform: Sender<QueuedPlatformCall>,
    /// Watch calls to the platform, which block until a key changes or they time out.
    pub watch: Sender<QueuedPlatformCall>,
    /// Calls to workers.
    pub worker: Sender<QueuedWorkerCall>,
    /// Decisions for the log thread.
    pub decisions: Sender<Decision>,
    /// Replies to request threads, indexed by [`reply_index`].
    pub replies: Vec<Sender<RequestReply>>,
}

/// Receiving ends of the channels from the state machine to other threads.
pub struct ChannelReceivers {
    /// Calls to the platform that end within one round trip.
    pub platform: Receiver<QueuedPlatformCall>,
    /// Watch calls to the platform, which block until a key changes or they time out.
    pub watch: Receiver<QueuedPlatformCall>,
    /// Calls to workers.
    pub worker: Receiver<QueuedWorkerCall>,
    /// Decisions for the log thread.
    pub decisions: Receiver<Decision>,
    /// Replies, one channel for each request thread.
    pub replies: Vec<Receiver<RequestReply>>,
}

/// Opens the channels from the state machine to `request_threads` request threads, to the
/// threads that make calls and to the log thread.
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

/// Opens the channel for frames received from peers.
pub fn open_frame_channel() -> (Sender<Box<Frame>>, Receiver<Box<Frame>>) {
    bounded(FRAME_CHANNEL_CAPACITY)
}

/// Returns the index of the reply channel of a reply token.
pub fn reply_index(token: ReplyToken) -> usize {
    token.0 as usize
}
