//! Finished runs of a minion that were processed but are not saved yet.
//!
//! A minion drops its finished runs up to a number, so a number may be saved only when the
//! jobs of all finished runs up to it are saved. Jobs are saved in batches, and the number
//! advances with each batch: it does not wait until no job has unsaved changes.

use std::collections::VecDeque;

use state::JobId;

/// Processed finished runs that are not saved, in the order of their numbers.
#[derive(Debug, Default)]
pub(super) struct UnsavedEnds {
    ends: VecDeque<(u64, JobId)>,
}

impl UnsavedEnds {
    /// Adds the finished run with the next higher number.
    pub(super) fn push(&mut self, number: u64, job: JobId) {
        self.ends.push_back((number, job));
    }

    /// Returns the first finished run whose job has unsaved changes.
    pub(super) fn first_blocked(
        &self,
        has_unsaved_changes: impl Fn(&JobId) -> bool,
    ) -> Option<u64> {
        self.ends.iter().find(|(_, job)| has_unsaved_changes(job)).map(|(number, _)| *number)
    }

    /// Removes the finished runs up to number `saved_end`.
    pub(super) fn remove_saved(&mut self, saved_end: u64) {
        while self.ends.front().is_some_and(|(number, _)| *number <= saved_end) {
            self.ends.pop_front();
        }
    }
}
