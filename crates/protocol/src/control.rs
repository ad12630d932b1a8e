//! Decodes the requests of operators and submitters to the control interface and encodes
//! the answers.
//!
//! A request is identified by its method and by the part of its path after `/control/`;
//! bodies are JSON.

use std::fmt;

use coordination::{ControlAnswer, ControlRequest, VmAction};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use state::{ChangeId, ConfigEdit, JobId, JobSpec, KeyText};

use crate::outcome::refusal_status;

/// Maximum length of the body with an action for a VM. Its decoder keeps all fields in memory
/// until it has found the action, at many times their length.
const MAX_ACTION_BYTES: usize = 4 << 10;

/// Body of a request to change the configuration.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ChangeBody {
    /// Id of the change, by which a repeated request is recognised.
    pub change: ChangeId,
    /// Latest change that the operator has read, if the new change builds on it. A change
    /// that replaces a list must build on the latest change.
    pub expect: Option<ChangeId>,
    /// Edits of the configuration, in the order in which they are applied.
    pub edits: Vec<ConfigEdit>,
}

/// Body of a request to submit a job.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobBody {
    /// Id of the job, by which a repeated request is recognised.
    pub job: JobId,
    /// Specification of the job.
    pub spec: JobSpec,
}

/// Error that describes why an HTTP request is not a valid control request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlRequestError {
    /// The path does not exist.
    NoSuchPath,
    /// The path exists, but does not support the method.
    WrongMethod,
    /// The body, or an id in the path, cannot be parsed; contains the parse error.
    BadBody(Box<str>),
}

impl fmt::Display for ControlRequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoSuchPath => write!(f, "there is no such path"),
            Self::WrongMethod => write!(f, "the path has another method"),
            Self::BadBody(reason) => write!(f, "the body is not understood: {reason}"),
        }
    }
}

impl std::error::Error for ControlRequestError {}

impl ControlRequestError {
    /// Returns the HTTP status code of the error.
    pub fn status(&self) -> u16 {
        match self {
            Self::NoSuchPath => 404,
            Self::WrongMethod => 405,
            Self::BadBody(_) => 400,
        }
    }
}

/// Decodes a control request. `path` is the part of the URL after `/control/`, and `key` is
/// the client key of a submitter.
///
/// # Errors
///
/// Returns [`ControlRequestError`] if the path, the method or the body is not valid.
pub fn decode_control_request(
    method: &str,
    path: &str,
    body: &[u8],
    key: Option<KeyText>,
) -> Result<ControlRequest, ControlRequestError> {
    let segments: Vec<&str> = path.split('/').collect();
    match (method, segments.as_slice()) {
        ("GET", ["config"]) => Ok(ControlRequest::Config),
        ("GET", ["status"]) => Ok(ControlRequest::Status),
        ("GET", ["measures"]) => Ok(ControlRequest::Measures),
        ("POST", ["change"]) => {
            let ChangeBody { change, expect, edits } = parse_body(body)?;
            Ok(ControlRequest::Change { change, expect, edits })
        }
        ("POST", ["vms", vm]) => {
            let vm = vm.parse().map_err(to_parse_error)?;
            if body.len() > MAX_ACTION_BYTES {
                return Err(to_parse_error("the action is too long"));
            }
            let action: VmAction = parse_body(body)?;
            Ok(ControlRequest::Vm { vm, action })
        }
        ("POST", ["jobs"]) => {
            let JobBody { job, spec } = parse_body(body)?;
            Ok(ControlRequest::Submit { key, job, spec })
        }
        ("GET", ["jobs", job]) => {
            Ok(ControlRequest::Job { key, job: job.parse().map_err(to_parse_error)? })
        }
        ("DELETE", ["jobs", job]) => {
            Ok(ControlRequest::Cancel { key, job: job.parse().map_err(to_parse_error)? })
        }
        (_, ["config" | "status" | "measures" | "change" | "jobs"]) | (_, ["vms" | "jobs", _]) => {
            Err(ControlRequestError::WrongMethod)
        }
        _ => Err(ControlRequestError::NoSuchPath),
    }
}

fn parse_body<T: for<'de> Deserialize<'de>>(body: &[u8]) -> Result<T, ControlRequestError> {
    serde_json::from_slice(body).map_err(to_parse_error)
}

fn to_parse_error(error: impl fmt::Display) -> ControlRequestError {
    ControlRequestError::BadBody(error.to_string().into())
}

/// HTTP response to a control request.
#[derive(Debug, Clone, PartialEq)]
pub struct ControlReply {
    /// HTTP status code.
    pub status: u16,
    /// Body as JSON.
    pub body: Value,
}

/// Encodes the answer to a control request.
pub fn encode_control_answer(answer: &ControlAnswer) -> ControlReply {
    match answer {
        ControlAnswer::InForce { revision } => {
            build_reply(200, json!({ "state": "in-force", "revision": revision }))
        }
        ControlAnswer::Committed { revision, waiting } => build_reply(
            202,
            json!({ "state": "committed", "revision": revision, "waiting": waiting }),
        ),
        ControlAnswer::Clash { reasons, revision } => build_reply(
            409,
            json!({ "state": "refused", "reasons": reasons, "revision": revision }),
        ),
        ControlAnswer::Refused(refusal) => build_reply(
            refusal_status(refusal.kind),
            json!({
                "outcome": "not-run",
                "reason": refusal.reason,
                "retry_after_ms": refusal.retry_after,
            }),
        ),
        ControlAnswer::Unknown { reason } => {
            build_reply(504, json!({ "outcome": "unknown", "reason": reason }))
        }
        ControlAnswer::Done => build_reply(200, json!({ "state": "done" })),
        ControlAnswer::Document(document) => build_reply(200, document.clone()),
    }
}

fn build_reply(status: u16, body: Value) -> ControlReply {
    ControlReply { status, body }
}
