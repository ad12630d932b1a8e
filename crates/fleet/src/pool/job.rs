//! A job that a pool's owner carries.

use std::collections::{BTreeMap, BTreeSet};

use jobs::{AcceptedJob, JobPhase, JobProgress, JobSpec, Resources, RunNumber, TaskMark, TaskName};
use state::{JobId, MinionId, Moment, QueueId, Revision, TeamId};

use super::place::reservation_for;
use crate::model::QueueConfig;
use crate::records::{ProgressRecord, UncertainFailure};
use crate::timing::BEGUN_TOLD;

/// A task within its job: occurrence, step, index.
pub(super) type TaskPlace = (u32, u16, u32);

/// Where a task of a job runs, or may run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct LiveRun {
    pub(super) minion: MinionId,
    pub(super) run: RunNumber,
}

/// A failed end that its minion may still list: whether it counts as an attempt is
/// not certain before the minion has forgotten it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct PendingFailure {
    pub(super) details: UncertainFailure,
    /// A hold that names it as noted was sent: it has most likely arrived.
    pub(super) is_acknowledgement_sent: bool,
}

/// A job with what has ended and what runs.
#[derive(Debug)]
pub(super) struct OwnedJob {
    pub(super) spec: JobSpec,
    pub(super) queue: QueueId,
    pub(super) team: Option<TeamId>,
    /// Milliseconds since 1970.
    pub(super) accepted_ms: u64,
    pub(super) phase: JobPhase,
    pub(super) outcome_revision: Revision,
    pub(super) progress: JobProgress,
    pub(super) progress_revision: Revision,
    /// Tasks that may start, by occurrence and step.
    pub(super) ready: BTreeMap<(u32, u16), Vec<u32>>,
    pub(super) live: BTreeMap<TaskPlace, LiveRun>,
    pub(super) checkpoints: BTreeMap<TaskPlace, Box<str>>,
    pub(super) failures: Vec<PendingFailure>,
    opened_steps: BTreeSet<(u32, u16)>,
    started_runs: u64,
    /// The progress must be saved.
    pub(super) is_progress_dirty: bool,
    /// The phase must be saved: an end at once, a beginning with the time.
    pub(super) is_phase_dirty: bool,
    /// When the job's first run was started or found.
    pub(super) first_run_at: Option<Moment>,
    /// An earlier owner may have started some of it that is not seen yet.
    pub(super) may_have_unknown_runs: bool,
}

impl OwnedJob {
    pub(super) fn new(accepted: AcceptedJob, phase: JobPhase, outcome_revision: Revision) -> Self {
        Self {
            spec: accepted.spec,
            queue: accepted.queue,
            team: accepted.team,
            accepted_ms: accepted.accepted_ms,
            phase,
            outcome_revision,
            progress: JobProgress::default(),
            progress_revision: Revision(0),
            ready: BTreeMap::new(),
            live: BTreeMap::new(),
            checkpoints: BTreeMap::new(),
            failures: Vec::new(),
            opened_steps: BTreeSet::new(),
            started_runs: 0,
            is_progress_dirty: false,
            is_phase_dirty: false,
            first_run_at: None,
            may_have_unknown_runs: false,
        }
    }

    /// Whether it must be saved.
    pub(super) fn is_dirty(&self, now: Moment) -> bool {
        self.is_progress_dirty || self.is_phase_due(now) || self.is_finished()
    }

    /// Whether the phase must be saved now. Each change of an outcome wakes every
    /// daemon, and many jobs end soon after they have begun.
    pub(super) fn is_phase_due(&self, now: Moment) -> bool {
        let is_old = self.first_run_at.is_none_or(|at| now >= at + BEGUN_TOLD);
        self.is_phase_dirty && (self.phase.is_final() || is_old)
    }

    /// A run of the job was started or found.
    pub(super) fn mark_active(&mut self, now: Moment) {
        if self.phase == JobPhase::Queued {
            self.phase = JobPhase::Active;
            self.is_phase_dirty = true;
            self.first_run_at = Some(now);
        }
    }

    /// Whether its records can go: nothing of it runs, seen or unseen.
    pub(super) fn is_finished(&self) -> bool {
        self.phase.is_final() && self.live.is_empty() && !self.may_have_unknown_runs
    }

    /// Makes the tasks of each step ready whose time and turn have come.
    pub(super) fn open_steps(&mut self, wall_ms: u64) {
        if self.phase.is_final() {
            return;
        }
        for occurrence in 0..self.spec.occurrences() {
            if self.spec.due_ms(occurrence) > wall_ms {
                break;
            }
            for step in 0..self.spec.steps.len() as u16 {
                self.open_step(occurrence, step);
            }
        }
    }

