//! Expected capacity of a rack: the ends of the runs there, and whether its VMs are usable.

use std::collections::BTreeMap;

use jobs::{Resources, TaskName};
use policy::data_wait::{RackTimeline, expected_end};
use state::{Millis, MinionId, Moment};

use super::super::job::position_of;
use super::super::minion::{MinionRun, OwnedMinion, RunPhase};
use super::super::pass::{PassCapacity, UnusableReason};
use super::super::placement::has_label;
use super::super::{PoolOwner, StepContext};
use crate::vm_controller::vms_due_for_maintenance;

/// Capacity that a rack is expected to have, as seen in one placement pass.
#[derive(Debug)]
pub(super) struct RackView {
    /// Minions in the order of the timeline's VMs.
    pub(super) minions: Vec<MinionId>,
    /// `None` if the rack is not usable.
    pub(super) timeline: Option<RackTimeline>,
}

impl PoolOwner {
    /// Returns the earliest time at which a rack has room for a task, and claims the room if
    /// `is_taken` accepts it.
    pub(super) fn claim_room(
        &mut self,
        rack: &str,
        need: &Resources,
        run_time: Millis,
        may_run: impl Fn(&OwnedMinion) -> bool,
        is_taken: impl Fn(Option<Moment>) -> bool,
    ) -> Option<Moment> {
        let minions = &self.minions;
        let view = self.data_waits.racks.get_mut(rack)?;
        let timeline = view.timeline.as_mut()?;
        let on_vm = |vm: usize| view.minions.get(vm).and_then(|id| minions.get(id));
        let room = timeline.earliest(need, |vm| on_vm(vm).is_some_and(&may_run))?;
        if is_taken(Some(room.at)) {
            timeline.claim(room.vm, room.at, need, run_time);
        }
        Some(room.at)
    }

    pub(super) fn may_run_in_view(&self, view: &RackView, vm: usize, label: Option<&str>) -> bool {
        let minion = view.minions.get(vm).and_then(|id| self.minions.get(id));
        minion.is_some_and(|minion| has_label(minion, label))
    }

    /// Looks at the expected capacity of a rack, once in a pass.
    pub(super) fn view_rack(&mut self, context: &StepContext, rack: &str) {
        if self.data_waits.racks.contains_key(rack) {
            return;
        }
        let view = self.build_rack_view(context, rack);
        self.data_waits.racks.insert(rack.into(), view);
    }

    /// A rack of which half of the VMs do not answer is taken as unreachable: the others are likely
    /// to follow.
    fn build_rack_view(&self, context: &StepContext, rack: &str) -> RackView {
        let now = context.clock.now;
        let maintained = vms_due_for_maintenance(context);
        let mut timeline = RackTimeline::new(now);
        let mut minions = Vec::new();
        let (mut total, mut unreachable) = (0, 0);
        self.work.add(self.minions.len());
        for (id, minion) in &self.minions {
            if !minion.is_listed || !has_label(minion, Some(rack)) {
                continue;
            }
            total += 1;
            unreachable += usize::from(minion.is_unresponsive);
            let is_due = minion.report.vm.as_ref().is_some_and(|vm| maintained.contains(vm));
            if is_due || !self.is_usable_later(context, minion) {
                continue;
            }
            self.work.add(minion.runs.len());
            let ends = minion.runs.iter().filter_map(|((task, _), run)| {
                Some((self.expected_run_end(context, task, run, minion)?, run.reservation))
            });
            timeline.add_vm(&minion.free_capacity(), ends);
            minions.push(id.clone());
        }
        let is_usable = !minions.is_empty() && unreachable * 2 < total;
        RackView { minions, timeline: is_usable.then_some(timeline) }
    }

    /// Whether a minion gets starts now, or will after a short pause.
    fn is_usable_later(&self, context: &StepContext, minion: &OwnedMinion) -> bool {
        match self.unusable_reason(context, minion) {
            None => true,
            Some(UnusableReason::Paused) => !minion.is_unresponsive,
            Some(_) => false,
        }
    }

    /// Returns the expected end of a run; `None` for a run that has none.
    fn expected_run_end(
        &self,
        context: &StepContext,
        task: &TaskName,
        run: &MinionRun,
        minion: &OwnedMinion,
    ) -> Option<Moment> {
        let now = context.clock.now;
        if run.is_long_running {
            return None;
        }
        let (job, step) = (self.jobs.get(&task.job)?, usize::from(position_of(task).1));
        let spec = job.spec.steps.get(step)?;
        let near = job.expected_run_time(step);
        let is_near = has_label(minion, spec.data_rack.as_deref());
        let run_time = if is_near { near } else { context.settings.remote_factor.extend(near) };
        Some(match run.phase {
            RunPhase::Starting { .. } => now + run_time,
            RunPhase::Running => expected_end(now, run.confirmed_at, run_time),
            RunPhase::Stopping { .. } | RunPhase::Uncertain { .. } => {
                now + context.settings.max_stop
            }
        })
    }

    pub(super) fn rack_of_minion(&self, id: &MinionId) -> Option<&str> {
        rack_of(self.minions.get(id)?)
    }

    /// Lists the racks of the usable minions, the one with the most free processor time first.
    pub(super) fn racks_by_free_processor(&self, capacity: &PassCapacity) -> Vec<Box<str>> {
        let mut free: BTreeMap<&str, u64> = BTreeMap::new();
        for (free_processor, id) in capacity.minions() {
            self.work.add(1);
            let Some(rack) = self.rack_of_minion(id) else { continue };
            *free.entry(rack).or_default() += free_processor.0;
        }
        let mut racks: Vec<(&str, u64)> = free.into_iter().collect();
        racks.sort_by_key(|(rack, free)| (std::cmp::Reverse(*free), *rack));
        racks.into_iter().map(|(rack, _)| rack.into()).collect()
    }
}

/// Returns the rack of a minion. A report lists the kind of the minion before its rack.
fn rack_of(minion: &OwnedMinion) -> Option<&str> {
    minion.report.labels.get(1..)?.last().map(|rack| &**rack)
}
