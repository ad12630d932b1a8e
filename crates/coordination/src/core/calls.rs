//! A request's way from arrival to its last verdict.

use state::{IdempotencyKey, KeptAnswer, Millis, Moment, PoolId, RequestId, TeamId, VmId};

use super::Core;
use crate::event::{
    AttemptOutcome, CallArrival, CallDirective, Decision, Effect, Refusal, RefusalKind, ReplyToken,
};
use crate::queue::CallKey;
use crate::timing::LONGEST_REQUEST;

/// Attempts at one request, at most.
const MOST_ATTEMPTS: u32 = 3;

/// Where a request is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum CallPhase {
    /// Its claim is being written.
    Claiming,
    /// It waits for a slot.
    Queued,
    /// It was sent to a minion.
    Sent { vm: VmId, at: Moment },
}

/// A request that is not finished.
#[derive(Debug, Clone)]
pub(crate) struct ActiveCall {
    pub(crate) token: ReplyToken,
    pub(crate) request: RequestId,
    pub(crate) team: Option<TeamId>,
    pub(crate) key: Option<state::KeyId>,
    pub(crate) pool: PoolId,
    pub(crate) idempotent: bool,
    pub(crate) claim: Option<ClaimHold>,
    pub(crate) deadline: Moment,
    /// From then on it could not be done by its deadline.
    pub(crate) latest_start: Moment,
    pub(crate) phase: CallPhase,
    pub(crate) attempts: u32,
    pub(crate) tried: Vec<VmId>,
    pub(crate) charged: f64,
    pub(crate) sent_once: bool,
}

/// The claim that a request has or waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ClaimHold {
    pub(crate) shard: u32,
    pub(crate) key: Box<str>,
}

/// A request that may still run although its answer was given up; it counts
/// against limits until it has ended for certain.
#[derive(Debug, Clone)]
pub(crate) struct LingeringCall {
    pub(crate) team: Option<TeamId>,
    pub(crate) pool: PoolId,
    pub(crate) vm: VmId,
    pub(crate) until: Moment,
}

/// Who a request speaks for, once its key has been checked.
pub(super) struct Admitted {
    pub(super) team: Option<TeamId>,
    pub(super) key: Option<state::KeyId>,
}

pub(super) fn refusal(kind: RefusalKind, reason: impl Into<Box<str>>) -> Refusal {
    Refusal { kind, reason: reason.into(), retry_after: None }
}

impl Core {
    pub(super) fn call_arrived(&mut self, arrival: CallArrival) {
        self.measures.calls += 1;
        match self.admit(&arrival) {
            Ok(admitted) => self.accept_call(arrival, admitted),
            Err(refusal) => {
                self.log_refusal(None, &arrival.pool, "new", &refusal);
                self.measures.not_run += 1;
                self.directive(arrival.token, CallDirective::Refuse(refusal));
            }
        }
    }

    fn admit(&self, arrival: &CallArrival) -> Result<Admitted, Refusal> {
        self.check_accepting()?;
        let admitted = self.check_access(arrival.key.as_ref(), &arrival.pool)?;
        let waiting: usize = self.queues.values().map(crate::queue::PoolQueue::len).sum();
        if waiting >= self.settings.queue_limit as usize {
            return Err(Refusal {
                retry_after: Some(Millis(1_000)),
                ..refusal(RefusalKind::Overloaded, "too many requests wait on this daemon")
            });
        }
        Ok(admitted)
    }

    /// Refuses new work while this daemon stops or may not take any.
    pub(super) fn check_accepting(&self) -> Result<(), Refusal> {
        let reason = match self.work_permit() {
            Ok(()) if self.stopping => "this daemon is stopping",
            Ok(()) => return Ok(()),
            Err(reason) => reason,
        };
        let retry_after = Some(Millis(1_000));
        Err(Refusal { retry_after, ..refusal(RefusalKind::Unavailable, reason) })
    }

