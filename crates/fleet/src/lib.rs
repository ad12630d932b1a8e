//! Decisions of a daemon that runs jobs on the fleet of a platform.
//!
//! The crate is one pure state machine, [`FleetCore`]: its input is an event and the
//! time, its output is a list of effects. The state machine reads no clock, starts no
//! thread and knows no wire format; the adapter decodes the platform's messages into
//! the types of [`mod@model`] and [`mod@io`].
//!
//! Each component owns its state, and [`FleetCore`] only dispatches events to them:
//!
//! - `contact` detects that the store answers again after a silence;
//! - `shared` follows, by one watch, the records that every daemon needs
//!   (configuration, owners, outcomes, limits);
//! - `session` maintains this daemon's lease and acquires shards that have no owner;
//! - `intake` accepts jobs, cancels jobs and reports their state, on any daemon;
//! - `registry` reads the reports of the minions;
//! - `pool` places and starts the tasks of a pool that this daemon owns, records their
//!   ends, and drains VMs;
//! - `vm_controller` gives all orders for VMs, if this daemon owns that shard.
//!
//! Durable state is in the platform's store; the state of running tasks is read back
//! from the minions (`docs/PLATFORM.md`, "Truths"). A shard is owned by the daemon that
//! created its record `owner/SHARD`, which lives as long as that daemon's lease. The
//! revision of the record's creation is the fencing token of each order to a minion and
//! of each write to the store.

mod contact;
mod core;
mod event;
mod intake;
pub mod io;
mod key;
pub mod model;
mod outbox;
mod pool;
mod records;
mod registry;
mod session;
mod shared;
mod timing;
mod vm_controller;

pub use crate::core::FleetCore;
pub use event::{
    CallId, ClientAction, ClientAnswer, ClientCall, ClientTarget, Clock, DataWaitOutcome, Effect,
    Event, Measurement, ReleaseCause, ReplyToken, VmHealthDecision, WaitCause,
};
pub use key::{KeyScope, OwnKey, ShardKey, StoreKey};
pub use outbox::DecisionLine;
pub use records::{
    AllocationDoc, OwnerRecord, PoolDemand, PoolRoster, ProgressRecord, SaveSequence,
    UncertainFailure, WaveProgressDoc,
};
pub use session::acquire_delay;
