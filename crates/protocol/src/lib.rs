//! What goes over the wire: outcomes to callers, the control interface, the
//! platform's and the workers' interfaces, queues, and frames between daemons.
//!
//! This crate only turns values into bytes and back. The forms towards callers
//! and operators are documented in `docs/INTERFACE.md`.

mod control;
mod outcome;
mod peer;
mod platform;
mod queue;
mod worker;

pub use control::{ChangeBody, ControlReply, JobBody, PathError, control_reply, control_request};
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
