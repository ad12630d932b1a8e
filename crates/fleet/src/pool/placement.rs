//! Placement: finds a minion for each task that may start.
//!
//! A placement pass visits jobs in the order of [`PlaceRank`]: long-running jobs first,
//! then jobs that can still meet their objective, then late jobs; within each class by the
//! queue's priority and by the latest start that meets the objective. A task goes to a
//! minion that has the label of the task's data rack if there is one, and among these to
//! the minion with the most free processor time, so that the tasks of each minion have as
//! much processor time to share as possible. Long-running tasks are gathered on few minions.

use std::collections::BTreeMap;

use jobs::{Resources, RunNumber, StepSpec};
use state::{JobId, MinionId, TeamId};

use super::job::{LiveRun, TaskPosition, task_name};
use super::minion::{MinionRun, OwnedMinion, RunKey, RunPhase};
use super::orders::minion_target;
use super::{PoolCall, PoolOwner, StepContext};
use crate::io::MinionCall;
use crate::model::{FleetConfig, QueueConfig};
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

/// Order in which jobs are placed; lower ranks come first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PlaceRank {
    class: RankClass,
    priority: u32,
    /// Latest time at which the rest of the job must start to meet the objective, in
    /// milliseconds since 1970.
    latest_start_ms: u64,
}

/// Class of a job, in the order of placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum RankClass {
    LongRunning,
    OnTime,
    Late,
}

/// Tasks of one occurrence's step that may start.
struct TaskGroup<'a> {
    job: &'a JobId,
    occurrence: u32,
    step: u16,
    spec: StepSpec,
    team: Option<TeamId>,
    /// Maximum number of failures of each task.
    max_attempts: u32,
}

impl PoolOwner {
    /// Runs a placement pass over all jobs with ready tasks.
    pub(super) fn place_tasks(&mut self, context: &mut StepContext) {
        let Some(config) = context.shared.config.as_ref() else { return };
        self.limits.begin_placement_pass();
        for (_, job) in self.ranked_jobs(context, config) {
            let Some(owned) = self.jobs.get(&job) else { continue };
            let groups: Vec<(u32, u16)> = owned.ready.keys().copied().collect();
            let team = owned.team.clone();
            let queue = config.queue(&owned.queue);
            let max_attempts = queue.map_or(u32::MAX, |queue| queue.max_attempts);
            for (occurrence, step) in groups {
                let Some(spec) = self.jobs[&job].spec.steps.get(usize::from(step)) else {
                    continue;
                };
                let spec = spec.clone();
                let team = team.clone();
                let group = TaskGroup { job: &job, occurrence, step, spec, team, max_attempts };
                if group.spec.gang {
                    self.place_gang(context, &group);
                } else {
                    self.place_group(context, &group);
                }
            }
        }
    }

    /// Lists the jobs that may start tasks, in the order of their ranks.
    fn ranked_jobs(&self, context: &StepContext, config: &FleetConfig) -> Vec<(PlaceRank, JobId)> {
        let mut ranked = Vec::new();
        self.work.add(self.jobs.len());
        for (name, job) in &self.jobs {
            if job.ready.is_empty() || job.may_have_unknown_runs {
                continue;
            }
            let queue = config.queue(&job.queue);
            // Jobs that were accepted through a removed queue are still placed, as long as
            // another queue leads to the pool.
            if queue.is_none() && !config.queues.iter().any(|known| known.pool == self.pool) {
                continue;
            }
            ranked.push((rank_job(job, queue, context.clock.wall_ms), name.clone()));
        }
        ranked.sort();
        ranked
    }

    /// Starts tasks of a group one by one, until none is left or no capacity is found.
    fn place_group(&mut self, context: &mut StepContext, group: &TaskGroup) {
        let reservation = reservation_for(&group.spec);
        while let Some(index) = self.next_startable(group) {
            if !self.limits.has_capacity(group.team.as_ref(), &reservation) {
                return;
            }
            let Some(minion) = self.select_minion(context, group, &reservation, &BTreeMap::new())
            else {
                return;
            };
            let run = self.next_run_number(group);
            self.start_task(context, group, index, &minion, run);
        }
    }

    /// Starts all tasks of a gang, or none.
    fn place_gang(&mut self, context: &mut StepContext, group: &TaskGroup) {
        let reservation = reservation_for(&group.spec);
        let Some(job) = self.jobs.get(group.job) else { return };
        let indexes = job.ready.get(&(group.occurrence, group.step)).cloned().unwrap_or_default();
        if indexes.len() != group.spec.tasks as usize {
            return;
        }
        let mut total = Resources::default();
        let mut planned: BTreeMap<MinionId, (Resources, u32)> = BTreeMap::new();
        let mut chosen = Vec::with_capacity(indexes.len());
        for index in indexes {
            total = total.saturating_add(&reservation);
            if !self.limits.has_capacity(group.team.as_ref(), &total) {
                return;
            }
            let Some(minion) = self.select_minion(context, group, &reservation, &planned) else {
                return;
            };
            let plan = planned.entry(minion.clone()).or_default();
            plan.0 = plan.0.saturating_add(&reservation);
            plan.1 += 1;
            chosen.push((index, minion));
        }
        let run = self.next_run_number(group);
        for (index, minion) in chosen {
            self.start_task(context, group, index, &minion, run);
        }
    }

