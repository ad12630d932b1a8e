//! Placement: finds a minion for each task that may start.
//!
//! A placement pass visits jobs in the order of their ranks (`ready_queue`): long-running jobs first,
//! then jobs that the pool can complete in time, then the others (`overload`); within each class by
//! the queue's priority and by the latest start that meets the objective. A task goes to a
//! minion that has the label of the task's data rack if there is one, and among these to
//! the minion with the most free processor time, so that the tasks of each minion have as
//! much processor time to share as possible. A task may wait for room in that rack instead of
//! starting elsewhere (`data_wait`). Long-running tasks are gathered on few minions.

use std::cell::Cell;
use std::collections::BTreeMap;

use jobs::{Resources, RunNumber, StepSpec};
use state::{JobId, Millis, MinionId, TeamId};

use super::job::{LiveRun, TaskPosition, task_name};
use super::minion::{MinionRun, OwnedMinion, RunPhase};
use super::orders::minion_target;
use super::pass::PassCapacity;
use super::{PoolCall, PoolOwner, StepContext};
use crate::event::{Measurement, WaitCause};
use crate::io::MinionCall;
use crate::timing::START_VALIDITY;

/// Number of long-running tasks on a minion at which the minion is no longer preferred for
/// further long-running tasks.
const MAX_GATHERED_TASKS: usize = 4;

/// Computes the resources that a task of a step reserves on a minion. A best-effort task
/// reserves no processor time, because it uses only what other tasks leave.
pub(super) fn reservation_for(step: &StepSpec) -> Resources {
    let mut reservation = step.demand;
    if step.best_effort {
        reservation.processor = state::Millicores(0);
    }
    reservation
}

/// Tasks of one occurrence's step that may start.
pub(super) struct TaskGroup<'a> {
    pub(super) job: &'a JobId,
    pub(super) occurrence: u32,
    pub(super) step: u16,
    pub(super) spec: &'a StepSpec,
    team: Option<&'a TeamId>,
    pub(super) reservation: Resources,
    /// Rack on which the tasks are preferably placed.
    pub(super) near_rack: Option<&'a str>,
    ready_since_ms: u64,
    pub(super) wait_cause: &'a Cell<WaitCause>,
}

/// Indexes of a gang's tasks with the minion that is planned for each.
pub(super) type GangTasks = Vec<(u32, MinionId)>;

/// Resources and number of a gang's tasks that are already planned on each minion.
type GangPlan = BTreeMap<MinionId, (Resources, u32)>;

impl PoolOwner {
    /// Runs a placement pass over all jobs with ready tasks.
    pub(super) fn place_tasks(&mut self, context: &mut StepContext) {
        // The teams' limits are unknown without a configuration.
        if context.shared.config.is_none() {
            return;
        }
        self.rank_changed_jobs(context);
        self.limits.begin_placement_pass();
        self.begin_data_waits();
        let mut capacity = self.usable_capacity(context);
        let queue = std::mem::take(&mut self.ready_queue);
        for (job, ready) in queue.iter() {
            self.work.add(1);
            for group in &ready.groups {
                let Some(spec) = ready.spec.steps.get(usize::from(group.step)) else { continue };
                let position = (group.occurrence, group.step);
                let near_rack = self.near_rack(context, &capacity, job, position, spec);
                let group = TaskGroup {
                    job,
                    occurrence: group.occurrence,
                    step: group.step,
                    spec,
                    team: ready.team.as_ref(),
                    reservation: group.reservation,
                    near_rack: near_rack.as_deref(),
                    ready_since_ms: group.ready_since_ms,
                    wait_cause: &group.wait_cause,
                };
                self.visit_data_wait(&group);
                if spec.gang {
                    self.place_gang(context, &mut capacity, &group);
                } else {
                    self.place_group(context, &mut capacity, &group);
                }
            }
        }
        let now = context.clock.now;
        if !queue.is_empty() && self.pass.take_line(now) {
            let inputs = format!("{} jobs, minions: {}", queue.len(), capacity.describe());
            context.out.log("ready-jobs", &self.pool, inputs, "visited");
        }
        self.ready_queue = queue;
        self.end_data_waits(context);
    }

    /// Updates the queue of ready jobs for the jobs that have changed. A job is placed whether or not
    /// the configuration still has its queue.
    fn rank_changed_jobs(&mut self, context: &mut StepContext) {
        let wall_ms = context.clock.wall_ms;
        for job in self.jobs.take_unranked() {
            self.work.add(1);
            let previous = self.ready_queue.remove(&job);
            self.update_expected_run_times(context.clock.now, &job);
            let Some(owned) = self.jobs.get(&job) else {
                self.overload.remove(&job);
                continue;
            };
            let load = owned.load();
            let class = self.overload.update(&job, owned, &load, wall_ms);
            if !owned.may_have_unknown_runs {
                self.ready_queue.insert(job, owned, previous, (&load, class), wall_ms);
            }
        }
        self.select_jobs(context);
    }

