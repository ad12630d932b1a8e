//! The one form of an outcome: HTTP status, a header, and a JSON body.

use coordination::{CallDirective, Refusal, RefusalKind};
use serde::{Deserialize, Serialize};
use state::Millis;

/// Says `done`, `not-run` or `unknown`.
pub const HEADER_OUTCOME: &str = "Pollenfall-Outcome";
/// Names the request; the minion echoes it.
pub const HEADER_REQUEST: &str = "Pollenfall-Request";
/// The time that is left for the request, in milliseconds.
pub const HEADER_DEADLINE: &str = "Pollenfall-Deadline-Ms";
/// The caller's name for a request that must run at most once.
pub const HEADER_IDEMPOTENCY: &str = "Idempotency-Key";

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It ran, and this is its answer.
    Done,
    /// It did not run and will not.
    NotRun,
    /// It may have run.
    Unknown,
}

impl Outcome {
    /// The header's value.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// The body of an outcome that has no answer of its own.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeBody {
    /// What became of the request.
    pub outcome: Outcome,
    /// Why.
    pub reason: Box<str>,
    /// When another try makes sense, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_ms: Option<Millis>,
}

impl OutcomeBody {
    /// A body that says `not-run`.
    pub fn not_run(refusal: &Refusal) -> Self {
        Self {
            outcome: Outcome::NotRun,
            reason: refusal.reason.clone(),
            retry_after_ms: refusal.retry_after,
        }
    }
}

/// The status and body of a verdict that has no answer of its own.
pub fn outcome_of(directive: &CallDirective) -> (u16, OutcomeBody) {
    match directive {
        CallDirective::Refuse(refusal) => {
            (refusal_status(refusal.kind), OutcomeBody::not_run(refusal))
        }
        CallDirective::RanBefore | CallDirective::Replay(_) => {
            (200, plain(Outcome::Done, "it ran before; its answer was too large to keep"))
        }
        CallDirective::Unknown { reason } => (502, plain(Outcome::Unknown, reason)),
        CallDirective::Send { .. } => (500, plain(Outcome::Unknown, "the request is not finished")),
    }
}

fn plain(outcome: Outcome, reason: &str) -> OutcomeBody {
    OutcomeBody { outcome, reason: reason.into(), retry_after_ms: None }
}

/// The HTTP status of a class of refusals.
pub(crate) fn refusal_status(kind: RefusalKind) -> u16 {
    match kind {
        RefusalKind::Invalid => 400,
        RefusalKind::Unauthorised => 401,
        RefusalKind::Forbidden => 403,
        RefusalKind::Overloaded => 429,
        RefusalKind::Unavailable => 503,
    }
}
