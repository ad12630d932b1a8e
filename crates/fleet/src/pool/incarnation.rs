//! A new incarnation of a minion under the id of the previous one.
//!
//! No run of the previous incarnation can still execute. But a start that was sent before the owner knew
//! of the new incarnation names the same minion, and the new incarnation carries it out. A run that can't
//! be attributed to the previous one, by a list or by the clock in the answer to its start, may therefore
//! execute now, or later if the order is still on its way.
//!
//! If the start was answered, the next hold tells whether the run executes in the new incarnation, where
//! it then goes on. If not, the run is barred there by a stop, and its task starts elsewhere once the stop
//! is answered.

use jobs::{RunNumber, TaskName};
use state::{MinionId, Moment};

use super::minion::{MinionRun, OwnedMinion, RunKey, RunPhase};
use super::{PoolOwner, StepContext};
use crate::io::{MinionAnswer, OrderRefusal};
use crate::timing::STOP_RETRY_DELAY;

impl PoolOwner {
    /// Begins a new incarnation of a minion: releases the runs of the previous one, and keeps those that
    /// the new one may execute.
    pub(super) fn begin_incarnation(
        &mut self,
        context: &mut StepContext,
        id: &MinionId,
        incarnation: u64,
    ) {
        let unattributed_runs = self.take_unattributed_runs(context.clock.now, id);
        self.release_all_runs(context, id);
        let Some(minion) = self.minions.get_mut(id) else { return };
        let mut report = minion.report.clone();
        report.minion_incarnation = incarnation;
        let (is_listed, is_hold_in_flight) = (minion.is_listed, minion.is_hold_in_flight);
        let lease_ends = minion.lease_ends.of_next_incarnation();
        *minion = OwnedMinion::new(report, 0);
        minion.is_listed = is_listed;
        minion.is_hold_in_flight = is_hold_in_flight;
        minion.lease_ends = lease_ends;
        context.out.log("minion", id, format!("incarnation {incarnation}"), "new incarnation");
        for (key, run) in unattributed_runs {
            let inputs =
                format!("run {} on {id}, incarnation {incarnation}, {:?}", key.1, run.phase);
            context.out.log("run", &key.0, inputs, "may execute in the new incarnation");
            minion.insert_run(key, run);
        }
        self.bar_given_up_starts(context, id);
    }

    /// Bars the starts that were given up and that the current incarnation of a minion may still receive.
    pub(super) fn bar_given_up_starts(&mut self, context: &mut StepContext, id: &MinionId) {
        let now = context.clock.now;
        let starts = self.given_up_starts.take(id);
        let Some(minion) = self.minions.get_mut(id) else { return };
        for (key, mut run) in starts {
            let inputs = format!("run {} on {id}, given up before", key.1);
            context.out.log("run", &key.0, inputs, "may start in the new incarnation; stopped");
            self.limits.record_use(run.team.as_ref(), &run.reservation);
            run.phase = RunPhase::Uncertain { stop_at: now, is_stop_sent: true };
            minion.insert_run(key, run);
        }
        self.resolve_uncertain_runs(context, id);
    }

    /// Sends the stops that are due for runs which a minion's current incarnation may still begin, and
    /// keeps them for as long as a lease that one of them gets.
    fn resolve_uncertain_runs(&mut self, context: &mut StepContext, id: &MinionId) {
        let now = context.clock.now;
        let max_lease = context.settings.max_lease_duration();
        let Some(minion) = self.minions.get_mut(id) else { return };
        if minion.runs.is_empty() {
            return;
        }
        minion.may_have_stops = true;
        minion.lease_ends.record_earlier_order(now, max_lease);
        self.resend_stops(context);
    }

    /// Removes the runs from a minion that may not be of its known incarnation. Those whose start is not
    /// answered, or that were to be stopped, become uncertain.
    fn take_unattributed_runs(&mut self, now: Moment, id: &MinionId) -> Vec<(RunKey, MinionRun)> {
        let Some(minion) = self.minions.get_mut(id) else { return Vec::new() };
        let is_unattributed = |(_, run): &(&RunKey, &MinionRun)| !run.is_of_known_incarnation;
        let keys: Vec<RunKey> =
            minion.runs.iter().filter(is_unattributed).map(|(key, _)| key.clone()).collect();
        let take = |key: RunKey| {
            let mut run = minion.remove_run(&key)?;
            run.phase = phase_in_next_incarnation(run.phase, now);
            Some((key, run))
        };
        keys.into_iter().filter_map(take).collect()
    }

