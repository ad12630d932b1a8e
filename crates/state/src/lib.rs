//! Data types and stored records of pollenfall, their parsers, and a verifier of their invariants.
//! The crate has no input or output and no clock.
//!
//! All durable state of the crate `coordination` is in the following documents of the platform's
//! key-value service (see `docs/DESIGN.md`, "Documents"):
//!
//! | key | document | writer |
//! |---|---|---|
//! | `shared/config` | [`ConfigDoc`] | any daemon, on behalf of an operator |
//! | `shared/members` | [`MemberDoc`] | each daemon for itself; the assigned daemon for lost ones |
//! | `shared/fleet` | [`FleetDoc`] | the daemon assigned to the VM's pool |
//! | `team/<team>` | [`TeamDoc`] | any daemon, for its own allocation and jobs |
//! | `slots/<pool>` | [`SlotDoc`] | any daemon, for its own allocations |
//! | `claims/<shard>` | [`ClaimDoc`] | any daemon, for its own claims |
//!
//! Each write replaces a whole document by compare-and-swap, so an invariant that concerns a single
//! document cannot be broken by concurrent writers. The [`verify`] module reports each broken
//! invariant of a document; its checks are independent of the code that changes the documents.

mod allocation;
mod claim;
mod client_limits;
mod config;
mod decode;
mod fault;
mod fleet;
mod id;
mod key;
mod lists;
mod member;
mod parsed;
mod quantity;
mod settings;
mod team;
pub mod verify;

pub use allocation::{AllocationTable, DaemonRef, SlotDoc};
pub use claim::{ClaimDoc, ClaimRecord, ClaimState, StoredAnswer};
pub use client_limits::{
    AddressLimits, ClientAddress, ClientLimits, ClientOverrides, ClientTimeouts,
    SOCKET_BUFFER_BYTES, VmResources,
};
pub use config::{ConfigDoc, ConfigEdit, PlanGrant, PoolPolicy, Preference, Priority, TeamPlan};
pub use decode::{LocatedDecode, UnknownField, decode_located};
pub use fault::{ObjectReader, SettingFault};
pub use fleet::{FleetDoc, VmListing, VmPresence, VmRecord, VmRole, VmState};
pub use id::{
    ChangeId, DaemonId, DataCentreId, IdError, IdempotencyKey, Incarnation, JobId, KeyId, MinionId,
    PlanId, PoolId, QueueId, RackId, RequestId, TeamId, VmId,
};
pub use key::{KeyError, KeyRecord, KeyText, OperatorKey};
pub use lists::{parse_grants, parse_plans};
pub use member::{MemberDoc, MemberRecord};
pub use parsed::{ParsedValue, PathStep, Position, TextIndex, describe_path, parse_value};
pub use quantity::{
    AcceleratorCount, Cores, Mebibytes, Millicores, Millis, Moment, Rate, Revision, SlotCount,
};
pub use settings::{DaemonSettings, LogFormat, parse_daemon_settings};
pub use team::{JobRecord, JobSpec, JobState, TeamDoc};
