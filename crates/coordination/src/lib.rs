//! Every decision of a daemon, as one pure state machine.
//!
//! [`Core::step`] takes an [`Event`] and a [`Clock`] and returns [`Effect`]s.
//! It reads no clock, opens no socket and starts no thread, so a run is fully
//! determined by its events; the randomised runs and the fault matrix drive the
//! very code that production runs (`docs/DESIGN.md`, "Decisions").
//!
//! The machine is made of parts, each with one job:
//!
//! - [`DocumentWriter`] changes one document of the platform's store by
//!   compare-and-swap, batches changes, and recovers from lost answers;
//! - `contact` knows which daemons answer and whether this one may take work;
//! - `allotment` compares what this daemon may use with what it uses;
//! - `share` orders teams when all is full; `queue` holds waiting requests;
//! - `route` chooses a minion; `retry` bounds repeats; `estimate` says how long
//!   requests take;
//! - `mutate` holds the one place where each document changes;
//! - `step` names the steps of all protocols for the fault matrix;
//! - `core` joins them: requests, limits, jobs, VMs, peers, operators.

mod assignment;
mod contact;
mod core;
mod document;
mod estimate;
mod event;
mod frame;
mod io;
mod local_allocation;
pub mod mutate;
mod queue;
mod retry;
mod route;
mod share;
mod step;
pub mod timing;

pub use crate::core::{Core, CoreSettings, Identity, Measures};
pub use contact::ContactTable;
pub use document::{DocumentWriter, Finished, Withdrawal, WriterCall};
pub use event::{
    AttemptOutcome, CallArrival, CallDirective, Clock, ControlAnswer, ControlRequest, Decision,
    Effect, Event, IoCall, PlatformAnswer, PlatformRequest, Refusal, RefusalKind, ReplyToken,
    StoredValue, TaskReport, TaskState, VmAction, WorkerAnswer, WorkerRequest,
};
pub use frame::{Frame, FrameBody, LimitName, PeerNote, Shortage, TeamService};
pub use step::ProtocolStep;
