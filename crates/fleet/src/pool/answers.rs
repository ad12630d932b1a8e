//! Handles the answers of minions to starts and holds.
//!
//! The answer to a hold lists the minion's finished runs (`finished`) and its running tasks
//! (`listed`).

use std::collections::BTreeSet;

use jobs::{JobPhase, RunNumber, TaskName};
use state::{JobId, MinionId, Moment, Revision};

use super::job::{OwnedJob, position_of, task_name};
use super::minion::{RunKey, RunPhase};
use super::{PoolOwner, StepContext};
use crate::io::{EndKind, EndedRow, MinionAnswer, OrderRefusal, RunningRow};
use crate::timing::{HOLD_RETRY_DELAY, REFUSAL_PAUSE, RUN_LEASE_DURATION};

impl PoolOwner {
    /// Handles the answer to a start that was sent to an incarnation of a minion.
    pub(super) fn on_start_answered(
        &mut self,
        context: &mut StepContext,
        (id, incarnation): (&MinionId, u64),
        task: &TaskName,
        run: RunNumber,
        answer: MinionAnswer,
    ) {
        let now = context.clock.now;
        let Some(minion) = self.minions.get_mut(id) else { return };
        let key = (task.clone(), run);
        if minion.report.minion_incarnation != incarnation {
            return self.on_earlier_start_answered(context, id, &key, &answer);
        }
        match answer {
            MinionAnswer::Ok { clock_ms } => {
                let is_of_known_incarnation = minion.proves_known_incarnation(clock_ms, now);
                if let Some(known) = minion.runs.get_mut(&key) {
                    known.is_start_unanswered = false;
                }
                if let Some(known) = minion.runs.get_mut(&key)
                    && matches!(known.phase, RunPhase::Starting { .. })
                {
                    known.phase = RunPhase::Running;
                    known.is_of_known_incarnation |= is_of_known_incarnation;
                    known.confirmed_at = now;
                    known.last_running_at = now;
                }
                self.note_started(now, &task.job);
            }
            MinionAnswer::Refused(reason) => {
                if matches!(reason, OrderRefusal::Room | OrderRefusal::Unhealthy) {
                    minion.starts_paused_until = now + REFUSAL_PAUSE;
                }
                context.out.log(
                    "start-refused",
                    task,
                    format!("run {run} on {id}"),
                    format!("{reason:?}"),
                );
                if reason == OrderRefusal::Fenced {
                    self.is_lost = true;
                    return;
                }
                self.release_run(id, task, run);
                self.stop_gang(context, task);
            }
            MinionAnswer::WrongLife => {
                minion.next_hold_at = now;
                minion.starts_paused_until = now + REFUSAL_PAUSE;
                self.hold_queue.add(id);
                self.release_run(id, task, run);
                self.stop_gang(context, task);
            }
            // The next hold shows whether the run exists; until then the run keeps its
            // reservation.
            MinionAnswer::Unknown | MinionAnswer::Held { .. } => {
                context.out.log("start-unanswered", task, format!("run {run} on {id}"), "waits");
                minion.starts_paused_until = now + REFUSAL_PAUSE;
            }
        }
    }

    /// Marks a queued job as active, since a minion has told that one of its tasks has started. A
    /// start that was only sent may never arrive.
    pub(super) fn note_started(&mut self, now: Moment, job: &JobId) {
        let is_queued = |job: &OwnedJob| job.phase == JobPhase::Queued;
        if self.jobs.get(job).is_some_and(is_queued)
            && let Some(job) = self.jobs.get_mut(job)
        {
            job.mark_active(now);
        }
    }

    /// Handles the answer to a hold that was sent at `sent_at` to incarnation `incarnation`.
    pub(super) fn on_hold_answered(
        &mut self,
        context: &mut StepContext,
        id: &MinionId,
        incarnation: u64,
        sent_at: Moment,
        answer: MinionAnswer,
    ) {
        let now = context.clock.now;
        let Some(minion) = self.minions.get_mut(id) else { return };
        minion.is_hold_in_flight = false;
        self.hold_queue.add(id);
        match answer {
            MinionAnswer::Held {
                clock_ms,
                minion_incarnation: reported_incarnation,
                running,
                ended,
                has_more_ends,
            } => {
                if reported_incarnation != minion.report.minion_incarnation {
                    if reported_incarnation < minion.report.minion_incarnation
                        || incarnation != minion.report.minion_incarnation
                    {
                        return;
                    }
                    self.begin_incarnation(context, id, reported_incarnation);
                }
                if let Some(minion) = self.minions.get_mut(id) {
                    minion.has_more_ends = has_more_ends;
                }
                self.apply_hold_answer(context, id, sent_at, clock_ms, running, ended);
            }
            MinionAnswer::Refused(OrderRefusal::Fenced) => {
                context.out.log(
                    "pool",
                    &self.pool,
                    format!("{id} refused the fencing token: a later owner exists"),
                    "lost",
                );
                self.is_lost = true;
            }
            other => {
                if minion.next_hold_at <= now {
                    let inputs = format!("{other:?}");
                    context.out.log("hold-failed", id, inputs, "hold is retried");
                }
                minion.is_unresponsive = true;
                minion.next_hold_at = now + HOLD_RETRY_DELAY;
                minion.starts_paused_until = now + HOLD_RETRY_DELAY;
            }
        }
    }

