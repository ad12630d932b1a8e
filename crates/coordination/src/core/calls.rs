//! Life cycle of a request: admission, queueing, attempts and the final
//! directive to its request thread.

use state::{IdempotencyKey, Millis, Moment, PoolId, RequestId, StoredAnswer, TeamId, VmId};

use super::Core;
use crate::event::{
    AttemptOutcome, CallArrival, CallDirective, Decision, Effect, Refusal, RefusalKind, ReplyToken,
};
use crate::queue::CallKey;
use crate::timing::MAX_REQUEST_DURATION;

/// Maximum number of attempts at one request.
const MAX_ATTEMPTS: u32 = 3;

/// Stage of an open request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum CallPhase {
    /// The claim of the request is being written.
    Claiming,
    /// The request waits for a slot.
    Queued,
    /// The request was sent to the minion `vm` at the time `at`.
    Sent { vm: VmId, at: Moment },
}

/// Open request: one without its final directive.
#[derive(Debug, Clone)]
pub(crate) struct ActiveCall {
    pub(crate) token: ReplyToken,
    pub(crate) request: RequestId,
    pub(crate) team: Option<TeamId>,
    pub(crate) key: Option<state::KeyId>,
    pub(crate) pool: PoolId,
    pub(crate) idempotent: bool,
    pub(crate) claim: Option<ClaimRef>,
    pub(crate) deadline: Moment,
    /// Time from which on a new attempt could no longer finish by the deadline.
    pub(crate) latest_start: Moment,
    pub(crate) phase: CallPhase,
    pub(crate) attempts: u32,
    pub(crate) tried_vms: Vec<VmId>,
    /// Estimated service time of the current attempt, charged to the team.
    pub(crate) charged_ms: f64,
    /// Whether data of any attempt may have reached a minion.
    pub(crate) was_sent: bool,
}

/// Location of the claim that a request has or waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ClaimRef {
    pub(crate) shard: u32,
    pub(crate) key: Box<str>,
}

/// Attempt that may still run on its minion although this daemon no longer waits
/// for the answer. The attempt counts against limits until `ends_by`, by when the
/// attempt has certainly ended.
#[derive(Debug, Clone)]
pub(crate) struct OrphanedCall {
    pub(crate) team: Option<TeamId>,
    pub(crate) pool: PoolId,
    pub(crate) vm: VmId,
    pub(crate) ends_by: Moment,
}

/// Team and key of a request whose access was checked; both are `None` for a
/// request without a key to an open pool.
pub(super) struct AdmittedCaller {
    pub(super) team: Option<TeamId>,
    pub(super) key: Option<state::KeyId>,
}

pub(super) fn refusal(kind: RefusalKind, reason: impl Into<Box<str>>) -> Refusal {
    Refusal { kind, reason: reason.into(), retry_after: None }
}

impl Core {
    pub(super) fn handle_call_arrival(&mut self, arrival: CallArrival) {
        self.counters.calls += 1;
        match self.check_admission(&arrival) {
            Ok(admitted) => self.accept_call(arrival, admitted),
            Err(refusal) => {
                self.log_refusal(None, &arrival.pool, "new", &refusal);
                self.counters.not_run += 1;
                self.send_directive(arrival.token, CallDirective::Refuse(refusal));
            }
        }
    }

