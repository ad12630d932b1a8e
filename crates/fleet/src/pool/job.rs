//! A job of a pool: its progress, its runs and the tasks that may start.
//!
//! Steps open when they are due and the steps before them are done. The tasks of an open
//! step are ready until a run of them starts. Progress and phase are marked dirty when they
//! change, and `save` writes them to the store.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use jobs::{
    AcceptedJob, JobPhase, JobProgress, JobSpec, QueueTerms, Resources, RunNumber, StepSpec,
    TaskMark, TaskName,
};
use policy::{JobLoad, StepLoad};
use state::{JobId, Millis, MinionId, Moment, QueueId, Revision, TeamId};

use super::placement::reservation_for;
use super::save_lane::SaveLane;
use crate::records::{ProgressRecord, UncertainFailure};
use crate::timing::BEGUN_REPORT_DELAY;

/// Position of a task within its job: occurrence, step, index.
pub(super) type TaskPosition = (u32, u16, u32);

/// A run that executes, or may execute, a task of the job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct LiveRun {
    pub(super) minion: MinionId,
    pub(super) run: RunNumber,
}

/// A failure that was counted although the minion may still list it. The failure is
/// uncertain until the minion has been told to drop the finished run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct PendingFailure {
    pub(super) details: UncertainFailure,
    /// Whether a hold that acknowledges the finished run was sent. The hold has most likely
    /// arrived, so the failure counts even if the minion's incarnation ends.
    pub(super) is_acknowledgement_sent: bool,
}

/// A job of the pool, with its progress and its runs.
#[derive(Debug)]
pub(super) struct OwnedJob {
    pub(super) spec: Arc<JobSpec>,
    pub(super) queue: QueueId,
    /// Terms of the queue when the job was accepted.
    pub(super) terms: QueueTerms,
    pub(super) team: Option<TeamId>,
    /// Time of acceptance, in milliseconds since 1970.
    pub(super) accepted_ms: u64,
    pub(super) phase: JobPhase,
    /// Revision of the job's outcome in the store.
    pub(super) outcome_revision: Revision,
    pub(super) progress: JobProgress,
    /// Whether the store has, or may have, a record of the job's progress.
    pub(super) has_stored_progress: bool,
    /// Indexes of the tasks that may start, by occurrence and step.
    pub(super) ready: BTreeMap<(u32, u16), Vec<u32>>,
    /// Run of each task that executes or may execute.
    pub(super) live: BTreeMap<TaskPosition, LiveRun>,
    /// Last checkpoint of each unfinished task.
    pub(super) checkpoints: BTreeMap<TaskPosition, Box<str>>,
    /// Failures that are counted in the progress but may still be discounted.
    pub(super) failures: Vec<PendingFailure>,
    /// Occurrences whose tasks may run; `occurrences` bounds their number.
    pub(super) open_occurrences: BTreeSet<u32>,
    /// Steps of open occurrences whose tasks were already made ready.
    pub(super) opened_steps: BTreeSet<(u32, u16)>,
    /// Occurrence that is opened next.
    pub(super) next_occurrence: u32,
    /// Number of runs that this owner has numbered.
    started_runs: u64,
    /// Whether the progress must be saved.
    pub(super) is_progress_dirty: bool,
    /// Count of the finished runs that the owner had processed when it built the last commit that
    /// saved this progress.
    pub(super) saved_through: u64,
    /// Lane in which this owner saves the job.
    pub(super) lane: SaveLane,
    /// Whether the phase must be saved: a final phase at once, an active one after a delay.
    pub(super) is_phase_dirty: bool,
    /// Time at which the owner first knew that a run of the job had started.
    pub(super) first_run_at: Option<Moment>,
    /// Whether an earlier owner may have started runs that no minion has listed yet.
    pub(super) may_have_unknown_runs: bool,
    /// Expected run time of a task of each step (`run_times`).
    expected_run_times: Box<[Millis]>,
    /// Version of the run-time table that the expected run times are from.
    pub(super) run_times_version: u64,
    /// Number of the job's runs that the run-time table has.
    pub(super) run_time_samples: u8,
}

impl OwnedJob {
    /// Creates a job without progress.
    pub(super) fn new(accepted: AcceptedJob, phase: JobPhase, outcome_revision: Revision) -> Self {
        let declared = accepted.spec.steps.iter().map(|step| step.estimate).collect();
        Self {
            spec: Arc::new(accepted.spec),
            queue: accepted.queue,
            terms: accepted.terms,
            team: accepted.team,
            accepted_ms: accepted.accepted_ms,
            phase,
            outcome_revision,
            progress: JobProgress::default(),
            has_stored_progress: false,
            ready: BTreeMap::new(),
            live: BTreeMap::new(),
            checkpoints: BTreeMap::new(),
            failures: Vec::new(),
            open_occurrences: BTreeSet::new(),
            opened_steps: BTreeSet::new(),
            next_occurrence: 0,
            started_runs: 0,
            is_progress_dirty: false,
            saved_through: 0,
            lane: SaveLane::FIRST,
            is_phase_dirty: false,
            first_run_at: None,
            may_have_unknown_runs: false,
            expected_run_times: declared,
            run_times_version: 0,
            run_time_samples: 0,
        }
    }