    /// Checks key, plan, grant and pool.
    pub(super) fn check_access(
        &self,
        key: Option<&state::KeyText>,
        pool: &PoolId,
    ) -> Result<Admitted, Refusal> {
        let config = self.config.doc();
        let Some(policy) = config.pools.get(pool) else {
            return Err(refusal(RefusalKind::Invalid, format!("there is no pool {pool}")));
        };
        let Some(text) = key else {
            return match policy.open {
                true => Ok(Admitted { team: None, key: None }),
                false => {
                    Err(refusal(RefusalKind::Unauthorised, format!("pool {pool} needs a key")))
                }
            };
        };
        let record = config.keys.get(text.id()).filter(|record| record.matches(text));
        let Some(record) = record else {
            return Err(refusal(RefusalKind::Unauthorised, "the key does not work"));
        };
        let team = record.team.clone();
        if !policy.open && !config.may_use(&team, pool) {
            let reason = format!("the plan of team {team} may not use pool {pool}");
            return Err(refusal(RefusalKind::Forbidden, reason));
        }
        if config.out_pools.contains(pool) {
            return Err(refusal(RefusalKind::Unavailable, format!("pool {pool} is taken out")));
        }
        Ok(Admitted { team: Some(team), key: Some(text.id().clone()) })
    }

    fn accept_call(&mut self, arrival: CallArrival, admitted: Admitted) {
        let longest = self.config.doc().pools[&arrival.pool].deadline;
        let span = arrival.deadline.map_or(longest, |asked| asked.min(longest));
        let estimate = self.service_estimate.get(&arrival.pool).copied().unwrap_or_default();
        let needed = estimate.needed(span);
        self.next_request += 1;
        let request =
            format!("{}-{}-{}", self.me().daemon, self.me().incarnation, self.next_request);
        let team = admitted.team;
        let call = ActiveCall {
            token: arrival.token,
            request: request.parse().unwrap_or_else(|_| short_request(self.next_request)),
            key: admitted.key,
            idempotent: arrival.idempotent,
            claim: None,
            deadline: self.now() + span,
            latest_start: self.now() + Millis(span.0 - needed.0),
            phase: CallPhase::Queued,
            attempts: 0,
            tried: Vec::new(),
            charged: 0.0,
            sent_once: false,
            pool: arrival.pool,
            team,
        };
        self.retries.earn(&call.team, &call.pool);
        let key = self.calls.insert(call);
        self.call_by_token.insert(arrival.token, key);
        match arrival.idempotency_key {
            Some(name) if !arrival.idempotent => self.start_claim(key, &name),
            _ => self.enqueue(key, false),
        }
    }

    fn start_claim(&mut self, key: CallKey, name: &IdempotencyKey) {
        let call = &mut self.calls[key];
        call.phase = CallPhase::Claiming;
        let owner = call.team.as_ref().map_or("", TeamId::as_str);
        let claim_key: Box<str> = format!("{owner}/{}/{name}", call.pool).into();
        let shard = crate::assignment::shard(&claim_key, super::CLAIM_SHARDS);
        call.claim = Some(ClaimHold { shard, key: claim_key });
        self.submit_claim(key);
    }

    pub(super) fn enqueue(&mut self, key: CallKey, first: bool) {
        let call = &mut self.calls[key];
        call.phase = CallPhase::Queued;
        let (team, pool) = (call.team.clone(), call.pool.clone());
        let queue = self.queues.entry(pool.clone()).or_default();
        if first {
            queue.push_front(&team, key);
        } else {
            queue.push(&team, key);
        }
        self.dispatch(&pool);
    }

    pub(super) fn call_ended(&mut self, token: ReplyToken, ending: AttemptOutcome) {
        let Some(&key) = self.call_by_token.get(&token) else { return };
        let CallPhase::Sent { vm, at } = self.calls[key].phase.clone() else { return };
        self.correct_charge(key, at, &ending);
        match ending {
            AttemptOutcome::Answered { kept, .. } => self.call_answered(key, &vm, kept),
            AttemptOutcome::Stale => {
                self.free_attempt(key, &vm);
                self.enqueue(key, true);
            }
            AttemptOutcome::NotSent { reason } => {
                self.note_failure(key, &vm);
                self.free_attempt(key, &vm);
                self.try_again(key, &reason, true);
            }
            AttemptOutcome::Broken { reason } => {
                self.note_failure(key, &vm);
                self.linger(key, &vm, at);
                self.try_again(key, &reason, false);
            }
        }
    }

