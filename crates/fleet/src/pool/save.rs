//! Saves progress and phases, with the changes of several jobs in one commit.
//!
//! Each commit expects the pool's ownership record, so that a former owner cannot write. A commit
//! that is carried out late must change nothing. The roster, which only this owner writes, gives
//! the commits that replace it one order: a commit that expects the roster's revision needs no
//! further expectation for progress, which nobody else writes either. After a commit without a
//! known result the next one replaces the roster too. A commit without the roster expects the
//! revision of each record that it changes. Outcomes, which other daemons change as well, are
//! always written by their revision.
//!
//! The roster holds the number of the last saved finished run of each minion. Each commit also
//! advances these numbers as far as the jobs of the finished runs are saved, so that minions drop
//! their finished runs even while more jobs change than a commit holds. Commits then follow each
//! other at once.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use jobs::{JobOutcome, JobPhase};
use state::{JobId, Millis, MinionId, Moment, Revision};

use super::job::OwnedJob;
use super::minion::OwnedMinion;
use super::{PoolCall, PoolOwner, StepContext};
use crate::event::Measurement;
use crate::io::{ItemValue, PutValue, StoreAnswer, StoreCall, StoreCommit, StoreItem, StorePut};
use crate::key::{OwnKey, StoreKey};
use crate::records::{PoolRoster, RosterRow, decode, encode};
use crate::timing::{COMMIT_RETRY_DELAY, MAX_COMMIT_ROWS, MIN_SAVE_INTERVAL};

/// Rows of a commit for the roster.
const ROSTER_ROWS: usize = 2;
/// Number of removed jobs that are remembered, so that a late watch answer does not
/// register them again.
const MAX_REMEMBERED_REMOVALS: usize = 10_000;

/// Records of a job that a commit writes or removes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct SavedJob {
    has_progress: bool,
    has_phase: bool,
    is_removed: bool,
    /// Whether the commit expects the revision of the outcome.
    expects_outcome: bool,
    /// Whether the commit expects the revision of the progress.
    expects_progress: bool,
}

impl SavedJob {
    /// Chooses the records of `job` that a commit writes now. `has_roster` tells whether the commit
    /// replaces the roster.
    fn new(job: &OwnedJob, now: Moment, has_roster: bool) -> Self {
        let is_removed = job.is_finished();
        let has_progress = job.is_progress_dirty && !is_removed;
        let has_phase = job.is_phase_due(now);
        Self {
            has_progress,
            has_phase,
            is_removed,
            expects_outcome: has_phase || is_removed || !has_roster,
            expects_progress: has_progress && !has_roster,
        }
    }

    /// Returns the maximum number of rows of the commit for the job.
    fn rows(self) -> usize {
        let removed_rows = if self.is_removed { 2 } else { 0 };
        let rows = [self.has_progress, self.has_phase, self.expects_outcome, self.expects_progress];
        rows.into_iter().filter(|is_row| *is_row).count() + removed_rows
    }
}

/// A commit that is not answered yet.
#[derive(Debug)]
struct InFlightSave {
    jobs: BTreeMap<JobId, SavedJob>,
    /// Roster that the commit writes, if it writes one.
    roster: Option<PoolRoster>,
}

/// State of saving: the commit in flight and the changes that wait for the next one.
#[derive(Debug, Default)]
pub(super) struct SaveState {
    in_flight: Option<InFlightSave>,
    /// Earliest time of the next commit.
    next_commit_at: Moment,
    /// Revision of the roster in the store.
    pub(super) roster_revision: Revision,
    /// Whether minions were added to or removed from the roster.
    pub(super) is_roster_dirty: bool,
    /// Whether finished runs were processed that the stored roster does not cover.
    pub(super) has_new_ends: bool,
    /// Job that was added last to a commit; the next commit continues after it.
    last_saved: Option<JobId>,
    /// Whether the last commit had no room for all changes.
    is_behind: bool,
    /// Jobs whose records were removed.
    removed: BTreeSet<JobId>,
    /// Removed jobs, oldest first.
    removed_order: VecDeque<JobId>,
}

impl SaveState {
    /// Whether no commit is in flight and no finished run waits to be saved.
    pub(super) fn is_idle(&self) -> bool {
        self.in_flight.is_none() && !self.has_new_ends
    }

    /// Whether the records of a job were removed recently.
    pub(super) fn has_removed(&self, job: &JobId) -> bool {
        self.removed.contains(job)
    }

    /// Remembers a removed job, and forgets the oldest one above the maximum.
    fn remember_removed(&mut self, job: JobId) {
        self.removed.insert(job.clone());
        self.removed_order.push_back(job);
        if self.removed_order.len() > MAX_REMEMBERED_REMOVALS
            && let Some(oldest) = self.removed_order.pop_front()
        {
            self.removed.remove(&oldest);
        }
    }
}

impl PoolOwner {
    /// Builds the store key of one of the pool's records.
    fn pool_key(&self, key: impl Fn(state::PoolId) -> OwnKey) -> StoreKey {
        StoreKey::Own(key(self.pool.clone()))
    }