    /// Whether the job has changes to be saved at once, or records to be removed.
    pub(super) fn has_urgent_changes(&self) -> bool {
        let is_phase_urgent = self.phase.is_final() || self.first_run_at.is_none();
        self.is_progress_dirty || (self.is_phase_dirty && is_phase_urgent) || self.is_finished()
    }

    /// Returns the time from which an active phase may be saved.
    pub(super) fn phase_report_at(&self) -> Option<Moment> {
        self.first_run_at.map(|at| at + BEGUN_REPORT_DELAY)
    }

    /// Whether the phase must be saved now. An active phase is saved only after
    /// `BEGUN_REPORT_DELAY`: each change of an outcome wakes every daemon, and many jobs end
    /// soon after their first start.
    pub(super) fn is_phase_due(&self, now: Moment) -> bool {
        let is_delay_over = self.phase_report_at().is_none_or(|at| now >= at);
        self.is_phase_dirty && (self.phase.is_final() || is_delay_over)
    }

    /// Marks a queued job active when one of its runs is known to have started.
    pub(super) fn mark_active(&mut self, now: Moment) {
        if self.phase == JobPhase::Queued {
            self.phase = JobPhase::Active;
            self.is_phase_dirty = true;
            self.first_run_at = Some(now);
        }
    }

    /// Whether the job's records can be removed: the phase is final and no run can still
    /// execute.
    pub(super) fn is_finished(&self) -> bool {
        self.phase.is_final() && self.live.is_empty() && !self.may_have_unknown_runs
    }

    /// Allows a task to start again, unless the task is done or the job's phase is final.
    pub(super) fn make_ready(&mut self, position: TaskPosition) {
        if self.phase.is_final()
            || self.progress.mark(position.0, position.1, position.2) == TaskMark::Done
        {
            return;
        }
        let tasks = self.ready.entry((position.0, position.1)).or_default();
        if !tasks.contains(&position.2) {
            tasks.push(position.2);
        }
    }

    /// Removes a task from those that may start.
    pub(super) fn remove_ready(&mut self, position: TaskPosition) {
        if let Some(tasks) = self.ready.get_mut(&(position.0, position.1)) {
            tasks.retain(|index| *index != position.2);
            if tasks.is_empty() {
                self.ready.remove(&(position.0, position.1));
            }
        }
    }

    /// Returns the sum of the reservations of all ready tasks.
    pub(super) fn ready_reservation(&self) -> Resources {
        let mut sum = Resources::default();
        for ((_, step), tasks) in &self.ready {
            let Some(spec) = self.spec.steps.get(usize::from(*step)) else { continue };
            let reservation = reservation_for(spec);
            for _ in tasks {
                sum = sum.saturating_add(&reservation);
            }
        }
        sum
    }

    /// Builds the record that stores the job's progress.
    pub(super) fn progress_record(&self) -> ProgressRecord {
        let uncertain = self.failures.iter().map(|failure| failure.details.clone()).collect();
        ProgressRecord { progress: self.progress.clone(), uncertain_failures: uncertain }
    }

    /// Restores the progress from its stored record. Failures that were uncertain when the
    /// record was written are uncertain again.
    pub(super) fn restore_progress(&mut self, record: ProgressRecord) {
        self.progress = record.progress;
        self.resume_occurrences();
        let to_pending = |details| PendingFailure { details, is_acknowledgement_sent: false };
        self.failures = record.uncertain_failures.into_iter().map(to_pending).collect();
    }

    /// Finds a ready task that has failed as often as the job's terms allow, with no uncertain
    /// failure.
    pub(super) fn exhausted_task(&self) -> Option<TaskPosition> {
        let is_exhausted = |position: &TaskPosition| {
            let mark = self.progress.mark(position.0, position.1, position.2);
            let is_uncertain =
                self.failures.iter().any(|failure| failure.details.task == *position);
            matches!(mark, TaskMark::Open(failed) if failed >= self.terms.max_attempts)
                && !is_uncertain
        };
        let may_have_exhausted = |(occurrence, step): &(u32, u16)| {
            self.terms.max_attempts == 0 || self.progress.has_failed_tasks(*occurrence, *step)
        };
        let steps = self.ready.iter().filter(|(step, _)| may_have_exhausted(step));
        let positions = steps.flat_map(|((occurrence, step), tasks)| {
            tasks.iter().map(|index| (*occurrence, *step, *index))
        });
        positions.into_iter().find(is_exhausted)
    }

    /// Whether a task has failed fewer times than the job's terms allow.
    pub(super) fn has_attempts_left(&self, position: TaskPosition) -> bool {
        let mark = self.progress.mark(position.0, position.1, position.2);
        matches!(mark, TaskMark::Open(failed) if failed < self.terms.max_attempts)
    }

