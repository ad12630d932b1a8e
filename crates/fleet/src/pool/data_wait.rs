//! Tasks that wait for capacity near their data, and gangs that wait for one rack.
//!
//! `policy::data_wait` decides about each wait; this module gives it the expected ends of the runs
//! in the rack and keeps the time at which each wait began. A wait reserves nothing, so capacity
//! that others can use stays in use. The state lasts as long as its owner: the next owner begins
//! each wait anew (`docs/design/data-waits.md`).

mod gang;
mod rack;

use std::collections::BTreeMap;

use jobs::{Resources, StepSpec};
use policy::data_wait::{AwayReason, WaitDecision, WaitTerms, decide};
use state::{JobId, Millis, MinionId, Moment};

use super::minion::OwnedMinion;
use super::pass::PassCapacity;
use super::placement::{TaskGroup, has_label};
use super::{PoolOwner, StepContext};
use crate::event::{DataWaitOutcome, Measurement};
use rack::RackView;

/// Maximum number of tasks of a group that wait, which bounds the work of a decision.
const MAX_WAITING_TASKS: u32 = 256;

/// Job, occurrence and step of a group of ready tasks.
type GroupKey = (JobId, u32, u16);

/// Wait of some tasks of a group.
#[derive(Debug)]
struct GroupWait {
    /// Time at which the first wait of the group began. The group keeps it while it has ready
    /// tasks, so that tasks that gave up do not wait anew.
    since: Moment,
    /// Number of tasks that wait.
    tasks: u32,
    /// Whether the present pass has visited the group.
    is_visited: bool,
}

/// Waits of the pool's tasks.
#[derive(Debug, Default)]
pub(super) struct DataWaits {
    waits: BTreeMap<GroupKey, GroupWait>,
    /// Racks that the present pass has looked at.
    racks: BTreeMap<Box<str>, RackView>,
}

impl DataWaits {
    fn begin_pass(&mut self) {
        self.racks.clear();
        for wait in self.waits.values_mut() {
            wait.is_visited = false;
        }
    }

    /// Records that a run occupies capacity until an expected end.
    fn note_start(&mut self, now: Moment, minion: &MinionId, need: &Resources, run_time: Millis) {
        for view in self.racks.values_mut() {
            let vm = view.minions.iter().position(|known| known == minion);
            if let (Some(vm), Some(timeline)) = (vm, &mut view.timeline) {
                timeline.claim(vm, now, need, run_time);
            }
        }
    }
}

impl PoolOwner {
    /// Forgets what an earlier pass has seen of the racks.
    pub(super) fn begin_data_waits(&mut self) {
        self.data_waits.begin_pass();
    }

    /// Ends the waits of groups that have no ready tasks any more, such as those of cancelled jobs.
    pub(super) fn end_data_waits(&mut self, context: &mut StepContext) {
        let is_visited = |wait: &GroupWait| wait.is_visited;
        let gone: Vec<GroupKey> = self
            .data_waits
            .waits
            .iter()
            .filter(|(_, wait)| !is_visited(wait))
            .map(|(key, _)| key.clone())
            .collect();
        for key in gone {
            let tasks = self.data_waits.waits.get(&key).map_or(0, |wait| wait.tasks);
            self.end_waits(context, &key, tasks, DataWaitOutcome::Abandoned, "no task is ready");
            self.data_waits.waits.remove(&key);
        }
    }

    /// Returns the rack that a group of tasks without a gang prefers: that of its data or, for a
    /// step for one rack, that of its runs or the one with the most free processor time.
    pub(super) fn near_rack(
        &self,
        context: &StepContext,
        capacity: &PassCapacity,
        job: &JobId,
        (occurrence, step): (u32, u16),
        spec: &StepSpec,
    ) -> Option<Box<str>> {
        let is_for_one_rack = may_wait(context, spec) && spec.one_rack && !spec.gang;
        if spec.data_rack.is_some() || !is_for_one_rack {
            return spec.data_rack.clone();
        }
        let range = (occurrence, step, 0)..=(occurrence, step, u32::MAX);
        let live = self.jobs.get(job)?.live.range(range).next();
        let used_rack = live.and_then(|(_, live)| self.rack_of_minion(&live.minion));
        used_rack
            .map(Box::from)
            .or_else(|| self.racks_by_free_processor(capacity).into_iter().next())
    }