    /// Returns the store keys of a job, its progress and its outcome.
    fn job_keys(&self, job: &JobId) -> (StoreKey, StoreKey, StoreKey) {
        (
            self.pool_key(|pool| OwnKey::Job(pool, job.clone())),
            self.pool_key(|pool| OwnKey::Progress(pool, job.clone())),
            self.pool_key(|pool| OwnKey::Outcome(pool, job.clone())),
        )
    }

    /// Commits as many changed jobs as fit into one commit, unless a commit is in flight.
    pub(super) fn save_changes(&mut self, context: &mut StepContext) {
        if self.save.in_flight.is_some() || context.clock.now < self.save.next_commit_at {
            return;
        }
        let last_saved = self.save.last_saved.as_ref();
        // A job takes a row at least.
        let dirty = self.jobs.jobs_to_save(context.clock.now, MAX_COMMIT_ROWS, last_saved);
        self.work.add(dirty.len());
        let has_roster = self.save.is_roster_dirty || self.save.has_new_ends;
        if dirty.is_empty() && !has_roster {
            return;
        }
        let mut commit = StoreCommit::default();
        let mut in_flight = InFlightSave { jobs: BTreeMap::new(), roster: None };
        commit.expect.push((self.owner_key(), self.fencing_token));
        let max_rows = if has_roster { MAX_COMMIT_ROWS - ROSTER_ROWS } else { MAX_COMMIT_ROWS };
        self.save.is_behind = false;
        for job in dirty {
            let Some(known) = self.jobs.get(&job) else { continue };
            let saved = SavedJob::new(known, context.clock.now, has_roster);
            if commit.rows() + saved.rows() > max_rows {
                self.save.is_behind = true;
                break;
            }
            self.add_job_writes(&mut commit, &job, saved);
            self.save.last_saved = Some(job.clone());
            in_flight.jobs.insert(job, saved);
        }
        if has_roster {
            let roster = self.build_roster();
            let key = self.pool_key(OwnKey::Roster);
            commit.expect.push((key.clone(), self.save.roster_revision));
            let value = PutValue::Own(encode(&roster));
            commit.puts.push(StorePut { key, value, lease: None });
            in_flight.roster = Some(roster);
            self.save.is_roster_dirty = false;
            self.save.has_new_ends = self
                .minions
                .values()
                .any(|minion| self.saveable_end(minion) < minion.processed_end);
        }
        self.save.in_flight = Some(in_flight);
        let purpose = self.purpose(PoolCall::Save);
        context.out.call_store(context.clock, purpose, StoreCall::Commit(commit));
    }

    /// Builds the roster: minions that have answered this owner, and minions of the stored
    /// roster that may still execute tasks of an earlier owner.
    fn build_roster(&self) -> PoolRoster {
        self.work.add(self.minions.len());
        let mut minions: BTreeMap<MinionId, RosterRow> = self.stage.unconfirmed_minions.clone();
        for (id, minion) in &self.minions {
            if minion.is_fenced {
                let row = RosterRow {
                    address: minion.report.address,
                    minion_incarnation: minion.report.minion_incarnation,
                    saved_end: self.saveable_end(minion),
                };
                minions.insert(id.clone(), row);
            }
        }
        PoolRoster { minions }
    }

    /// Returns the number up to which a minion's finished runs are saved once the commit
    /// that is being built has succeeded.
    fn saveable_end(&self, minion: &OwnedMinion) -> u64 {
        let has_unsaved_changes =
            |job: &JobId| self.jobs.get(job).is_some_and(|job| job.is_progress_dirty);
        let first_blocked = minion.unsaved_ends.first_blocked(has_unsaved_changes);
        first_blocked.map_or(minion.processed_end, |number| number - 1)
    }

    /// Adds the changes of a job to a commit and clears the job's dirty marks.
    fn add_job_writes(&mut self, commit: &mut StoreCommit, name: &JobId, saved: SavedJob) {
        let (job_key, progress_key, outcome_key) = self.job_keys(name);
        let Some(job) = self.jobs.get_mut(name) else { return };
        if saved.expects_outcome {
            commit.expect.push((outcome_key.clone(), job.outcome_revision));
        }
        if saved.expects_progress {
            commit.expect.push((progress_key.clone(), job.progress_revision));
        }
        if saved.has_phase {
            let outcome = JobOutcome { phase: job.phase, queue: job.queue.clone() };
            let value = PutValue::Own(encode(&outcome));
            commit.puts.push(StorePut { key: outcome_key, value, lease: None });
        }
        if saved.has_progress {
            let value = PutValue::Own(encode(&job.progress_record()));
            commit.puts.push(StorePut { key: progress_key, value, lease: None });
        } else if saved.is_removed {
            commit.remove.push(job_key);
            if job.progress_revision.0 > 0 {
                commit.remove.push(progress_key);
            }
        }
        job.is_progress_dirty = false;
        job.is_phase_dirty &= !saved.has_phase;
    }

