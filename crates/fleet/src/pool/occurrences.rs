//! Occurrences of a job: which are open, and which of their tasks may start.
//!
//! A job that runs once has one occurrence. A timed job may have millions, of which few are open at one
//! time: the next ones open as earlier ones end (`docs/incidents/issue-44-occurrences.md`).

use jobs::{JobSpec, TaskMark};

use super::job::OwnedJob;

impl OwnedJob {
    /// Opens the occurrences that are due, as far as the bound on open occurrences allows.
    pub(super) fn open_due_occurrences(&mut self, wall_ms: u64) {
        while self.may_open_occurrence(wall_ms) {
            let occurrence = self.next_occurrence;
            self.next_occurrence += 1;
            if self.spec.timetable.is_some() {
                self.progress.open_next();
            }
            if !self.progress.close_if_done(&self.spec, occurrence) {
                self.open_occurrences.insert(occurrence);
                self.open_steps(occurrence);
            }
        }
    }

    /// Whether the next occurrence is due and may be opened.
    pub(super) fn may_open_occurrence(&self, wall_ms: u64) -> bool {
        self.next_occurrence < self.spec.occurrences()
            && self.spec.due_ms(self.next_occurrence) <= wall_ms
            && self.open_occurrences.len() < max_open_occurrences(&self.spec)
            && !self.phase.is_final()
    }

    /// Opens what follows a step that is done: the steps after it, or, if its occurrence is done,
    /// occurrences that have waited for a place.
    pub(super) fn advance_occurrence(&mut self, occurrence: u32, wall_ms: u64) {
        if !self.progress.close_if_done(&self.spec, occurrence) {
            return self.open_steps(occurrence);
        }
        self.open_occurrences.remove(&occurrence);
        for step in 0..self.spec.steps.len() as u16 {
            self.opened_steps.remove(&(occurrence, step));
        }
        self.open_due_occurrences(wall_ms);
    }

    /// Makes the tasks of each step of an open occurrence ready whose preceding steps are done.
    fn open_steps(&mut self, occurrence: u32) {
        if self.phase.is_final() || !self.open_occurrences.contains(&occurrence) {
            return;
        }
        for step in 0..self.spec.steps.len() as u16 {
            self.open_step(occurrence, step);
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
        // Placement takes tasks from the end of the list, so the lowest index starts first.
        let tasks: Vec<u32> = (0..spec.tasks).rev().filter(is_open).collect();
        self.opened_steps.insert((occurrence, step));
        if !tasks.is_empty() {
            self.ready.insert((occurrence, step), tasks);
        }
    }

    /// Opens the steps of the occurrences that an earlier owner had opened.
    pub(super) fn resume_occurrences(&mut self) {
        self.next_occurrence = self.progress.opened();
        self.open_occurrences = self.progress.open_occurrences();
        for occurrence in self.open_occurrences.clone() {
            self.open_steps(occurrence);
        }
    }

    /// Returns the earliest occurrence with ready tasks, else the earliest one that is not done.
    pub(super) fn first_occurrence(&self) -> u32 {
        let first_ready = self.ready.keys().next().map(|(occurrence, _)| *occurrence);
        let first_open = || self.open_occurrences.first().copied();
        first_ready.or_else(first_open).unwrap_or(self.next_occurrence)
    }
}

/// Returns how many occurrences of a job may be open at one time. What an owner keeps of a job, what it
/// does when a run ends, and the size of the stored progress grow with this number.
fn max_open_occurrences(spec: &JobSpec) -> usize {
    const MAX_OPEN_OCCURRENCES: u64 = 256;
    const MAX_OPEN_TASKS: u64 = 4_096;
    let tasks: u64 = spec.steps.iter().map(|step| u64::from(step.tasks)).sum();
    (MAX_OPEN_TASKS / tasks.max(1)).clamp(1, MAX_OPEN_OCCURRENCES) as usize
}