    fn call_answered(&mut self, key: CallKey, vm: &VmId, kept: Option<KeptAnswer>) {
        self.measures.done += 1;
        let pool = self.calls[key].pool.clone();
        if let Some(minion) = self.routes.get_mut(&pool).and_then(|route| route.minions.get_mut(vm))
        {
            minion.succeeded();
        }
        self.free_attempt(key, vm);
        self.settle_claim(key, state::ClaimState::Done { answer: kept });
        self.remove_call(key);
        self.dispatch(&pool);
    }

    fn note_failure(&mut self, key: CallKey, vm: &VmId) {
        let now = self.now();
        let pool = &self.calls[key].pool;
        if let Some(minion) = self.routes.get_mut(pool).and_then(|route| route.minions.get_mut(vm))
        {
            minion.failed(now);
        }
    }

    /// Tries a failed request again if that is safe and within the budget.
    fn try_again(&mut self, key: CallKey, reason: &str, not_sent: bool) {
        let now = self.now();
        let call = &self.calls[key];
        let is_safe = not_sent || call.idempotent;
        let has_time = now < call.latest_start && call.attempts < MOST_ATTEMPTS;
        let (team, pool) = (call.team.clone(), call.pool.clone());
        if is_safe && has_time && self.retries.spend(&team, &pool) {
            self.measures.retries += 1;
            return self.enqueue(key, true);
        }
        if call.attempts_all_unsent(not_sent) {
            let refused = refusal(RefusalKind::Overloaded, format!("no minion took it: {reason}"));
            return self.refuse_call(key, refused);
        }
        self.give_up(key, reason);
    }

    fn give_up(&mut self, key: CallKey, reason: &str) {
        self.measures.unknown += 1;
        self.settle_claim(key, state::ClaimState::Unknown);
        let call = self.remove_call(key);
        self.log(Decision {
            subject: "request",
            id: call.request.as_str().into(),
            team: call.team,
            pool: Some(call.pool),
            choice: "unknown".into(),
            reason: reason.into(),
        });
        self.directive(call.token, CallDirective::Unknown { reason: reason.into() });
    }

    /// Refuses a request of which no attempt was sent.
    pub(super) fn refuse_call(&mut self, key: CallKey, refused: Refusal) {
        if !self.calls[key].was_never_sent() {
            return self.give_up(key, &refused.reason);
        }
        self.measures.not_run += 1;
        self.release_claim(key);
        let call = self.remove_call(key);
        self.log_refusal(call.team.as_ref(), &call.pool, call.request.as_str(), &refused);
        self.directive(call.token, CallDirective::Refuse(refused));
    }

    pub(super) fn remove_call(&mut self, key: CallKey) -> ActiveCall {
        let call = self.calls.remove(key);
        self.call_by_token.remove(&call.token);
        call
    }

    pub(super) fn directive(&mut self, token: ReplyToken, directive: CallDirective) {
        self.emit(Effect::Directive { token, directive });
    }

    fn log_refusal(&mut self, team: Option<&TeamId>, pool: &PoolId, id: &str, refused: &Refusal) {
        self.log(Decision {
            subject: "request",
            id: id.into(),
            team: team.cloned(),
            pool: Some(pool.clone()),
            choice: "not run".into(),
            reason: refused.reason.clone(),
        });
    }

    /// Gives back the slot and the unit of the limit of an attempt.
    fn free_attempt(&mut self, key: CallKey, vm: &VmId) {
        let call = &self.calls[key];
        let (team, pool) = (call.team.clone(), call.pool.clone());
        self.free_slot(&team, &pool, vm);
    }

