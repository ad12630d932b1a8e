//! Claims on requests that must run at most once.

use state::{ClaimRecord, ClaimState};

use super::Core;
use super::DocRef;
use super::calls::CallPhase;
use crate::document::Finished;
use crate::event::CallDirective;
use crate::mutate::claim::{ClaimMutation, ClaimResult};
use crate::queue::CallKey;

impl Core {
    pub(super) fn submit_claim(&mut self, key: CallKey) {
        let record = ClaimRecord {
            holder: self.me().clone(),
            request: self.calls[key].request.clone(),
            state: ClaimState::Held,
            claimed_ms: self.clock.wall_ms,
        };
        let Some(claim) = self.calls[key].claim.clone() else { return };
        self.change_claim(claim.shard, ClaimMutation::Take { key: claim.key, record });
    }

    fn change_claim(&mut self, shard: u32, mutation: ClaimMutation) {
        self.claim_writer(shard).submit(mutation);
        self.dirty.insert(DocRef::Claims(shard));
    }

    /// Gives a claim up, because the request did not and will not run.
    pub(super) fn release_claim(&mut self, key: CallKey) {
        let call = &self.calls[key];
        let Some(claim) = call.claim.clone() else { return };
        let request = call.request.clone();
        self.change_claim(claim.shard, ClaimMutation::Release { key: claim.key, request });
    }

    /// Records what became of a claimed request.
    pub(super) fn settle_claim(&mut self, key: CallKey, state: ClaimState) {
        let call = &self.calls[key];
        let Some(claim) = call.claim.clone() else { return };
        let request = call.request.clone();
        self.change_claim(claim.shard, ClaimMutation::Settle { key: claim.key, request, state });
    }

    pub(super) fn claims_finished(&mut self, finished: Vec<Finished<ClaimMutation, ClaimResult>>) {
        for Finished { mutation, result } in finished {
            if let ClaimMutation::Take { record, .. } = mutation {
                self.claim_decided(&record, result);
            }
        }
    }

    fn claim_decided(&mut self, record: &ClaimRecord, result: ClaimResult) {
        let waiting = self
            .calls
            .iter()
            .find(|(_, call)| call.request == record.request && call.phase == CallPhase::Claiming);
        let Some((key, _)) = waiting else { return };
        match result {
            ClaimResult::Taken => self.enqueue(key, false),
            ClaimResult::Other(other) => self.repeat_of(key, other.state),
            ClaimResult::Absent => {}
        }
    }

    /// Answers a request whose idempotency key another request has.
    fn repeat_of(&mut self, key: CallKey, state: ClaimState) {
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
        self.directive(call.token, directive);
    }
}
