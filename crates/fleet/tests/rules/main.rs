//! Seeded simulation of the decision code of several daemons under virtual time.
//!
//! The daemons run against a store, minions and a cloud with injected faults. A rule checker
//! tests the rules of the fleet against what submitters, minions, the operator and the cloud
//! observe.

mod checker;
mod cloud;
mod minion;
mod seeded_runs;
mod simulation;
mod stalls;
mod store;
