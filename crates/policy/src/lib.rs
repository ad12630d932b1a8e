//! Decisions under load: plain values in, decisions out.
//!
//! The owner of a pool and the intake ask this crate what to do when demand and capacity do not
//! match. No module makes a call, reads a clock or knows a record of the store, so each decision is
//! tested with a load as input and what submitters get as output (`docs/design/README.md`).

mod admission;
mod capacity;
pub mod data_wait;
mod forecast;
mod overload;
mod run_times;
mod shares;
mod vm_health;

pub use capacity::{CapacityPlan, PoolLoad, plan_capacity};
pub use forecast::{ExpectedTurn, TurnForecast, TurnRecord};
pub use overload::{JobClass, JobLoad, PoolCapacity, StepLoad, select_jobs};
pub use run_times::{QueueCorrection, RunTimeRecord, RunTimeTable, ShapeKey};
pub use shares::{TeamShares, TeamUse};
pub use vm_health::{FULL_WEIGHT, RackChange, RackWatch, StepKey, VmHealth, VmJudgement};