    /// Applies the lists of running and finished runs from the answer to a hold.
    fn apply_hold_answer(
        &mut self,
        context: &mut StepContext,
        id: &MinionId,
        sent_at: Moment,
        clock_ms: u64,
        running: Vec<RunningRow>,
        ended: Vec<EndedRow>,
    ) {
        let now = context.clock.now;
        let Some(minion) = self.minions.get_mut(id) else { return };
        minion.set_clock(clock_ms, now);
        minion.bound_clock(sent_at);
        minion.confirm_incarnation(sent_at, now);
        minion.next_hold_at = now;
        minion.is_unresponsive = false;
        if !minion.is_fenced {
            minion.is_fenced = true;
            let incarnation = minion.report.minion_incarnation;
            if self.stage.may_have_unknown_leases(id, incarnation) {
                let max_lease = context.settings.max_lease_duration();
                minion.lease_ends.record_earlier_order(now, max_lease);
            } else {
                // Leases of earlier owners end at most this long after the answer.
                minion.extend_lease(clock_ms + RUN_LEASE_DURATION.0, now);
            }
            self.save.is_roster_dirty = true;
            if let Some(vm) = &minion.report.vm {
                self.stage.confirm_earlier_minions(vm, minion.report.minion_incarnation);
            }
            // The minion lists every finished run except those that an earlier owner has
            // acknowledged.
            let lowest_listed_end = ended.iter().map(|row| row.number).min().unwrap_or(u64::MAX);
            let incarnation = minion.report.minion_incarnation;
            self.confirm_failures(id, incarnation, lowest_listed_end.saturating_sub(1));
        }
        let Some(minion) = self.minions.get_mut(id) else { return };
        if let Some(lowest_listed_end) = ended.iter().map(|row| row.number).min() {
            let dropped_end = lowest_listed_end.saturating_sub(1);
            minion.acknowledged_end = minion.acknowledged_end.min(dropped_end);
        }
        // Failures that precede a lapsed lease and were not acknowledged never count.
        let is_lapsed = |row: &&EndedRow| row.kind == EndKind::Lapsed;
        let last_lapse_end =
            ended.iter().filter(is_lapsed).map(|row| row.number).max().unwrap_or(0);
        self.discount_before_lapse(context, id, last_lapse_end);
        for row in ended {
            self.apply_finished_run(context, id, row, last_lapse_end);
        }
        let mut listed: BTreeSet<RunKey> = BTreeSet::new();
        for row in running {
            listed.insert((row.task.clone(), row.run));
            self.apply_running_row(context, id, row);
        }
        // A run that neither list has may have finished beyond a full page.
        if self.minions.get(id).is_some_and(|minion| !minion.has_more_ends) {
            self.release_unlisted_runs(context, id, sent_at, clock_ms, &listed);
            self.stage.unconfirmed_minions.remove(id);
        }
        self.throttle_best_effort(context, id);
    }

    /// Removes a run and makes its task ready if that was the task's current run.
    pub(super) fn release_run(&mut self, id: &MinionId, task: &TaskName, run: RunNumber) {
        if let Some(minion) = self.minions.get_mut(id) {
            let removed = minion.remove_run(&(task.clone(), run));
            if let Some(removed) = removed {
                self.limits.release_use(removed.team.as_ref(), &removed.reservation);
            }
        }
        self.pass.request();
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let position = position_of(task);
        let is_live =
            job.live.get(&position).is_some_and(|live| live.minion == *id && live.run == run);
        if is_live {
            job.live.remove(&position);
            job.make_ready(position);
        }
    }

    /// Stops the other runs of a gang after one of its members could not start.
    pub(super) fn stop_gang(&mut self, context: &mut StepContext, task: &TaskName) {
        let Some(job) = self.jobs.get(&task.job) else { return };
        let (occurrence, step, _) = position_of(task);
        if job.spec.steps.get(usize::from(step)).is_none_or(|step| !step.gang) {
            return;
        }
        let range = (occurrence, step, 0)..=(occurrence, step, u32::MAX);
        let members: Vec<(MinionId, RunKey)> = job
            .live
            .range(range)
            .map(|(position, live)| {
                (live.minion.clone(), (task_name(&task.job, *position), live.run))
            })
            .collect();
        for (minion, (member, run)) in members {
            self.stop_run(context, &minion, &member, run);
        }
    }

    /// Adopts a phase that the store has at a newer revision. A final phase stops the job's
    /// runs.
    pub(super) fn adopt_outcome(
        &mut self,
        context: &mut StepContext,
        job: &JobId,
        phase: JobPhase,
        revision: Revision,
    ) {
        let Some(owned) = self.jobs.get_mut(job) else { return };
        if revision <= owned.outcome_revision {
            return;
        }
        owned.outcome_revision = revision;
        if phase == owned.phase {
            owned.is_phase_dirty = false;
        } else if phase.is_final() {
            owned.phase = phase;
            owned.is_phase_dirty = false;
            owned.ready.clear();
            context.out.log("job", job, format!("revision {revision}"), phase.to_string());
            self.stop_job(context, job);
        }
    }

    /// Opens the occurrences of timetabled jobs that have become due.
    pub(super) fn open_due_occurrences(&mut self, context: &mut StepContext) {
        let wall_ms = context.clock.wall_ms;
        let timetabled = self.jobs.timetabled_jobs();
        self.work.add(timetabled.len());
        let due: Vec<JobId> = timetabled
            .iter()
            .filter(|job| self.jobs[job].may_open_occurrence(wall_ms))
            .cloned()
            .collect();
        for name in due {
            if let Some(job) = self.jobs.get_mut(&name) {
                job.open_due_occurrences(wall_ms);
            }
        }
    }
}
