//! Checker of the fleet's rules against the events that submitters, minions, the operator
//! and the cloud observe. The checker has no knowledge of how the daemons decide.
//!
//! The simulation reports every event to [`RuleChecker`] as it happens; the checker
//! records a [`Violation`] for each rule that the event breaks.

use std::collections::{BTreeMap, BTreeSet};

use fleet::io::EndKind;
use fleet::model::{FleetConfig, MinionReport};
use jobs::{JobPhase, JobSpec, Resources, RunNumber, TaskName};
use state::{DataCentreId, JobId, MinionId, PoolId, TeamId};

/// Rule that an event broke.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// Virtual time of the event.
    pub at_ms: u64,
    /// Name of the rule, such as `TWICE` or `QUOTA`.
    pub rule: &'static str,
    pub description: String,
}

/// Run that has started and not finished, on one incarnation of a minion.
#[derive(Debug, Clone)]
struct LiveRun {
    minion: MinionId,
    incarnation: u64,
    number: RunNumber,
}

/// Job as its submitter knows it.
#[derive(Debug, Clone)]
pub struct SubmittedJob {
    pub team: TeamId,
    pub spec: JobSpec,
    /// Pools to which a version of the configuration has sent the job's path.
    pub pools: BTreeSet<PoolId>,
    pub max_attempts: u32,
    pub is_accepted: bool,
    /// No submission has been sent yet, so no task of the job may start.
    pub is_unsubmitted: bool,
    /// The phase `Cancelled` is a violation before the submitter sends a cancellation.
    pub is_cancel_sent: bool,
    /// Virtual time, in milliseconds, at which a daemon acknowledged the cancellation.
    pub cancel_acknowledged: Option<u64>,
    /// Phase that was last reported to the submitter.
    pub phase: Option<JobPhase>,
}

/// Time after an acknowledged cancellation during which a task may still start. Like the
/// two tolerances below, it allows for the steps of the virtual clock.
const CANCEL_TOLERANCE_MS: u64 = 3_000;
/// Time after the start of an evacuation during which a task may still start in the data
/// centre.
const EVACUATION_TOLERANCE_MS: u64 = 5_000;
/// Time after a minion reports that it drains, during which a task may still start there.
const DRAIN_TOLERANCE_MS: u64 = 2_000;

/// State that the rules are checked against.
#[derive(Debug, Default)]
pub struct RuleChecker {
    pub jobs: BTreeMap<JobId, SubmittedJob>,
    pub violations: Vec<Violation>,
    /// Number of runs that minions started.
    pub start_count: u64,
    live_runs: BTreeMap<TaskName, Vec<LiveRun>>,
    done_tasks: BTreeSet<TaskName>,
    /// Finished runs that no owner has saved yet, by the incarnation of their minion
    /// and the number under which the minion lists them.
    unsaved_runs: BTreeMap<(MinionId, u64), BTreeMap<u64, (TaskName, EndKind)>>,
    /// Tasks whose successful run an owner has saved.
    saved_done_tasks: BTreeSet<TaskName>,
    /// Number of failed runs of each task that owners have saved.
    saved_failures: BTreeMap<TaskName, u32>,
    /// Number of failed runs of each task that were discarded by a lapsed lease which
    /// no owner could learn of.
    unreported_failures: BTreeMap<TaskName, u32>,
    /// Virtual time, in milliseconds, at which each current evacuation began.
    pub evacuated_since: BTreeMap<DataCentreId, u64>,
    /// Virtual time, in milliseconds, at which each minion first reported that it drains.
    pub draining_since: BTreeMap<MinionId, u64>,
}

impl RuleChecker {
    fn record_violation(&mut self, at_ms: u64, rule: &'static str, description: String) {
        self.violations.push(Violation { at_ms, rule, description });
    }

