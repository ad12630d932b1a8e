//! Claims: who may run a request that must run at most once.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{DaemonRef, RequestId};

/// How far a claimed request got.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum ClaimState {
    /// Its holder may have sent it, or may send it.
    Held,
    /// It ran, and the answer was whole.
    Done {
        /// The answer, when it was small enough to keep.
        answer: Option<KeptAnswer>,
    },
    /// It was sent, and what became of it is not known.
    Unknown,
}

/// An answer that a repeat of the request gets again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: Box<str>,
    /// Body in UTF-8.
    pub body: Box<str>,
}

/// One claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The daemon run that may send it.
    pub holder: DaemonRef,
    /// The holder's name for the request.
    pub request: RequestId,
    /// How far it got.
    pub state: ClaimState,
    /// Wall-clock time of the claim in milliseconds, after which and a
    /// retention period it is forgotten.
    pub claimed_ms: u64,
}

/// One shard of the claims. The key is `<team>/<idempotency key>`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct ClaimDoc {
    /// Claims by team and key.
    pub claims: BTreeMap<Box<str>, ClaimRecord>,
}
