//! Stored record of which tasks of a job are done or have failed.
//!
//! The record has one string per step and one letter per task in the string, which keeps the
//! record short and readable: `.` is a task that is not done and has no counted failure, `1` to
//! `9` is the number of failed runs of a task that is not done, and `d` is a task that is done. A
//! step without a recorded mark has no string.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::JobSpec;

/// Recorded result of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskMark {
    /// The task is not done; the value is its number of failed runs (9 means 9 or more).
    Open(u8),
    /// The task is done.
    Done,
}

impl TaskMark {
    fn to_letter(self) -> u8 {
        match self {
            Self::Done => b'd',
            Self::Open(0) => b'.',
            Self::Open(failures) => b'0' + failures.min(9),
        }
    }

    fn from_letter(letter: u8) -> Self {
        match letter {
            b'd' => Self::Done,
            b'1'..=b'9' => Self::Open(letter - b'0'),
            _ => Self::Open(0),
        }
    }
}

/// Marks of all tasks of a job, stored by occurrence and step.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct JobProgress {
    steps: BTreeMap<Box<str>, String>,
}

fn step_key(occurrence: u32, step: u16) -> Box<str> {
    format!("{occurrence}.{step}").into()
}

impl JobProgress {
    /// Returns the mark of a task; a task without a recorded mark is `TaskMark::Open(0)`.
    pub fn mark(&self, occurrence: u32, step: u16, index: u32) -> TaskMark {
        let marks = self.steps.get(&step_key(occurrence, step));
        let letter = marks.and_then(|marks| marks.as_bytes().get(index as usize));
        TaskMark::from_letter(letter.copied().unwrap_or(b'.'))
    }

    /// Sets the mark of a task. The mark of a done task never changes.
    pub fn set_mark(&mut self, occurrence: u32, step: u16, index: u32, mark: TaskMark) {
        if self.mark(occurrence, step, index) == TaskMark::Done {
            return;
        }
        let marks = self.steps.entry(step_key(occurrence, step)).or_default();
        let position = index as usize;
        while marks.len() <= position {
            marks.push('.');
        }
        marks.replace_range(
            position..=position,
            char::from(mark.to_letter()).encode_utf8(&mut [0; 4]),
        );
    }

    /// Lowers the failure count of a task by one, for a failed run that must not count. Has no
    /// effect on a task that is done or has no failures.
    pub fn discount_failure(&mut self, occurrence: u32, step: u16, index: u32) {
        if let TaskMark::Open(failures @ 1..) = self.mark(occurrence, step, index) {
            self.set_mark(occurrence, step, index, TaskMark::Open(failures - 1));
        }
    }

    /// Returns the number of done tasks of a step.
    pub fn done_tasks(&self, occurrence: u32, step: u16) -> u32 {
        let marks = self.steps.get(&step_key(occurrence, step));
        marks.map_or(0, |marks| marks.bytes().filter(|letter| *letter == b'd').count() as u32)
    }

    /// Returns whether every task of a step is done.
    pub fn is_step_done(&self, spec: &JobSpec, occurrence: u32, step: u16) -> bool {
        let tasks = spec.steps.get(usize::from(step)).map_or(0, |step| step.tasks);
        self.done_tasks(occurrence, step) >= tasks
    }

    /// Returns whether every task of every occurrence is done.
    pub fn is_complete(&self, spec: &JobSpec) -> bool {
        (0..spec.occurrences()).all(|occurrence| self.is_occurrence_done(spec, occurrence))
    }

    /// Returns whether every task of an occurrence is done.
    pub fn is_occurrence_done(&self, spec: &JobSpec, occurrence: u32) -> bool {
        (0..spec.steps.len() as u16).all(|step| self.is_step_done(spec, occurrence, step))
    }

    /// Returns whether no mark has been recorded.
    pub fn is_empty(&self) -> bool {
        self.steps.is_empty()
    }
}