    /// Returns a run number that is higher than all earlier ones of the job, including
    /// those of earlier owners.
    pub(super) fn next_run_number(&mut self, fencing_token: Revision) -> RunNumber {
        /// Bound on the runs of one job that one owner starts.
        const RUN_NUMBERS_PER_OWNER: u64 = 1 << 16;
        self.started_runs += 1;
        RunNumber(fencing_token.0 * RUN_NUMBERS_PER_OWNER + self.started_runs)
    }

    /// Counts the runs of an occurrence's step on a minion.
    pub(super) fn count_runs_on(&self, occurrence: u32, step: u16, minion: &MinionId) -> u32 {
        let range = (occurrence, step, 0)..=(occurrence, step, u32::MAX);
        self.live.range(range).filter(|(_, live)| live.minion == *minion).count() as u32
    }

    /// Replaces the expected run times; there is one for each step.
    pub(super) fn set_expected_run_times(&mut self, run_times: Box<[Millis]>, version: u64) {
        self.expected_run_times = run_times;
        self.run_times_version = version;
    }

    /// Returns the expected run time of a task of a step.
    pub(super) fn expected_run_time(&self, step: usize) -> Millis {
        self.expected_run_times.get(step).copied().unwrap_or_default()
    }

    /// Returns the expected processor time of one occurrence, in millicores times milliseconds.
    pub(super) fn expected_work(&self) -> u64 {
        self.spec.work_by(|step| self.expected_run_time(step))
    }

    /// Returns the time by which the job should be complete, in milliseconds since 1970. The objective
    /// that submitters get is by the true critical path, which the expected one is closer to than the
    /// declared one.
    pub(super) fn objective_ms(&self) -> u64 {
        self.earliest_start_ms().saturating_add(self.objective_span().0)
    }

    /// Returns the time after which the job's end is worth nothing to its submitter, in
    /// milliseconds since 1970.
    pub(super) fn expiry_ms(&self) -> u64 {
        /// Multiple of the objective after which a job is worth nothing (`docs/design/README.md`).
        const EXPIRY_FACTOR: u64 = 3;
        let span = self.objective_span().0.saturating_mul(EXPIRY_FACTOR);
        self.earliest_start_ms().saturating_add(span)
    }

    /// Returns the time from which the objective counts, in milliseconds since 1970.
    fn earliest_start_ms(&self) -> u64 {
        self.spec.due_ms(self.first_occurrence()).max(self.accepted_ms)
    }

    fn objective_span(&self) -> Millis {
        let critical_path = self.spec.critical_path_by(|step| self.expected_run_time(step));
        let critical_path_ms = critical_path.0 as f64 * self.terms.slack_factor;
        Millis((critical_path_ms as u64).saturating_add(self.terms.latency_objective.0))
    }

    /// Describes what is left to start, for the selection of jobs in a full pool.
    pub(super) fn load(&self) -> JobLoad {
        JobLoad {
            team: self.team.clone(),
            priority: self.terms.priority,
            has_started: !self.progress.is_empty() || !self.live.is_empty(),
            objective_ms: self.objective_ms(),
            expiry_ms: self.expiry_ms(),
            steps: self.unstarted_steps(),
        }
    }

    /// Lists the steps of the next occurrence with tasks that have not started.
    fn unstarted_steps(&self) -> Box<[StepLoad]> {
        let occurrence = self.first_occurrence();
        let paths = self.remaining_paths();
        let to_load = |(index, step): (usize, &StepSpec)| {
            let number = index as u16;
            let live = self.live.range((occurrence, number, 0)..=(occurrence, number, u32::MAX));
            let open = u64::from(self.progress.open_tasks(&self.spec, occurrence, number));
            let unstarted = open.saturating_sub(live.count() as u64);
            let run_time = self.expected_run_time(index);
            let task_work = reservation_for(step).processor.0.saturating_mul(run_time.0);
            let work = task_work.saturating_mul(unstarted);
            let load = StepLoad { run_time, remaining_path: paths[index], work };
            (unstarted > 0).then_some(load)
        };
        self.spec.steps.iter().enumerate().filter_map(to_load).collect()
    }

    /// Returns for each step the expected time from its start to the end of the job.
    fn remaining_paths(&self) -> Vec<Millis> {
        let mut paths = vec![Millis(0); self.spec.steps.len()];
        for (index, step) in self.spec.steps.iter().enumerate().rev() {
            let path = paths[index].0.saturating_add(self.expected_run_time(index).0);
            paths[index] = Millis(path);
            for after in &step.after {
                let before = &mut paths[usize::from(*after)];
                *before = (*before).max(Millis(path));
            }
        }
        paths
    }
}

/// Builds a task's full name from its job and its position.
pub(super) fn task_name(job: &JobId, position: TaskPosition) -> TaskName {
    TaskName { job: job.clone(), occurrence: position.0, step: position.1, index: position.2 }
}

/// Returns a task's position in its job.
pub(super) fn position_of(task: &TaskName) -> TaskPosition {
    (task.occurrence, task.step, task.index)
}