    /// Handles the answer to a commit of changes.
    pub(super) fn on_saved(&mut self, context: &mut StepContext, answer: StoreAnswer) {
        let Some(in_flight) = self.save.in_flight.take() else { return };
        let interval = if self.save.is_behind { Millis(0) } else { MIN_SAVE_INTERVAL };
        self.save.next_commit_at = context.clock.now + interval;
        match answer {
            StoreAnswer::Committed(revision) => {
                self.apply_commit(context, in_flight, revision);
            }
            StoreAnswer::Conflict(items) => {
                let inputs = format!("{} jobs, unexpected record revisions", in_flight.jobs.len());
                context.out.log("save", &self.pool, inputs, "again");
                self.mark_unsaved(in_flight);
                self.resolve_conflict(context, items);
            }
            other => {
                context.out.log("save", &self.pool, format!("{other:?}"), "again");
                self.mark_unsaved(in_flight);
                self.save.next_commit_at = context.clock.now + COMMIT_RETRY_DELAY;
            }
        }
    }

    /// Records the new revisions of a successful commit, and drops jobs whose records it
    /// removed.
    fn apply_commit(
        &mut self,
        context: &mut StepContext,
        in_flight: InFlightSave,
        revision: Revision,
    ) {
        let now = context.clock.now;
        for (name, saved) in in_flight.jobs {
            let Some(job) = self.jobs.get_mut(&name) else { continue };
            if saved.has_phase {
                job.outcome_revision = revision;
            }
            if saved.has_progress {
                job.progress_revision = revision;
            }
            if saved.is_removed {
                self.jobs.remove(&name);
                self.record_ended(now, name.clone());
                self.save.remember_removed(name);
            }
        }
        let Some(roster) = in_flight.roster else { return };
        self.save.roster_revision = revision;
        for (id, row) in roster.minions {
            let Some(minion) = self.minions.get_mut(&id) else { continue };
            if minion.report.minion_incarnation != row.minion_incarnation {
                continue;
            }
            if !minion.is_in_roster {
                minion.is_in_roster = true;
                self.pass.request();
            }
            if row.saved_end > minion.saved_end {
                minion.saved_end = row.saved_end;
                for processed_at in minion.unsaved_ends.remove_saved(row.saved_end) {
                    context.out.measure(Measurement::EndSaved(now - processed_at));
                }
                self.hold_queue.add(&id);
            }
        }
    }

    /// Marks everything in a commit as unsaved again, since the commit failed or its result
    /// is unknown.
    fn mark_unsaved(&mut self, in_flight: InFlightSave) {
        for (name, saved) in in_flight.jobs {
            let Some(job) = self.jobs.get_mut(&name) else { continue };
            // The removal of a job's records also stands for its last progress.
            job.is_progress_dirty |= saved.has_progress || saved.is_removed;
            job.is_phase_dirty |= saved.has_phase;
        }
        if in_flight.roster.is_some() {
            self.save.is_roster_dirty = true;
            self.save.has_new_ends = true;
        }
    }

    /// Adopts the store's revisions after a conflict. The pool is lost if the ownership
    /// record is not this owner's.
    fn resolve_conflict(&mut self, context: &mut StepContext, items: Vec<StoreItem>) {
        let owner_key = self.owner_key();
        let is_owned =
            items.iter().any(|item| item.key == owner_key && item.revision == self.fencing_token);
        if !is_owned {
            context.out.log(
                "pool",
                &self.pool,
                "the ownership record belongs to another owner",
                "lost",
            );
            self.is_lost = true;
            return;
        }
        for item in items {
            match &item.key {
                StoreKey::Own(OwnKey::Outcome(_, job)) => {
                    let ItemValue::Own(bytes) = &item.value else { continue };
                    match decode::<JobOutcome>(bytes) {
                        Ok(outcome) => {
                            let (job, phase) = (job.clone(), outcome.phase);
                            self.adopt_saved_outcome(context, &job, phase, item.revision);
                        }
                        Err(reason) => {
                            context.out.log("record", job, reason, "skipped");
                        }
                    }
                }
                StoreKey::Own(OwnKey::Progress(_, job)) => {
                    if let Some(job) = self.jobs.get_mut(job) {
                        job.progress_revision = item.revision;
                    }
                }
                StoreKey::Own(OwnKey::Roster(_)) => self.save.roster_revision = item.revision,
                _ => {}
            }
        }
    }

    /// Handles an unexpected outcome in the store: either a submitter has cancelled the
    /// job, or an earlier commit of this owner took effect although its answer was lost.
    fn adopt_saved_outcome(
        &mut self,
        context: &mut StepContext,
        job: &JobId,
        phase: JobPhase,
        revision: Revision,
    ) {
        let is_own_removal = self.jobs.get(job).is_some_and(|known| {
            known.outcome_revision != revision && known.phase == phase && known.is_finished()
        });
        if is_own_removal {
            self.jobs.remove(job);
            self.save.remember_removed(job.clone());
        } else {
            self.adopt_outcome(context, job, phase, revision);
        }
    }
}
