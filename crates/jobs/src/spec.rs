//! Specification of a job as its submitter sends it.
//!
//! [`JobSpec::check`] validates the graph of steps; the other methods compute due times, the
//! critical path and the estimated work from the specification.

use std::fmt;

use serde::{Deserialize, Serialize};
use state::{Millis, QueueId, TeamId};

use crate::{JobProgress, Resources};

/// Maximum number of steps of a job. It bounds the size of stored records and the work of one
/// placement decision.
pub const MAX_STEPS: usize = 64;
const MAX_TASKS_PER_STEP: u32 = 10_000;
const MAX_TASKS_PER_OCCURRENCE: u64 = 20_000;
/// Maximum length of a payload, which each start of a task carries.
const MAX_PAYLOAD_BYTES: usize = 4_000;

/// Schedule of a job whose steps run repeatedly.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timetable {
    /// Due time of the first occurrence, in milliseconds since 1970.
    pub first_due_ms: u64,
    /// Time between the due times of consecutive occurrences.
    pub interval: Millis,
    /// Number of occurrences.
    pub occurrences: u32,
}

/// One step of a job: a number of tasks with the same requirements.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct StepSpec {
    /// Number of tasks of the step.
    pub tasks: u32,
    /// Resources that each task requests.
    #[serde(rename = "needs")]
    pub demand: Resources,
    /// Run time of one task, as a rough estimate by the submitter.
    pub estimate: Millis,
    /// Indices of earlier steps; every task of those steps must be done before this step starts.
    pub after: Vec<u16>,
    /// Whether the tasks write checkpoints from which a later run of the task resumes.
    #[serde(rename = "saves")]
    pub has_checkpoints: bool,
    /// Whether the tasks form a gang: all tasks run at the same time and end together.
    pub gang: bool,
    /// Whether the tasks of the gang run slower when spread over more than one rack.
    pub one_rack: bool,
    /// Label that a minion must have to run the tasks.
    pub label: Option<Box<str>>,
    /// Rack that stores the tasks' data; the tasks run slower on other racks.
    #[serde(rename = "near")]
    pub data_rack: Option<Box<str>>,
    /// Maximum number of tasks of this step and of one occurrence on one minion.
    #[serde(rename = "most_per_minion")]
    pub max_per_minion: Option<u32>,
    /// Whether speculative copies of a task may run at the same time.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// Image that the tasks run; tasks of the same image are expected to behave alike.
    pub image: Option<Box<str>>,
    /// Upper bound on the tail latency of the answers of a service task.
    #[serde(rename = "target")]
    pub tail_latency_target: Option<Millis>,
    /// Whether the tasks use only processor time that other tasks leave unused.
    #[serde(rename = "filler")]
    pub best_effort: bool,
    /// Maximum number of the step's long-running tasks that may be kept from running at one time;
    /// 0 counts as 1.
    pub may_miss: u32,
}

/// Job as its submitter specifies it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Opaque text that is passed to each task when it starts.
    pub payload: Box<str>,
    /// Steps in topological order; each step depends on earlier steps only.
    pub steps: Vec<StepSpec>,
    /// Schedule of the occurrences; `None` for a job that runs once.
    #[serde(default)]
    pub timetable: Option<Timetable>,
}

/// Terms on which a queue's jobs run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueueTerms {
    /// Priority of the queue; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs after which a job fails.
    pub max_attempts: u32,
    /// Factor over the job's critical path; the latency objective is their product plus
    /// `latency_objective`.
    pub slack_factor: f64,
    /// Part of the latency objective that is added to the product with `slack_factor`.
    pub latency_objective: Millis,
}

/// Stored record of an accepted job; the record never changes.
///
/// The job keeps the terms of its queue, since a later configuration may not have the queue any
/// more.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AcceptedJob {
    /// Queue to which the job was submitted.
    pub queue: QueueId,
    /// Terms of the queue when the job was accepted.
    pub terms: QueueTerms,
    /// Team of the submitter's key; `None` on queues that need no key.
    pub team: Option<TeamId>,
    /// Time of acceptance, in milliseconds since 1970.
    pub accepted_ms: u64,
    /// Specification that the submitter sent.
    pub spec: JobSpec,
}

/// Error that describes why a job is invalid: its payload, or the graph of its steps.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobGraphError {
    /// The payload is longer than the maximum; the value is its length in bytes.
    PayloadLength(usize),
    /// The job has no steps, or more than the maximum; the value is the number of steps.
    StepCount(usize),
    /// A step has no tasks, or more than the maximum.
    TaskCount {
        /// Index of the step.
        step: usize,
        /// Number of tasks of the step.
        tasks: u32,
    },
    /// The steps together have more tasks than the maximum; the value is their number of tasks.
    TaskTotal(u64),
    /// A step depends on a step that is not earlier in the list.
    DependencyNotEarlier {
        /// Index of the step.
        step: usize,
        /// Index of the step that is named as the dependency.
        after: u16,
    },
}

