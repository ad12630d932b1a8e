//! The control interface: what operators and submitters send.

use std::fmt;

use coordination::{ControlAnswer, ControlRequest, VmAction};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use state::{ChangeId, ConfigEdit, JobId, JobSpec, KeyText};

use crate::outcome::refusal_status;

/// Body of a change of configuration.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ChangeBody {
    /// The change's name, by which a repeat is recognised.
    pub change: ChangeId,
    /// The latest change that the operator saw, if it builds on that.
    pub expect: Option<ChangeId>,
    /// The steps.
    pub edits: Vec<ConfigEdit>,
}

/// Body of a submission.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobBody {
    /// The job's name, by which a repeat is recognised.
    pub job: JobId,
    /// What is declared.
    pub spec: JobSpec,
}

/// Why a control call is no request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PathError {
    /// There is no such path.
    NoSuchPath,
    /// The path has another method.
    WrongMethod,
    /// The body is not what the path takes.
    BadBody(Box<str>),
}

impl fmt::Display for PathError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoSuchPath => write!(f, "there is no such path"),
            Self::WrongMethod => write!(f, "the path has another method"),
            Self::BadBody(reason) => write!(f, "the body is not understood: {reason}"),
        }
    }
}

impl std::error::Error for PathError {}

impl PathError {
    /// The HTTP status of the error.
    pub fn status(&self) -> u16 {
        match self {
            Self::NoSuchPath => 404,
            Self::WrongMethod => 405,
            Self::BadBody(_) => 400,
        }
    }
}

/// The request of a control call; `path` is what follows `/control/`.
///
/// # Errors
///
/// [`PathError`] when it is none.
pub fn control_request(
    method: &str,
    path: &str,
    body: &[u8],
    key: Option<KeyText>,
) -> Result<ControlRequest, PathError> {
    let parts: Vec<&str> = path.split('/').collect();
    match (method, parts.as_slice()) {
        ("GET", ["config"]) => Ok(ControlRequest::Config),
        ("GET", ["status"]) => Ok(ControlRequest::Status),
        ("GET", ["measures"]) => Ok(ControlRequest::Measures),
        ("POST", ["change"]) => {
            let ChangeBody { change, expect, edits } = parse(body)?;
            Ok(ControlRequest::Change { change, expect, edits })
        }
        ("POST", ["vms", vm]) => {
            let vm = vm.parse().map_err(bad_body)?;
            let action: VmAction = parse(body)?;
            Ok(ControlRequest::Vm { vm, action })
        }
        ("POST", ["jobs"]) => {
            let JobBody { job, spec } = parse(body)?;
            Ok(ControlRequest::Submit { key, job, spec })
        }
        ("GET", ["jobs", job]) => {
            Ok(ControlRequest::Job { key, job: job.parse().map_err(bad_body)? })
        }
        ("DELETE", ["jobs", job]) => {
            Ok(ControlRequest::Cancel { key, job: job.parse().map_err(bad_body)? })
        }
        (_, ["config" | "status" | "measures" | "change" | "jobs"]) | (_, ["vms" | "jobs", _]) => {
            Err(PathError::WrongMethod)
        }
        _ => Err(PathError::NoSuchPath),
    }
}

fn parse<T: for<'de> Deserialize<'de>>(body: &[u8]) -> Result<T, PathError> {
    serde_json::from_slice(body).map_err(bad_body)
}

fn bad_body(error: impl fmt::Display) -> PathError {
    PathError::BadBody(error.to_string().into())
}

/// The HTTP form of a control answer.
#[derive(Debug, Clone, PartialEq)]
pub struct ControlReply {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Value,
}

/// The HTTP form of `answer`.
pub fn control_reply(answer: &ControlAnswer) -> ControlReply {
    match answer {
        ControlAnswer::InForce { revision } => {
            reply(200, json!({ "state": "in-force", "revision": revision }))
        }
        ControlAnswer::Committed { revision, waiting } => {
            reply(202, json!({ "state": "committed", "revision": revision, "waiting": waiting }))
        }
        ControlAnswer::Clash { reasons, revision } => {
            reply(409, json!({ "state": "refused", "reasons": reasons, "revision": revision }))
        }
        ControlAnswer::Refused(refusal) => reply(
            refusal_status(refusal.kind),
            json!({
                "outcome": "not-run",
                "reason": refusal.reason,
                "retry_after_ms": refusal.retry_after,
            }),
        ),
        ControlAnswer::Unknown { reason } => {
            reply(504, json!({ "outcome": "unknown", "reason": reason }))
        }
        ControlAnswer::Done => reply(200, json!({ "state": "done" })),
        ControlAnswer::Document(document) => reply(200, document.clone()),
    }
}

fn reply(status: u16, body: Value) -> ControlReply {
    ControlReply { status, body }
}
