//! Claims on requests that must run at most once.

use state::{ClaimRecord, ClaimState};

use super::Core;
use super::DocumentRef;
use super::calls::CallPhase;
use crate::document::Finished;
use crate::event::CallDirective;
use crate::mutate::claim::{ClaimMutation, ClaimResult};
use crate::queue::CallKey;

impl Core {
    pub(super) fn submit_claim_request(&mut self, key: CallKey) {
        let record = ClaimRecord {
            holder: self.this_daemon().clone(),
            request: self.calls[key].request.clone(),
            state: ClaimState::Held,
            claimed_ms: self.clock.wall_ms,
        };
        let Some(claim) = self.calls[key].claim.clone() else { return };
        self.submit_claim_change(claim.shard, ClaimMutation::Take { key: claim.key, record });
    }

    fn submit_claim_change(&mut self, shard: u32, mutation: ClaimMutation) {
        self.claim_writer(shard).submit(mutation);
        self.dirty_documents.insert(DocumentRef::Claims(shard));
    }

    /// Gives a claim up, because the request did not and will not run.
    pub(super) fn release_claim(&mut self, key: CallKey) {
        let call = &self.calls[key];
        let Some(claim) = call.claim.clone() else { return };
        let request = call.request.clone();
        self.submit_claim_change(claim.shard, ClaimMutation::Release { key: claim.key, request });
    }

    /// Records what became of a claimed request.
    pub(super) fn record_claim_outcome(&mut self, key: CallKey, state: ClaimState) {
        let call = &self.calls[key];
        let Some(claim) = call.claim.clone() else { return };
        let request = call.request.clone();
        self.submit_claim_change(
            claim.shard,
            ClaimMutation::Settle { key: claim.key, request, state },
        );
    }

    pub(super) fn handle_finished_claim_changes(
        &mut self,
        finished: Vec<Finished<ClaimMutation, ClaimResult>>,
    ) {
        for Finished { mutation, result } in finished {
            if let ClaimMutation::Take { record, .. } = mutation {
                self.handle_claim_result(&record, result);
            }
        }
    }

    fn handle_claim_result(&mut self, record: &ClaimRecord, result: ClaimResult) {
        let waiting = self
            .calls
            .iter()
            .find(|(_, call)| call.request == record.request && call.phase == CallPhase::Claiming);
        let Some((key, _)) = waiting else { return };
        match result {
            ClaimResult::Taken => self.enqueue(key, false),
            ClaimResult::Other(other) => self.answer_repeated_call(key, other.state),
            ClaimResult::Absent => {}
        }
    }

    /// Answers a request whose idempotency key another request has.
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