    /// Whether a task of a group may start on a minion, which is the best one with enough room.
    /// `away_tasks` is the number of the group's tasks that may still start away from their data,
    /// once it is known.
    pub(super) fn may_start_on(
        &mut self,
        context: &mut StepContext,
        group: &TaskGroup,
        id: &MinionId,
        away_tasks: &mut Option<u32>,
    ) -> bool {
        let Some(rack) = group.near_rack.filter(|_| may_wait(context, group.spec)) else {
            return true;
        };
        if self.minions.get(id).is_some_and(|minion| has_label(minion, Some(rack))) {
            self.end_waits(context, &group_key(group), 1, DataWaitOutcome::PaidOff, "");
            return true;
        }
        let known = *away_tasks;
        let remaining = known.unwrap_or_else(|| self.count_away_tasks(context, group, rack));
        *away_tasks = Some(remaining.saturating_sub(1));
        remaining > 0
    }

    /// Decides how many of a group's ready tasks start away from their data now; the others wait.
    fn count_away_tasks(
        &mut self,
        context: &mut StepContext,
        group: &TaskGroup,
        rack: &str,
    ) -> u32 {
        let now = context.clock.now;
        let tasks = self.count_startable(group);
        let terms = self.wait_terms(context, group);
        let since = self.waiting_since(now, group);
        self.view_rack(context, rack);
        let mut outlook = Outlook::default();
        while outlook.waiting < tasks.min(MAX_WAITING_TASKS) {
            self.work.add(1);
            let may_run = |minion: &OwnedMinion| has_label(minion, group.spec.label.as_deref());
            let room = self.claim_room(rack, &group.reservation, terms.run_near, may_run, |at| {
                matches!(decide(now, since, at, &terms), WaitDecision::WaitUntil(_))
            });
            match decide(now, since, room, &terms) {
                WaitDecision::StartAway(reason) => {
                    outlook.away_reason = Some(reason);
                    break;
                }
                WaitDecision::WaitUntil(until) => outlook.add_wait(room.unwrap_or(now), until),
            }
        }
        self.record_outlook(context, group, rack, &terms, &outlook);
        tasks - outlook.waiting
    }

    /// Records in the racks' expected capacity that a task has started.
    pub(super) fn note_start_in_rack(&mut self, now: Moment, group: &TaskGroup, id: &MinionId) {
        if !self.data_waits.racks.is_empty() {
            let run_time = self.expected_run_time(group);
            self.data_waits.note_start(now, id, &group.reservation, run_time);
        }
    }

    fn waiting_since(&self, now: Moment, group: &TaskGroup) -> Moment {
        self.data_waits.waits.get(&group_key(group)).map_or(now, |wait| wait.since)
    }

    /// Marks the wait of a group as still needed.
    pub(super) fn visit_data_wait(&mut self, group: &TaskGroup) {
        if self.data_waits.waits.is_empty() {
            return;
        }
        if let Some(wait) = self.data_waits.waits.get_mut(&group_key(group)) {
            wait.is_visited = true;
        }
    }

    fn wait_terms(&self, context: &StepContext, group: &TaskGroup) -> WaitTerms {
        let run_near = self.expected_run_time(group);
        let run_away = context.settings.remote_factor.extend(run_near);
        let time_left = self.jobs.get(group.job).and_then(|job| {
            let run_time = |step| job.expected_run_time(step);
            let path =
                job.spec.remaining_critical_path_by(&job.progress, group.occurrence, run_time);
            let later_steps = path.0.saturating_sub(run_near.0);
            let left = job.objective_ms().checked_sub(context.clock.wall_ms)?;
            left.checked_sub(later_steps)
        });
        WaitTerms { run_near, run_away, time_left: time_left.map(Millis) }
    }