    /// Checks a run that a minion started. If `is_late`, an injected fault delayed the order,
    /// and the rules with a time bound do not apply.
    pub fn record_start(
        &mut self,
        now: u64,
        config: &FleetConfig,
        report: &MinionReport,
        task: &TaskName,
        number: RunNumber,
        is_late: bool,
    ) {
        self.start_count += 1;
        let Some(job) = self.jobs.get(&task.job).cloned() else {
            return self.record_violation(now, "UNASKED", format!("{task} was never submitted"));
        };
        let step = &job.spec.steps[usize::from(task.step)];
        let is_running = self.live_runs.get(task).is_some_and(|live_runs| !live_runs.is_empty());
        if is_running && !step.speculative {
            self.record_violation(
                now,
                "TWICE",
                format!("{task} run {number} started while {:?} is live", self.live_runs[task]),
            );
        }
        if self.saved_done_tasks.contains(task) {
            self.record_violation(
                now,
                "TWICE",
                format!("{task} run {number} started after a successful run was saved"),
            );
        }
        let failed = self.saved_failures.get(task).copied().unwrap_or(0);
        if failed >= job.max_attempts && !step.long_running {
            self.record_violation(
                now,
                "BUDGET",
                format!("{task} started after {failed} failed runs"),
            );
        }
        for required_step in &step.after {
            let count = job.spec.steps[usize::from(*required_step)].tasks;
            let is_done = |index: u32| {
                self.done_tasks.contains(&TaskName { step: *required_step, index, ..task.clone() })
            };
            if !(0..count).all(is_done) {
                self.record_violation(
                    now,
                    "ORDER",
                    format!("{task} started before step {required_step} was done"),
                );
            }
        }
        if !job.pools.contains(&report.pool) {
            self.record_violation(
                now,
                "ROUTE",
                format!("{task} started on a minion of {}", report.pool),
            );
        }
        if let Some(max_per_minion) = step.max_per_minion {
            let step_runs = self.count_other_step_runs(task, &report.minion);
            if step_runs >= max_per_minion {
                self.record_violation(
                    now,
                    "ROUTE",
                    format!("{task} started beside {step_runs} runs of its step"),
                );
            }
        }
        if let Some(acknowledged) = job.cancel_acknowledged.filter(|_| !is_late)
            && now > acknowledged + CANCEL_TOLERANCE_MS
        {
            self.record_violation(
                now,
                "UNASKED",
                format!("{task} started {} ms after its cancellation", now - acknowledged),
            );
        }
        if let Some(since) = self.evacuated_since.get(&report.data_centre).filter(|_| !is_late)
            && now > since + EVACUATION_TOLERANCE_MS
        {
            self.record_violation(
                now,
                "EVAC",
                format!("{task} started in evacuated {}", report.data_centre),
            );
        }
        if let Some(since) = self.draining_since.get(&report.minion).filter(|_| !is_late)
            && now > since + DRAIN_TOLERANCE_MS
        {
            self.record_violation(
                now,
                "DRAIN",
                format!("{task} started on draining {}", report.minion),
            );
        }
        let run = LiveRun {
            minion: report.minion.clone(),
            incarnation: report.minion_incarnation,
            number,
        };
        self.live_runs.entry(task.clone()).or_default().push(run);
        self.check_quota(now, config, &job.team, task, &step.demand);
    }

    /// Counts the live runs of other tasks of the same step on a minion.
    fn count_other_step_runs(&self, task: &TaskName, minion: &MinionId) -> u32 {
        let is_of_step = |other: &TaskName| {
            other.job == task.job
                && other.occurrence == task.occurrence
                && other.step == task.step
                && other != task
        };
        let live_runs = self.live_runs.iter().filter(|(other, _)| is_of_step(other));
        live_runs.flat_map(|(_, runs)| runs).filter(|run| run.minion == *minion).count() as u32
    }

