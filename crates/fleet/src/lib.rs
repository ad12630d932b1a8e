//! Decisions of a daemon that carries jobs on a platform's fleet.
//!
//! One pure state machine, [`FleetCore`]: an event and the time in, effects out. It
//! reads no clock, starts no thread and knows no wire format; the adapter decodes
//! the platform's words into the types of [`mod@model`] and [`mod@io`].
//!
//! Each part owns its state, and [`FleetCore`] only routes:
//!
//! - `shared` follows the records that every daemon must know (configuration,
//!   owners, outcomes, limits) by one watch;
//! - `session` keeps this daemon's lease and takes pools that nobody owns;
//! - `intake` accepts, cancels and answers for jobs, at any daemon;
//! - `registry` lists the minions;
//! - `pool` places and starts the tasks of a pool that this daemon owns, takes note
//!   of their ends, and empties VMs;
//! - `mover` gives all orders for VMs, if this daemon has that duty.
//!
//! What lasts is in the platform's store, what runs is read back from the minions
//! (`docs/PLATFORM.md`, "Truths"). A duty's owner is the holder of its record
//! `owner/DUTY`, which lives as long as its daemon's lease; the revision of that
//! record's creation fences each order to a minion and each write to the store.

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
    CallId, ClientAction, ClientAnswer, ClientCall, ClientTarget, Clock, Effect, Event,
    RequestToken,
};
pub use key::{KeyScope, OwnKey, ShardKey, StoreKey};
pub use outbox::DecisionLine;
pub use records::{
    AllocationDoc, OwnerRecord, PoolDemand, PoolRoster, ProgressRecord, UncertainFailure,
    WaveProgressDoc,
};
