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
    ChangeBody, ControlReply, ControlRequestError, JobBody, decode_control_request,
    encode_control_answer,
};
pub use outcome::{
    HEADER_DEADLINE, HEADER_IDEMPOTENCY, HEADER_OUTCOME, HEADER_REQUEST, Outcome, OutcomeBody,
    encode_outcome,
};
pub use peer::{FrameError, MAX_FRAME_BYTES, decode_frame, encode_frame};
pub use platform::{
    ChangesBody, PlatformCall, PutBody, RebootBody, VmsBody, decode_platform_answer,
    encode_platform_request,
};
pub use queue::{
    QueueCallFault, QueueHead, QueueReply, decode_queue_call, encode_queue_answer,
    encode_queue_fault,
};
pub use worker::{
    PollBody, StartBody, StopBody, TasksBody, WorkerCall, decode_worker_answer,
    encode_worker_request,
};