    fn free_slot(&mut self, team: &Option<TeamId>, pool: &PoolId, vm: &VmId) {
        if let Some(minion) = self.routes.get_mut(pool).and_then(|route| route.minions.get_mut(vm))
        {
            minion.slots.give_back();
        }
        if let Some(limit) = team.as_ref().and_then(|team| self.team_limits.get_mut(team)) {
            limit.give_back();
        }
    }

    /// Keeps what a broken attempt used until it has ended for certain. A minion
    /// may run it on after its caller's deadline; the pool's own deadline, counted
    /// from when it was sent, bounds that (`docs/OPERATORS.md`).
    fn linger(&mut self, key: CallKey, vm: &VmId, sent: Moment) {
        let pool = self.calls[key].pool.clone();
        let longest =
            self.config.doc().pools.get(&pool).map_or(LONGEST_REQUEST, |row| row.deadline);
        let call = &mut self.calls[key];
        call.sent_once = true;
        let until = sent + longest + LINGER_MARGIN;
        let lingering = LingeringCall { team: call.team.clone(), pool, vm: vm.clone(), until };
        self.lingering.push(lingering);
    }

    pub(super) fn release_lingering(&mut self) {
        let now = self.now();
        let (over, still): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.lingering).into_iter().partition(|call| call.until <= now);
        self.lingering = still;
        for call in over {
            self.free_slot(&call.team, &call.pool, &call.vm);
        }
    }

    /// Refuses waiting requests that could not be done by their deadline any more,
    /// or whose claim did not come in time.
    pub(super) fn expire_calls(&mut self) {
        let now = self.now();
        let late = self.calls.iter().filter(|(_, call)| call.latest_start <= now);
        let late = late.filter(|(_, call)| !matches!(call.phase, CallPhase::Sent { .. }));
        let late: Vec<CallKey> = late.map(|(key, _)| key).collect();
        if late.is_empty() {
            return;
        }
        for queue in self.queues.values_mut() {
            queue.drain_where(|key| late.contains(&key));
        }
        for key in late {
            self.refuse_late(key);
        }
    }

    pub(super) fn refuse_late(&mut self, key: CallKey) {
        let reason = match self.calls[key].phase {
            CallPhase::Claiming => "the claim could not be written in time",
            _ => "no slot became free in time for it to be done by its deadline",
        };
        let retry_after = Some(Millis(1_000));
        self.refuse_call(key, Refusal { retry_after, ..refusal(RefusalKind::Overloaded, reason) });
    }

    /// Refuses waiting requests whose key, grant or pool has gone.
    pub(super) fn refuse_withdrawn(&mut self) {
        let config = self.config.doc();
        let is_withdrawn = |call: &ActiveCall| {
            let key_gone = call.key.as_ref().is_some_and(|key| !config.keys.contains_key(key));
            let pool = config.pools.get(&call.pool);
            let granted = match &call.team {
                Some(team) => config.may_use(team, &call.pool),
                None => false,
            };
            let barred = pool.is_none_or(|pool| !pool.open && !granted);
            key_gone || barred || config.out_pools.contains(&call.pool)
        };
        let waiting =
            self.calls.iter().filter(|(_, call)| !matches!(call.phase, CallPhase::Sent { .. }));
        let gone: Vec<CallKey> =
            waiting.filter(|(_, call)| is_withdrawn(call)).map(|(key, _)| key).collect();
        for queue in self.queues.values_mut() {
            queue.drain_where(|key| gone.contains(&key));
        }
        for key in gone {
            let refused = refusal(RefusalKind::Unauthorised, "the key or its grant was withdrawn");
            self.refuse_call(key, refused);
        }
    }
}

/// How much longer than its pool's deadline a lost request is counted, for clocks
/// that run at other rates.
const LINGER_MARGIN: Millis = Millis(1_000);

fn short_request(number: u64) -> RequestId {
    number.to_string().parse().expect("digits are an identifier")
}

impl ActiveCall {
    /// Whether no byte of any attempt was sent.
    fn was_never_sent(&self) -> bool {
        !self.sent_once
    }

    fn attempts_all_unsent(&self, last_not_sent: bool) -> bool {
        last_not_sent && self.was_never_sent()
    }
}
