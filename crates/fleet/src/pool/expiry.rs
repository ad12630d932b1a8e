//! Removes the outcomes of jobs that ended long ago, so that the store and every daemon's
//! copy of the shared records stay bounded.

use std::collections::VecDeque;

use state::{JobId, Moment};

use super::{PoolCall, PoolOwner, StepContext};
use crate::io::{StoreCall, StoreCommit};
use crate::key::{OwnKey, StoreKey};
use crate::timing::{MAX_COMMIT_ROWS, OUTCOME_RETENTION};

/// Ended jobs, in the order in which this owner learned that they ended.
#[derive(Debug, Default)]
pub(super) struct ExpiryQueue {
    ended: VecDeque<(Moment, JobId)>,
    /// Whether a commit that removes outcomes is in flight.
    pub(super) is_write_in_flight: bool,
}

impl ExpiryQueue {
    /// Removes and returns the oldest ended job if its retention is over.
    fn pop_due(&mut self, now: Moment) -> Option<JobId> {
        let is_due = self.ended.front().is_some_and(|(at, _)| now >= *at + OUTCOME_RETENTION);
        if is_due { self.ended.pop_front().map(|(_, job)| job) } else { None }
    }
}

impl PoolOwner {
    /// Queues an ended job, so that its outcome is removed after the retention.
    pub(super) fn record_ended(&mut self, now: Moment, job: JobId) {
        self.expiry.ended.push_back((now, job));
    }

    /// Queues the jobs that ended before this owner acquired the pool. Their retention
    /// starts anew.
    pub(super) fn queue_ended_jobs(&mut self, context: &StepContext) {
        let now = context.clock.now;
        for (job, outcome) in &context.shared.outcomes {
            if outcome.record.pool == self.pool && outcome.record.phase.is_final() {
                self.expiry.ended.push_back((now, job.clone()));
            }
        }
    }

    /// Commits the removal of outcomes whose retention is over.
    pub(super) fn expire_outcomes(&mut self, context: &mut StepContext) {
        if !context.is_ownership_valid || self.expiry.is_write_in_flight {
            return;
        }
        let mut commit = StoreCommit {
            expect: vec![(self.owner_key(), self.fencing_token)],
            ..StoreCommit::default()
        };
        while commit.rows() + 2 <= MAX_COMMIT_ROWS
            && let Some(job) = self.expiry.pop_due(context.clock.now)
        {
            let known = context.shared.outcomes.get(&job);
            // A job whose records are not removed yet still needs its outcome.
            if let Some(known) = known.filter(|_| !self.jobs.contains_key(&job)) {
                let key = StoreKey::Own(OwnKey::Outcome(job));
                commit.expect.push((key.clone(), known.revision));
                commit.remove.push(key);
            }
        }
        if commit.remove.is_empty() {
            return;
        }
        let inputs = format!("{} jobs ended over {OUTCOME_RETENTION} ago", commit.remove.len());
        context.out.log("outcomes", &self.pool, inputs, "forgotten");
        self.expiry.is_write_in_flight = true;
        let purpose = self.purpose(PoolCall::Expire);
        context.out.call_store(context.clock, purpose, StoreCall::Commit(commit));
    }
}