    /// Handles the answer to a start that was sent to an earlier incarnation of a minion.
    pub(super) fn on_earlier_start_answered(
        &mut self,
        context: &mut StepContext,
        id: &MinionId,
        key: &RunKey,
        answer: &MinionAnswer,
    ) {
        let (task, run) = key;
        let Some(minion) = self.minions.get_mut(id) else { return };
        let inputs = format!(
            "run {run} on {id}, sent before incarnation {}",
            minion.report.minion_incarnation
        );
        context.out.log("start-answered", task, inputs, format!("{answer:?}"));
        let Some(known) = minion.runs.get_mut(key) else { return };
        known.is_start_unanswered &= *answer == MinionAnswer::Unknown;
        if !matches!(known.phase, RunPhase::Uncertain { is_stop_sent: false, .. }) {
            return;
        }
        match answer {
            MinionAnswer::Ok { .. } => {
                known.phase = RunPhase::Running;
                known.confirmed_at = context.clock.now;
            }
            MinionAnswer::Refused(OrderRefusal::Fenced) => self.is_lost = true,
            MinionAnswer::Refused(_) | MinionAnswer::WrongLife => {
                self.release_run(id, task, *run);
                self.stop_gang(context, task);
            }
            MinionAnswer::Unknown | MinionAnswer::Held { .. } => {}
        }
    }

    /// Notes that a start which is answered may have extended the leases on its minion.
    pub(super) fn note_start_answered(
        &mut self,
        context: &StepContext,
        id: &MinionId,
        incarnation: u64,
        answer: &MinionAnswer,
    ) {
        let may_have_extended = match answer {
            MinionAnswer::Refused(reason) => {
                matches!(reason, OrderRefusal::Old | OrderRefusal::Room)
            }
            MinionAnswer::WrongLife => false,
            MinionAnswer::Ok { .. } | MinionAnswer::Held { .. } | MinionAnswer::Unknown => true,
        };
        if may_have_extended {
            self.note_lease_order(context, id, incarnation);
        }
    }

    /// Notes that a hold which is answered may have extended the leases on its minion. The answer names
    /// the incarnation that has carried it out.
    pub(super) fn note_hold_answered(
        &mut self,
        context: &StepContext,
        id: &MinionId,
        incarnation: u64,
        answer: &MinionAnswer,
    ) {
        match answer {
            MinionAnswer::Held { minion_incarnation, .. } if *minion_incarnation == incarnation => {
            }
            MinionAnswer::Held { .. } | MinionAnswer::Unknown => {
                self.note_lease_order(context, id, incarnation);
            }
            _ => {}
        }
    }

    /// Notes that an order which names an end by the clock of `incarnation` may have arrived by now.
    fn note_lease_order(&mut self, context: &StepContext, id: &MinionId, incarnation: u64) {
        let now = context.clock.now;
        let max_lease = context.settings.max_lease_duration();
        let Some(minion) = self.minions.get_mut(id) else { return };
        if minion.report.minion_incarnation == incarnation {
            minion.lease_ends.record_order(now, max_lease);
        } else {
            minion.lease_ends.record_earlier_order(now, max_lease);
        }
    }

    /// Handles the answer to a stop. The minion refuses the run from now on, so a run that the
    /// next hold does not list no longer executes.
    pub(super) fn on_stop_answered(
        &mut self,
        now: Moment,
        id: &MinionId,
        incarnation: u64,
        key: &(TaskName, RunNumber),
        answer: &MinionAnswer,
    ) {
        let MinionAnswer::Ok { .. } = answer else { return };
        let Some(minion) = self.minions.get_mut(id) else { return };
        if minion.report.minion_incarnation != incarnation {
            return;
        }
        if let Some(run) = minion.runs.get_mut(key)
            && let RunPhase::Uncertain { stop_at, .. } = run.phase
        {
            run.phase = RunPhase::Stopping { retry_at: stop_at };
            run.confirmed_at = now;
        }
    }
}

/// Returns the phase of an unattributed run in the next incarnation of its minion. An answer to the start may
/// still come; the stop of an earlier incarnation is void and is sent again at once.
fn phase_in_next_incarnation(phase: RunPhase, now: Moment) -> RunPhase {
    match phase {
        RunPhase::Running => RunPhase::Running,
        _ if phase.is_stop_sent() => RunPhase::Uncertain { stop_at: now, is_stop_sent: true },
        _ => RunPhase::Uncertain { stop_at: now + STOP_RETRY_DELAY, is_stop_sent: false },
    }
}
