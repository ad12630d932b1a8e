//! Saves progress and phases, with the changes of several jobs in one commit.
//!
//! Each commit expects the pool's ownership record, so that a former owner cannot write, and
//! replaces the save sequence of its lane (`save_lane`), a small record that only the pool's owners
//! write. The commits of a lane therefore take effect in the order in which they are sent, and one
//! that is carried out after a later one changes nothing. Progress, which nobody else writes
//! either, needs no further expectation. Outcomes, which other daemons change as well, are written
//! and removed by their revision.
//!
//! While more jobs of a lane change than a commit holds, its commits follow each other at once.
//! After each of them the minions may drop the finished runs whose jobs are saved, whatever other
//! jobs wait. The number of the last of them is not written with each commit: a new owner
//! recognises a failure that it is listed again by the job's uncertain failures, and a finished
//! task stays finished.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use jobs::{JobOutcome, JobPhase};
use state::{JobId, Millis, MinionId, Moment, Revision};

use super::job::OwnedJob;
use super::minion::OwnedMinion;
use super::save_lane::{PerLane, SaveLane};
use super::unsaved::UnsavedEnd;
use super::{PoolCall, PoolOwner, StepContext};
use crate::event::Measurement;
use crate::io::{ItemValue, PutValue, StoreAnswer, StoreCall, StoreCommit, StoreItem, StorePut};
use crate::key::{OwnKey, StoreKey};
use crate::records::{SaveSequence, decode, encode};
use crate::timing::{COMMIT_RETRY_DELAY, MAX_COMMIT_ROWS, MIN_SAVE_INTERVAL};

/// Number of removed jobs that are remembered, so that a late watch answer does not
/// register them again.
const MAX_REMEMBERED_REMOVALS: usize = 10_000;

/// Records of a job that a commit writes or removes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct SavedJob {
    has_progress: bool,
    has_phase: bool,
    is_removed: bool,
}

impl SavedJob {
    /// Chooses the records of `job` that a commit writes now.
    fn new(job: &OwnedJob, now: Moment) -> Self {
        let is_removed = job.is_finished();
        Self {
            has_progress: job.is_progress_dirty && !is_removed,
            has_phase: job.is_phase_due(now),
            is_removed,
        }
    }

    /// Whether the commit expects the revision of the outcome.
    fn expects_outcome(self) -> bool {
        self.has_phase || self.is_removed
    }

    /// Returns the maximum number of rows of the commit for the job.
    fn rows(self) -> usize {
        let removed_rows = if self.is_removed { 2 } else { 0 };
        let rows = [self.has_progress, self.has_phase, self.expects_outcome()];
        rows.into_iter().filter(|is_row| *is_row).count() + removed_rows
    }
}

/// A commit that is not answered yet.
#[derive(Debug)]
struct InFlightSave {
    jobs: BTreeMap<JobId, SavedJob>,
    /// Incarnations of the minions in the roster that the commit writes, if it writes one.
    roster: Option<BTreeMap<MinionId, u64>>,
    /// Count of the finished runs that had been processed when the commit was built.
    ends_through: u64,
    sent_at: Moment,
}

/// State of one lane: the commit in flight and its place in the lane's order.
#[derive(Debug, Default)]
struct LaneState {
    in_flight: Option<InFlightSave>,
    /// Earliest time of the next commit.
    next_commit_at: Moment,
    sequence: SaveSequence,
    /// Revision of the save sequence in the store; 0 if it is absent.
    sequence_revision: Revision,
    /// Job that was added last to a commit; the next commit continues after it.
    last_saved: Option<JobId>,
    /// Whether the last commit had no room for all changes.
    is_behind: bool,
}

/// State of saving: the lanes and the changes that wait for their next commits.
#[derive(Debug, Default)]
pub(super) struct SaveState {
    lanes: PerLane<LaneState>,
    /// Whether minions were added to or removed from the roster.
    pub(super) is_roster_dirty: bool,
    /// Whether finished runs were processed that are not saved.
    has_new_ends: bool,
    /// Whether a commit has succeeded, or a tick has passed, since saved finished runs were last
    /// released.
    pub(super) may_release_ends: bool,
    /// Number of finished runs that this owner has processed.
    processed_ends: u64,
    /// Jobs whose records were removed.
    removed: BTreeSet<JobId>,
    /// Removed jobs, oldest first.
    removed_order: VecDeque<JobId>,
}

impl SaveState {
    /// Whether no commit is in flight and no finished run waits to be saved.
    pub(super) fn is_idle(&self) -> bool {
        self.lanes.iter().all(|lane| lane.in_flight.is_none()) && !self.has_new_ends
    }

    /// Whether a commit that writes the roster is in flight.
    pub(super) fn is_writing_roster(&self) -> bool {
        let in_flight = self.lanes.iter().filter_map(|lane| lane.in_flight.as_ref());
        in_flight.into_iter().any(|in_flight| in_flight.roster.is_some())
    }

