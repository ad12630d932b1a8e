//! Collects the effects of one step and records the purpose of each open call.

use std::borrow::Cow;
use std::collections::BTreeMap;

use state::{Moment, PoolId, Revision};

use crate::event::{CallId, ClientAnswer, Clock, Effect, Measurement, ReplyToken};
use crate::intake::IntakeCall;
use crate::io::{CloudCall, MinionCall, MinionTarget, StoreCall};
use crate::pool::PoolCall;
use crate::session::SessionCall;
use crate::shared::SharedCall;
use crate::vm_controller::VmControllerCall;

/// Log line of one decision with its inputs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DecisionLine {
    /// Kind of decision.
    pub decision: &'static str,
    /// Request, job, task, minion, pool or other object that the decision concerns.
    pub id: Box<str>,
    /// Values that determined the decision, with ages or versions.
    pub inputs: Box<str>,
    /// Result of the decision.
    pub outcome: Cow<'static, str>,
}

/// Component that made a call, and the reason for the call.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum CallPurpose {
    Shared(SharedCall),
    Session(SessionCall),
    Intake(IntakeCall),
    Registry,
    VmController(Revision, VmControllerCall),
    /// Includes the fencing token of the owner that made the call, so that a later owner
    /// does not handle the answer.
    Pool(PoolId, Revision, PoolCall),
}

impl CallPurpose {
    /// Whether the call writes to the store under a condition.
    pub(crate) fn is_commit(&self) -> bool {
        match self {
            Self::Session(call) => {
                matches!(call, SessionCall::Acquire(..) | SessionCall::Release(_))
            }
            Self::Intake(call) => matches!(call, IntakeCall::Accept(_) | IntakeCall::Cancel(_)),
            Self::VmController(..) => true,
            Self::Pool(_, _, call) => !call.is_read(),
            Self::Shared(_) | Self::Registry => false,
        }
    }
}

/// Effects of the current step, and open calls of all steps.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    effects: Vec<Effect>,
    open_calls: BTreeMap<CallId, (CallPurpose, Moment)>,
    last_call_number: u64,
    /// Number of jobs, minions and runs that pools' owners have examined.
    checks: u64,
}

impl Outbox {
    pub(crate) fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Removes an answered call and returns its purpose and the time at which it was
    /// sent.
    pub(crate) fn close_call(&mut self, call: CallId) -> Option<(CallPurpose, Moment)> {
        self.open_calls.remove(&call)
    }

    pub(crate) fn count_checks(&mut self, checks: u64) {
        self.checks += checks;
    }

    pub(crate) fn checks(&self) -> u64 {
        self.checks
    }

    fn open_call(&mut self, clock: Clock, purpose: CallPurpose) -> CallId {
        self.last_call_number += 1;
        let call = CallId(self.last_call_number);
        self.open_calls.insert(call, (purpose, clock.now));
        call
    }

    pub(crate) fn call_store(
        &mut self,
        clock: Clock,
        purpose: CallPurpose,
        request: StoreCall,
    ) -> CallId {
        let call = self.open_call(clock, purpose);
        self.effects.push(Effect::Store(call, request));
        call
    }

    /// Gives up an open call if it was sent up to `latest`; its answer is not handled any more.
    /// Returns whether the call was given up.
    pub(crate) fn abandon_call(&mut self, call: CallId, latest: Moment) -> bool {
        let is_sent_in_time =
            self.open_calls.get(&call).is_some_and(|(_, sent_at)| *sent_at <= latest);
        is_sent_in_time && self.open_calls.remove(&call).is_some()
    }

    pub(crate) fn call_minion(
        &mut self,
        clock: Clock,
        purpose: CallPurpose,
        target: MinionTarget,
        fencing_token: u64,
        order: MinionCall,
    ) {
        let call = self.open_call(clock, purpose);
        self.effects.push(Effect::Minion { call, target, fencing_token, order });
    }

    pub(crate) fn call_cloud(&mut self, clock: Clock, purpose: CallPurpose, request: CloudCall) {
        let call = self.open_call(clock, purpose);
        self.effects.push(Effect::Cloud(call, request));
    }

    pub(crate) fn reply(&mut self, reply_token: ReplyToken, answer: ClientAnswer) {
        self.effects.push(Effect::Reply(reply_token, answer));
    }

    pub(crate) fn log(
        &mut self,
        decision: &'static str,
        id: impl ToString,
        inputs: impl Into<Box<str>>,
        outcome: impl Into<Cow<'static, str>>,
    ) {
        let id = id.to_string().into();
        let line = DecisionLine { decision, id, inputs: inputs.into(), outcome: outcome.into() };
        self.effects.push(Effect::Log(line));
    }

    pub(crate) fn measure(&mut self, measurement: Measurement) {
        self.effects.push(Effect::Measure(measurement));
    }

    pub(crate) fn report_stopped(&mut self) {
        self.effects.push(Effect::Stopped);
    }
}