    fn open_step(&mut self, occurrence: u32, step: u16) {
        if self.opened_steps.contains(&(occurrence, step)) {
            return;
        }
        let spec = &self.spec.steps[usize::from(step)];
        let is_done = |after: &u16| self.progress.is_step_done(&self.spec, occurrence, *after);
        if !spec.after.iter().all(is_done) {
            return;
        }
        let is_open = |index: &u32| {
            self.progress.mark(occurrence, step, *index) != TaskMark::Done
                && !self.live.contains_key(&(occurrence, step, *index))
        };
        // The last is started first.
        let tasks: Vec<u32> = (0..spec.tasks).rev().filter(is_open).collect();
        self.opened_steps.insert((occurrence, step));
        if !tasks.is_empty() {
            self.ready.insert((occurrence, step), tasks);
        }
    }

    /// A task may start again.
    pub(super) fn make_ready(&mut self, place: TaskPlace) {
        if self.phase.is_final() || self.progress.mark(place.0, place.1, place.2) == TaskMark::Done
        {
            return;
        }
        let tasks = self.ready.entry((place.0, place.1)).or_default();
        if !tasks.contains(&place.2) {
            tasks.push(place.2);
        }
    }

    /// A task may not start any more.
    pub(super) fn remove_ready(&mut self, place: TaskPlace) {
        if let Some(tasks) = self.ready.get_mut(&(place.0, place.1)) {
            tasks.retain(|index| *index != place.2);
            if tasks.is_empty() {
                self.ready.remove(&(place.0, place.1));
            }
        }
    }

    /// What all tasks that may start would take.
    pub(super) fn ready_reservation(&self) -> Resources {
        let mut sum = Resources::default();
        for ((_, step), tasks) in &self.ready {
            let Some(spec) = self.spec.steps.get(usize::from(*step)) else { continue };
            let reservation = reservation_for(spec);
            for _ in tasks {
                sum = sum.plus(&reservation);
            }
        }
        sum
    }

    /// What is kept of its ends.
    pub(super) fn progress_record(&self) -> ProgressRecord {
        let uncertain = self.failures.iter().map(|failure| failure.details.clone()).collect();
        ProgressRecord { progress: self.progress.clone(), uncertain_failures: uncertain }
    }

    /// Takes what was kept of its ends.
    pub(super) fn restore_progress(&mut self, record: ProgressRecord) {
        self.progress = record.progress;
        let open = |details| PendingFailure { details, is_acknowledgement_sent: false };
        self.failures = record.uncertain_failures.into_iter().map(open).collect();
    }

    /// A task that has failed as often as is allowed, without a doubt.
    pub(super) fn exhausted_task(&self, attempts: u32) -> Option<TaskPlace> {
        let is_exhausted = |place: &TaskPlace| {
            let mark = self.progress.mark(place.0, place.1, place.2);
            let is_uncertain = self.failures.iter().any(|failure| failure.details.task == *place);
            matches!(mark, TaskMark::Open(failed) if u32::from(failed) >= attempts) && !is_uncertain
        };
        let places = self.ready.iter().flat_map(|((occurrence, step), tasks)| {
            tasks.iter().map(|index| (*occurrence, *step, *index))
        });
        places.into_iter().find(is_exhausted)
    }

    /// Whether a task may start once more.
    pub(super) fn has_attempts_left(&self, place: TaskPlace, attempts: u32) -> bool {
        let mark = self.progress.mark(place.0, place.1, place.2);
        matches!(mark, TaskMark::Open(failed) if u32::from(failed) < attempts)
    }

    /// A number that is larger than that of every run before, also of earlier owners.
    pub(super) fn next_run_number(&mut self, token: Revision) -> RunNumber {
        /// Starts of one job under one owner stay below this.
        const RUN_NUMBERS_PER_OWNER: u64 = 1 << 16;
        self.started_runs += 1;
        RunNumber(token.0 * RUN_NUMBERS_PER_OWNER + self.started_runs)
    }

    /// Runs of an occurrence's step on a minion.
    pub(super) fn count_runs_on(&self, occurrence: u32, step: u16, minion: &MinionId) -> u32 {
        let range = (occurrence, step, 0)..=(occurrence, step, u32::MAX);
        self.live.range(range).filter(|(_, live)| live.minion == *minion).count() as u32
    }

    /// The earliest occurrence of which tasks may start.
    pub(super) fn next_occurrence(&self) -> u32 {
        self.ready.keys().next().map_or(0, |(occurrence, _)| *occurrence)
    }

    /// When the job should be complete, in milliseconds since 1970.
    pub(super) fn objective_ms(&self, queue: &QueueConfig) -> u64 {
        let critical_path_ms = self.spec.critical_path().0 as f64 * queue.slack_factor;
        let occurrence = self.next_occurrence();
        let earliest_start_ms = self.spec.due_ms(occurrence).max(self.accepted_ms);
        earliest_start_ms + critical_path_ms as u64 + queue.latency_objective.0
    }
}

/// The name of a task of a job.
pub(super) fn task_name(job: &JobId, place: TaskPlace) -> TaskName {
    TaskName { job: job.clone(), occurrence: place.0, step: place.1, index: place.2 }
}

/// A task's place in its job.
pub(super) fn place_of(task: &TaskName) -> TaskPlace {
    (task.occurrence, task.step, task.index)
}
