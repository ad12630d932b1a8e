//! Loads a pool's records from the store and watches for new jobs.
//!
//! The save sequences, the roster and the progress records are read first, then the jobs. The jobs
//! are registered with their progress, and a watch reports jobs that are accepted later.

use std::collections::BTreeMap;

use jobs::{AcceptedJob, JobPhase};
use state::{JobId, Millis, MinionId, Moment, Revision, VmId};

use super::job::OwnedJob;
use super::{PoolCall, PoolOwner, StepContext};
use crate::event::CallId;
use crate::io::{ItemValue, StoreAnswer, StoreCall, StoreEvent, StoreItem};
use crate::key::{KeyScope, OwnKey, ShardKey, StoreKey};
use crate::model::{FleetSettings, MinionReport};
use crate::records::{PoolRoster, ProgressRecord, RosterRow, decode};
use crate::shared::SharedRecords;
use crate::timing::{EARLIER_ORDER_DELAY, LOAD_STALL_TIMEOUT, READ_RETRY_DELAY, ROSTER_RETENTION};

/// Progress of loading, and loaded records that are not applied yet.
#[derive(Debug, Default)]
pub(super) struct LoadStage {
    has_roster: bool,
    has_jobs: bool,
    has_progress: bool,
    /// Whether no run of an earlier owner can still execute without being listed.
    has_resolved_unknown_runs: bool,
    /// Whether the long-running tasks of earlier owners may start again.
    has_resolved_long_running: bool,
    is_reading_jobs: bool,
    /// Last key of the pages that the current range read has received.
    last_read_key: Option<StoreKey>,
    /// The watch for jobs that is in flight.
    watch_call: Option<CallId>,
    /// Revision after which the watch for jobs continues.
    watch_from: Option<Revision>,
    /// Progress of jobs that are not registered yet.
    progress: BTreeMap<JobId, (ProgressRecord, Revision)>,
    /// Minions of the stored roster that have not reported their runs to this owner.
    pub(super) unconfirmed_minions: BTreeMap<MinionId, RosterRow>,
    /// Time since which the current read of the pool's records has brought no page.
    waiting_since: Option<Moment>,
    /// Failed reads, with the time of the next attempt.
    retry: Vec<(Moment, PoolCall)>,
}

impl LoadStage {
    /// Whether the roster, the progress and the jobs are all loaded.
    pub(super) fn is_loaded(&self) -> bool {
        self.has_roster && self.has_jobs && self.has_progress
    }

    /// Whether a minion that has not reported its runs to this owner may have some.
    fn awaits_minions(&self) -> bool {
        self.unconfirmed_minions.values().any(|row| row.may_have_runs)
    }

    /// Returns the time after which long-running tasks of earlier owners start again. If a minion has begun
    /// an incarnation that these did not know, it may have granted the longest lease.
    ///
    /// A minion may begin an incarnation that nothing shows. Other tasks wait for that too; a long-running
    /// task would be away for too long (`docs/incidents/issue-48.md`).
    fn long_running_bound(&self, settings: &FleetSettings) -> Millis {
        let mut rows = self.unconfirmed_minions.values().filter(|row| row.may_have_runs);
        let lease = if rows.all(|row| row.has_answered) {
            settings.hold_lease_duration()
        } else {
            settings.max_lease_duration()
        };
        Millis(lease.0 + EARLIER_ORDER_DELAY.0)
    }

    /// Notes the minions that are listed in an incarnation which their earlier owner did not know. It
    /// stays noted when the registry lists them no more.
    pub(super) fn note_incarnations(&mut self, reports: &BTreeMap<MinionId, MinionReport>) {
        for (id, row) in &mut self.unconfirmed_minions {
            let Some(report) = reports.get(id) else { continue };
            if report.minion_incarnation > row.minion_incarnation {
                row.minion_incarnation = report.minion_incarnation;
                row.saved_end = 0;
                row.has_answered = false;
            }
        }
    }

    /// Whether an incarnation of a minion may have got orders of an earlier owner that did not know it.
    pub(super) fn may_have_unknown_leases(&self, id: &MinionId, incarnation: u64) -> bool {
        let row = self.unconfirmed_minions.get(id);
        row.is_some_and(|row| !row.has_answered || row.minion_incarnation != incarnation)
    }

