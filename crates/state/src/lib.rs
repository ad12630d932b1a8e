//! Types, records and the verifier: what pollenfall knows, without any way of
//! changing it over time.
//!
//! Everything durable is one of five documents in the platform's key-value
//! service (see `docs/DESIGN.md`, "Documents"):
//!
//! | key | document | who writes |
//! |---|---|---|
//! | `shared/config` | [`ConfigDoc`] | any daemon, for an operator |
//! | `shared/members` | [`MemberDoc`] | each daemon for itself; the duty holder for lost ones |
//! | `shared/fleet` | [`FleetDoc`] | the duty holder of a VM's pool |
//! | `team/<team>` | [`TeamDoc`] | any daemon, for its own holdings and jobs |
//! | `slots/<pool>` | [`SlotDoc`] | any daemon, for its own holdings |
//! | `claims/<shard>` | [`ClaimDoc`] | any daemon, for its own claims |
//!
//! Each document is replaced as a whole by compare-and-swap, so an invariant
//! that is confined to one document holds structurally. The [`verify`] module
//! lists every invariant of every document that is broken, independently of
//! the code that changes them.

mod allocation;
mod claim;
mod config;
mod fault;
mod fleet;
mod id;
mod key;
mod lists;
mod member;
mod quantity;
mod settings;
mod team;
pub mod verify;

pub use allocation::{AllocationTable, DaemonRef, SlotDoc};
pub use claim::{ClaimDoc, ClaimRecord, ClaimState, KeptAnswer};
pub use config::{ConfigDoc, ConfigEdit, PlanGrant, PoolPolicy, Preference, Priority, TeamPlan};
pub use fault::{ObjectReader, ParsedValue, SettingFault, parse_value};
pub use fleet::{FleetDoc, VmListing, VmPresence, VmRecord, VmRole, VmState};
pub use id::{
    ChangeId, DaemonId, DataCentreId, IdError, IdempotencyKey, Incarnation, JobId, KeyId, MinionId,
    PlanId, PoolId, QueueId, RackId, RequestId, TeamId, VmId,
};
pub use key::{KeyError, KeyRecord, KeyText, OperatorKey};
pub use lists::{parse_grants, parse_plans};
pub use member::{MemberDoc, MemberRecord};
pub use quantity::{
    AcceleratorCount, Cores, Mebibytes, Millicores, Millis, Moment, Revision, SlotCount,
};
pub use settings::{DaemonSettings, LogFormat, parse_daemon_settings};
pub use team::{JobRecord, JobSpec, JobState, TeamDoc};
