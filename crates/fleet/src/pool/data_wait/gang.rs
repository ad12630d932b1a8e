//! Gangs that wait for room in one rack.

use state::Moment;

use super::super::minion::OwnedMinion;
use super::super::pass::PassCapacity;
use super::super::placement::{GangTasks, TaskGroup, has_label};
use super::super::{PoolOwner, StepContext};
use super::{Outlook, group_key, may_wait};
use crate::event::{DataWaitOutcome, WaitCause};
use policy::data_wait::{WaitDecision, decide};

impl PoolOwner {
    /// Returns the minions for all tasks of a gang if it starts now, and `None` if there is no room
    /// or the gang waits for room in one rack.
    pub(in crate::pool) fn choose_gang_minions(
        &mut self,
        context: &mut StepContext,
        capacity: &PassCapacity,
        group: &TaskGroup,
        indexes: &[u32],
    ) -> Option<GangTasks> {
        if !may_wait(context, group.spec) {
            return self.plan_gang(capacity, group, indexes, None);
        }
        let racks = match &group.spec.data_rack {
            Some(rack) => vec![rack.clone()],
            None => self.racks_by_free_processor(capacity),
        };
        for rack in &racks {
            if let Some(tasks) = self.plan_gang(capacity, group, indexes, Some(rack)) {
                let key = group_key(group);
                let waiting = self.data_waits.waits.get(&key).map_or(0, |wait| wait.tasks);
                self.end_waits(context, &key, waiting, DataWaitOutcome::PaidOff, "");
                return Some(tasks);
            }
        }
        let spread = self.plan_gang(capacity, group, indexes, None)?;
        if self.must_gang_wait(context, group, &racks, indexes.len() as u32) {
            group.wait_cause.set(WaitCause::DataWait);
            return None;
        }
        Some(spread)
    }

    /// Whether a gang that could be spread over several racks now waits for room in one of `racks`.
    fn must_gang_wait(
        &mut self,
        context: &mut StepContext,
        group: &TaskGroup,
        racks: &[Box<str>],
        tasks: u32,
    ) -> bool {
        let now = context.clock.now;
        let terms = self.wait_terms(context, group);
        let since = self.waiting_since(now, group);
        let mut best: Option<(Moment, &str)> = None;
        for rack in racks {
            self.view_rack(context, rack);
            let Some(view) = self.data_waits.racks.get(rack) else { continue };
            let Some(timeline) = &view.timeline else { continue };
            self.work.add(view.minions.len());
            let may_run = |vm: usize| self.may_run_in_view(view, vm, group.spec.label.as_deref());
            let room = timeline.earliest_for_gang(&group.reservation, tasks, may_run);
            let candidate = room.map(|at| (at, &**rack));
            best = best.into_iter().chain(candidate).min();
        }
        let mut outlook = Outlook::default();
        match decide(now, since, best.map(|(at, _)| at), &terms) {
            WaitDecision::StartAway(reason) => outlook.away_reason = Some(reason),
            WaitDecision::WaitUntil(until) => {
                for _ in 0..tasks {
                    outlook.add_wait(best.map_or(now, |(at, _)| at), until);
                }
            }
        }
        let rack = best.map_or("any rack", |(_, rack)| rack);
        if outlook.waiting > 0 {
            let label = group.spec.label.as_deref();
            for _ in 0..tasks {
                let may_run = |minion: &OwnedMinion| has_label(minion, label);
                self.claim_room(rack, &group.reservation, terms.run_near, may_run, |_| true);
            }
        }
        self.record_outlook(context, group, rack, &terms, &outlook);
        outlook.waiting > 0
    }
}
