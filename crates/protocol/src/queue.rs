//! Decodes requests to the interface for queues and jobs of steps, and encodes the answers
//! (`docs/INTERFACE.md`, "Jobs of steps").

use fleet::{ClientAction, ClientAnswer, ClientCall, ClientTarget, ReplyToken};
use jobs::{JobSpec, parse_job};
use serde_json::{Value, json};
use state::Millis;

/// Maximum length of the text of a job. Its parser was seen to need 78 times the length in memory, and
/// a job of the largest number of steps takes some tens of kilobytes.
const MAX_JOB_BYTES: usize = 256 << 10;
/// Timeout of a request; shorter than the timeout of the command-line client.
const REQUEST_TIMEOUT: Millis = Millis(10_000);

/// Method, URL and `Authorization` header of an HTTP request to a queue.
#[derive(Debug, Clone, Copy)]
pub struct QueueHead<'a> {
    /// HTTP method; supported are `GET`, `PUT` and `DELETE`.
    pub method: &'a str,
    /// Path and query of the URL.
    pub url: &'a str,
    /// Value of the `Authorization` header: `Bearer`, a space and the caller's key.
    pub authorization: Option<&'a str>,
}

/// Reason why an HTTP request is not a request to a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueCallFault {
    /// The path addresses neither a queue nor a job of a queue.
    Path,
    /// The method is not supported.
    Method,
}

/// HTTP response to a request to a queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueReply {
    /// HTTP status code.
    pub status: u16,
    /// Body as JSON.
    pub body: Value,
    /// Delay after which the caller should send the request again.
    pub retry_after: Option<Millis>,
}

/// Decodes a request to a queue. A body that is not a valid job becomes
/// [`ClientAction::Submit`] with the reason, so that the queue and the key are checked
/// before the job.
///
/// # Errors
///
/// Returns [`QueueCallFault`] if the path or the method is not valid.
pub fn decode_queue_call(
    reply_token: ReplyToken,
    head: QueueHead<'_>,
    body: &[u8],
) -> Result<ClientCall, QueueCallFault> {
    let target = parse_target(head.url).ok_or(QueueCallFault::Path)?;
    let action = match head.method {
        "GET" => ClientAction::Show,
        "DELETE" => ClientAction::Cancel,
        "PUT" => ClientAction::Submit(parse_job_body(body)),
        _ => return Err(QueueCallFault::Method),
    };
    let key = head.authorization.and_then(|header| header.strip_prefix("Bearer "));
    let key = key.map(|key| key.trim().into());
    Ok(ClientCall { reply_token, target, key, timeout: REQUEST_TIMEOUT, action })
}

fn parse_target(url: &str) -> Option<ClientTarget> {
    let path = url.split('?').next().unwrap_or_default();
    let target = path.strip_prefix("/queues/")?;
    let (queue, job) = target.split_once('/').unwrap_or((target, ""));
    Some(ClientTarget::Queue { queue: queue.parse().ok()?, job: job.into() })
}

fn parse_job_body(body: &[u8]) -> Result<JobSpec, Box<str>> {
    if body.len() > MAX_JOB_BYTES {
        return Err(format!("a job has at most {MAX_JOB_BYTES} bytes").into());
    }
    let text = std::str::from_utf8(body).map_err(|error| error.to_string())?;
    parse_job(text).map_err(|fault| fault.to_string().into())
}

/// Encodes the answer to an HTTP request that is not a request to a queue.
pub fn encode_queue_fault(fault: QueueCallFault) -> QueueReply {
    match fault {
        QueueCallFault::Path => {
            build_not_run_reply(404, "queues are at /queues/QUEUE, their jobs at /queues/QUEUE/JOB")
        }
        QueueCallFault::Method => build_not_run_reply(405, "use GET, PUT or DELETE"),
    }
}

/// Encodes the answer to a request to a queue.
pub fn encode_queue_answer(answer: &ClientAnswer) -> QueueReply {
    match answer {
        ClientAnswer::Accepted => build_done_reply(json!({ "phase": "accepted" })),
        ClientAnswer::Phase(phase) => build_done_reply(json!({ "phase": phase.to_string() })),
        ClientAnswer::Cancelled => build_done_reply(json!({ "phase": "cancelled" })),
        ClientAnswer::Pending(count) => build_done_reply(json!({ "pending": count })),
        ClientAnswer::NoJob => build_not_run_reply(404, "no such job"),
        ClientAnswer::NoQueue => build_not_run_reply(404, "no such queue"),
        ClientAnswer::BadKey => build_not_run_reply(401, "no key, or one that does not work"),
        ClientAnswer::Malformed(reason) => build_not_run_reply(400, reason),
        ClientAnswer::NotDone { retry_after } => {
            QueueReply { retry_after: Some(*retry_after), ..build_not_run_reply(503, "not now") }
        }
        ClientAnswer::Unknown => {
            let reason = "the store has not answered; ask for the job, or hand it in again";
            let body = json!({ "outcome": "unknown", "reason": reason });
            QueueReply { status: 504, body, retry_after: None }
        }
    }
}

fn build_done_reply(body: Value) -> QueueReply {
    QueueReply { status: 200, body, retry_after: None }
}

fn build_not_run_reply(status: u16, reason: &str) -> QueueReply {
    let body = json!({ "outcome": "not-run", "reason": reason });
    QueueReply { status, body, retry_after: None }
}
