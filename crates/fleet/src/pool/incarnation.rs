//! A new incarnation of a minion under the id of the previous one.
//!
//! No run of the previous incarnation can still execute. But a start that was sent before the
//! owner knew of the new incarnation names the same minion, and the new incarnation carries it
//! out. A run that can't be attributed to the previous one, by a list or by the clock in the answer
//! to its start, may therefore execute now, or later if the order is still on its way. Its task starts
//! elsewhere only after the new incarnation has answered a
//! stop, after which it refuses the run.

use jobs::{RunNumber, TaskName};
use state::{MinionId, Moment};

use super::minion::{MinionRun, OwnedMinion, RunKey, RunPhase};
use super::{PoolOwner, StepContext};
use crate::io::{MinionAnswer, OrderRefusal};
use crate::timing::STOP_RETRY_DELAY;

impl PoolOwner {
    /// Begins a new incarnation of a minion: releases the runs that the previous one has
    /// listed, and stops those that the new one may execute.
    pub(super) fn begin_incarnation(
        &mut self,
        context: &mut StepContext,
        id: &MinionId,
        incarnation: u64,
    ) {
        let uncertain_runs = self.take_uncertain_runs(context.clock.now, id);
        self.release_all_runs(context, id);
        let Some(minion) = self.minions.get(id) else { return };
        let mut report = minion.report.clone();
        report.minion_incarnation = incarnation;
        let Some(minion) = self.minions.get_mut(id) else { return };
        let (is_listed, is_hold_in_flight) = (minion.is_listed, minion.is_hold_in_flight);
        let lease_ends = minion.lease_ends.of_next_incarnation();
        *minion = OwnedMinion::new(report, 0);
        minion.is_listed = is_listed;
        minion.is_hold_in_flight = is_hold_in_flight;
        minion.lease_ends = lease_ends;
        context.out.log("minion", id, format!("incarnation {incarnation}"), "new incarnation");
        let stops: Vec<RunKey> = uncertain_runs.iter().map(|(key, _)| key.clone()).collect();
        for (key, run) in uncertain_runs {
            minion.insert_run(key, run);
        }
        for (task, run) in stops {
            let inputs = format!("run {run} on {id}, incarnation {incarnation}");
            context.out.log("run", &task, inputs, "may execute in the new incarnation; stopped");
            self.stop_run(context, id, &task, run);
        }
    }

    /// Removes the runs from a minion that may not be of its known incarnation, as uncertain runs.
    fn take_uncertain_runs(&mut self, now: Moment, id: &MinionId) -> Vec<(RunKey, MinionRun)> {
        let Some(minion) = self.minions.get_mut(id) else { return Vec::new() };
        let is_unattributed = |(_, run): &(&RunKey, &MinionRun)| !run.is_of_known_incarnation;
        let keys: Vec<RunKey> =
            minion.runs.iter().filter(is_unattributed).map(|(key, _)| key.clone()).collect();
        let take = |key: RunKey| {
            let mut run = minion.remove_run(&key)?;
            run.phase = RunPhase::Uncertain { retry_at: now + STOP_RETRY_DELAY };
            Some((key, run))
        };
        keys.into_iter().filter_map(take).collect()
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
            && let RunPhase::Uncertain { retry_at } = run.phase
        {
            run.phase = RunPhase::Stopping { retry_at };
            run.confirmed_at = now;
        }
    }
}
