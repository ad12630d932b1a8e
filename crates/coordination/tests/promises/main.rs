//! What must always hold, under failure: randomised runs and the fault matrix.

mod matrix;
mod random;
mod simulation;
