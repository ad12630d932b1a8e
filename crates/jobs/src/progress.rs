//! Stored record of which tasks of a job are done or have failed.
//!
//! The record has one string per step and one letter per task in the string, which keeps the
//! record short and readable: `.` is a task that is not done and has no counted failure, `1` to
//! `9` is the number of failed runs of a task that is not done, and `d` is a task that is done. A
//! task with more failed runs has the letter `9` and an entry of its own with their number. A step
//! without a recorded mark has no string.
//!
//! A job with a timetable may have millions of occurrences. They are opened in order, and the marks
//! of an occurrence are dropped once it is done: the entry `opened` holds how many were opened, and
//! each of them is done unless the record has marks of it. The record is therefore as large as the
//! open occurrences, and no question about one of them visits the others.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::de::{MapAccess, Visitor};
use serde::ser::SerializeMap;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::JobSpec;

/// Maximum number of failed runs that a letter can say.
const MAX_LETTER_FAILURES: u32 = 9;
const MANY_FAILURES: u32 = MAX_LETTER_FAILURES + 1;
/// Name of the entry that holds how many occurrences were opened.
const OPENED_KEY: &str = "opened";

/// Recorded result of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskMark {
    /// The task is not done; the value is its number of failed runs.
    Open(u32),
    /// The task is done.
    Done,
}

impl TaskMark {
    fn to_letter(self) -> u8 {
        match self {
            Self::Done => b'd',
            Self::Open(0) => b'.',
            Self::Open(failures) => b'0' + failures.min(MAX_LETTER_FAILURES) as u8,
        }
    }

    fn from_letter(letter: u8) -> Self {
        match letter {
            b'd' => Self::Done,
            b'1'..=b'9' => Self::Open(u32::from(letter - b'0')),
            _ => Self::Open(0),
        }
    }
}

/// Marks of the tasks of one occurrence's step.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
struct StepMarks {
    letters: Vec<u8>,
    /// Numbers of failed runs above [`MAX_LETTER_FAILURES`], by the task's index.
    many_failures: BTreeMap<u32, u32>,
    /// Number of tasks that are done.
    done: u32,
    /// Number of tasks that are not done and have failed.
    failed: u32,
}

impl StepMarks {
    fn from_text(text: &str) -> Self {
        let mut marks = Self::default();
        for (index, letter) in (0..).zip(text.bytes()) {
            marks.set(index, TaskMark::from_letter(letter));
        }
        marks
    }

    fn as_text(&self) -> &str {
        str::from_utf8(&self.letters).expect("marks are ASCII letters")
    }

    fn get(&self, index: u32) -> TaskMark {
        match self.many_failures.get(&index) {
            Some(failures) => TaskMark::Open(*failures),
            None => {
                TaskMark::from_letter(self.letters.get(index as usize).copied().unwrap_or(b'.'))
            }
        }
    }

    fn set(&mut self, index: u32, mark: TaskMark) {
        self.count(self.get(index), false);
        self.count(mark, true);
        let position = index as usize;
        if self.letters.len() <= position {
            self.letters.resize(position + 1, b'.');
        }
        self.letters[position] = mark.to_letter();
        match mark {
            TaskMark::Open(failures @ MANY_FAILURES..) => {
                self.many_failures.insert(index, failures);
            }
            _ => {
                self.many_failures.remove(&index);
            }
        }
    }

    /// Adds a mark to the counts, or takes it away from them.
    fn count(&mut self, mark: TaskMark, is_added: bool) {
        let counter = match mark {
            TaskMark::Done => &mut self.done,
            TaskMark::Open(1..) => &mut self.failed,
            TaskMark::Open(0) => return,
        };
        *counter = if is_added { *counter + 1 } else { *counter - 1 };
    }
}

/// Marks of all tasks of a job, stored by occurrence and step.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct JobProgress {
    /// Number of occurrences that were opened. Each of them is done unless it has marks.
    opened: u32,
    steps: BTreeMap<(u32, u16), StepMarks>,
}

impl JobProgress {
    /// Returns the mark of a task; a task without a recorded mark is `TaskMark::Open(0)`.
    pub fn mark(&self, occurrence: u32, step: u16, index: u32) -> TaskMark {
        match self.steps.get(&(occurrence, step)) {
            Some(marks) => marks.get(index),
            None if self.is_closed(occurrence) => TaskMark::Done,
            None => TaskMark::Open(0),
        }
    }

    /// Sets the mark of a task. The mark of a done task never changes.
    pub fn set_mark(&mut self, occurrence: u32, step: u16, index: u32, mark: TaskMark) {
        if self.mark(occurrence, step, index) != TaskMark::Done {
            self.steps.entry((occurrence, step)).or_default().set(index, mark);
        }
    }

    /// Lowers the failure count of a task by one, for a failed run that must not count. Has no
    /// effect on a task that is done or has no failures.
    pub fn discount_failure(&mut self, occurrence: u32, step: u16, index: u32) {
        if let TaskMark::Open(failures @ 1..) = self.mark(occurrence, step, index) {
            self.set_mark(occurrence, step, index, TaskMark::Open(failures - 1));
        }
    }

    /// Returns the number of tasks of a step that are not done.
    pub fn open_tasks(&self, spec: &JobSpec, occurrence: u32, step: u16) -> u32 {
        let tasks = spec.steps.get(usize::from(step)).map_or(0, |step| step.tasks);
        match self.steps.get(&(occurrence, step)) {
            Some(marks) => tasks.saturating_sub(marks.done),
            None if self.is_closed(occurrence) => 0,
            None => tasks,
        }
    }

