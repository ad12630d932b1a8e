//! Detects that the store answers again after a time in which it did not.
//!
//! A watch that waits for changes looks the same whether nothing changes or nobody listens at the
//! other end. Other calls have an answer of their own, so they show which it is: once a call that
//! was sent after a failure is answered, every watch that was sent before that call is sent again
//! (`docs/PLATFORM.md`, "Hearing of changes").

use state::Moment;

use crate::event::Clock;
use crate::io::StoreAnswer;
use crate::outbox::{CallPurpose, Outbox};

/// Call to the store with its answer.
#[derive(Debug)]
pub(crate) struct AnsweredCall<'a> {
    pub(crate) purpose: &'a CallPurpose,
    pub(crate) sent_at: Moment,
    pub(crate) answer: &'a StoreAnswer,
}

/// What the answer to a call shows of earlier calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ContactChange {
    /// Nothing.
    None,
    /// Watches that were sent before the call may be lost.
    CallsLost,
    /// The store answers again after a time in which it answered no call.
    Regained,
}

/// Whether the store answers this daemon.
#[derive(Debug, Default)]
pub(crate) struct StoreContact {
    /// Time of the first failed call since the store last answered.
    lost_since: Option<Moment>,
    /// Time of the last failed call since the store last answered.
    last_failure: Option<Moment>,
    /// Time at which the latest of the answered calls was sent.
    last_answered_call: Option<Moment>,
}

impl StoreContact {
    /// Records the answer to a call.
    pub(crate) fn record_answer(
        &mut self,
        clock: Clock,
        out: &mut Outbox,
        call: &AnsweredCall,
    ) -> ContactChange {
        let sent_at = call.sent_at;
        if matches!(call.answer, StoreAnswer::Refused | StoreAnswer::Unknown) {
            // The store may lose the answer to a write although it serves all other calls.
            if !call.purpose.is_commit() {
                self.record_failure(clock, out, call);
            }
            return ContactChange::None;
        }
        self.last_answered_call = self.last_answered_call.max(Some(sent_at));
        if self.last_failure.take_if(|failed_at| sent_at >= *failed_at).is_none() {
            return ContactChange::None;
        }
        let Some(since) = self.lost_since.take() else { return ContactChange::CallsLost };
        let inputs = format!("unavailable for {}", clock.now - since);
        out.log("dependency", "store", inputs, "regained");
        ContactChange::Regained
    }

    fn record_failure(&mut self, clock: Clock, out: &mut Outbox, call: &AnsweredCall) {
        let AnsweredCall { purpose, sent_at, answer } = *call;
        self.last_failure = Some(clock.now);
        // A call that was sent before an answered one may have been lost alone.
        let is_latest = self.last_answered_call.is_none_or(|answered| sent_at > answered);
        if self.lost_since.is_none() && is_latest {
            self.lost_since = Some(clock.now);
            let inputs = format!("{purpose:?}: {answer:?} after {}", clock.now - sent_at);
            out.log("dependency", "store", inputs, "lost");
        }
    }
}