    /// Starts tasks of a group one by one, until none is left or no capacity is found.
    fn place_group(
        &mut self,
        context: &mut StepContext,
        capacity: &mut PassCapacity,
        group: &TaskGroup,
    ) {
        let label = group.spec.label.as_deref();
        let may_start = |owner: &mut Self, capacity: &PassCapacity| {
            if !owner.limits.has_capacity(group.team, &group.reservation) {
                group.wait_cause.set(WaitCause::Allocation);
                return false;
            }
            let may_fit = capacity.may_fit(&group.reservation, label);
            if !may_fit {
                group.wait_cause.set(capacity.wait_cause(&group.reservation));
            }
            may_fit
        };
        if !may_start(self, capacity) {
            return;
        }
        let mut away_tasks = None;
        while let Some(index) = self.next_startable(group)
            && may_start(self, capacity)
        {
            let Some(minion) = self.select_minion(capacity, group, &GangPlan::new(), None) else {
                group.wait_cause.set(capacity.wait_cause(&group.reservation));
                if group.spec.max_per_minion.is_none() {
                    capacity.record_failed_search(&group.reservation, label);
                }
                return;
            };
            if !self.may_start_on(context, group, &minion, &mut away_tasks) {
                group.wait_cause.set(WaitCause::DataWait);
                return;
            }
            let run = self.next_run_number(group);
            self.start_task(context, capacity, group, index, &minion, run);
        }
    }

    /// Starts all tasks of a gang, or none.
    fn place_gang(
        &mut self,
        context: &mut StepContext,
        capacity: &mut PassCapacity,
        group: &TaskGroup,
    ) {
        let Some(job) = self.jobs.get(group.job) else { return };
        let indexes = job.ready.get(&(group.occurrence, group.step)).cloned().unwrap_or_default();
        if indexes.len() != group.spec.tasks as usize {
            return;
        }
        let Some(tasks) = self.choose_gang_minions(context, capacity, group, &indexes) else {
            return;
        };
        let run = self.next_run_number(group);
        for (index, minion) in tasks {
            self.start_task(context, capacity, group, index, &minion, run);
        }
    }

    /// Plans a minion for each task of a gang, on `rack` if it is given. Returns `None` if the gang
    /// does not fit as a whole.
    pub(super) fn plan_gang(
        &mut self,
        capacity: &PassCapacity,
        group: &TaskGroup,
        indexes: &[u32],
        rack: Option<&str>,
    ) -> Option<GangTasks> {
        let mut total = Resources::default();
        let mut planned = GangPlan::new();
        let mut tasks = GangTasks::with_capacity(indexes.len());
        for index in indexes {
            total = total.saturating_add(&group.reservation);
            if !self.limits.has_capacity(group.team, &total)
                || !capacity.may_fit(&group.reservation, group.spec.label.as_deref())
            {
                return None;
            }
            let minion = self.select_minion(capacity, group, &planned, rack)?;
            let plan = planned.entry(minion.clone()).or_default();
            plan.0 = plan.0.saturating_add(&group.reservation);
            plan.1 += 1;
            tasks.push((*index, minion));
        }
        Some(tasks)
    }

    /// Returns the index of the next task of a group that has attempts left.
    fn next_startable(&self, group: &TaskGroup) -> Option<u32> {
        let job = self.jobs.get(group.job)?;
        let tasks = job.ready.get(&(group.occurrence, group.step))?;
        let may_start = |index: &&u32| {
            group.spec.long_running
                || job.has_attempts_left((group.occurrence, group.step, **index))
        };
        tasks.iter().rev().find(may_start).copied()
    }

    fn next_run_number(&mut self, group: &TaskGroup) -> RunNumber {
        let fencing_token = self.fencing_token;
        self.jobs.get_mut(group.job).map_or(RunNumber(0), |job| job.next_run_number(fencing_token))
    }

    /// Selects the best minion for a task of the group, on `rack` if it is given. For a gang,
    /// `planned` holds what is already planned on each minion.
    fn select_minion(
        &self,
        capacity: &PassCapacity,
        group: &TaskGroup,
        planned: &GangPlan,
        rack: Option<&str>,
    ) -> Option<MinionId> {
        // The first minion that fits is the best one if free processor time alone decides.
        let is_first_best =
            group.near_rack.is_none() && !group.spec.long_running && planned.is_empty();
        let mut best: Option<((bool, usize, u64), &MinionId)> = None;
        for (free, id) in capacity.minions() {
            if free.0 < group.reservation.processor.0 {
                break;
            }
            self.work.add(1);
            let Some(score) = self.score_minion(group, id, planned, rack) else { continue };
            if is_first_best {
                return Some(id.clone());
            }
            let is_better = |best: ((bool, usize, u64), &MinionId)| {
                score > best.0 || (score == best.0 && id < best.1)
            };
            if best.is_none_or(is_better) {
                best = Some((score, id));
            }
        }
        best.map(|(_, id)| id.clone())
    }

