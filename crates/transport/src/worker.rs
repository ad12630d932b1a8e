//! Worker client: sends encoded worker requests over HTTP and decodes the
//! responses.

use std::time::Duration;

use coordination::{WorkerAnswer, WorkerRequest};
use protocol::{decode_worker_answer, encode_worker_request};

use crate::http::{HttpError, HttpRequest, send_http};

/// Timeout for one call to a worker.
const WORKER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Makes one call to the worker at `address` (IP address and port).
///
/// Returns [`WorkerAnswer::NotSent`] if the request was not sent and
/// [`WorkerAnswer::Unknown`] if no complete response arrived.
pub fn call_worker(address: &str, request: &WorkerRequest) -> WorkerAnswer {
    let call = encode_worker_request(request);
    let response = send_http(&HttpRequest {
        method: "POST",
        address,
        path: call.path,
        headers: &[("Content-Type", "application/json")],
        body: &call.body,
        timeout: WORKER_TIMEOUT,
    });
    match response {
        Ok(answer) => decode_worker_answer(request, answer.status, &answer.body),
        Err(HttpError::NotSent(_)) => WorkerAnswer::NotSent,
        Err(HttpError::NoResponse(_)) => WorkerAnswer::Unknown,
    }
}
