//! What a submitter hands in.

use std::fmt;

use serde::{Deserialize, Serialize};
use state::{Millis, QueueId, TeamId};

use crate::{JobProgress, Resources};

/// Most steps of a job; it bounds records and the work of one decision.
const MOST_STEPS: usize = 64;
/// Most tasks of a step.
const MOST_TASKS: u32 = 10_000;
/// Most tasks of one occurrence of a job.
const MOST_TASKS_OF_JOB: u64 = 20_000;

/// Steps that run again and again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timetable {
    /// When the first occurrence is due, in milliseconds since 1970.
    pub first_due_ms: u64,
    /// Time from one occurrence's due time to the next one's.
    pub interval: Millis,
    /// How many occurrences there are.
    pub occurrences: u32,
}

/// Many like tasks.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct StepSpec {
    /// Number of tasks.
    pub tasks: u32,
    /// What each task asks for.
    #[serde(rename = "needs")]
    pub demand: Resources,
    /// The submitter's rough estimate of a task's run time.
    pub estimate: Millis,
    /// Earlier steps of which every task must be done first.
    pub after: Vec<u16>,
    /// Tasks save checkpoints from which a later run goes on.
    #[serde(rename = "saves")]
    pub has_checkpoints: bool,
    /// Tasks work only all together and end together.
    pub gang: bool,
    /// A gang's tasks are slower when they are on more than one rack.
    pub one_rack: bool,
    /// A label that the minion must have.
    pub label: Option<Box<str>>,
    /// The rack where the data is; tasks are slower elsewhere.
    #[serde(rename = "near")]
    pub data_rack: Option<Box<str>>,
    /// Most tasks of an occurrence's step on one minion.
    #[serde(rename = "most_per_minion")]
    pub max_per_minion: Option<u32>,
    /// Copies may run at the same time.
    pub speculative: bool,
    /// Tasks run until the job is cancelled.
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: Option<Box<str>>,
    /// Bound of the tail of a serving task's answers.
    #[serde(rename = "target")]
    pub tail_latency_target: Option<Millis>,
    /// The tasks use only processor time that other tasks leave.
    #[serde(rename = "filler")]
    pub best_effort: bool,
    /// Lasting tasks that the system may keep from work at one time.
    pub may_miss: u32,
}

/// A job as its submitter hands it in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Opaque text that each task is started with.
    pub payload: Box<str>,
    /// The steps; each refers to earlier ones only.
    pub steps: Vec<StepSpec>,
    /// When the steps run more than once.
    #[serde(default)]
    pub timetable: Option<Timetable>,
}

/// A job as it was accepted; it never changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedJob {
    /// Where it was handed in.
    pub queue: QueueId,
    /// The team whose key it came with; none on queues open to all.
    pub team: Option<TeamId>,
    /// When it was accepted, in milliseconds since 1970.
    pub accepted_ms: u64,
    /// What was handed in.
    pub spec: JobSpec,
}

/// Says what is wrong with a job's graph.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GraphFault {
    /// It has no steps, or too many.
    StepCount(usize),
    /// A step has no tasks, or too many.
    TaskCount {
        /// The step.
        step: usize,
        /// Its tasks.
        tasks: u32,
    },
    /// All steps together have too many tasks.
    TaskTotal(u64),
    /// A step comes after one that is not earlier in the list.
    NotEarlier {
        /// The step.
        step: usize,
        /// The step it names.
        after: u16,
    },
}

impl fmt::Display for GraphFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::StepCount(count) => write!(f, "a job has 1 to {MOST_STEPS} steps, not {count}"),
            Self::TaskCount { step, tasks } => {
                write!(f, "step {step} has {tasks} tasks; allowed are 1 to {MOST_TASKS}")
            }
            Self::TaskTotal(total) => {
                write!(f, "the job has {total} tasks; allowed are {MOST_TASKS_OF_JOB}")
            }
            Self::NotEarlier { step, after } => {
                write!(f, "step {step} comes after step {after}, which is not an earlier one")
            }
        }
    }
}

impl std::error::Error for GraphFault {}

impl JobSpec {
    /// Checks the graph.
    ///
    /// # Errors
    ///
    /// The first [`GraphFault`] that is found.
    pub fn check(&self) -> Result<(), GraphFault> {
        if self.steps.is_empty() || self.steps.len() > MOST_STEPS {
            return Err(GraphFault::StepCount(self.steps.len()));
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.tasks == 0 || step.tasks > MOST_TASKS {
                return Err(GraphFault::TaskCount { step: number, tasks: step.tasks });
            }
            if let Some(after) = step.after.iter().find(|after| usize::from(**after) >= number) {
                return Err(GraphFault::NotEarlier { step: number, after: *after });
            }
        }
        let total: u64 = self.steps.iter().map(|step| u64::from(step.tasks)).sum();
        if total > MOST_TASKS_OF_JOB {
            return Err(GraphFault::TaskTotal(total));
        }
        Ok(())
    }

    /// How many times the steps run.
    pub fn occurrences(&self) -> u32 {
        self.timetable.map_or(1, |timetable| timetable.occurrences)
    }

    /// When an occurrence is due, in milliseconds since 1970; 0 is "at once".
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        self.timetable.map_or(0, |timetable| {
            timetable.first_due_ms + u64::from(occurrence) * timetable.interval.0
        })
    }

    /// The estimated run time of the longest chain of steps.
    pub fn critical_path(&self) -> Millis {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let begin = step.after.iter().filter_map(|after| ends.get(usize::from(*after)));
            let begin = begin.copied().max().unwrap_or(0);
            ends.push(begin + step.estimate.0);
        }
        Millis(ends.into_iter().max().unwrap_or(0))
    }

    /// The estimated run time of the longest chain of steps of an occurrence that are
    /// not done.
    pub fn remaining_critical_path(&self, progress: &JobProgress, occurrence: u32) -> Millis {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for (number, step) in self.steps.iter().enumerate() {
            let begin = step.after.iter().filter_map(|after| ends.get(usize::from(*after)));
            let begin = begin.copied().max().unwrap_or(0);
            let is_done = progress.is_step_done(self, occurrence, number as u16);
            ends.push(if is_done { 0 } else { begin + step.estimate.0 });
        }
        Millis(ends.into_iter().max().unwrap_or(0))
    }

    /// Processor time of one occurrence by the estimates, in thousandths of a
    /// core times milliseconds.
    pub fn estimated_work(&self) -> u64 {
        let of_step = |step: &StepSpec| {
            u64::from(step.tasks) * step.demand.processor.0 * step.estimate.0.max(1)
        };
        self.steps.iter().map(of_step).sum()
    }

    /// Whether the job ends only when it is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }
}
