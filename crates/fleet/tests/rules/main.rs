//! Seeded simulation of the decision code of several daemons under virtual time.
//!
//! The daemons run against a store, minions and a cloud with injected faults. A rule checker
//! tests the rules of the fleet against what submitters, minions, the operator and the cloud
//! observe.

mod accepted_jobs;
mod attempts;
mod checker;
mod cloud;
mod config_rule;
mod configuration;
mod data_waits;
mod fence_rule;
mod fencing;
mod fixtures;
mod handover;
mod injected_fault;
mod many_ends;
mod minion;
mod overload;
mod owner_work;
mod ownership;
mod reads;
mod replaced_minions;
mod run_times;
mod saving;
mod seeded_runs;
mod selection;
mod simulation;
mod slow_links;
mod stalls;
mod store;
mod throughput;
mod timetables;
mod unknown_incarnations;
mod vm_health;
mod waves;
