//! The adapter to workers.

use std::time::Duration;

use coordination::{WorkerAnswer, WorkerRequest};
use protocol::{worker_answer, worker_call};

use crate::http::{HttpCall, HttpFailure, send_http};

/// Longest time for one call to a worker.
const WORKER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Makes one call to the worker at `address`.
pub fn call_worker(address: &str, request: &WorkerRequest) -> WorkerAnswer {
    let call = worker_call(request);
    let answer = send_http(&HttpCall {
        method: "POST",
        address,
        path: call.path,
        headers: &[("Content-Type", "application/json")],
        body: &call.body,
        timeout: WORKER_TIMEOUT,
    });
    match answer {
        Ok(answer) => worker_answer(request, answer.status, &answer.body),
        Err(HttpFailure::NotSent(_)) => WorkerAnswer::NotSent,
        Err(HttpFailure::Broken(_)) => WorkerAnswer::Unknown,
    }
}
