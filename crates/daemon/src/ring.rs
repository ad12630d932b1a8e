//! The bounded rings between threads.

use coordination::{
    CallVerdict, ControlAnswer, Event, Frame, IoCall, PlatformRequest, Token, WorkerRequest,
};
use crossbeam::channel::{Receiver, Sender, bounded};

/// Events that wait for the state machine, at most. Carriers block when it is
/// full, so callers wait in their sockets.
const EVENT_RING: usize = 4_096;
/// Frames that wait for the state machine, at most; more are dropped.
const FRAME_RING: usize = 1_024;
/// Calls that wait for a thread, at most.
const IO_RING: usize = 1_024;

/// What the state machine tells a request's carrier.
#[derive(Debug, Clone)]
pub enum Reply {
    /// What to do with a request.
    Verdict(CallVerdict),
    /// The answer to a control request.
    Control(ControlAnswer),
}

/// A call to the platform for a thread to make.
#[derive(Debug, Clone)]
pub struct PlatformJob {
    /// Which call.
    pub call: IoCall,
    /// What to ask.
    pub request: PlatformRequest,
}

/// A call to a worker for a thread to make.
#[derive(Debug, Clone)]
pub struct WorkerJob {
    /// Which call.
    pub call: IoCall,
    /// The worker's address.
    pub address: Box<str>,
    /// What to ask.
    pub request: WorkerRequest,
}

/// Both ends of every ring.
pub struct Rings {
    /// Events to the state machine.
    pub events_in: Sender<Event>,
    /// The state machine's end.
    pub events: Receiver<Event>,
    /// Frames to the state machine.
    pub frames_in: Sender<Box<Frame>>,
    /// The state machine's end.
    pub frames: Receiver<Box<Frame>>,
    /// Calls to the platform that end within a round trip.
    pub platform_in: Sender<PlatformJob>,
    /// The threads' end.
    pub platform: Receiver<PlatformJob>,
    /// Watches, which wait.
    pub watch_in: Sender<PlatformJob>,
    /// The thread's end.
    pub watch: Receiver<PlatformJob>,
    /// Calls to workers.
    pub worker_in: Sender<WorkerJob>,
    /// The threads' end.
    pub worker: Receiver<WorkerJob>,
    /// Replies by the carriers' tokens.
    pub replies_in: Vec<Sender<Reply>>,
    /// The carriers' ends.
    pub replies: Vec<Receiver<Reply>>,
}

/// Makes all rings for `carriers` request threads.
pub fn rings(carriers: u32) -> Rings {
    let (events_in, events) = bounded(EVENT_RING);
    let (frames_in, frames) = bounded(FRAME_RING);
    let (platform_in, platform) = bounded(IO_RING);
    let (watch_in, watch) = bounded(IO_RING);
    let (worker_in, worker) = bounded(IO_RING);
    let (replies_in, replies) = (0..carriers).map(|_| bounded(1)).unzip();
    Rings {
        events_in,
        events,
        frames_in,
        frames,
        platform_in,
        platform,
        watch_in,
        watch,
        worker_in,
        worker,
        replies_in,
        replies,
    }
}

/// The index of a carrier's ring.
pub fn index_of(token: Token) -> usize {
    token.0 as usize
}
