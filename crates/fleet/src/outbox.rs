//! Collects the effects of one step and remembers what each open call is for.

use std::borrow::Cow;
use std::collections::BTreeMap;

use state::{Moment, PoolId, Revision};

use crate::event::{CallId, ClientAnswer, Clock, Effect, RequestToken};
use crate::intake::IntakeCall;
use crate::io::{CloudCall, MinionCall, MinionTarget, StoreCall};
use crate::pool::PoolCall;
use crate::session::SessionCall;
use crate::shared::SharedCall;
use crate::vm_controller::VmControllerCall;

/// One line of the log: a decision with what decided it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DecisionLine {
    /// What was decided.
    pub decision: &'static str,
    /// Of which request, job, task, minion or pool.
    pub id: Box<str>,
    /// What decided it, with ages or versions.
    pub inputs: Box<str>,
    /// What came of it.
    pub outcome: Cow<'static, str>,
}

/// Which part made a call, and why.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum CallPurpose {
    Shared(SharedCall),
    Session(SessionCall),
    Intake(IntakeCall),
    Registry,
    VmController(Revision, VmControllerCall),
    /// With the token of the owner that made the call: a later one must not take
    /// its answer.
    Pool(PoolId, Revision, PoolCall),
}

/// Effects of a step, and open calls of all steps.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    effects: Vec<Effect>,
    open: BTreeMap<CallId, (CallPurpose, Moment)>,
    last_call: u64,
}

impl Outbox {
    pub(crate) fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// What an answered call was for, and when it was sent.
    pub(crate) fn close(&mut self, call: CallId) -> Option<(CallPurpose, Moment)> {
        self.open.remove(&call)
    }

    fn open(&mut self, clock: Clock, purpose: CallPurpose) -> CallId {
        self.last_call += 1;
        let call = CallId(self.last_call);
        self.open.insert(call, (purpose, clock.now));
        call
    }

    pub(crate) fn store(&mut self, clock: Clock, purpose: CallPurpose, request: StoreCall) {
        let call = self.open(clock, purpose);
        self.effects.push(Effect::Store(call, request));
    }

    pub(crate) fn minion(
        &mut self,
        clock: Clock,
        purpose: CallPurpose,
        target: MinionTarget,
        token: u64,
        order: MinionCall,
    ) {
        let call = self.open(clock, purpose);
        self.effects.push(Effect::Minion { call, target, fencing_token: token, order });
    }

    pub(crate) fn cloud(&mut self, clock: Clock, purpose: CallPurpose, request: CloudCall) {
        let call = self.open(clock, purpose);
        self.effects.push(Effect::Cloud(call, request));
    }

    pub(crate) fn reply(&mut self, token: RequestToken, answer: ClientAnswer) {
        self.effects.push(Effect::Reply(token, answer));
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

    pub(crate) fn stopped(&mut self) {
        self.effects.push(Effect::Stopped);
    }
}