    /// Confirms the earlier minions of a VM, of which a minion with a later incarnation has answered:
    /// a VM runs one minion at a time.
    pub(super) fn confirm_earlier_minions(&mut self, vm: &VmId, incarnation: u64) {
        self.unconfirmed_minions
            .retain(|_, row| row.vm.as_ref() != Some(vm) || row.minion_incarnation >= incarnation);
    }

    /// Whether no run of an earlier owner can still execute without being listed.
    pub(super) fn has_resolved_unknown_runs(&self) -> bool {
        self.has_resolved_unknown_runs
    }
}

impl PoolOwner {
    /// Begins to load the pool's records, one read after the other, so that the reads do not
    /// delay each other on a slow link.
    pub(super) fn begin_load(&mut self, context: &mut StepContext) {
        self.read(context, PoolCall::LoadSequences);
    }

    /// Sends the read or watch for `call`. A range read continues after the last page that
    /// was received.
    fn read(&mut self, context: &mut StepContext, call: PoolCall) {
        let pool = self.pool.clone();
        let after = self.stage.last_read_key.clone();
        if call != PoolCall::WatchJobs {
            self.stage.waiting_since.get_or_insert(context.clock.now);
        }
        let request = match call {
            PoolCall::LoadSequences => {
                StoreCall::Range { scope: KeyScope::SaveSequences(pool), after }
            }
            PoolCall::LoadRoster => StoreCall::Read(StoreKey::Own(OwnKey::Roster(pool))),
            PoolCall::LoadProgress => StoreCall::Range { scope: KeyScope::Progress(pool), after },
            PoolCall::LoadJobs => StoreCall::Range { scope: KeyScope::Jobs(pool), after },
            _ => {
                let after = self.stage.watch_from.unwrap_or_default();
                let wait = context.settings.watch_wait();
                StoreCall::Watch { scope: KeyScope::Jobs(pool), after, wait }
            }
        };
        let is_watch = call == PoolCall::WatchJobs;
        let call = context.out.call_store(context.clock, self.purpose(call), request);
        self.stage.watch_call = is_watch.then_some(call);
    }

    /// Sends the watch for jobs again if it was sent up to `latest`.
    pub(crate) fn resend_watch(&mut self, context: &mut StepContext, latest: Moment) {
        let out = &mut context.out;
        if self.stage.watch_call.take_if(|call| out.abandon_call(*call, latest)).is_some() {
            let inputs = "the store answers other calls";
            context.out.log("pool-records", &self.pool, inputs, "watch is sent again");
            self.read(context, PoolCall::WatchJobs);
        }
    }

    /// Reads the jobs once the shared records include the ownership record of this owner.
    /// The shared records then also include every cancellation that precedes it.
    pub(super) fn load_jobs(&mut self, context: &mut StepContext) {
        if self.stage.has_progress
            && !self.stage.is_reading_jobs
            && self.is_ownership_known(context.shared)
        {
            self.stage.is_reading_jobs = true;
            self.read(context, PoolCall::LoadJobs);
        }
    }

    /// Whether the shared records include the ownership record of this owner or a later one.
    fn is_ownership_known(&self, shared: &SharedRecords) -> bool {
        let owner = shared.owners.get(&ShardKey::Pool(self.pool.clone()));
        owner.is_some_and(|owner| owner.created >= self.fencing_token)
    }

    /// Repeats failed reads that are due, or gives the pool up if they have failed for long.
    pub(super) fn retry_load(&mut self, context: &mut StepContext) {
        self.load_jobs(context);
        let now = context.clock.now;
        let waiting_since = self.stage.waiting_since.unwrap_or(now);
        if now - waiting_since >= LOAD_STALL_TIMEOUT && self.is_ownership_known(context.shared) {
            let inputs = format!("no page for {}", now - waiting_since);
            context.out.log("pool-records", &self.pool, inputs, "unreadable, pool is released");
            self.is_lost = true;
            return;
        }
        let retry = std::mem::take(&mut self.stage.retry);
        for (at, call) in retry {
            if now >= at {
                self.read(context, call);
            } else {
                self.stage.retry.push((at, call));
            }
        }
    }

