//! Counts the work of a pool's owner in a unit that does not depend on the machine.

use std::cell::Cell;

/// Number of jobs, minions and runs that an owner has examined since the last reading.
#[derive(Debug, Default)]
pub(super) struct WorkCounter(Cell<u64>);

impl WorkCounter {
    /// Counts `items` examined jobs, minions or runs.
    pub(super) fn add(&self, items: usize) {
        self.0.set(self.0.get() + items as u64);
    }

    /// Returns the count.
    pub(super) fn count(&self) -> u64 {
        self.0.get()
    }

    /// Returns the count and resets it.
    pub(super) fn take(&self) -> u64 {
        self.0.take()
    }
}
