//! Seeded runs of several daemons' decision code against a store, minions and a
//! cloud that misbehave, under virtual time, with the rules checked over what
//! submitters, minions, operator and cloud saw.

mod checker;
mod cloud;
mod minion;
mod seeded_runs;
mod simulation;
mod store;