    /// Handles the answer to a read or watch of the pool's records.
    pub(super) fn on_loaded(
        &mut self,
        context: &mut StepContext,
        call: PoolCall,
        answer: StoreAnswer,
    ) {
        if matches!(answer, StoreAnswer::Items { .. } | StoreAnswer::Absent) {
            self.stage.waiting_since = None;
        }
        match (call, answer) {
            (PoolCall::LoadSequences, StoreAnswer::Items { items, .. }) => {
                for item in items {
                    self.adopt_save_sequence(context, &item);
                }
                self.read(context, PoolCall::LoadRoster);
            }
            (PoolCall::LoadRoster, StoreAnswer::Absent) => {
                self.apply_roster(context, Vec::new());
            }
            (PoolCall::LoadRoster, StoreAnswer::Items { items, .. }) => {
                self.apply_roster(context, items);
            }
            (PoolCall::LoadProgress, StoreAnswer::Items { items, more, .. }) => {
                self.note_page(&items, more);
                for item in items {
                    self.stage_progress(context, item);
                }
                if more {
                    return self.read(context, PoolCall::LoadProgress);
                }
                self.stage.has_progress = true;
                self.load_jobs(context);
            }
            (PoolCall::LoadJobs, StoreAnswer::Items { items, more, at }) => {
                self.stage.watch_from.get_or_insert(at);
                self.note_page(&items, more);
                let is_first_load = !self.stage.has_jobs;
                for item in items {
                    self.register_job(context, item, is_first_load);
                }
                if more {
                    return self.read(context, PoolCall::LoadJobs);
                }
                self.finish_load(context);
            }
            (PoolCall::WatchJobs, StoreAnswer::Events { events, at }) => {
                self.stage.watch_from = Some(at);
                for event in events {
                    if let StoreEvent::Put(item) = event {
                        self.register_job(context, item, false);
                    }
                }
                self.read(context, PoolCall::WatchJobs);
            }
            (PoolCall::WatchJobs, StoreAnswer::Compacted) => {
                self.stage.watch_from = None;
                self.read(context, PoolCall::LoadJobs);
            }
            (call, answer) => {
                let inputs = format!("{call:?}: {answer:?}");
                context.out.log("pool-records", &self.pool, inputs, "read is retried");
                self.stage.retry.push((context.clock.now + READ_RETRY_DELAY, call));
            }
        }
    }

    /// Notes where the range read continues after a page; after the last page, the next range
    /// read starts from the beginning.
    fn note_page(&mut self, items: &[StoreItem], more: bool) {
        let last_key = items.last().map(|item| item.key.clone());
        self.stage.last_read_key = last_key.filter(|_| more);
    }

    /// Completes a read of the jobs and begins to watch for new ones.
    fn finish_load(&mut self, context: &mut StepContext) {
        if !self.stage.has_jobs {
            self.stage.has_jobs = true;
            self.adopt_demand(context);
            self.queue_ended_jobs(context);
            self.note_down_vms(context);
            let inputs = format!(
                "{} jobs, {} unconfirmed roster minions, {} after taking ownership",
                self.jobs.len(),
                self.stage.unconfirmed_minions.len(),
                context.clock.now - self.owned_since
            );
            context.out.log("pool", &self.pool, inputs, "loaded");
        }
        self.apply_registry(context);
        self.read_run_times(context);
        self.read(context, PoolCall::WatchJobs);
    }

    /// Adopts the stored roster and reads the progress records. All minions of the roster are
    /// unconfirmed at first.
    fn apply_roster(&mut self, context: &mut StepContext, items: Vec<StoreItem>) {
        for item in items {
            let ItemValue::Own(bytes) = item.value else { continue };
            match decode::<PoolRoster>(&bytes) {
                Ok(roster) => self.stage.unconfirmed_minions = roster.minions,
                Err(reason) => self.log_unreadable_record(context, &item.key, &reason),
            }
        }
        self.stage.has_roster = true;
        self.read(context, PoolCall::LoadProgress);
    }

    /// Keeps a progress record until its job is registered.
    fn stage_progress(&mut self, context: &mut StepContext, item: StoreItem) {
        let StoreKey::Own(OwnKey::Progress(_, job)) = &item.key else { return };
        let ItemValue::Own(bytes) = &item.value else { return };
        match decode::<ProgressRecord>(bytes) {
            Ok(progress) => {
                self.stage.progress.insert(job.clone(), (progress, item.revision));
            }
            Err(reason) => self.log_unreadable_record(context, &item.key, &reason),
        }
    }

