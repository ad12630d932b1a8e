//! Calls to the platform and to workers, with their answers.

use serde::{Deserialize, Serialize};
use state::{Cores, JobId, JobSpec, Mebibytes, Revision, VmId, VmListing};

/// Document in the store, with its revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredValue {
    /// Key of the document.
    pub key: Box<str>,
    /// Revision of the document.
    pub revision: Revision,
    /// Content of the document as JSON text.
    pub value: Box<str>,
}

/// Request to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformRequest {
    /// Reads the value of a key.
    Get {
        /// Key to read.
        key: Box<str>,
    },
    /// Replaces the value of a key if its revision is `expect`.
    Put {
        /// Key to write.
        key: Box<str>,
        /// Expected current revision; 0 if the key must be absent.
        expect: Revision,
        /// New value.
        value: Box<str>,
    },
    /// Waits for a change after a revision among the keys with a prefix.
    Watch {
        /// Prefix of the watched keys.
        prefix: Box<str>,
        /// Revision after which changes are returned.
        after: Revision,
    },
    /// Reads the list of VMs.
    ListVms,
    /// Reboots a VM, unless the platform has received a higher epoch for the VM.
    Reboot {
        /// VM to reboot.
        vm: VmId,
        /// Epoch of the VM record.
        epoch: u64,
    },
}

/// Answer of the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformAnswer {
    /// Value of a key; `None` if the key is absent.
    Value(Option<StoredValue>),
    /// The value was replaced and has this revision.
    Written(Revision),
    /// The key had another revision, and nothing was changed.
    Conflict,
    /// Changes that a watch returned.
    Changes {
        /// Revision up to which all changes are included.
        head: Revision,
        /// Changed keys with their values.
        values: Vec<StoredValue>,
    },
    /// All VMs that the platform lists.
    Vms(Vec<VmListing>),
    /// The platform accepted the request.
    Accepted,
    /// The request certainly had no effect.
    Refused,
    /// The request may or may not have taken effect.
    Unknown,
}

/// Request to a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkerRequest {
    /// Reads all tasks, and lets them continue for [`TASK_LEASE_DURATION`] from the
    /// time at which the worker issued `lease`. Only a lease that the daemon received
    /// can renew the tasks, so a worker whose answers are lost stops its tasks.
    ///
    /// [`TASK_LEASE_DURATION`]: crate::timing::TASK_LEASE_DURATION
    Poll {
        /// Lease from the last answered poll.
        lease: Option<u64>,
    },
    /// Starts a task under the lease from the last answered poll.
    Start {
        /// Lease, which expires within seconds on the worker's own clock.
        lease: u64,
        /// Job that the task executes.
        job: JobId,
        /// Number of the attempt at the job.
        attempt: u32,
        /// Specification of the job.
        spec: JobSpec,
    },
    /// Stops a task. If the start of the attempt has not reached the worker yet,
    /// the worker will not start the attempt.
    Stop {
        /// Job that the task executes.
        job: JobId,
        /// Number of the attempt at the job.
        attempt: u32,
    },
}

/// State of a task on its worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum TaskState {
    /// The task is running.
    Running,
    /// The task succeeded.
    Done,
    /// The task failed.
    Failed {
        /// Reason for the failure, from the worker.
        reason: Box<str>,
    },
    /// The task was stopped.
    Stopped,
}

/// Report of a worker on one task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// Job that the task executes.
    pub job: JobId,
    /// Number of the attempt at the job.
    pub attempt: u32,
    /// State of the task.
    #[serde(flatten)]
    pub state: TaskState,
}

/// Answer of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkerAnswer {
    /// Answer to a poll.
    Tasks {
        /// Boot count of the worker.
        boot: u64,
        /// Lease for the next starts and the next poll.
        lease: u64,
        /// Cores not used by any task.
        free_cores: Cores,
        /// Memory not used by any task.
        free_memory: Mebibytes,
        /// All tasks that the worker has on record.
        tasks: Vec<TaskReport>,
    },
    /// The task is running.
    Started,
    /// The task was certainly not started.
    Declined {
        /// Reason for which the worker declined the start.
        reason: Box<str>,
    },
    /// The worker accepted the stop.
    Stopping,
    /// No part of the request was sent.
    NotSent,
    /// The request may or may not have taken effect.
    Unknown,
}
