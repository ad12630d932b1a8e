//! Tests that the coordination state machine keeps its invariants under faults.
//!
//! Several daemons run in a seeded simulation with fake callers, platform,
//! minions and workers. The module `random` runs random scenarios, and the
//! module `matrix` injects every fault at every protocol step. A checker compares
//! the events that the fakes observed with the invariants.

mod matrix;
mod random;
mod simulation;
