//! Document of one team: the team's upper limit, its quota allocations and its jobs.
//!
//! Placed jobs count against the same limit as the allocations to daemons. Allocations and jobs
//! share a document so that each compare-and-swap checks the sum of both against the limit,
//! whichever daemon writes (`docs/DESIGN.md`, "Limits").

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{AllocationTable, Cores, JobId, Mebibytes, Millis, PoolId, Revision, VmId};

/// Job as its submitter declares it. The declared sizes and run time may differ greatly from the
/// actual ones.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Pool whose workers may run the job.
    pub pool: PoolId,
    /// Declared number of processor cores.
    pub cores: Cores,
    /// Declared memory in MiB.
    pub memory: Mebibytes,
    /// Declared number of accelerators.
    #[serde(default)]
    pub accelerators: u32,
    /// Declared run time.
    pub run_time: Millis,
    /// Command that the worker runs; opaque to pollenfall.
    pub command: Box<str>,
}

/// State of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum JobState {
    /// The job waits for a worker.
    Queued,
    /// The job is assigned to a worker. The job counts against the limit until it has certainly
    /// ended.
    Placed {
        /// Worker to which the job is assigned.
        worker: VmId,
        /// Boot count of the worker at placement; a higher boot count means that the task has
        /// ended.
        boot: u64,
    },
    /// The job ended successfully.
    Done,
    /// The job failed as many times as is allowed.
    Failed {
        /// Reason for the last failure.
        reason: Box<str>,
    },
    /// No worker can ever run the job.
    Impossible {
        /// Reason why the job cannot run.
        reason: Box<str>,
    },
    /// The submitter cancelled the job.
    Cancelled,
}

impl JobState {
    /// Returns whether the state can no longer change.
    pub fn is_final(&self) -> bool {
        !matches!(self, Self::Queued | Self::Placed { .. })
    }
}

/// Record of one job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Job as its submitter declared it.
    pub spec: JobSpec,
    /// Current state of the job.
    pub state: JobState,
    /// Number of placements; a worker refuses an attempt number lower than the last one.
    pub attempt: u32,
    /// Number of failed attempts.
    pub failures: u32,
    /// Whether the submitter has requested the cancellation of the job.
    pub cancel: bool,
    /// Wall-clock time of submission in milliseconds, used for ordering and display.
    pub submitted_ms: u64,
    /// Wall-clock time of the job's end in milliseconds, from which the retention period of the
    /// record is counted.
    #[serde(default)]
    pub ended_ms: u64,
}

/// Limit, quota allocations and jobs of one team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct TeamDoc {
    /// Table of the team's limit and its allocations to daemons.
    #[serde(rename = "holdings")]
    pub allocations: AllocationTable,
    /// Revision of the configuration that set the limit, so that a daemon with an older
    /// configuration does not restore an older limit.
    pub limit_revision: Revision,
    /// Jobs that wait, run or ended recently.
    pub jobs: BTreeMap<JobId, JobRecord>,
}

impl TeamDoc {
    /// Returns the number of placed jobs, which count against the limit.
    pub fn placed_jobs(&self) -> u32 {
        let is_placed = |job: &&JobRecord| matches!(job.state, JobState::Placed { .. });
        self.jobs.values().filter(is_placed).count() as u32
    }

    /// Returns the sum of the allocations and the placed jobs.
    pub fn used_capacity(&self) -> u32 {
        self.placed_jobs() + self.allocations.allocated()
    }

    /// Returns whether the limit allows one more placed job.
    pub fn has_free_capacity(&self) -> bool {
        self.used_capacity() < self.allocations.capacity
    }
}