impl fmt::Display for JobGraphError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::PayloadLength(bytes) => {
                write!(f, "the payload has {bytes} bytes; allowed are {MAX_PAYLOAD_BYTES}")
            }
            Self::StepCount(count) => write!(f, "a job has 1 to {MAX_STEPS} steps, not {count}"),
            Self::TaskCount { step, tasks } => {
                write!(f, "step {step} has {tasks} tasks; allowed are 1 to {MAX_TASKS_PER_STEP}")
            }
            Self::TaskTotal(total) => {
                write!(f, "the job has {total} tasks; allowed are {MAX_TASKS_PER_OCCURRENCE}")
            }
            Self::DependencyNotEarlier { step, after } => {
                write!(f, "step {step} comes after step {after}, which is not an earlier one")
            }
        }
    }
}

impl std::error::Error for JobGraphError {}

impl JobSpec {
    /// Checks the length of the payload, the numbers of steps and tasks, and that each step depends on earlier steps only.
    ///
    /// # Errors
    ///
    /// Returns the first [`JobGraphError`] found. The checks cover the payload, the number of steps, each
    /// step in turn, then the total number of tasks.
    pub fn check(&self) -> Result<(), JobGraphError> {
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            return Err(JobGraphError::PayloadLength(self.payload.len()));
        }
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(JobGraphError::StepCount(self.steps.len()));
        }
        for (index, step) in self.steps.iter().enumerate() {
            if step.tasks == 0 || step.tasks > MAX_TASKS_PER_STEP {
                return Err(JobGraphError::TaskCount { step: index, tasks: step.tasks });
            }
            if let Some(after) = step.after.iter().find(|after| usize::from(**after) >= index) {
                return Err(JobGraphError::DependencyNotEarlier { step: index, after: *after });
            }
        }
        let total: u64 = self.steps.iter().map(|step| u64::from(step.tasks)).sum();
        if total > MAX_TASKS_PER_OCCURRENCE {
            return Err(JobGraphError::TaskTotal(total));
        }
        Ok(())
    }

    /// Returns the number of times that the steps run.
    pub fn occurrences(&self) -> u32 {
        self.timetable.map_or(1, |timetable| timetable.occurrences)
    }

    /// Returns the due time of an occurrence, in milliseconds since 1970; 0 means that the
    /// occurrence is due at once.
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        self.timetable.map_or(0, |timetable| {
            let offset = u64::from(occurrence).saturating_mul(timetable.interval.0);
            timetable.first_due_ms.saturating_add(offset)
        })
    }

    /// Returns the declared run time of the critical path through the steps.
    pub fn critical_path(&self) -> Millis {
        self.critical_path_by(self.declared_run_times())
    }

    /// Returns the run time of the critical path through the steps; `run_time` gives that of a task of
    /// each step, by the step's index.
    pub fn critical_path_by(&self, run_time: impl Fn(usize) -> Millis) -> Millis {
        self.longest_path(run_time)
    }

    /// Returns the declared run time of the critical path through those steps of an occurrence that
    /// are not done.
    pub fn remaining_critical_path(&self, progress: &JobProgress, occurrence: u32) -> Millis {
        self.remaining_critical_path_by(progress, occurrence, self.declared_run_times())
    }

    /// Returns the run time of the critical path through those steps of an occurrence that are not
    /// done; `run_time` gives that of a task of each step, by the step's index.
    pub fn remaining_critical_path_by(
        &self,
        progress: &JobProgress,
        occurrence: u32,
        run_time: impl Fn(usize) -> Millis,
    ) -> Millis {
        // A step that is done leaves the steps before it behind as well, as they are done too.
        self.longest_path(|step| {
            let is_done = progress.is_step_done(self, occurrence, step as u16);
            if is_done { Millis(0) } else { run_time(step) }
        })
    }

    /// Returns the longest sum of run times over steps that follow each other.
    fn longest_path(&self, run_time: impl Fn(usize) -> Millis) -> Millis {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for (index, step) in self.steps.iter().enumerate() {
            let dependency_ends =
                step.after.iter().filter_map(|after| ends.get(usize::from(*after)));
            let start = dependency_ends.copied().max().unwrap_or(0);
            ends.push(start.saturating_add(run_time(index).0));
        }
        Millis(ends.into_iter().max().unwrap_or(0))
    }

    /// Returns the declared processor time of one occurrence, in millicores times milliseconds.
    pub fn estimated_work(&self) -> u64 {
        self.work_by(self.declared_run_times())
    }

    /// Returns the processor time of one occurrence, in millicores times milliseconds; `run_time`
    /// gives the run time of a task of each step, by the step's index.
    pub fn work_by(&self, run_time: impl Fn(usize) -> Millis) -> u64 {
        let step_work = |(index, step): (usize, &StepSpec)| {
            let millicores = u64::from(step.tasks).saturating_mul(step.demand.processor.0);
            millicores.saturating_mul(run_time(index).0.max(1))
        };
        self.steps.iter().enumerate().map(step_work).fold(0, u64::saturating_add)
    }

    fn declared_run_times(&self) -> impl Fn(usize) -> Millis {
        |step| self.steps[step].estimate
    }

    /// Returns whether the job has a long-running step and so ends only when it is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }
}
