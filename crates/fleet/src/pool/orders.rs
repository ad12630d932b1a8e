//! Sends holds and stops to minions, follows the registry and expires leases.
//!
//! A hold renews the leases of all runs on a minion, tells the minion which finished runs
//! are saved, and may wait on the minion for the next finished run.

use jobs::{RunNumber, TaskName};
use state::{JobId, Millis, MinionId, Moment};

use super::job::task_name;
use super::minion::{MinionRun, OwnedMinion, RunKey, RunPhase};
use super::{PoolCall, PoolOwner, StepContext};
use crate::event::{Measurement, ReleaseCause};
use crate::io::{MinionCall, MinionTarget};
use crate::timing::{MAX_HOLD_INTERVAL, MAX_HOLD_WAIT, RUN_LEASE_DURATION, STOP_RETRY_DELAY};

/// Returns the identity and address to which a minion's orders are sent.
pub(super) fn minion_target(minion: &OwnedMinion) -> MinionTarget {
    MinionTarget { minion: minion.report.minion.clone(), address: minion.report.address }
}

impl PoolOwner {
    /// Adds new minions and new incarnations from the registry, and marks minions that the
    /// registry no longer lists.
    pub(super) fn apply_registry(&mut self, context: &mut StepContext) {
        if !self.stage.is_loaded() {
            return;
        }
        self.hold_queue.add_all();
        self.pass.request();
        let reports = &context.registry.reports;
        self.stage.note_incarnations(reports);
        let belongs_to_pool = |id: &MinionId, owner: &Self| {
            reports.get(id).is_some_and(|report| report.pool == owner.pool)
        };
        let known: Vec<MinionId> = self.minions.keys().cloned().collect();
        for id in known {
            let is_listed = belongs_to_pool(&id, self);
            let Some(minion) = self.minions.get_mut(&id) else { continue };
            let was_listed = std::mem::replace(&mut minion.is_listed, is_listed);
            if let Some(current) = context.registry.superseded.get(&id)
                && was_listed
            {
                let inputs = format!("{current} is listed on its VM");
                context.out.log("minion", &id, inputs, "superseded");
            }
        }
        for report in context.registry.reports.values() {
            if report.pool != self.pool {
                continue;
            }
            match self.minions.get_mut(&report.minion) {
                Some(minion) if minion.report.minion_incarnation == report.minion_incarnation => {
                    if minion.report.is_draining != report.is_draining {
                        let inputs = format!("incarnation {}", report.minion_incarnation);
                        let state = if report.is_draining { "draining" } else { "ready" };
                        context.out.log("minion", &report.minion, inputs, state);
                    }
                    minion.report = report.clone();
                }
                Some(minion) if minion.report.minion_incarnation > report.minion_incarnation => {}
                Some(_) => {
                    self.begin_incarnation(context, &report.minion, report.minion_incarnation);
                    if let Some(minion) = self.minions.get_mut(&report.minion) {
                        minion.report = report.clone();
                    }
                }
                None => {
                    let row = self.stage.unconfirmed_minions.get(&report.minion);
                    let last_saved_end = row
                        .filter(|row| row.minion_incarnation == report.minion_incarnation)
                        .map_or(0, |row| row.saved_end);
                    let inputs = format!(
                        "incarnation {}, saved end {last_saved_end}",
                        report.minion_incarnation
                    );
                    context.out.log("minion", &report.minion, inputs, "found");
                    let minion = OwnedMinion::new(report.clone(), last_saved_end);
                    self.minions.insert(report.minion.clone(), minion);
                    self.bar_given_up_starts(context, &report.minion);
                }
            }
        }
    }

    /// Releases all runs of a minion that has begun a new incarnation, so that their tasks can start
    /// elsewhere.
    pub(super) fn release_all_runs(&mut self, context: &mut StepContext, id: &MinionId) {
        self.release_runs(context, id, |_, _| Some(ReleaseCause::NewIncarnation));
        self.discount_minion_failures(context, id);
    }

    /// Releases the runs of a minion for which `find_cause` returns a cause, and logs each with what
    /// determined the release.
    pub(super) fn release_runs(
        &mut self,
        context: &mut StepContext,
        id: &MinionId,
        find_cause: impl Fn(&RunKey, &MinionRun) -> Option<ReleaseCause>,
    ) {
        let now = context.clock.now;
        let Some(minion) = self.minions.get(id) else { return };
        let describe = |(key, run): (&RunKey, &MinionRun)| {
            let cause = find_cause(key, run)?;
            let inputs = format!("run {} on {id}, {}", key.1, minion.describe_run(run, now));
            Some((key.clone(), cause, inputs))
        };
        let released: Vec<_> = minion.runs.iter().filter_map(describe).collect();
        for ((task, run), cause, inputs) in released {
            context.out.log("run", &task, inputs, cause.to_string());
            context.out.measure(Measurement::RunReleased(cause));
            self.remember_unanswered_start(id, &(task.clone(), run), now);
            self.release_run(id, &task, run);
        }
    }

