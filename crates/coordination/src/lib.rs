//! Decides what a daemon does, as a pure state machine.
//!
//! [`Core::step`] takes an [`Event`] and a [`Clock`] and returns [`Effect`]s.
//! `Core` reads no clock, opens no socket and starts no thread, so its inputs
//! fully determine its behaviour. The randomised tests and the fault matrix
//! therefore run the same code as production (`docs/DESIGN.md`, "Decisions").
//!
//! The crate is divided into these modules:
//!
//! - `document` provides [`DocumentWriter`], which changes one document of the
//!   platform's store by compare-and-swap, batches changes, and recovers from
//!   lost answers;
//! - `mutate` defines every change that can be made to a document;
//! - `contact` tracks the last contact with the platform and the peers, and
//!   decides whether this daemon may accept new work;
//! - `local_allocation` tracks this daemon's quota allocation of one limit and
//!   its use; `assignment` assigns work to daemons by rendezvous hashing;
//! - `queue` holds waiting requests; `share` orders teams when a pool is full;
//! - `route` chooses a minion; `retry` limits retries; `estimate` estimates
//!   service times;
//! - `frame` defines the messages between daemons; `event` and `io` define the
//!   inputs and outputs of the state machine; `timing` defines its intervals
//!   and timeouts;
//! - `step` names every protocol step for the fault matrix;
//! - `core` combines these modules to handle requests, limits, jobs, VMs, peers
//!   and operators.

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

pub use crate::core::{Core, CoreSettings, DaemonCounters, Identity};
pub use contact::ContactTable;
pub use document::{DocumentWriter, FinishedChange, Withdrawal, WriterCall};
pub use event::{
    AttemptOutcome, CallArrival, CallDirective, Clock, ControlAnswer, ControlRequest, Decision,
    Effect, Event, IoCallId, PlatformAnswer, PlatformRequest, Refusal, RefusalKind, ReplyToken,
    StoredValue, TaskReport, TaskState, VmAction, WorkerAnswer, WorkerRequest,
};
pub use frame::{Frame, FrameBody, LimitName, PeerStatus, Shortage, TeamService};
pub use step::ProtocolStep;