    /// Returns whether a task of a step has failed that is not done.
    pub fn has_failed_tasks(&self, occurrence: u32, step: u16) -> bool {
        self.steps.get(&(occurrence, step)).is_some_and(|marks| marks.failed > 0)
    }

    /// Returns whether every task of a step is done.
    pub fn is_step_done(&self, spec: &JobSpec, occurrence: u32, step: u16) -> bool {
        self.open_tasks(spec, occurrence, step) == 0
    }

    /// Returns whether every task of every occurrence is done.
    pub fn is_complete(&self, spec: &JobSpec) -> bool {
        let occurrences = spec.occurrences();
        // Each occurrence that was not opened and is done has marks.
        if occurrences.saturating_sub(self.opened) as usize > self.steps.len() {
            return false;
        }
        let is_done = |occurrence: u32| self.is_occurrence_done(spec, occurrence);
        self.open_occurrences().into_iter().all(is_done) && (self.opened..occurrences).all(is_done)
    }

    /// Returns whether every task of an occurrence is done.
    pub fn is_occurrence_done(&self, spec: &JobSpec, occurrence: u32) -> bool {
        (0..spec.steps.len() as u16).all(|step| self.is_step_done(spec, occurrence, step))
    }

    /// Returns whether no mark has been recorded.
    pub fn is_empty(&self) -> bool {
        // An occurrence without marks has one entry, and one that is done has none.
        self.steps.len() == self.opened as usize
            && self.steps.values().all(|marks| marks.letters.is_empty())
    }

    /// Returns the number of occurrences that were opened.
    pub fn opened(&self) -> u32 {
        self.opened
    }

    /// Returns the occurrences that were opened and are not closed.
    pub fn open_occurrences(&self) -> BTreeSet<u32> {
        let opened = self.steps.range(..(self.opened, 0));
        opened.map(|((occurrence, _), _)| *occurrence).collect()
    }

    /// Opens the next occurrence of a job with a timetable, and returns it.
    pub fn open_next(&mut self) -> u32 {
        let occurrence = self.opened;
        self.opened += 1;
        if !self.has_marks(occurrence) {
            self.steps.insert((occurrence, 0), StepMarks::default());
        }
        occurrence
    }

    /// Drops the marks of an opened occurrence if all its tasks are done, and returns whether they
    /// are.
    pub fn close_if_done(&mut self, spec: &JobSpec, occurrence: u32) -> bool {
        if occurrence >= self.opened || !self.is_occurrence_done(spec, occurrence) {
            return false;
        }
        for step in 0..spec.steps.len() as u16 {
            self.steps.remove(&(occurrence, step));
        }
        true
    }

    /// Whether an occurrence was opened and is done.
    fn is_closed(&self, occurrence: u32) -> bool {
        occurrence < self.opened && !self.has_marks(occurrence)
    }

    fn has_marks(&self, occurrence: u32) -> bool {
        self.steps.range((occurrence, 0)..=(occurrence, u16::MAX)).next().is_some()
    }
}

impl Serialize for JobProgress {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut map = serializer.serialize_map(None)?;
        for ((occurrence, step), marks) in &self.steps {
            map.serialize_entry(&format_args!("{occurrence}.{step}"), marks.as_text())?;
            for (index, failures) in &marks.many_failures {
                let key = format_args!("{occurrence}.{step}.{index}");
                map.serialize_entry(&key, &format_args!("{failures}"))?;
            }
        }
        if self.opened > 0 {
            map.serialize_entry(OPENED_KEY, &format_args!("{}", self.opened))?;
        }
        map.end()
    }
}

impl<'de> Deserialize<'de> for JobProgress {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(ProgressVisitor)
    }
}

struct ProgressVisitor;

impl<'de> Visitor<'de> for ProgressVisitor {
    type Value = JobProgress;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("marks by occurrence and step")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<JobProgress, A::Error> {
        let mut progress = JobProgress::default();
        let mut many_failures = Vec::new();
        while let Some((key, text)) = map.next_entry::<String, String>()? {
            let number = || text.parse::<u32>().map_err(serde::de::Error::custom);
            if key == OPENED_KEY {
                progress.opened = number()?;
            } else if let Some(position) = parse_step_key(&key) {
                progress.steps.insert(position, StepMarks::from_text(&text));
            } else if let Some(position) = parse_task_key(&key) {
                many_failures.push((position, number()?));
            }
        }
        for ((occurrence, step, index), failures) in many_failures {
            progress.set_mark(occurrence, step, index, TaskMark::Open(failures));
        }
        Ok(progress)
    }
}

/// Parses the key of a task's number of failed runs: its occurrence, step and index.
fn parse_task_key(key: &str) -> Option<(u32, u16, u32)> {
    let (step_key, index) = key.rsplit_once('.')?;
    let (occurrence, step) = parse_step_key(step_key)?;
    Some((occurrence, step, index.parse().ok()?))
}

/// Parses the key of a step's marks: its occurrence and its number.
fn parse_step_key(key: &str) -> Option<(u32, u16)> {
    let (occurrence, step) = key.split_once('.')?;
    Some((occurrence.parse().ok()?, step.parse().ok()?))
}
