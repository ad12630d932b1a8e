//! Encodes requests to workers (polls with leases, starts and stops of tasks) and decodes
//! the answers.

use coordination::{TaskReport, WorkerAnswer, WorkerRequest};
use serde::{Deserialize, Serialize};
use state::{Cores, JobId, JobSpec, Mebibytes};

/// Body of a poll, which renews the lease of the worker's tasks.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PollBody {
    /// Lease from the last answered poll; `None` if no poll was answered yet.
    pub lease: Option<u64>,
}

/// Body of a request to start a task.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StartBody {
    /// Lease from the last answered poll.
    pub lease: u64,
    /// Job that the task executes.
    pub job: JobId,
    /// Number of the attempt at the job.
    pub attempt: u32,
    /// Specification of the job.
    pub spec: JobSpec,
}

/// Body of a request to stop a task.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StopBody {
    /// Job that the task executes.
    pub job: JobId,
    /// Number of the attempt at the job.
    pub attempt: u32,
}

/// Body of the answer to a poll.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TasksBody {
    /// Boot count of the worker.
    pub boot: u64,
    /// Lease for the next starts and the next poll.
    pub lease: u64,
    /// Cores not used by any task.
    pub free_cores: Cores,
    /// Memory not used by any task.
    pub free_memory: Mebibytes,
    /// All tasks that the worker has on record.
    pub tasks: Vec<TaskReport>,
}

/// HTTP request to a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerCall {
    /// Path of the URL; the method is always `POST`.
    pub path: &'static str,
    /// Body as JSON.
    pub body: Vec<u8>,
}

/// Encodes a request to a worker.
pub fn encode_worker_request(request: &WorkerRequest) -> WorkerCall {
    match request {
        WorkerRequest::Poll { lease } => {
            WorkerCall { path: "/poll", body: encode_json(&PollBody { lease: *lease }) }
        }
        WorkerRequest::Start { lease, job, attempt, spec } => {
            let (job, spec) = (job.clone(), spec.clone());
            let body = StartBody { lease: *lease, job, attempt: *attempt, spec };
            WorkerCall { path: "/start", body: encode_json(&body) }
        }
        WorkerRequest::Stop { job, attempt } => {
            let body = StopBody { job: job.clone(), attempt: *attempt };
            WorkerCall { path: "/stop", body: encode_json(&body) }
        }
    }
}

fn encode_json<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("a request body can be encoded as JSON")
}

/// Decodes a worker's HTTP answer to a request. An unexpected status or a malformed body is
/// [`WorkerAnswer::Unknown`].
pub fn decode_worker_answer(request: &WorkerRequest, status: u16, body: &[u8]) -> WorkerAnswer {
    match (request, status) {
        (WorkerRequest::Poll { .. }, 200) => decode_tasks(body),
        (WorkerRequest::Start { .. }, 200) => WorkerAnswer::Started,
        (WorkerRequest::Start { .. }, 409) => {
            WorkerAnswer::Declined { reason: String::from_utf8_lossy(body).into() }
        }
        (WorkerRequest::Stop { .. }, 200) => WorkerAnswer::Stopping,
        _ => WorkerAnswer::Unknown,
    }
}

fn decode_tasks(body: &[u8]) -> WorkerAnswer {
    match serde_json::from_slice::<TasksBody>(body) {
        Ok(body) => WorkerAnswer::Tasks {
            boot: body.boot,
            lease: body.lease,
            free_cores: body.free_cores,
            free_memory: body.free_memory,
            tasks: body.tasks,
        },
        Err(_) => WorkerAnswer::Unknown,
    }
}
