//! Predicts the next burst of a pool's demand from the work that was accepted.
