//! Encodes the outcome of a caller's request as an HTTP status, the header
//! [`HEADER_OUTCOME`] and a JSON body.

use coordination::{CallDirective, Refusal, RefusalKind};
use serde::{Deserialize, Serialize};
use state::Millis;

/// Response header with the outcome: `done`, `not-run` or `unknown`.
pub const HEADER_OUTCOME: &str = "Pollenfall-Outcome";
/// Header with the id of the request. The minion echoes the header in its response.
pub const HEADER_REQUEST: &str = "Pollenfall-Request";
/// Request header with the time that remains until the deadline, in milliseconds.
pub const HEADER_DEADLINE: &str = "Pollenfall-Deadline-Ms";
/// Request header with the idempotency key: the caller's name for a request that must run at
/// most once.
pub const HEADER_IDEMPOTENCY: &str = "Idempotency-Key";

/// Outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request ran.
    Done,
    /// The request did not run and will not run.
    NotRun,
    /// The request may or may not have run.
    Unknown,
}

impl Outcome {
    /// Returns the value of [`HEADER_OUTCOME`].
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// Body of a response without an answer of a minion.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeBody {
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Reason for the outcome, as text for the caller.
    pub reason: Box<str>,
    /// Time after which the caller may try again, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_ms: Option<Millis>,
}

impl OutcomeBody {
    /// Returns the body with the outcome `not-run` for a refusal.
    pub fn not_run(refusal: &Refusal) -> Self {
        Self {
            outcome: Outcome::NotRun,
            reason: refusal.reason.clone(),
            retry_after_ms: refusal.retry_after,
        }
    }
}

/// Encodes a directive that carries no answer of a minion as an HTTP status and a body.
pub fn encode_outcome(directive: &CallDirective) -> (u16, OutcomeBody) {
    match directive {
        CallDirective::Refuse(refusal) => {
            (refusal_status(refusal.kind), OutcomeBody::not_run(refusal))
        }
        CallDirective::RanBefore | CallDirective::Replay(_) => {
            (200, build_body(Outcome::Done, "it ran before; its answer was too large to keep"))
        }
        CallDirective::Unknown { reason } => (502, build_body(Outcome::Unknown, reason)),
        CallDirective::Send { .. } => {
            (500, build_body(Outcome::Unknown, "the request is not finished"))
        }
    }
}

fn build_body(outcome: Outcome, reason: &str) -> OutcomeBody {
    OutcomeBody { outcome, reason: reason.into(), retry_after_ms: None }
}

/// Returns the HTTP status code of a class of refusals.
pub(crate) fn refusal_status(kind: RefusalKind) -> u16 {
    match kind {
        RefusalKind::Invalid => 400,
        RefusalKind::Unauthorised => 401,
        RefusalKind::Forbidden => 403,
        RefusalKind::Overloaded => 429,
        RefusalKind::Unavailable => 503,
    }
}
