//! Claims: records of which daemon may run a request that must run at most once.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{DaemonRef, RequestId};

/// Progress of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum ClaimState {
    /// The claim holder may send the request, or has sent it.
    Held,
    /// The request ran and its answer arrived complete.
    Done {
        /// The stored answer; `None` if the answer was too large to store.
        answer: Option<StoredAnswer>,
    },
    /// The request was sent, and its outcome is unknown.
    Unknown,
}

/// Stored answer that is replayed when the request is repeated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header.
    pub content_type: Box<str>,
    /// Body of the answer in UTF-8.
    pub body: Box<str>,
}

/// Record of one claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Claim holder: the daemon incarnation that may send the request.
    pub holder: DaemonRef,
    /// Identifier that the claim holder uses for the request.
    pub request: RequestId,
    /// Progress of the request.
    pub state: ClaimState,
    /// Wall-clock time of the claim in milliseconds; the claim is removed after a retention period
    /// from this time.
    pub claimed_ms: u64,
}

/// One shard of the claims. The key of a claim is
/// `<team>/<pool>/<idempotency key>`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct ClaimDoc {
    /// Claims by team, pool and idempotency key.
    pub claims: BTreeMap<Box<str>, ClaimRecord>,
}
