//! Soak of real daemons: starts `pollenfalld` processes against stand-ins of the platform, plays
//! a seeded script of faults, and checks from what the minions saw that no task runs twice.

mod daemon;
mod deployment;
mod http_client;
mod http_server;
mod incarnation;
mod machine_list;
mod minion;
mod random_faults;
mod report;
mod run_log;
mod scripts;
mod store;
mod store_items;
mod submitter;

pub use report::SoakReport;
pub use run_log::{DoubledRun, RunEnd, RunLog, RunRecord, find_doubled_runs};
pub use scripts::{OwnerEnd, ScriptKind, SoakSettings, run_script};
