//! Claims of requests that must run at most once: requests that are not
//! idempotent and carry an idempotency key.
//!
//! Such a request is queued only after its claim is written. A later request with
//! the same key finds the claim and is answered by the claim's state instead of
//! being run.

use state::{ClaimRecord, ClaimState};

use super::Core;
use super::DocumentRef;
use super::calls::CallPhase;
use crate::document::FinishedChange;
use crate::event::CallDirective;
use crate::mutate::claim::{ClaimMutation, ClaimResult};
use crate::queue::CallKey;

impl Core {
    /// Submits the claim of a request; the request waits until the claim is
    /// written.
    pub(super) fn submit_claim_request(&mut self, key: CallKey) {
        let record = ClaimRecord {
            holder: self.this_daemon().clone(),
            request: self.calls[key].request.clone(),
            state: ClaimState::Held,
            claimed_ms: self.clock.wall_ms,
        };
        let Some(claim) = self.calls[key].claim.clone() else { return };
        self.submit_claim_change(claim.shard, ClaimMutation::Acquire { key: claim.key, record });
    }

    fn submit_claim_change(&mut self, shard: u32, mutation: ClaimMutation) {
        self.claim_writer(shard).submit(mutation);
        self.dirty_documents.insert(DocumentRef::Claims(shard));
    }

    /// Removes the claim of a request that did not run and will not run.
    pub(super) fn release_claim(&mut self, key: CallKey) {
        let call = &self.calls[key];
        let Some(claim) = call.claim.clone() else { return };
        let request = call.request.clone();
        self.submit_claim_change(claim.shard, ClaimMutation::Release { key: claim.key, request });
    }

    /// Records the final state of a claimed request in its claim.
    pub(super) fn record_claim_outcome(&mut self, key: CallKey, state: ClaimState) {
        let call = &self.calls[key];
        let Some(claim) = call.claim.clone() else { return };
        let request = call.request.clone();
        self.submit_claim_change(
            claim.shard,
            ClaimMutation::RecordOutcome { key: claim.key, request, state },
        );
    }

    pub(super) fn handle_finished_claim_changes(
        &mut self,
        finished: Vec<FinishedChange<ClaimMutation, ClaimResult>>,
    ) {
        for FinishedChange { mutation, result } in finished {
            if let ClaimMutation::Acquire { record, .. } = mutation {
                self.handle_claim_result(&record, result);
            }
        }
    }

    /// Queues the request if it acquired the claim; otherwise answers the request by
    /// the state of the earlier claim.
    fn handle_claim_result(&mut self, record: &ClaimRecord, result: ClaimResult) {
        let claiming = self
            .calls
            .iter()
            .find(|(_, call)| call.request == record.request && call.phase == CallPhase::Claiming);
        let Some((key, _)) = claiming else { return };
        match result {
            ClaimResult::Applied => self.enqueue(key, false),
            ClaimResult::HeldByOther(earlier) => self.answer_repeated_call(key, earlier.state),
            ClaimResult::NotHeld => {}
        }
    }

    /// Answers a request whose idempotency key belongs to an earlier request, by
    /// the state of that request's claim.
    fn answer_repeated_call(&mut self, key: CallKey, state: ClaimState) {
        self.calls[key].claim = None;
        let directive = match state {
            ClaimState::Done { answer: Some(answer) } => CallDirective::Replay(answer),
            ClaimState::Done { answer: None } => CallDirective::RanBefore,
            ClaimState::Unknown => CallDirective::Unknown {
                reason: "the first request with this idempotency key may have run".into(),
            },
            ClaimState::Held => CallDirective::Unknown {
                reason: "a request with this idempotency key is under way, or its daemon was lost"
                    .into(),
            },
        };
        let call = self.remove_call(key);
        self.send_directive(call.token, directive);
    }
}
