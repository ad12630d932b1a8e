//! The interface to queues and jobs of steps (`docs/INTERFACE.md`, "Jobs of steps").

use fleet::{ClientAction, ClientAnswer, ClientCall, ClientTarget, ReplyToken};
use jobs::{JobSpec, parse_job};
use serde_json::{Value, json};
use state::Millis;

/// How long a caller waits for the store; less than the command line waits.
const PATIENCE: Millis = Millis(10_000);

/// What a request says besides its body.
#[derive(Debug, Clone, Copy)]
pub struct QueueHead<'a> {
    /// `GET`, `PUT` or `DELETE`.
    pub method: &'a str,
    /// Path and query.
    pub url: &'a str,
    /// The `Authorization` header.
    pub authorization: Option<&'a str>,
}

/// Says why a request is none for a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueCallFault {
    /// The path is no queue's.
    Path,
    /// No use for the method.
    Method,
}

/// An answer in the form in which it is written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueReply {
    /// HTTP status.
    pub status: u16,
    /// JSON.
    pub body: Value,
    /// When to come back.
    pub retry_after: Option<Millis>,
}

/// Decodes a request. A body that is no job is an action of its own, which is
/// answered like every other.
///
/// # Errors
///
/// The [`QueueCallFault`] of a request that is for something else.
pub fn queue_call(
    token: ReplyToken,
    head: QueueHead<'_>,
    body: &[u8],
) -> Result<ClientCall, QueueCallFault> {
    let target = target_of(head.url).ok_or(QueueCallFault::Path)?;
    let action = match head.method {
        "GET" => ClientAction::Show,
        "DELETE" => ClientAction::Cancel,
        "PUT" => ClientAction::Submit(read_job(body)),
        _ => return Err(QueueCallFault::Method),
    };
    let key = head.authorization.and_then(|header| header.strip_prefix("Bearer "));
    let key = key.map(|key| key.trim().into());
    Ok(ClientCall { reply_token: token, target, key, timeout: PATIENCE, action })
}

fn target_of(url: &str) -> Option<ClientTarget> {
    let path = url.split('?').next().unwrap_or_default();
    let rest = path.strip_prefix("/queues/")?;
    let (queue, job) = rest.split_once('/').unwrap_or((rest, ""));
    Some(ClientTarget::Queue { queue: queue.parse().ok()?, job: job.into() })
}

fn read_job(body: &[u8]) -> Result<JobSpec, Box<str>> {
    let text = std::str::from_utf8(body).map_err(|error| error.to_string())?;
    parse_job(text).map_err(|fault| fault.to_string().into())
}

/// The answer to a request that is none for a queue.
pub fn queue_fault(fault: QueueCallFault) -> QueueReply {
    match fault {
        QueueCallFault::Path => {
            not_run(404, "queues are at /queues/QUEUE, their jobs at /queues/QUEUE/JOB")
        }
        QueueCallFault::Method => not_run(405, "use GET, PUT or DELETE"),
    }
}

/// Encodes an answer.
pub fn queue_reply(answer: &ClientAnswer) -> QueueReply {
    match answer {
        ClientAnswer::Accepted => done(json!({ "phase": "accepted" })),
        ClientAnswer::Phase(phase) => done(json!({ "phase": phase.to_string() })),
        ClientAnswer::Cancelled => done(json!({ "phase": "cancelled" })),
        ClientAnswer::Pending(count) => done(json!({ "pending": count })),
        ClientAnswer::NoJob => not_run(404, "no such job"),
        ClientAnswer::NoQueue => not_run(404, "no such queue"),
        ClientAnswer::BadKey => not_run(401, "no key, or one that does not work"),
        ClientAnswer::Malformed(reason) => not_run(400, reason),
        ClientAnswer::NotDone { retry_after } => {
            QueueReply { retry_after: Some(*retry_after), ..not_run(503, "not now") }
        }
        ClientAnswer::Unknown => {
            let reason = "the store has not answered; ask for the job, or hand it in again";
            let body = json!({ "outcome": "unknown", "reason": reason });
            QueueReply { status: 504, body, retry_after: None }
        }
    }
}

fn done(body: Value) -> QueueReply {
    QueueReply { status: 200, body, retry_after: None }
}

fn not_run(status: u16, reason: &str) -> QueueReply {
    let body = json!({ "outcome": "not-run", "reason": reason });
    QueueReply { status, body, retry_after: None }
}
