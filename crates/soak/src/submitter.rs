//! Submitters: the queue that they know, and calls that are repeated until a job is accepted.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use http_body_util::Full;
use hyper::Request;
use hyper::body::Bytes;
use serde_json::{Value, json};
use state::JobId;

use crate::http_client::HttpClient;
use crate::incarnation::TaskWork;
use crate::minion::POOL;

const HOST: &str = "orders.example";
const PREFIX: &str = "/orders/";
const API_KEY: &str = "key-of-the-plants";
/// Time for which a submitter waits for an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Calls for one job before the submitter gives up.
const MAX_ATTEMPTS: usize = 20;
/// Time between two calls for one job.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Memory demand of a task, in MiB.
const TASK_MEMORY_MIB: u64 = 100;

/// Returns the configuration, which has one queue.
pub(crate) fn build_configuration() -> Value {
    json!({
        "Version": 3,
        "Routes": [{
            "Name": "orders", "Host": HOST, "Prefix": PREFIX, "Service": POOL, "Priority": 0,
            "MaxAttempts": 3, "Stretch": 1.6, "TargetLatencyMs": 600,
        }],
        "Services": [{ "Name": POOL, "RejectsOverload": true }],
        "Tenants": [{ "Name": "plants", "ApiKeys": [API_KEY], "Weight": 1, "Maximum": {} }],
        "Limits": {},
    })
}

/// Job of one step whose tasks are equal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SoakJob {
    pub(crate) tasks: u32,
    pub(crate) work: TaskWork,
}

/// Submitters that use open connections until the daemon's process is gone.
pub(crate) struct SubmitterPool {
    frontends: Vec<SocketAddr>,
    next_frontend: AtomicUsize,
    last_job: AtomicUsize,
    idle_clients: Mutex<Vec<HttpClient>>,
}

impl SubmitterPool {
    /// Creates submitters that know the daemons at `frontends`.
    pub(crate) fn new(frontends: Vec<SocketAddr>) -> Self {
        let (next_frontend, last_job) = (AtomicUsize::new(0), AtomicUsize::new(0));
        Self { frontends, next_frontend, last_job, idle_clients: Mutex::default() }
    }

    /// Submits a job, at the next daemon after each call without acceptance. Returns whether the job
    /// was accepted.
    pub(crate) fn submit(&self, job: SoakJob) -> eyre::Result<bool> {
        let number = self.last_job.fetch_add(1, Ordering::SeqCst) + 1;
        let id: JobId = format!("{number:016x}").parse()?;
        let idle = self.lock_idle().pop();
        let mut client = match idle {
            Some(client) => client,
            None => HttpClient::new()?,
        };
        let first = self.next_frontend.fetch_add(1, Ordering::SeqCst);
        let mut is_accepted = false;
        for attempt in 0..MAX_ATTEMPTS {
            let address = self.frontends[(first + attempt) % self.frontends.len()];
            let status = client.call(address, build_submission(&id, job)?, CALL_TIMEOUT);
            is_accepted = status.is_some_and(|status| (200..300).contains(&status));
            if is_accepted {
                break;
            }
            thread::sleep(RETRY_INTERVAL);
        }
        self.lock_idle().push(client);
        Ok(is_accepted)
    }

    fn lock_idle(&self) -> std::sync::MutexGuard<'_, Vec<HttpClient>> {
        self.idle_clients.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn build_submission(id: &JobId, job: SoakJob) -> eyre::Result<Request<Full<Bytes>>> {
    let body = json!({
        "Spec": job.work.payload(),
        "Steps": [{
            "Count": job.tasks, "Cpu": job.work.cpu, "MemMb": TASK_MEMORY_MIB,
            "EstimateMs": job.work.duration.as_millis() as u64,
        }],
    });
    let request = Request::post(format!("{PREFIX}{id}"))
        .header("Host", HOST)
        .header("Key", API_KEY)
        .header("Deadline-Ms", CALL_TIMEOUT.as_millis().to_string())
        .header("Content-Type", "application/json");
    Ok(request.body(Full::new(Bytes::from(body.to_string())))?)
}