    /// Scores a minion for a task of the group: data rack, gathered long-running tasks, free
    /// processor time. Returns `None` if the task may not run there.
    fn score_minion(
        &self,
        group: &TaskGroup,
        id: &MinionId,
        planned: &GangPlan,
        rack: Option<&str>,
    ) -> Option<(bool, usize, u64)> {
        let minion = self.minions.get(id)?;
        let (reserved, planned_tasks) = planned.get(id).copied().unwrap_or_default();
        let free = minion.free_capacity();
        let may_run = group.reservation.saturating_add(&reserved).fits_within(&free)
            && has_label(minion, group.spec.label.as_deref())
            && has_label(minion, rack)
            && self.is_within_spread_limit(group, id, planned_tasks);
        if !may_run {
            return None;
        }
        let is_near = group.near_rack.is_some() && has_label(minion, group.near_rack);
        let long_running_score = if group.spec.long_running { gathering_score(minion) } else { 0 };
        Some((is_near, long_running_score, free.saturating_sub(&reserved).processor.0))
    }

    /// Whether one more task of the group on a minion stays within the step's maximum for
    /// each minion.
    fn is_within_spread_limit(&self, group: &TaskGroup, minion: &MinionId, planned: u32) -> bool {
        let Some(maximum) = group.spec.max_per_minion else { return true };
        let job = &self.jobs[group.job];
        job.count_runs_on(group.occurrence, group.step, minion) + planned < maximum
    }

    /// Reserves resources for a task on a minion and sends the start.
    fn start_task(
        &mut self,
        context: &mut StepContext,
        capacity: &mut PassCapacity,
        group: &TaskGroup,
        index: u32,
        id: &MinionId,
        run: RunNumber,
    ) {
        let now = context.clock.now;
        let position: TaskPosition = (group.occurrence, group.step, index);
        let task = task_name(group.job, position);
        let reservation = group.reservation;
        let (Some(minion), Some(job)) = (self.minions.get_mut(id), self.jobs.get_mut(group.job))
        else {
            return;
        };
        let Some(clock) = minion.clock_at(now) else { return };
        let until_clock = clock + START_VALIDITY.0;
        minion.extend_lease(until_clock, now);
        minion.lease_ends.record_order(now, context.settings.max_lease_duration());
        let inputs = format!(
            "run {run}, needs {} {}, free {}, waited {}ms, ready for {}ms ({}), minion confirmed {} ago, {}",
            reservation.processor,
            reservation.memory,
            minion.free_capacity().processor,
            context.clock.wall_ms.saturating_sub(job.accepted_ms),
            context.clock.wall_ms.saturating_sub(group.ready_since_ms),
            group.wait_cause.get(),
            now - minion.confirmed_at,
            context.shared.describe_config(now),
        );
        context.out.log("start", &task, inputs, id.to_string());
        let ready = Millis(context.clock.wall_ms.saturating_sub(group.ready_since_ms));
        context.out.measure(Measurement::TaskReady(group.wait_cause.get(), ready));
        let free_before = minion.free_capacity();
        minion.insert_run(
            (task.clone(), run),
            MinionRun {
                phase: RunPhase::Starting { until_clock },
                team: group.team.cloned(),
                reservation,
                is_long_running: job.spec.is_long_running(),
                is_of_known_incarnation: false,
                is_start_unanswered: true,
                percent: 0,
                reported_metric: None,
                processor_share: 100,
                confirmed_at: now,
                last_running_at: now,
                is_measurable: !job.checkpoints.contains_key(&position),
            },
        );
        capacity.update_minion(id, &free_before, &minion.free_capacity());
        job.remove_ready(position);
        job.live.insert(position, LiveRun { minion: id.clone(), run });
        self.limits.record_use(group.team, &reservation);
        let order = MinionCall::Start {
            task: task.clone(),
            run,
            payload: job.spec.payload.clone(),
            until_clock,
            checkpoint: job.checkpoints.get(&position).cloned(),
            ticket: None,
        };
        let target = minion_target(minion);
        let incarnation = minion.report.minion_incarnation;
        let purpose = self.purpose(PoolCall::Start { minion: id.clone(), incarnation, task, run });
        context.out.call_minion(context.clock, purpose, target, self.fencing_token.0, order);
        self.note_start_in_rack(now, group, id);
    }
}

/// Whether a minion has `label`; true if `label` is `None`.
pub(super) fn has_label(minion: &OwnedMinion, label: Option<&str>) -> bool {
    label.is_none_or(|label| minion.report.labels.iter().any(|known| &**known == label))
}

/// Scores a minion's long-running tasks for the choice of a minion. Such tasks are gathered
/// on few minions, so that the VMs of the others can be offered. A minion with
/// `MAX_GATHERED_TASKS` or more scores 0, like one without such tasks.
fn gathering_score(minion: &OwnedMinion) -> usize {
    let count = minion.long_running_runs;
    if count < MAX_GATHERED_TASKS { count } else { 0 }
}