    /// Returns the index of the next task of a group that has attempts left.
    fn next_startable(&self, group: &TaskGroup) -> Option<u32> {
        let job = self.jobs.get(group.job)?;
        let tasks = job.ready.get(&(group.occurrence, group.step))?;
        let may_start = |index: &&u32| {
            group.spec.long_running
                || job
                    .has_attempts_left((group.occurrence, group.step, **index), group.max_attempts)
        };
        tasks.iter().rev().find(may_start).copied()
    }

    fn next_run_number(&mut self, group: &TaskGroup) -> RunNumber {
        let fencing_token = self.fencing_token;
        self.jobs.get_mut(group.job).map_or(RunNumber(0), |job| job.next_run_number(fencing_token))
    }

    /// Selects the best minion for a task of the group. For a gang, `planned` holds the
    /// resources and the number of tasks that are already planned on each minion.
    fn select_minion(
        &self,
        context: &StepContext,
        group: &TaskGroup,
        reservation: &Resources,
        planned: &BTreeMap<MinionId, (Resources, u32)>,
    ) -> Option<MinionId> {
        let now = context.clock.now;
        let mut best: Option<((bool, usize, u64), &MinionId)> = None;
        self.work.add(self.minions.len());
        for (id, minion) in &self.minions {
            let (reserved, planned_tasks) = planned.get(id).copied().unwrap_or_default();
            let free = minion.free_capacity().saturating_sub(&reserved);
            let may_run = minion.is_usable(now)
                && !context.shared.evacuated_data_centres.contains(&minion.report.data_centre)
                && reservation.saturating_add(&reserved).fits_within(&minion.free_capacity())
                && has_label(minion, group.spec.label.as_deref())
                && self.is_within_spread_limit(group, id, planned_tasks);
            if !may_run {
                continue;
            }
            let is_data_local = group.spec.data_rack.is_some()
                && has_label(minion, group.spec.data_rack.as_deref());
            let long_running_score =
                if group.spec.long_running { self.count_long_running(minion) } else { 0 };
            let score = ((is_data_local, long_running_score, free.processor.0), id);
            if best.is_none_or(|best| score.0 > best.0) {
                best = Some(score);
            }
        }
        best.map(|(_, id)| id.clone())
    }

    /// Counts a minion's long-running tasks for the choice of a minion. Such tasks are
    /// gathered on few minions, so that the VMs of the others can be offered. A minion with
    /// `MAX_GATHERED_TASKS` or more counts as 0, like one without such tasks.
    fn count_long_running(&self, minion: &OwnedMinion) -> usize {
        let is_long_running_task =
            |key: &&RunKey| self.jobs.get(&key.0.job).is_some_and(|job| job.spec.is_long_running());
        let count = minion.runs.keys().filter(is_long_running_task).count();
        if count < MAX_GATHERED_TASKS { count } else { 0 }
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
        group: &TaskGroup,
        index: u32,
        id: &MinionId,
        run: RunNumber,
    ) {
        let now = context.clock.now;
        let position: TaskPosition = (group.occurrence, group.step, index);
        let task = task_name(group.job, position);
        let reservation = reservation_for(&group.spec);
        let (Some(minion), Some(job)) = (self.minions.get_mut(id), self.jobs.get_mut(group.job))
        else {
            return;
        };
        let Some(clock) = minion.clock_at(now) else { return };
        let until_clock = clock + START_VALIDITY.0;
        minion.extend_lease(until_clock, now);
        let inputs = format!(
            "run {run}, needs {} {}, free {}, waited {}ms, configuration {}",
            reservation.processor,
            reservation.memory,
            minion.free_capacity().processor,
            context.clock.wall_ms.saturating_sub(job.accepted_ms),
            context.shared.config.as_ref().map_or(0, |config| config.version),
        );
        context.out.log("start", &task, inputs, id.to_string());
        minion.insert_run(
            (task.clone(), run),
            MinionRun {
                phase: RunPhase::Starting { until_clock },
                team: group.team.clone(),
                reservation,
                percent: 0,
                reported_metric: None,
                processor_share: 100,
                confirmed_at: now,
            },
        );
        job.remove_ready(position);
        job.live.insert(position, LiveRun { minion: id.clone(), run });
        job.mark_active(now);
        self.limits.record_use(group.team.as_ref(), &reservation);
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
    }
}

/// Whether a minion has `label`; true if `label` is `None`.
fn has_label(minion: &OwnedMinion, label: Option<&str>) -> bool {
    label.is_none_or(|label| minion.report.labels.iter().any(|known| &**known == label))
}

/// Computes a job's rank at `wall_ms`, in milliseconds since 1970.
fn rank_job(job: &super::job::OwnedJob, queue: Option<&QueueConfig>, wall_ms: u64) -> PlaceRank {
    let priority = queue.map_or(u32::MAX, |queue| queue.priority);
    let objective_ms = queue.map_or(u64::MAX, |queue| job.objective_ms(queue));
    let remaining = job.spec.remaining_critical_path(&job.progress, job.next_occurrence());
    let latest_start_ms = objective_ms.saturating_sub(remaining.0);
    let class = if job.spec.is_long_running() {
        RankClass::LongRunning
    } else if wall_ms <= latest_start_ms {
        RankClass::OnTime
    } else {
        RankClass::Late
    };
    PlaceRank { class, priority, latest_start_ms }
}
