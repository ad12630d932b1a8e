//! Changes of the claims on requests that must run at most once.

use state::{ClaimDoc, ClaimRecord, ClaimState, RequestId};

use crate::timing::CLAIM_RETENTION;

/// Change of one claim.
#[derive(Debug, Clone)]
pub enum ClaimMutation {
    /// Acquires the claim, unless another request holds it.
    Acquire {
        /// Key of the claim: `<team>/<pool>/<idempotency key>`.
        key: Box<str>,
        /// Record of the acquired claim.
        record: ClaimRecord,
    },
    /// Releases the claim of a request that did not run.
    Release {
        /// Key of the claim: `<team>/<pool>/<idempotency key>`.
        key: Box<str>,
        /// Request that holds the claim.
        request: RequestId,
    },
    /// Records the outcome of the request.
    RecordOutcome {
        /// Key of the claim: `<team>/<pool>/<idempotency key>`.
        key: Box<str>,
        /// Request that holds the claim.
        request: RequestId,
        /// New state of the claim.
        state: ClaimState,
    },
}

/// Result of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimResult {
    /// The request holds the claim, or its claim was changed as requested.
    Applied,
    /// Another request holds the claim; this is its record.
    HeldByOther(ClaimRecord),
    /// The request holds no such claim.
    NotHeld,
}

/// Applies one change. Acquiring a claim also removes the claims whose retention
/// has ended.
pub fn apply(doc: &mut ClaimDoc, mutation: &ClaimMutation) -> ClaimResult {
    match mutation {
        ClaimMutation::Acquire { key, record } => acquire(doc, key, record),
        ClaimMutation::Release { key, request } => {
            if is_claim_holder(doc, key, request) {
                doc.claims.remove(key);
                return ClaimResult::Applied;
            }
            ClaimResult::NotHeld
        }
        ClaimMutation::RecordOutcome { key, request, state } => match doc.claims.get_mut(key) {
            Some(existing) if existing.request == *request => {
                existing.state = state.clone();
                ClaimResult::Applied
            }
            _ => ClaimResult::NotHeld,
        },
    }
}

fn acquire(doc: &mut ClaimDoc, key: &str, record: &ClaimRecord) -> ClaimResult {
    let retained_since = record.claimed_ms.saturating_sub(CLAIM_RETENTION.0);
    doc.claims.retain(|_, existing| existing.claimed_ms >= retained_since);
    match doc.claims.get(key) {
        Some(existing) if existing.request != record.request => {
            ClaimResult::HeldByOther(existing.clone())
        }
        Some(_) => ClaimResult::Applied,
        None => {
            doc.claims.insert(key.into(), record.clone());
            ClaimResult::Applied
        }
    }
}

fn is_claim_holder(doc: &ClaimDoc, key: &str, request: &RequestId) -> bool {
    doc.claims.get(key).is_some_and(|existing| existing.request == *request)
}
