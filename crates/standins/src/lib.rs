//! Stand-ins for the systems that pollenfall talks to: the platform, minions
//! and workers, each a process of its own. The crate also has a load generator
//! and a relay that serves as the baseline of latency measurements. No shipped
//! binary links this crate.
//!
//! The platform and the minion accept an injected fault over HTTP at
//! `/standin/fault`. The platform, the minion and the worker report at
//! `/standin/report` the counts of the requests and events that they observed,
//! so that a test can compare the counts with the expected ones.

mod http_server;
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
