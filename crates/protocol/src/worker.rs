//! The workers' interface: polls with leases, starts, stops.

use coordination::{TaskReport, WorkerAnswer, WorkerRequest};
use serde::{Deserialize, Serialize};
use state::{Cores, JobId, JobSpec, Mebibytes};

/// Body of a poll.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PollBody {
    /// The lease of the last answered poll.
    pub lease: Option<u64>,
}

/// Body of a start.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StartBody {
    /// The lease that the last poll gave.
    pub lease: u64,
    /// The job.
    pub job: JobId,
    /// Which attempt at it.
    pub attempt: u32,
    /// What to run.
    pub spec: JobSpec,
}

/// Body of a stop.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StopBody {
    /// The job.
    pub job: JobId,
    /// Which attempt at it.
    pub attempt: u32,
}

/// Answer to a poll.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TasksBody {
    /// How often the worker has booted.
    pub boot: u64,
    /// A lease for starts.
    pub lease: u64,
    /// Cores that no task uses.
    pub free_cores: Cores,
    /// Memory that no task uses.
    pub free_memory: Mebibytes,
    /// All tasks that it knows of.
    pub tasks: Vec<TaskReport>,
}

/// One HTTP call to a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerCall {
    /// Path; the method is POST.
    pub path: &'static str,
    /// Body in JSON.
    pub body: Vec<u8>,
}

/// The HTTP call of a request.
pub fn worker_call(request: &WorkerRequest) -> WorkerCall {
    match request {
        WorkerRequest::Poll { lease } => {
            WorkerCall { path: "/poll", body: json(&PollBody { lease: *lease }) }
        }
        WorkerRequest::Start { lease, job, attempt, spec } => {
            let (job, spec) = (job.clone(), spec.clone());
            let body = StartBody { lease: *lease, job, attempt: *attempt, spec };
            WorkerCall { path: "/start", body: json(&body) }
        }
        WorkerRequest::Stop { job, attempt } => {
            let body = StopBody { job: job.clone(), attempt: *attempt };
            WorkerCall { path: "/stop", body: json(&body) }
        }
    }
}

fn json<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("a body is valid JSON")
}

/// The meaning of a worker's HTTP answer. Anything that is not understood is
/// [`WorkerAnswer::Unknown`].
pub fn worker_answer(request: &WorkerRequest, status: u16, body: &[u8]) -> WorkerAnswer {
    match (request, status) {
        (WorkerRequest::Poll { .. }, 200) => tasks(body),
        (WorkerRequest::Start { .. }, 200) => WorkerAnswer::Started,
        (WorkerRequest::Start { .. }, 409) => {
            WorkerAnswer::Declined { reason: String::from_utf8_lossy(body).into() }
        }
        (WorkerRequest::Stop { .. }, 200) => WorkerAnswer::Stopping,
        _ => WorkerAnswer::Unknown,
    }
}

fn tasks(body: &[u8]) -> WorkerAnswer {
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
