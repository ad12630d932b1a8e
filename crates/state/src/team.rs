//! One team's upper limit and its jobs, in one document.
//!
//! Jobs that are placed count against the same limit as the daemons' parts.
//! They share a document so that the sum of both is bounded by one
//! compare-and-swap, whoever writes (`docs/DESIGN.md`, "Limits").

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{AllocationTable, Cores, JobId, Mebibytes, Millis, PoolId, Revision, VmId};

/// What a submitter declares. Declared sizes and run times may be far off.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The pool whose workers may run it.
    pub pool: PoolId,
    /// Declared cores.
    pub cores: Cores,
    /// Declared memory.
    pub memory: Mebibytes,
    /// Declared accelerators.
    #[serde(default)]
    pub accelerators: u32,
    /// Declared run time.
    pub run_time: Millis,
    /// What the worker is to run; opaque to pollenfall.
    pub command: Box<str>,
}

/// Where a job stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum JobState {
    /// It waits for a worker.
    Queued,
    /// It was given to a worker; it counts against the limit until it ended
    /// for certain.
    Placed {
        /// The worker.
        worker: VmId,
        /// The worker's boot count at placement; a higher one ends the task.
        boot: u64,
    },
    /// It ended well.
    Done,
    /// It ran and failed as often as it may.
    Failed {
        /// The last failure.
        reason: Box<str>,
    },
    /// It can never run.
    Impossible {
        /// Why.
        reason: Box<str>,
    },
    /// Its submitter withdrew it.
    Cancelled,
}

impl JobState {
    /// Whether nothing more will happen to the job.
    pub fn is_final(&self) -> bool {
        !matches!(self, Self::Queued | Self::Placed { .. })
    }
}

/// One job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// What its submitter declared.
    pub spec: JobSpec,
    /// Where it stands.
    pub state: JobState,
    /// How often it was placed; workers refuse an attempt below the last.
    pub attempt: u32,
    /// How often it failed.
    pub failures: u32,
    /// Whether its submitter asked for it to stop.
    pub cancel: bool,
    /// Wall-clock time of submission in milliseconds, for order and display.
    pub submitted_ms: u64,
    /// Wall-clock time of the end in milliseconds, after which it is forgotten.
    #[serde(default)]
    pub ended_ms: u64,
}

/// One team's limit and jobs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct TeamDoc {
    /// The limit and the daemons' parts of it.
    #[serde(rename = "holdings")]
    pub allocations: AllocationTable,
    /// The configuration revision that the limit comes from, so that a daemon
    /// with an older configuration does not set it back.
    pub limit_revision: Revision,
    /// Jobs that wait, run or ended a short while ago.
    pub jobs: BTreeMap<JobId, JobRecord>,
}

impl TeamDoc {
    /// Jobs that count against the limit.
    pub fn placed(&self) -> u32 {
        let placed = |job: &&JobRecord| matches!(job.state, JobState::Placed { .. });
        self.jobs.values().filter(placed).count() as u32
    }

    /// Parts and placed jobs together.
    pub fn used(&self) -> u32 {
        self.placed() + self.allocations.allocated()
    }

    /// Room for one more placed job.
    pub fn has_room(&self) -> bool {
        self.used() < self.allocations.capacity
    }
}
