//! Finished runs of a minion that were processed but are not saved yet.
//!
//! A minion drops its finished runs up to a number, so a number may be saved only when the
//! jobs of all finished runs up to it are saved. Jobs are saved in batches, and the number
//! advances with each batch: it does not wait until no job has unsaved changes.

use std::collections::VecDeque;

use state::{JobId, Moment};

/// Finished run that was processed and is not saved yet.
#[derive(Debug)]
pub(super) struct UnsavedEnd {
    /// Number in the minion's list.
    pub(super) number: u64,
    pub(super) job: JobId,
    /// Count of the finished runs that the owner has processed, this one included.
    pub(super) count: u64,
    pub(super) processed_at: Moment,
}

/// Processed finished runs that are not saved, in the order of their numbers.
#[derive(Debug, Default)]
pub(super) struct UnsavedEnds {
    ends: VecDeque<UnsavedEnd>,
}

impl UnsavedEnds {
    /// Adds the finished run with the next higher number.
    pub(super) fn push(&mut self, end: UnsavedEnd) {
        self.ends.push_back(end);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Returns the number of the first finished run for which `is_unsaved` holds.
    pub(super) fn first_blocked(&self, is_unsaved: impl Fn(&UnsavedEnd) -> bool) -> Option<u64> {
        self.ends.iter().find(|end| is_unsaved(end)).map(|end| end.number)
    }

    /// Removes the finished runs up to number `saved_end`, and returns when each was processed.
    pub(super) fn remove_saved(&mut self, saved_end: u64) -> impl Iterator<Item = Moment> {
        let count = self.ends.partition_point(|end| end.number <= saved_end);
        self.ends.drain(..count).map(|end| end.processed_at)
    }
}
