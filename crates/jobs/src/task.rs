//! Names of tasks and numbers of their runs.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use state::JobId;

/// One task of a job: the same name whichever run of it is meant.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskName {
    /// The job.
    pub job: JobId,
    /// The occurrence, from 0.
    pub occurrence: u32,
    /// The step's place in the job's list, from 0.
    pub step: u16,
    /// The task's place in the step, from 0.
    pub index: u32,
}

impl TaskName {
    /// The name of the task's step, as an adviser knows it.
    pub fn step_name(&self) -> Box<str> {
        format!("{}.{}.{}", self.job, self.occurrence, self.step).into()
    }
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}

/// Says why a text is not a task's name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NameFault(Box<str>);

impl fmt::Display for NameFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is not JOB.OCCURRENCE.STEP.INDEX", self.0)
    }
}

impl std::error::Error for NameFault {}

impl FromStr for TaskName {
    type Err = NameFault;

    fn from_str(text: &str) -> Result<Self, NameFault> {
        let parse = || {
            let mut parts = text.rsplitn(4, '.');
            let index = parts.next()?.parse().ok()?;
            let step = parts.next()?.parse().ok()?;
            let occurrence = parts.next()?.parse().ok()?;
            let job = parts.next()?.parse().ok()?;
            Some(Self { job, occurrence, step, index })
        };
        parse().ok_or_else(|| NameFault(text.into()))
    }
}

/// The number of one run of a task; later runs have larger numbers.
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