    /// Remembers the start of a run that is released although the start may still arrive.
    fn remember_unanswered_start(&mut self, id: &MinionId, key: &RunKey, now: Moment) {
        let run = self.minions.get(id).and_then(|minion| minion.runs.get(key));
        if let Some(run) = run.filter(|run| run.is_start_unanswered) {
            self.given_up_starts.add(id, key.clone(), run.clone(), now);
        }
    }

    /// Releases the runs of minions whose leases have expired, and removes such minions if
    /// the registry no longer lists them. Unlisted minions that have not answered this owner
    /// are removed at once.
    pub(super) fn expire_leases(&mut self, context: &mut StepContext) {
        let now = context.clock.now;
        // A new incarnation that has not answered has runs only if they are uncertain.
        let is_expired = |minion: &OwnedMinion| {
            let may_have_runs = minion.is_fenced || !minion.runs.is_empty();
            minion.are_leases_expired(now) && now.0 > minion.last_hold_at.0 && may_have_runs
        };
        self.work.add(self.minions.len());
        let ids: Vec<MinionId> = self
            .minions
            .iter()
            .filter(|(_, minion)| is_expired(minion))
            .map(|(id, _)| id.clone())
            .collect();
        for id in ids {
            let lease_ends = self.minions[&id].lease_ends;
            let has_expired =
                |run: &MinionRun| now >= lease_ends.end_of(run.is_of_known_incarnation);
            self.release_runs(context, &id, |_, run| {
                let cause = if run.is_of_known_incarnation {
                    ReleaseCause::LeaseExpired
                } else {
                    ReleaseCause::UnattributedLeaseExpired
                };
                has_expired(run).then_some(cause)
            });
            self.discount_minion_failures(context, &id);
            let is_gone = |minion: &OwnedMinion| !minion.is_listed && minion.runs.is_empty();
            if self.minions.get(&id).is_some_and(is_gone) {
                context.out.log("minion", &id, "not in the registry, lease expired", "forgotten");
                self.minions.remove(&id);
                self.save.is_roster_dirty = true;
            }
        }
        let is_gone_unfenced =
            |minion: &OwnedMinion| !minion.is_listed && !minion.is_fenced && minion.runs.is_empty();
        let count = self.minions.len();
        self.minions.retain(|_, minion| !is_gone_unfenced(minion));
        // Failures of these minions can no longer be confirmed.
        if self.minions.len() < count && self.stage.has_resolved_unknown_runs() {
            self.discount_unknown_incarnations(context);
        }
    }

    /// Sends a hold to each minion that is due for one.
    pub(super) fn send_holds(&mut self, context: &mut StepContext) {
        if !self.stage.is_loaded() {
            return;
        }
        let now = context.clock.now;
        let candidates: Vec<MinionId> = match self.hold_queue.take() {
            Some(minions) => minions.into_iter().collect(),
            None => self.minions.keys().cloned().collect(),
        };
        self.work.add(candidates.len());
        for id in candidates {
            if self.minions.get(&id).is_some_and(|minion| is_hold_due(minion, now)) {
                self.send_hold(context, &id);
            }
        }
    }

