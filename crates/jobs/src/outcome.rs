//! Status of a job as submitters read it.

use std::fmt;

use serde::{Deserialize, Serialize};
use state::{PoolId, QueueId};

/// Stage of a job in its life cycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobPhase {
    /// The job is accepted and none of its tasks has started.
    Queued,
    /// At least one task has started.
    Active,
    /// Every task is done; this phase is final.
    Complete,
    /// A task has reached the failure limit of the job's queue; this phase is final.
    Failed,
    /// A submitter has cancelled the job; this phase is final.
    Cancelled,
}

impl JobPhase {
    /// Returns whether the job has ended, so that none of its tasks may start any more.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Complete | Self::Failed | Self::Cancelled)
    }
}

impl fmt::Display for JobPhase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Queued => "queued",
            Self::Active => "active",
            Self::Complete => "complete",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
        })
    }
}

/// Stored record of a job's phase, which every daemon watches.
///
/// The record stands under the job's name alone, so a name is accepted once, whichever pool its
/// path leads to (`docs/PLATFORM.md`, "Truths").
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobOutcome {
    /// Phase that the job has reached.
    pub phase: JobPhase,
    /// Queue to which the job was submitted.
    pub queue: QueueId,
    /// Pool that runs the job: the queue's pool when the job was accepted.
    pub pool: PoolId,
}