    /// Checks a team's use of processors after the start of a task. The bound is the
    /// limit, plus a tenth of it, plus the demand of the started task.
    fn check_quota(
        &mut self,
        now: u64,
        config: &FleetConfig,
        team: &TeamId,
        task: &TaskName,
        demand: &Resources,
    ) {
        let Some(limit) = config.limit_of(team) else { return };
        let mut used = Resources::default();
        for (other, runs) in &self.live_runs {
            let Some(job) = self.jobs.get(&other.job) else { continue };
            if job.team == *team {
                let step_demand = job.spec.steps[usize::from(other.step)].demand;
                for _ in runs {
                    used = used.saturating_add(&step_demand);
                }
            }
        }
        let tolerance = limit.processor.0 / 10 + demand.processor.0;
        let bound = limit.processor.0.saturating_add(tolerance);
        if used.processor.0 > bound {
            let description =
                format!("{team} uses {} with {task}, limit {}", used.processor, limit.processor);
            self.record_violation(now, "QUOTA", description);
        }
    }

    /// Records a run that ended on a minion, under the `number` in the minion's list.
    pub fn record_finished_run(
        &mut self,
        minion: &MinionId,
        incarnation: u64,
        task: &TaskName,
        run: RunNumber,
        kind: EndKind,
        number: u64,
    ) {
        if let Some(live_runs) = self.live_runs.get_mut(task) {
            live_runs.retain(|other| other.minion != *minion || other.number != run);
        }
        if kind == EndKind::Done {
            self.done_tasks.insert(task.clone());
        }
        let finished = self.unsaved_runs.entry((minion.clone(), incarnation)).or_default();
        finished.insert(number, (task.clone(), kind));
    }

    /// Records that an owner has saved a minion's finished runs up to a number.
    pub fn record_saved_runs(&mut self, now: u64, minion: &MinionId, incarnation: u64, up_to: u64) {
        let Some(finished) = self.unsaved_runs.get_mut(&(minion.clone(), incarnation)) else {
            return;
        };
        let unsaved = finished.split_off(&(up_to + 1));
        let saved = std::mem::replace(finished, unsaved);
        for (task, kind) in saved.into_values() {
            match kind {
                EndKind::Done => {
                    let runs = self.live_runs.get(&task).map_or(0, Vec::len);
                    if runs > 0 && !self.is_speculative(&task) {
                        self.record_violation(
                            now,
                            "TWICE",
                            format!("{task} runs although a successful run is saved"),
                        );
                    }
                    self.saved_done_tasks.insert(task);
                }
                EndKind::Failed => *self.saved_failures.entry(task).or_default() += 1,
                _ => {}
            }
        }
    }

    fn is_speculative(&self, task: &TaskName) -> bool {
        let job = self.jobs.get(&task.job);
        job.is_some_and(|job| job.spec.steps[usize::from(task.step)].speculative)
    }

    /// Discards the unsaved finished runs of a minion whose lease has lapsed, since these runs
    /// never count as saved. An owner may still fail a job because of failures before an
    /// unreported lapse.
    pub fn record_lease_lapse(&mut self, minion: &MinionId, incarnation: u64, is_unreported: bool) {
        let finished = self.unsaved_runs.remove(&(minion.clone(), incarnation)).unwrap_or_default();
        let is_unreported_failure =
            |run: &(TaskName, EndKind)| is_unreported && run.1 == EndKind::Failed;
        for (task, _) in finished.into_values().filter(is_unreported_failure) {
            *self.unreported_failures.entry(task).or_default() += 1;
        }
    }

    /// Drops the live runs of an incarnation that has ended.
    pub fn end_incarnation(&mut self, minion: &MinionId, incarnation: u64) {
        for live_runs in self.live_runs.values_mut() {
            live_runs.retain(|run| run.minion != *minion || run.incarnation != incarnation);
        }
    }

