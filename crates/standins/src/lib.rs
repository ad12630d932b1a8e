//! Small stand-ins for what pollenfall meets: the platform, minions and
//! workers, each its own process; a load tool; and a bare relay to measure
//! against. No shipped binary links this crate.
//!
//! Each stand-in can be told over HTTP, at `/standin/fault`, to misbehave, and
//! reports at `/standin/report` what it saw, so that a test can compare.

mod load;
mod minion;
mod platform;
mod relay;
mod serve;
mod worker;

pub use load::{LoadSettings, run_load};
pub use minion::{MinionSettings, run_minion};
pub use platform::{PlatformSettings, run_platform};
pub use relay::run_relay;
pub use worker::{WorkerSettings, run_worker};