    /// Sends a hold that renews the minion's leases and acknowledges saved finished runs.
    fn send_hold(&mut self, context: &mut StepContext, id: &MinionId) {
        let now = context.clock.now;
        let has_uncertain_failures = self.has_uncertain_failures(id);
        let is_being_drained =
            self.minions.get(id).is_some_and(|minion| self.is_being_drained(minion));
        let Some(minion) = self.minions.get_mut(id) else { return };
        minion.is_hold_in_flight = true;
        minion.last_hold_at = now;
        let lease = RUN_LEASE_DURATION.min(context.settings.max_run_lease);
        // The lease of an unresponsive minion is not extended: otherwise its runs could
        // never be released.
        let clock = minion.clock_at(now).filter(|_| !minion.is_unresponsive);
        let until_clock = clock.map(|clock| clock + lease.0);
        if let Some(until) = until_clock {
            minion.extend_lease(until, now);
            minion.lease_ends.record_order(now, context.settings.max_lease_duration());
        }
        // The hold must not wait on the minion in two cases: an uncertain failure must soon
        // be confirmed or discounted, and the VM of a minion that is being drained goes
        // down only after the minion has dropped its finished runs.
        let is_urgent = is_being_drained || has_uncertain_failures;
        let is_acknowledged = minion.acknowledged_end >= minion.saved_end || !is_urgent;
        let may_wait =
            minion.is_fenced && minion.processed_end == minion.saved_end && is_acknowledged;
        let wait = if may_wait { MAX_HOLD_WAIT } else { Millis(0) };
        // A new incarnation numbers its finished runs from 1 again and would drop them by this number. The
        // number is therefore sent only once, and not to a minion that is unfenced or unresponsive.
        let is_known_incarnation = minion.is_fenced && !minion.is_unresponsive;
        let is_new_end = minion.saved_end > minion.acknowledged_end;
        let last_saved_end = if is_known_incarnation && is_new_end { minion.saved_end } else { 0 };
        let order = MinionCall::Hold { until_clock, saved_end: last_saved_end, wait };
        let call = PoolCall::Hold {
            minion: id.clone(),
            incarnation: minion.report.minion_incarnation,
            last_saved_end,
            extends_leases: until_clock.is_some(),
        };
        let target = minion_target(minion);
        self.mark_acknowledgement_sent(id, last_saved_end);
        let purpose = self.purpose(call);
        context.out.call_minion(context.clock, purpose, target, self.fencing_token.0, order);
    }

    /// Stops a run. Its resources are released when the minion lists the run as finished. While
    /// the pool is paused, the stop is sent by [`Self::resend_stops`] later.
    pub(super) fn stop_run(
        &mut self,
        context: &mut StepContext,
        id: &MinionId,
        task: &TaskName,
        number: RunNumber,
    ) {
        let now = context.clock.now;
        let Some(minion) = self.minions.get_mut(id) else { return };
        let Some(run) = minion.runs.get_mut(&(task.clone(), number)) else { return };
        minion.may_have_stops = true;
        let retry_at = now + STOP_RETRY_DELAY;
        run.phase = match run.phase {
            // The start may arrive later than the stop is sent.
            RunPhase::Starting { .. } | RunPhase::Uncertain { .. } => {
                RunPhase::Uncertain { stop_at: retry_at, is_stop_sent: true }
            }
            _ => RunPhase::Stopping { retry_at },
        };
        if !context.is_ownership_valid {
            return;
        }
        let order = MinionCall::Stop { task: task.clone(), run: number };
        let target = minion_target(minion);
        let incarnation = minion.report.minion_incarnation;
        let stop =
            PoolCall::Stop { minion: id.clone(), incarnation, task: task.clone(), run: number };
        let purpose = self.purpose(stop);
        context.out.call_minion(context.clock, purpose, target, self.fencing_token.0, order);
    }

    /// Sends stops again whose run is not listed as finished after `STOP_RETRY_DELAY`.
    pub(super) fn resend_stops(&mut self, context: &mut StepContext) {
        let now = context.clock.now;
        if !context.is_ownership_valid {
            return;
        }
        let mut due = Vec::new();
        self.work.add(self.minions.len());
        for (id, minion) in self.minions.iter_mut().filter(|(_, minion)| minion.may_have_stops) {
            self.work.add(minion.runs.len());
            minion.may_have_stops = false;
            for (key, run) in &minion.runs {
                let Some(retry_at) = run.phase.stop_retry_at() else { continue };
                minion.may_have_stops = true;
                if now >= retry_at {
                    due.push((id.clone(), key.clone()));
                }
            }
        }
        for (id, (task, run)) in due {
            self.stop_run(context, &id, &task, run);
        }
    }

    /// Stops all runs of a job.
    pub(super) fn stop_job(&mut self, context: &mut StepContext, job: &JobId) {
        let Some(owned) = self.jobs.get(job) else { return };
        let live: Vec<(MinionId, RunKey)> = owned
            .live
            .iter()
            .map(|(position, live)| (live.minion.clone(), (task_name(job, *position), live.run)))
            .collect();
        for (minion, (task, run)) in live {
            self.stop_run(context, &minion, &task, run);
        }
    }
}

/// Whether the next hold may be sent. While finished runs wait to be saved, a hold is sent
/// only to renew leases: the minion would answer at once with the same finished runs.
fn is_hold_due(minion: &OwnedMinion, now: Moment) -> bool {
    let has_unsaved_ends = minion.processed_end > minion.saved_end;
    let renewal = minion.last_hold_at + MAX_HOLD_INTERVAL;
    !minion.is_hold_in_flight && now >= minion.next_hold_at && (!has_unsaved_ends || now >= renewal)
}