    /// Registers an accepted job, unless the job is known or was removed recently.
    fn register_job(
        &mut self,
        context: &mut StepContext,
        item: StoreItem,
        may_have_unknown_runs: bool,
    ) {
        let StoreKey::Own(OwnKey::Job(_, job)) = &item.key else { return };
        let ItemValue::Own(bytes) = &item.value else { return };
        if self.jobs.contains_key(job) || self.save.has_removed(job) {
            return;
        }
        let accepted = match decode::<AcceptedJob>(bytes) {
            Ok(accepted) => accepted,
            Err(reason) => return self.log_unreadable_record(context, &item.key, &reason),
        };
        // The commit that accepted the job also created its outcome, so both have the same
        // revision until the outcome changes.
        let known = context.shared.outcomes.get(job);
        let (phase, revision) = known.map_or((JobPhase::Queued, item.revision), |known| {
            (known.record.phase, known.revision)
        });
        let (progress, progress_revision) = self.stage.progress.remove(job).unwrap_or_default();
        let mut owned = OwnedJob::new(accepted, phase, revision);
        owned.restore_progress(progress);
        owned.has_stored_progress = progress_revision.0 > 0;
        owned.may_have_unknown_runs = may_have_unknown_runs;
        owned.open_due_occurrences(context.clock.wall_ms);
        let inputs = format!("revision {revision}, {phase}, {} steps", owned.spec.steps.len());
        context.out.log("job", job, inputs, "taken");
        self.jobs.insert(job.clone(), owned);
        self.update_expected_run_times(context.clock.now, job);
    }

    /// Logs from when on tasks that an earlier owner may have started are started again, and which
    /// minions have not reported their runs.
    fn log_resolution(&self, context: &mut StepContext) {
        let awaited = self.stage.unconfirmed_minions.iter().filter(|(_, row)| row.may_have_runs);
        let awaited: Vec<&str> = awaited.map(|(minion, _)| minion.as_str()).collect();
        let waited = context.clock.now - self.owned_since;
        let bound = earlier_lease_bound(context.settings);
        let inputs =
            format!("{waited} after taking ownership, at most {bound}, no answer of {awaited:?}");
        context.out.log("earlier-runs", &self.pool, inputs, "known");
    }

    pub(super) fn log_unreadable_record(
        &self,
        context: &mut StepContext,
        key: &StoreKey,
        reason: &str,
    ) {
        context.out.log("record", format!("{key:?}"), reason, "skipped");
    }

    /// Whether a minion may have finished runs that this owner has not seen and that still count.
    fn has_unseen_ends(&self, now: Moment) -> bool {
        self.minions.values().any(|minion| minion.may_have_unseen_ends(now))
    }

    /// Allows the start of tasks that an earlier owner may have started, once every minion
    /// of the roster has reported its runs or all leases of earlier owners have expired, and every
    /// minion that answers has listed all its finished runs.
    /// Minions that are still unconfirmed after `ROSTER_RETENTION` leave
    /// the roster.
    pub(super) fn resolve_unknown_runs(&mut self, context: &mut StepContext) {
        let now = context.clock.now;
        let have_leases_expired = now >= self.owned_since + earlier_lease_bound(context.settings);
        if !self.stage.has_resolved_unknown_runs
            && (!self.stage.awaits_minions() || have_leases_expired)
            && !self.has_unseen_ends(now)
        {
            self.log_resolution(context);
            self.stage.has_resolved_unknown_runs = true;
            self.save.is_roster_dirty |= !self.stage.unconfirmed_minions.is_empty();
            self.discount_unknown_incarnations(context);
            for job in self.jobs.values_mut() {
                job.may_have_unknown_runs = false;
            }
        }
        if !self.stage.has_resolved_long_running
            && now >= self.owned_since + self.stage.long_running_bound(context.settings)
            && !self.has_unseen_ends(now)
        {
            self.stage.has_resolved_long_running = true;
            for job in self.jobs.values_mut().filter(|job| job.spec.is_long_running()) {
                job.may_have_unknown_runs = false;
            }
        }
        if !self.stage.unconfirmed_minions.is_empty() && now >= self.owned_since + ROSTER_RETENTION
        {
            self.stage.unconfirmed_minions.clear();
            self.save.is_roster_dirty = true;
        }
    }
}

/// Returns the time after which the leases that earlier owners have sent have certainly expired. An order of
/// theirs may have reached an incarnation that they did not know, which grants the longest lease.
fn earlier_lease_bound(settings: &FleetSettings) -> Millis {
    Millis(settings.max_lease_duration().0 + EARLIER_ORDER_DELAY.0)
}
