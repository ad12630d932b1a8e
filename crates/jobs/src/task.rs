//! Task names and run numbers.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use state::JobId;

/// Name of one task of a job. All runs of the task share the name.
///
/// The text form is `JOB.OCCURRENCE.STEP.INDEX`; the job's id may contain dots.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskName {
    /// Job to which the task belongs.
    pub job: JobId,
    /// Index of the occurrence, counted from 0.
    pub occurrence: u32,
    /// Index of the step in the job's list of steps, counted from 0.
    pub step: u16,
    /// Index of the task in its step, counted from 0.
    pub index: u32,
}

impl TaskName {
    /// Returns the name `JOB.OCCURRENCE.STEP` that identifies the task's step to an adviser.
    pub fn step_name(&self) -> Box<str> {
        format!("{}.{}.{}", self.job, self.occurrence, self.step).into()
    }
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}

/// Error for a text that is not a task name; holds the text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseTaskNameError(Box<str>);

impl fmt::Display for ParseTaskNameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is not JOB.OCCURRENCE.STEP.INDEX", self.0)
    }
}

impl std::error::Error for ParseTaskNameError {}

impl FromStr for TaskName {
    type Err = ParseTaskNameError;

    fn from_str(text: &str) -> Result<Self, ParseTaskNameError> {
        let parse = || {
            let mut parts = text.rsplitn(4, '.');
            let index = parts.next()?.parse().ok()?;
            let step = parts.next()?.parse().ok()?;
            let occurrence = parts.next()?.parse().ok()?;
            let job = parts.next()?.parse().ok()?;
            Some(Self { job, occurrence, step, index })
        };
        parse().ok_or_else(|| ParseTaskNameError(text.into()))
    }
}

/// Number of one run of a task; a later run of the task has a larger number.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
#[serde(transparent)]
pub struct RunNumber(pub u64);

impl fmt::Display for RunNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
