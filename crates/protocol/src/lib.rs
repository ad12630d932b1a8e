//! Encodes and decodes the messages of all interfaces: outcomes for callers, the control
//! interface, the interfaces to the platform and to workers, queues, and frames between
//! daemons.
//!
//! This crate only converts between values and bytes, and does no input or output. The
//! formats of the interfaces to callers and operators are documented in
//! `docs/INTERFACE.md`.

mod control;
mod outcome;
mod peer;
mod platform;
mod queue;
mod worker;

pub use control::{
    ChangeBody, ControlReply, ControlRequestError, JobBody, control_reply, control_request,
};
pub use outcome::{
    HEADER_DEADLINE, HEADER_IDEMPOTENCY, HEADER_OUTCOME, HEADER_REQUEST, Outcome, OutcomeBody,
    outcome_of,
};
pub use peer::{FrameError, decode_frame, encode_frame};
pub use platform::{
    ChangesBody, PlatformCall, PutBody, RebootBody, VmsBody, platform_answer, platform_call,
};
pub use queue::{QueueCallFault, QueueHead, QueueReply, queue_call, queue_fault, queue_reply};
pub use worker::{
    PollBody, StartBody, StopBody, TasksBody, WorkerCall, worker_answer, worker_call,
};