    /// Returns the expected run time of a task of the group near its data.
    fn expected_run_time(&self, group: &TaskGroup) -> Millis {
        let job = self.jobs.get(group.job);
        job.map_or(group.spec.estimate, |job| job.expected_run_time(usize::from(group.step)))
    }

    /// Counts the ready tasks of a group that have attempts left.
    fn count_startable(&self, group: &TaskGroup) -> u32 {
        let Some(job) = self.jobs.get(group.job) else { return 0 };
        let ready = job.ready.get(&(group.occurrence, group.step));
        let may_start =
            |index: &&u32| job.has_attempts_left((group.occurrence, group.step, **index));
        ready.map_or(0, |tasks| tasks.iter().filter(may_start).count() as u32)
    }

    /// Records the waits of a group, with a log line when they begin or are abandoned.
    fn record_outlook(
        &mut self,
        context: &mut StepContext,
        group: &TaskGroup,
        rack: &str,
        terms: &WaitTerms,
        outlook: &Outlook,
    ) {
        let now = context.clock.now;
        let key = group_key(group);
        let known = self.data_waits.waits.get(&key).map_or(0, |wait| wait.tasks);
        if outlook.waiting < known {
            let reason = outlook.away_reason.map_or("no task is ready", AwayReason::label);
            let given_up = known - outlook.waiting;
            self.end_waits(context, &key, given_up, DataWaitOutcome::Abandoned, reason);
        }
        if outlook.waiting <= known {
            return;
        }
        let wait = self.data_waits.waits.entry(key.clone()).or_insert(GroupWait {
            since: now,
            tasks: 0,
            is_visited: true,
        });
        let is_first = wait.tasks == 0;
        let added = outlook.waiting - wait.tasks;
        wait.tasks = outlook.waiting;
        context.out.measure(Measurement::DataWaitsBegun(added));
        if is_first {
            let inputs = format!(
                "{added} tasks near {rack}, room in {}, run {} near, {} away, until {}",
                outlook.room_at - now,
                terms.run_near,
                terms.run_away,
                outlook.until - now,
            );
            context.out.log("data-wait", describe_group(&key), inputs, "waits");
        }
    }

    /// Ends the waits of up to `tasks` tasks of a group.
    fn end_waits(
        &mut self,
        context: &mut StepContext,
        key: &GroupKey,
        tasks: u32,
        outcome: DataWaitOutcome,
        reason: &str,
    ) {
        let Some(wait) = self.data_waits.waits.get_mut(key) else { return };
        let ended = tasks.min(wait.tasks);
        if ended == 0 {
            return;
        }
        wait.tasks -= ended;
        let waited = context.clock.now - wait.since;
        for _ in 0..ended {
            context.out.measure(Measurement::DataWaitEnded(outcome, waited));
        }
        if wait.tasks == 0 || outcome == DataWaitOutcome::Abandoned {
            let separator = if reason.is_empty() { "" } else { ": " };
            let inputs = format!("{ended} tasks, waited {waited}, {} still wait", wait.tasks);
            let text = format!("{outcome}{separator}{reason}");
            context.out.log("data-wait", describe_group(key), inputs, text);
        }
    }
}

/// What is expected of a group's ready tasks.
#[derive(Debug, Default)]
struct Outlook {
    waiting: u32,
    /// Time at which the last of the waiting tasks is expected to start.
    room_at: Moment,
    /// Time at which they give up.
    until: Moment,
    /// Why the other tasks start away from their data.
    away_reason: Option<AwayReason>,
}

impl Outlook {
    fn add_wait(&mut self, room_at: Moment, until: Moment) {
        self.waiting += 1;
        self.room_at = self.room_at.max(room_at);
        self.until = until;
    }
}

/// Whether tasks of a step may wait for capacity near their data or their group.
fn may_wait(context: &StepContext, spec: &StepSpec) -> bool {
    context.settings.remote_factor.is_above_one()
        && !spec.long_running
        && (spec.data_rack.is_some() || spec.one_rack)
}

fn group_key(group: &TaskGroup) -> GroupKey {
    (group.job.clone(), group.occurrence, group.step)
}

fn describe_group((job, occurrence, step): &GroupKey) -> String {
    format!("{job}.{occurrence}.{step}")
}