    /// Checks a job's phase that was reported to a submitter.
    pub fn record_phase(&mut self, now: u64, job: &JobId, phase: JobPhase) {
        let Some(submitted) = self.jobs.get_mut(job) else {
            return self.record_violation(
                now,
                "MIXED",
                format!("{job} is shown and was never submitted"),
            );
        };
        submitted.phase = Some(phase);
        let submitted = submitted.clone();
        if phase == JobPhase::Complete && !self.has_finished_all_tasks(job, &submitted.spec) {
            self.record_violation(
                now,
                "MIXED",
                format!("{job} is shown as complete before all its tasks are done"),
            );
        }
        if phase == JobPhase::Cancelled && !submitted.is_cancel_sent {
            self.record_violation(
                now,
                "LOST",
                format!("{job} is shown as cancelled without a cancellation"),
            );
        }
        let failures = |task: &TaskName| {
            let count_in =
                |failures: &BTreeMap<TaskName, u32>| failures.get(task).copied().unwrap_or(0);
            count_in(&self.saved_failures) + count_in(&self.unreported_failures)
        };
        let has_failed = || {
            let tasks = self.saved_failures.keys().chain(self.unreported_failures.keys());
            tasks
                .into_iter()
                .any(|task| task.job == *job && failures(task) >= submitted.max_attempts)
        };
        if phase == JobPhase::Failed && !has_failed() {
            self.record_violation(
                now,
                "LOST",
                format!("{job} is shown as failed before any task used up its attempts"),
            );
        }
    }

    fn has_finished_all_tasks(&self, job: &JobId, spec: &JobSpec) -> bool {
        spec.steps.iter().enumerate().all(|(number, step)| {
            (0..step.tasks).all(|index| {
                let task = TaskName { job: job.clone(), occurrence: 0, step: number as u16, index };
                self.done_tasks.contains(&task)
            })
        })
    }

    /// Checks an answer to a submitter by which the job does not exist.
    pub fn record_missing_job(&mut self, now: u64, job: &JobId) {
        if self
            .jobs
            .get(job)
            .is_some_and(|job| job.is_accepted && job.cancel_acknowledged.is_none())
        {
            self.record_violation(now, "LOST", format!("{job} is accepted and no longer known"));
        }
    }

    /// Checks the state after a long time without faults: every job that can finish has
    /// finished, long-running jobs run in full, no cancelled job runs, and no job that was never
    /// submitted has started.
    pub fn check_final_state(&mut self, now: u64) {
        let jobs: Vec<(JobId, SubmittedJob)> =
            self.jobs.iter().map(|(name, job)| (name.clone(), job.clone())).collect();
        for (name, job) in jobs {
            let has_started = self.done_tasks.iter().any(|task| task.job == name)
                || self.live_runs.iter().any(|(task, runs)| task.job == name && !runs.is_empty());
            if job.is_unsubmitted && has_started {
                self.record_violation(
                    now,
                    "REFUSED",
                    format!("{name} has started before any submission was sent"),
                );
            }
            let is_unfinished = job.is_accepted
                && job.cancel_acknowledged.is_none()
                && !job.spec.is_long_running()
                && !matches!(job.phase, Some(JobPhase::Complete | JobPhase::Failed));
            if is_unfinished {
                self.record_violation(now, "LOST", format!("{name} is {:?} at the end", job.phase));
            }
            let running = self.live_runs.iter().filter(|(task, _)| task.job == name);
            let running = running.map(|(_, runs)| runs.len()).sum::<usize>();
            if job.cancel_acknowledged.is_some() && running > 0 {
                self.record_violation(
                    now,
                    "UNASKED",
                    format!("{name} is cancelled and still runs"),
                );
            }
            let is_long_running =
                job.is_accepted && job.spec.is_long_running() && job.cancel_acknowledged.is_none();
            let tasks: u32 = job.spec.steps.iter().map(|step| step.tasks).sum();
            if is_long_running && running != tasks as usize {
                self.record_violation(
                    now,
                    "LOST",
                    format!("{running} of {tasks} tasks of {name} run"),
                );
            }
        }
    }
}