    /// Checks that this daemon takes work, that the caller has access, and that the
    /// queues are below their limit.
    fn check_admission(&self, arrival: &CallArrival) -> Result<AdmittedCaller, Refusal> {
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

    /// Refuses new work while this daemon is stopping or may not take work.
    pub(super) fn check_accepting(&self) -> Result<(), Refusal> {
        let reason = match self.check_work_allowed() {
            Ok(()) if self.is_stopping => "this daemon is stopping",
            Ok(()) => return Ok(()),
            Err(reason) => reason,
        };
        let retry_after = Some(Millis(1_000));
        Err(Refusal { retry_after, ..refusal(RefusalKind::Unavailable, reason) })
    }

    /// Checks that the pool exists, that the key is valid, that the plan of the key's
    /// team may use the pool, and that the pool is in service. A request without a
    /// key passes if the pool is open.
    pub(super) fn check_access(
        &self,
        key: Option<&state::KeyText>,
        pool: &PoolId,
    ) -> Result<AdmittedCaller, Refusal> {
        let config = self.config.doc();
        let Some(policy) = config.pools.get(pool) else {
            return Err(refusal(RefusalKind::Invalid, format!("there is no pool {pool}")));
        };
        let Some(text) = key else {
            return match policy.open {
                true => Ok(AdmittedCaller { team: None, key: None }),
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
        Ok(AdmittedCaller { team: Some(team), key: Some(text.id().clone()) })
    }

    fn accept_call(&mut self, arrival: CallArrival, admitted: AdmittedCaller) {
        let max_timeout = self.config.doc().pools[&arrival.pool].deadline;
        let timeout = arrival.deadline.map_or(max_timeout, |requested| requested.min(max_timeout));
        let estimate = self.service_estimates.get(&arrival.pool).copied().unwrap_or_default();
        let service_time = estimate.required_time(timeout);
        self.last_request_number += 1;
        let request = format!(
            "{}-{}-{}",
            self.this_daemon().daemon,
            self.this_daemon().incarnation,
            self.last_request_number
        );
        let team = admitted.team;
        let call = ActiveCall {
            token: arrival.token,
            request: request
                .parse()
                .unwrap_or_else(|_| numeric_request_id(self.last_request_number)),
            key: admitted.key,
            idempotent: arrival.idempotent,
            claim: None,
            deadline: self.now() + timeout,
            latest_start: self.now() + Millis(timeout.0 - service_time.0),
            phase: CallPhase::Queued,
            attempts: 0,
            tried_vms: Vec::new(),
            charged_ms: 0.0,
            was_sent: false,
            pool: arrival.pool,
            team,
        };
        self.retry_budgets.add_credit(&call.team, &call.pool);
        let key = self.calls.insert(call);
        self.call_by_token.insert(arrival.token, key);
        match arrival.idempotency_key {
            Some(name) if !arrival.idempotent => self.request_claim(key, &name),
            _ => self.enqueue(key, false),
        }
    }

    /// Starts to write the claim of a request. The claim's key contains the team and
    /// the pool, so that two teams may use the same idempotency key.
    fn request_claim(&mut self, key: CallKey, name: &IdempotencyKey) {
        let call = &mut self.calls[key];
        call.phase = CallPhase::Claiming;
        let owner = call.team.as_ref().map_or("", TeamId::as_str);
        let claim_key: Box<str> = format!("{owner}/{}/{name}", call.pool).into();
        let shard = crate::assignment::shard_of_key(&claim_key, super::CLAIM_SHARDS);
        call.claim = Some(ClaimRef { shard, key: claim_key });
        self.submit_claim_request(key);
    }

    /// Queues a request for a slot of its pool; a repeated attempt goes `at_front`.
    pub(super) fn enqueue(&mut self, key: CallKey, at_front: bool) {
        let call = &mut self.calls[key];
        call.phase = CallPhase::Queued;
        let (team, pool) = (call.team.clone(), call.pool.clone());
        let queue = self.queues.entry(pool.clone()).or_default();
        if at_front {
            queue.push_front(&team, key);
        } else {
            queue.push(&team, key);
        }
        self.dispatch(&pool);
    }

    /// Handles the outcome of an attempt. A stale attempt was not sent and is queued
    /// again without counting as a failure.
    pub(super) fn handle_attempt_outcome(&mut self, token: ReplyToken, outcome: AttemptOutcome) {
        let Some(&key) = self.call_by_token.get(&token) else { return };
        let CallPhase::Sent { vm, at } = self.calls[key].phase.clone() else { return };
        self.apply_actual_charge(key, at, &outcome);
        match outcome {
            AttemptOutcome::Answered { stored_answer: stored, .. } => {
                self.complete_call(key, &vm, stored)
            }
            AttemptOutcome::Stale => {
                self.release_attempt(key, &vm);
                self.enqueue(key, true);
            }
            AttemptOutcome::NotSent { reason } => {
                self.record_attempt_failure(key, &vm);
                self.release_attempt(key, &vm);
                self.retry_or_finish(key, &reason, true);
            }
            AttemptOutcome::Broken { reason } => {
                self.record_attempt_failure(key, &vm);
                self.track_orphaned_attempt(key, &vm, at);
                self.retry_or_finish(key, &reason, false);
            }
        }
    }

    fn complete_call(&mut self, key: CallKey, vm: &VmId, stored: Option<StoredAnswer>) {
        self.counters.done += 1;
        let pool = self.calls[key].pool.clone();
        if let Some(minion) = self.routes.get_mut(&pool).and_then(|route| route.minions.get_mut(vm))
        {
            minion.record_success();
        }
        self.release_attempt(key, vm);
        self.record_claim_outcome(key, state::ClaimState::Done { answer: stored });
        self.remove_call(key);
        self.dispatch(&pool);
    }

    fn record_attempt_failure(&mut self, key: CallKey, vm: &VmId) {
        let now = self.now();
        let pool = &self.calls[key].pool;
        if let Some(minion) = self.routes.get_mut(pool).and_then(|route| route.minions.get_mut(vm))
        {
            minion.record_failure(now);
        }
    }

    /// Queues a failed request for another attempt if the repeat is safe, in time
    /// and within the retry budget. Otherwise finishes the request: with a refusal
    /// if no attempt was sent, else as unknown.
    fn retry_or_finish(&mut self, key: CallKey, reason: &str, is_unsent: bool) {
        let now = self.now();
        let call = &self.calls[key];
        let is_safe = is_unsent || call.idempotent;
        let may_repeat = now < call.latest_start && call.attempts < MAX_ATTEMPTS;
        let (team, pool) = (call.team.clone(), call.pool.clone());
        if is_safe && may_repeat && self.retry_budgets.try_spend(&team, &pool) {
            self.counters.retries += 1;
            return self.enqueue(key, true);
        }
        if call.has_only_unsent_attempts(is_unsent) {
            let refusal = refusal(RefusalKind::Overloaded, format!("no minion took it: {reason}"));
            return self.refuse_call(key, refusal);
        }
        self.answer_unknown(key, reason);
    }

    /// Ends a request that may have run, without an answer from its minion.
    fn answer_unknown(&mut self, key: CallKey, reason: &str) {
        self.counters.unknown += 1;
        self.record_claim_outcome(key, state::ClaimState::Unknown);
        let call = self.remove_call(key);
        self.log_decision(Decision {
            subject: "request",
            id: call.request.as_str().into(),
            team: call.team,
            pool: Some(call.pool),
            choice: "unknown".into(),
            reason: reason.into(),
        });
        self.send_directive(call.token, CallDirective::Unknown { reason: reason.into() });
    }

    /// Refuses a request of which no attempt was sent; any other request is
    /// answered as unknown.
    pub(super) fn refuse_call(&mut self, key: CallKey, refusal: Refusal) {
        if !self.calls[key].was_never_sent() {
            return self.answer_unknown(key, &refusal.reason);
        }
        self.counters.not_run += 1;
        self.release_claim(key);
        let call = self.remove_call(key);
        self.log_refusal(call.team.as_ref(), &call.pool, call.request.as_str(), &refusal);
        self.send_directive(call.token, CallDirective::Refuse(refusal));
    }

    pub(super) fn remove_call(&mut self, key: CallKey) -> ActiveCall {
        let call = self.calls.remove(key);
        self.call_by_token.remove(&call.token);
        call
    }

    pub(super) fn send_directive(&mut self, token: ReplyToken, directive: CallDirective) {
        self.emit(Effect::Directive { token, directive });
    }

    fn log_refusal(&mut self, team: Option<&TeamId>, pool: &PoolId, id: &str, refusal: &Refusal) {
        self.log_decision(Decision {
            subject: "request",
            id: id.into(),
            team: team.cloned(),
            pool: Some(pool.clone()),
            choice: "not run".into(),
            reason: refusal.reason.clone(),
        });
    }

    /// Releases the slot and the unit of the team's limit that an attempt used.
    fn release_attempt(&mut self, key: CallKey, vm: &VmId) {
        let call = &self.calls[key];
        let (team, pool) = (call.team.clone(), call.pool.clone());
        self.release_slot(&team, &pool, vm);
    }

    fn release_slot(&mut self, team: &Option<TeamId>, pool: &PoolId, vm: &VmId) {
        if let Some(minion) = self.routes.get_mut(pool).and_then(|route| route.minions.get_mut(vm))
        {
            minion.slots.release();
        }
        if let Some(limit) = team.as_ref().and_then(|team| self.team_limits.get_mut(team)) {
            limit.release();
        }
    }

    /// Keeps the slot and the limit unit of a broken attempt in use until the
    /// attempt has certainly ended. A minion may run a request beyond its caller's
    /// deadline, but no longer than the pool's deadline, counted from the time of
    /// sending (`docs/OPERATORS.md`).
    fn track_orphaned_attempt(&mut self, key: CallKey, vm: &VmId, sent_at: Moment) {
        let pool = self.calls[key].pool.clone();
        let max_duration = self
            .config
            .doc()
            .pools
            .get(&pool)
            .map_or(MAX_REQUEST_DURATION, |policy| policy.deadline);
        let call = &mut self.calls[key];
        call.was_sent = true;
        let ends_by = sent_at + max_duration + ORPHAN_MARGIN;
        let orphaned = OrphanedCall { team: call.team.clone(), pool, vm: vm.clone(), ends_by };
        self.orphaned_calls.push(orphaned);
    }

    /// Releases the slots and limit units of orphaned attempts that have ended.
    pub(super) fn release_orphaned_calls(&mut self) {
        let now = self.now();
        let (ended, running): (Vec<_>, Vec<_>) = std::mem::take(&mut self.orphaned_calls)
            .into_iter()
            .partition(|call| call.ends_by <= now);
        self.orphaned_calls = running;
        for call in ended {
            self.release_slot(&call.team, &call.pool, &call.vm);
        }
    }

    /// Refuses waiting requests that can no longer finish by their deadline, either
    /// because no slot became free or because the claim was not written in time.
    pub(super) fn refuse_expired_calls(&mut self) {
        let now = self.now();
        let expired = self.calls.iter().filter(|(_, call)| call.latest_start <= now);
        let expired = expired.filter(|(_, call)| !matches!(call.phase, CallPhase::Sent { .. }));
        let expired: Vec<CallKey> = expired.map(|(key, _)| key).collect();
        if expired.is_empty() {
            return;
        }
        for queue in self.queues.values_mut() {
            queue.drain_where(|key| expired.contains(&key));
        }
        for key in expired {
            self.refuse_expired_call(key);
        }
    }

    pub(super) fn refuse_expired_call(&mut self, key: CallKey) {
        let reason = match self.calls[key].phase {
            CallPhase::Claiming => "the claim could not be written in time",
            _ => "no slot became free in time for it to be done by its deadline",
        };
        let retry_after = Some(Millis(1_000));
        self.refuse_call(key, Refusal { retry_after, ..refusal(RefusalKind::Overloaded, reason) });
    }

    /// Refuses waiting requests whose key or grant was withdrawn, or whose pool was
    /// removed or taken out of service.
    pub(super) fn refuse_unauthorised_calls(&mut self) {
        let config = self.config.doc();
        let is_unauthorised = |call: &ActiveCall| {
            let is_key_removed =
                call.key.as_ref().is_some_and(|key| !config.keys.contains_key(key));
            let pool = config.pools.get(&call.pool);
            let is_granted = match &call.team {
                Some(team) => config.may_use(team, &call.pool),
                None => false,
            };
            let is_pool_denied = pool.is_none_or(|pool| !pool.open && !is_granted);
            is_key_removed || is_pool_denied || config.out_pools.contains(&call.pool)
        };
        let waiting =
            self.calls.iter().filter(|(_, call)| !matches!(call.phase, CallPhase::Sent { .. }));
        let unauthorised: Vec<CallKey> =
            waiting.filter(|(_, call)| is_unauthorised(call)).map(|(key, _)| key).collect();
        for queue in self.queues.values_mut() {
            queue.drain_where(|key| unauthorised.contains(&key));
        }
        for key in unauthorised {
            let refusal = refusal(RefusalKind::Unauthorised, "the key or its grant was withdrawn");
            self.refuse_call(key, refusal);
        }
    }
}

/// Time beyond the pool's deadline for which an orphaned attempt still counts, to
/// allow for clocks that run at different rates.
const ORPHAN_MARGIN: Millis = Millis(1_000);

/// Request id for a request whose full id is not a valid identifier.
fn numeric_request_id(number: u64) -> RequestId {
    number.to_string().parse().expect("digits are an identifier")
}

impl ActiveCall {
    /// Whether no recorded attempt sent any byte.
    fn was_never_sent(&self) -> bool {
        !self.was_sent
    }

    /// Whether no attempt sent any byte. The latest attempt, which is not recorded in
    /// `was_sent` yet, is described by `is_last_unsent`.
    fn has_only_unsent_attempts(&self, is_last_unsent: bool) -> bool {
        is_last_unsent && self.was_never_sent()
    }
}
