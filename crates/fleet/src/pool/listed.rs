//! Runs that a minion lists as running, and runs that it should list but does not.
//!
//! Runs that this owner did not start are adopted or stopped. Runs that are missing from the
//! list are released, so that their tasks can start again.

use std::collections::BTreeSet;

use jobs::TaskMark;
use state::{MinionId, Moment};

use super::job::{LiveRun, position_of};
use super::minion::{MinionRun, RunKey, RunPhase};
use super::{PoolOwner, StepContext};
use crate::event::ReleaseCause;
use crate::io::RunningRow;

impl PoolOwner {
    /// Updates a known run from the minion's list, or handles an unknown one.
    pub(super) fn apply_running_row(
        &mut self,
        context: &mut StepContext,
        id: &MinionId,
        row: RunningRow,
    ) {
        let now = context.clock.now;
        let Some(minion) = self.minions.get_mut(id) else { return };
        if let Some(known) = minion.runs.get_mut(&(row.task.clone(), row.run)) {
            if known.phase.may_still_start() && !known.phase.is_stop_sent() {
                known.phase = RunPhase::Running;
                known.confirmed_at = now;
            }
            known.last_running_at = now;
            known.is_of_known_incarnation = true;
            known.is_start_unanswered = false;
            known.percent = row.percent;
            known.reported_metric = row.reported_metric;
            if let Some(checkpoint) = row.checkpoint {
                self.jobs.set_checkpoint(&row.task, checkpoint);
            }
            self.note_started(now, &row.task.job);
            return;
        }
        self.adopt_or_stop(context, id, row);
    }

    /// Handles a run that this owner did not start: adopts the run if its task has no other
    /// run and is not done, else stops the run.
    pub(super) fn adopt_or_stop(
        &mut self,
        context: &mut StepContext,
        id: &MinionId,
        row: RunningRow,
    ) {
        let position = position_of(&row.task);
        let now = context.clock.now;
        let job = self.jobs.get_mut(&row.task.job);
        let reservation = job
            .as_ref()
            .and_then(|job| job.spec.steps.get(usize::from(position.1)))
            .map(super::placement::reservation_for)
            .unwrap_or_default();
        let team = job.as_ref().and_then(|job| job.team.clone());
        let is_long_running = job.as_ref().is_none_or(|job| job.spec.is_long_running());
        let is_needed = job.as_ref().is_some_and(|job| {
            !job.phase.is_final()
                && !job.live.contains_key(&position)
                && job.progress.mark(position.0, position.1, position.2) != TaskMark::Done
        });
        let inputs = format!("run {} on {id}", row.run);
        let outcome = if is_needed { "adopted" } else { "stopped: its task needs no run" };
        context.out.log("unknown-run", &row.task, inputs, outcome);
        if let (true, Some(job)) = (is_needed, job) {
            job.live.insert(position, LiveRun { minion: id.clone(), run: row.run });
            job.remove_ready(position);
            job.mark_active(now);
        }
        let Some(minion) = self.minions.get_mut(id) else { return };
        let run = MinionRun {
            phase: RunPhase::Running,
            team,
            reservation,
            is_long_running,
            is_of_known_incarnation: true,
            is_start_unanswered: false,
            percent: row.percent,
            reported_metric: row.reported_metric,
            processor_share: 100,
            confirmed_at: now,
            last_running_at: now,
            is_measurable: false,
        };
        self.limits.record_use(run.team.as_ref(), &run.reservation);
        minion.insert_run((row.task.clone(), row.run), run);
        if !is_needed {
            self.stop_run(context, id, &row.task, row.run);
        }
    }

    /// Releases runs that the minion should list by now but does not. A start must be
    /// listed once the minion's clock has passed its validity; a confirmed run must be
    /// listed if it was confirmed before the hold was sent.
    pub(super) fn release_unlisted_runs(
        &mut self,
        context: &mut StepContext,
        id: &MinionId,
        sent_at: Moment,
        clock_ms: u64,
        listed: &BTreeSet<RunKey>,
    ) {
        let is_missing = |key: &RunKey, run: &MinionRun| {
            let should_be_listed = match run.phase {
                RunPhase::Starting { until_clock } => clock_ms > until_clock,
                RunPhase::Uncertain { .. } => false,
                _ => run.confirmed_at < sent_at,
            };
            should_be_listed && !listed.contains(key)
        };
        self.release_runs(context, id, |key, run| {
            is_missing(key, run).then_some(ReleaseCause::NotListed)
        });
    }
}
