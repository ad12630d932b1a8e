//! Selects the jobs that a full pool can complete in time.
