//! Claims on requests that must run at most once.

use state::{ClaimDoc, ClaimRecord, ClaimState, RequestId};

use crate::timing::CLAIM_RETENTION;

/// A change of one claim.
#[derive(Debug, Clone)]
pub enum ClaimMutation {
    /// Takes the claim, unless another request has it.
    Take {
        /// `<team>/<idempotency key>`.
        key: Box<str>,
        /// The claim.
        record: ClaimRecord,
    },
    /// Gives the claim up: the request did not run.
    Release {
        /// `<team>/<idempotency key>`.
        key: Box<str>,
        /// The request that has the claim.
        request: RequestId,
    },
    /// Records what became of the request.
    Settle {
        /// `<team>/<idempotency key>`.
        key: Box<str>,
        /// The request that has the claim.
        request: RequestId,
        /// What became of it.
        state: ClaimState,
    },
}

/// What came of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimResult {
    /// The request has the claim, or the record was changed.
    Taken,
    /// Another request has it.
    Other(ClaimRecord),
    /// There is no such claim to change.
    Absent,
}

/// Applies one change, and forgets claims past their retention.
pub fn apply(doc: &mut ClaimDoc, mutation: &ClaimMutation) -> ClaimResult {
    match mutation {
        ClaimMutation::Take { key, record } => take(doc, key, record),
        ClaimMutation::Release { key, request } => {
            if is_holder(doc, key, request) {
                doc.claims.remove(key);
                return ClaimResult::Taken;
            }
            ClaimResult::Absent
        }
        ClaimMutation::Settle { key, request, state } => match doc.claims.get_mut(key) {
            Some(known) if known.request == *request => {
                known.state = state.clone();
                ClaimResult::Taken
            }
            _ => ClaimResult::Absent,
        },
    }
}

fn take(doc: &mut ClaimDoc, key: &str, record: &ClaimRecord) -> ClaimResult {
    let oldest = record.claimed_ms.saturating_sub(CLAIM_RETENTION.0);
    doc.claims.retain(|_, known| known.claimed_ms >= oldest);
    match doc.claims.get(key) {
        Some(known) if known.request != record.request => ClaimResult::Other(known.clone()),
        Some(_) => ClaimResult::Taken,
        None => {
            doc.claims.insert(key.into(), record.clone());
            ClaimResult::Taken
        }
    }
}

fn is_holder(doc: &ClaimDoc, key: &str, request: &RequestId) -> bool {
    doc.claims.get(key).is_some_and(|known| known.request == *request)
}