    /// Counts a finished run that is not saved yet, and returns its count.
    pub(super) fn count_end(&mut self) -> u64 {
        self.has_new_ends = true;
        self.processed_ends += 1;
        self.processed_ends
    }

    /// Whether the commit in flight of a lane saves the job.
    fn is_in_flight(&self, lane: SaveLane, job: &JobId) -> bool {
        let in_flight = self.lanes[lane].in_flight.as_ref();
        in_flight.is_some_and(|in_flight| in_flight.jobs.contains_key(job))
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
    pub(super) fn pool_key(&self, key: impl Fn(state::PoolId) -> OwnKey) -> StoreKey {
        StoreKey::Own(key(self.pool.clone()))
    }

    /// Returns the store keys of a job, its progress and its outcome.
    fn job_keys(&self, job: &JobId) -> (StoreKey, StoreKey, StoreKey) {
        (
            self.pool_key(|pool| OwnKey::Job(pool, job.clone())),
            self.pool_key(|pool| OwnKey::Progress(pool, job.clone())),
            StoreKey::Own(OwnKey::Outcome(job.clone())),
        )
    }

    /// Commits the changes of each lane that has no commit in flight.
    pub(super) fn save_changes(&mut self, context: &mut StepContext) {
        for lane in SaveLane::all() {
            let state = &self.save.lanes[lane];
            if state.in_flight.is_none() && context.clock.now >= state.next_commit_at {
                self.save_lane(context, lane);
            }
        }
        if std::mem::take(&mut self.save.may_release_ends) && self.save.has_new_ends {
            self.release_saved_ends(context);
        }
    }

    /// Commits as many changed jobs of a lane as fit into one commit.
    fn save_lane(&mut self, context: &mut StepContext, lane: SaveLane) {
        let now = context.clock.now;
        let last_saved = self.save.lanes[lane].last_saved.as_ref();
        // A job takes a row at least.
        let dirty = self.jobs.jobs_to_save(now, lane, MAX_COMMIT_ROWS, last_saved);
        self.work.add(dirty.len());
        let has_roster = lane == SaveLane::FIRST && self.save.is_roster_dirty;
        if dirty.is_empty() && !has_roster {
            return;
        }
        let mut commit = StoreCommit::default();
        commit.expect.push((self.owner_key(), self.fencing_token));
        self.add_sequence(&mut commit, lane);
        let roster = has_roster.then(|| self.add_roster(now, &mut commit));
        let jobs = self.add_jobs(now, &mut commit, lane, dirty);
        let ends_through = self.save.processed_ends;
        let in_flight = InFlightSave { jobs, roster, ends_through, sent_at: now };
        self.save.lanes[lane].in_flight = Some(in_flight);
        let purpose = self.purpose(PoolCall::Save(lane));
        context.out.call_store(context.clock, purpose, StoreCall::Commit(commit));
    }

    /// Adds the replacement of a lane's save sequence to a commit.
    fn add_sequence(&mut self, commit: &mut StoreCommit, lane: SaveLane) {
        let key = self.pool_key(|pool| OwnKey::SaveSequence(pool, lane.number()));
        let state = &mut self.save.lanes[lane];
        state.sequence.commits += 1;
        let value = PutValue::Own(encode(&state.sequence));
        commit.expect.push((key.clone(), state.sequence_revision));
        commit.puts.push(StorePut { key, value, lease: None });
    }

    /// Adds as many of the changed jobs to a commit as fit, and returns what is written of them.
    fn add_jobs(
        &mut self,
        now: Moment,
        commit: &mut StoreCommit,
        lane: SaveLane,
        dirty: Vec<JobId>,
    ) -> BTreeMap<JobId, SavedJob> {
        let mut jobs = BTreeMap::new();
        self.save.lanes[lane].is_behind = false;
        for job in dirty {
            let Some(known) = self.jobs.get(&job) else { continue };
            let saved = SavedJob::new(known, now);
            if commit.rows() + saved.rows() > MAX_COMMIT_ROWS {
                self.save.lanes[lane].is_behind = true;
                break;
            }
            self.add_job_writes(commit, &job, saved);
            self.save.lanes[lane].last_saved = Some(job.clone());
            jobs.insert(job, saved);
        }
        jobs
    }

    /// Records which finished runs of each minion are saved, so that its next hold lets it drop
    /// them.
    fn release_saved_ends(&mut self, context: &mut StepContext) {
        let now = context.clock.now;
        self.work.add(self.minions.len());
        let unsaved = self.minions.iter().filter(|(_, minion)| !minion.unsaved_ends.is_empty());
        let to_end = |(id, minion): (&MinionId, &OwnedMinion)| (id.clone(), self.saved_end(minion));
        let saved_ends: Vec<(MinionId, u64)> = unsaved.map(to_end).collect();
        self.save.has_new_ends = false;
        for (id, saved_end) in saved_ends {
            let Some(minion) = self.minions.get_mut(&id) else { continue };
            if saved_end > minion.saved_end {
                minion.saved_end = saved_end;
                for processed_at in minion.unsaved_ends.remove_saved(saved_end) {
                    context.out.measure(Measurement::EndSaved(now - processed_at));
                }
                self.hold_queue.add(&id);
            }
            self.save.has_new_ends |= !minion.unsaved_ends.is_empty();
        }
    }

    /// Returns the number up to which a minion's finished runs are saved: their jobs were saved
    /// after the runs were processed, or have no unsaved changes.
    pub(super) fn saved_end(&self, minion: &OwnedMinion) -> u64 {
        let is_unsaved = |end: &UnsavedEnd| {
            self.jobs.get(&end.job).is_some_and(|job| {
                job.saved_through < end.count
                    && (job.is_progress_dirty || self.save.is_in_flight(job.lane, &end.job))
            })
        };
        let first_blocked = minion.unsaved_ends.first_blocked(is_unsaved);
        first_blocked.map_or(minion.processed_end, |number| number - 1)
    }

    /// Adds the changes of a job to a commit and clears the job's dirty marks.
    fn add_job_writes(&mut self, commit: &mut StoreCommit, name: &JobId, saved: SavedJob) {
        let (job_key, progress_key, outcome_key) = self.job_keys(name);
        let Some(job) = self.jobs.get_mut(name) else { return };
        if saved.expects_outcome() {
            commit.expect.push((outcome_key.clone(), job.outcome_revision));
        }
        if saved.has_phase {
            let (queue, pool) = (job.queue.clone(), self.pool.clone());
            let outcome = JobOutcome { phase: job.phase, queue, pool };
            let value = PutValue::Own(encode(&outcome));
            commit.puts.push(StorePut { key: outcome_key, value, lease: None });
        }
        if saved.has_progress {
            let value = PutValue::Own(encode(&job.progress_record()));
            commit.puts.push(StorePut { key: progress_key, value, lease: None });
            job.has_stored_progress = true;
        } else if saved.is_removed {
            commit.remove.push(job_key);
            if job.has_stored_progress {
                commit.remove.push(progress_key);
            }
        }
        job.is_progress_dirty = false;
        job.is_phase_dirty &= !saved.has_phase;
    }

    /// Handles the answer to a commit of changes.
    pub(super) fn on_saved(
        &mut self,
        context: &mut StepContext,
        lane: SaveLane,
        answer: StoreAnswer,
    ) {
        let state = &mut self.save.lanes[lane];
        let Some(in_flight) = state.in_flight.take() else { return };
        context.out.measure(Measurement::SaveAnswered(context.clock.now - in_flight.sent_at));
        let interval = if state.is_behind { Millis(0) } else { MIN_SAVE_INTERVAL };
        state.next_commit_at = context.clock.now + interval;
        match answer {
            StoreAnswer::Committed(revision) => {
                self.save.lanes[lane].sequence_revision = revision;
                self.save.may_release_ends = true;
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
                self.save.lanes[lane].next_commit_at = context.clock.now + COMMIT_RETRY_DELAY;
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
                job.saved_through = in_flight.ends_through;
            }
            if saved.is_removed {
                self.jobs.remove(&name);
                self.record_ended(now, name.clone());
                self.save.remember_removed(name);
            }
        }
        for (id, incarnation) in in_flight.roster.unwrap_or_default() {
            let Some(minion) = self.minions.get_mut(&id) else { continue };
            if minion.report.minion_incarnation == incarnation && !minion.is_in_roster {
                minion.is_in_roster = true;
                self.pass.request();
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
        self.save.is_roster_dirty |= in_flight.roster.is_some();
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
                StoreKey::Own(OwnKey::Outcome(job)) => {
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
                StoreKey::Own(OwnKey::SaveSequence(..)) => self.adopt_save_sequence(context, &item),
                _ => {}
            }
        }
    }

    /// Adopts the save sequence that the store has, also one that cannot be read: the next commit
    /// replaces it.
    pub(super) fn adopt_save_sequence(&mut self, context: &mut StepContext, item: &StoreItem) {
        let StoreKey::Own(OwnKey::SaveSequence(_, number)) = item.key else { return };
        let Some(lane) = SaveLane::from_number(number) else { return };
        self.save.lanes[lane].sequence_revision = item.revision;
        let ItemValue::Own(bytes) = &item.value else { return };
        match decode(bytes) {
            Ok(sequence) => self.save.lanes[lane].sequence = sequence,
            Err(reason) => self.log_unreadable_record(context, &item.key, &reason),
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
