//! What submitters are told of a job.

use std::fmt;

use serde::{Deserialize, Serialize};
use state::QueueId;

/// How far a job has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobPhase {
    /// Accepted; no task has started.
    Queued,
    /// A task has started.
    Active,
    /// Every task is done.
    Complete,
    /// A task has failed as often as its queue allows.
    Failed,
    /// A submitter has cancelled it.
    Cancelled,
}

impl JobPhase {
    /// Whether nothing of the job may start any more.
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

/// The record that every daemon follows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobOutcome {
    /// How far the job has come.
    pub phase: JobPhase,
    /// The queue it was handed in at.
    pub queue: QueueId,
}
