//! What has ended, in the form in which it is kept.
//!
//! A step's tasks are one text of one letter a task, so that a record stays short
//! and can be read: `.` for a task that has not ended, `1` to `9` for one that has
//! failed so often, `d` for one that is done. Steps of which nothing has ended are
//! left out.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::JobSpec;

/// What has become of a task so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskMark {
    /// Not done, after so many failed runs (9 stands for 9 or more).
    Open(u8),
    /// Done.
    Done,
}

impl TaskMark {
    fn letter(self) -> u8 {
        match self {
            Self::Done => b'd',
            Self::Open(0) => b'.',
            Self::Open(failed) => b'0' + failed.min(9),
        }
    }

    fn of(letter: u8) -> Self {
        match letter {
            b'd' => Self::Done,
            b'1'..=b'9' => Self::Open(letter - b'0'),
            _ => Self::Open(0),
        }
    }
}

/// Marks of all tasks of a job.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct JobProgress {
    steps: BTreeMap<Box<str>, String>,
}

fn step_key(occurrence: u32, step: u16) -> Box<str> {
    format!("{occurrence}.{step}").into()
}

impl JobProgress {
    /// A task's mark.
    pub fn mark(&self, occurrence: u32, step: u16, index: u32) -> TaskMark {
        let marks = self.steps.get(&step_key(occurrence, step));
        let letter = marks.and_then(|marks| marks.as_bytes().get(index as usize));
        TaskMark::of(letter.copied().unwrap_or(b'.'))
    }

    /// Changes a task's mark. A done task stays done.
    pub fn set(&mut self, occurrence: u32, step: u16, index: u32, mark: TaskMark) {
        if self.mark(occurrence, step, index) == TaskMark::Done {
            return;
        }
        let marks = self.steps.entry(step_key(occurrence, step)).or_default();
        let place = index as usize;
        while marks.len() <= place {
            marks.push('.');
        }
        marks.replace_range(place..=place, char::from(mark.letter()).encode_utf8(&mut [0; 4]));
    }

    /// Takes a failed run of a task back: it does not count.
    pub fn discount_failure(&mut self, occurrence: u32, step: u16, index: u32) {
        if let TaskMark::Open(failed @ 1..) = self.mark(occurrence, step, index) {
            self.set(occurrence, step, index, TaskMark::Open(failed - 1));
        }
    }

    /// How many tasks of a step are done.
    pub fn done_tasks(&self, occurrence: u32, step: u16) -> u32 {
        let marks = self.steps.get(&step_key(occurrence, step));
        marks.map_or(0, |marks| marks.bytes().filter(|letter| *letter == b'd').count() as u32)
    }

    /// Whether every task of a step is done.
    pub fn is_step_done(&self, spec: &JobSpec, occurrence: u32, step: u16) -> bool {
        let tasks = spec.steps.get(usize::from(step)).map_or(0, |step| step.tasks);
        self.done_tasks(occurrence, step) >= tasks
    }

    /// Whether every task of every occurrence is done.
    pub fn is_complete(&self, spec: &JobSpec) -> bool {
        (0..spec.occurrences()).all(|occurrence| self.is_occurrence_done(spec, occurrence))
    }

    /// Whether every task of an occurrence is done.
    pub fn is_occurrence_done(&self, spec: &JobSpec, occurrence: u32) -> bool {
        (0..spec.steps.len() as u16).all(|step| self.is_step_done(spec, occurrence, step))
    }

    /// Whether nothing has been recorded.
    pub fn is_empty(&self) -> bool {
        self.steps.is_empty()
    }
}
