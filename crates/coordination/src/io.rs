//! Calls to the platform and to workers, and their answers.

use serde::{Deserialize, Serialize};
use state::{Cores, JobId, JobSpec, Mebibytes, Revision, VmId, VmListing};

/// A document's value in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredValue {
    /// Its key.
    pub key: Box<str>,
    /// Its revision.
    pub revision: Revision,
    /// Its content.
    pub value: Box<str>,
}

/// A call to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformRequest {
    /// Reads a key.
    Get {
        /// The key.
        key: Box<str>,
    },
    /// Replaces a key's value if its revision is `expect` (0: absent).
    Put {
        /// The key.
        key: Box<str>,
        /// The revision to replace.
        expect: Revision,
        /// The new value.
        value: Box<str>,
    },
    /// Waits for a change under a prefix after a revision.
    Watch {
        /// The prefix.
        prefix: Box<str>,
        /// The last revision seen.
        after: Revision,
    },
    /// Reads the list of VMs.
    ListVms,
    /// Reboots a VM, unless a higher epoch was seen for it.
    Reboot {
        /// The VM.
        vm: VmId,
        /// The record's epoch.
        epoch: u64,
    },
}

/// The platform's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformAnswer {
    /// A key's value; `None` when absent.
    Value(Option<StoredValue>),
    /// The value was replaced.
    Written(Revision),
    /// The key had another revision; nothing changed.
    Conflict,
    /// What changed, and the revision up to which that is known.
    Changes {
        /// The revision up to which all changes are included.
        head: Revision,
        /// Changed keys with their values.
        values: Vec<StoredValue>,
    },
    /// The list of VMs.
    Vms(Vec<VmListing>),
    /// The request was taken.
    Accepted,
    /// Nothing happened, for certain.
    Refused,
    /// It may or may not have happened.
    Unknown,
}

/// A call to a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkerRequest {
    /// Reads all tasks, and lets them go on for [`TASK_LEASE`] from when the
    /// worker gave `lease`. A lease that was not received renews nothing, so a
    /// worker whose answers are lost stops its tasks.
    ///
    /// [`TASK_LEASE`]: crate::timing::TASK_LEASE
    Poll {
        /// The lease of the last answered poll.
        lease: Option<u64>,
    },
    /// Starts a task under the lease that the last poll gave.
    Start {
        /// The lease; it lapses within seconds on the worker's own clock.
        lease: u64,
        /// The job.
        job: JobId,
        /// Which attempt at it.
        attempt: u32,
        /// What to run.
        spec: JobSpec,
    },
    /// Stops a task, or keeps an attempt that has not come from starting.
    Stop {
        /// The job.
        job: JobId,
        /// Which attempt at it.
        attempt: u32,
    },
}

/// How a task stands on its worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum TaskState {
    /// It runs.
    Running,
    /// It ended well.
    Done,
    /// It ended badly.
    Failed {
        /// Why.
        reason: Box<str>,
    },
    /// It was stopped.
    Stopped,
}

/// One task as its worker reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The job.
    pub job: JobId,
    /// Which attempt at it.
    pub attempt: u32,
    /// How it stands.
    #[serde(flatten)]
    pub state: TaskState,
}

/// A worker's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkerAnswer {
    /// The answer to a poll.
    Tasks {
        /// How often the worker has booted.
        boot: u64,
        /// A lease for starts.
        lease: u64,
        /// Cores that no task uses.
        free_cores: Cores,
        /// Memory that no task uses.
        free_memory: Mebibytes,
        /// All tasks that it knows of.
        tasks: Vec<TaskReport>,
    },
    /// The task runs.
    Started,
    /// The task was not started, for certain.
    Declined {
        /// Why.
        reason: Box<str>,
    },
    /// The stop was taken.
    Stopping,
    /// Nothing was sent.
    NotSent,
    /// It may or may not have happened.
    Unknown,
}
