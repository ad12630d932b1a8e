//! Assigns free slots to queued requests: first by the team's priority, then by
//! the team's recent service in proportion to its share.

use state::{Moment, PoolId, Priority, TeamId, VmId};

use super::Core;
use super::calls::CallPhase;
use crate::event::{AttemptOutcome, CallDirective, Decision};
use crate::queue::CallKey;

impl Core {
    pub(super) fn dispatch_all(&mut self) {
        let pools: Vec<PoolId> = self.pools_with_queued_calls().cloned().collect();
        for pool in pools {
            self.dispatch(&pool);
        }
    }

    fn pools_with_queued_calls(&self) -> impl Iterator<Item = &PoolId> {
        self.queues.iter().filter(|(_, queue)| queue.len() > 0).map(|(pool, _)| pool)
    }

    /// Sends queued requests of `pool` until no request or no slot is left.
    pub(super) fn dispatch(&mut self, pool: &PoolId) {
        if self.queues.get(pool).is_none_or(|queue| queue.len() == 0) {
            return;
        }
        if self.check_work_allowed().is_err() {
            return;
        }
        while let Some(team) = self.select_team(pool) {
            let key = self.queues.get_mut(pool).and_then(|queue| queue.pop(&team));
            let Some(key) = key else { return };
            if self.now() >= self.calls[key].latest_start {
                self.refuse_expired_call(key);
                continue;
            }
            if !self.try_send_call(key) {
                self.calls[key].phase = CallPhase::Queued;
                let queue = self.queues.entry(pool.clone()).or_default();
                return queue.push_front(&team, key);
            }
        }
    }

    /// Selects the team whose request is sent next, among the teams below their
    /// limit. The inner `None` stands for requests without a team.
    fn select_team(&self, pool: &PoolId) -> Option<Option<TeamId>> {
        let queue = self.queues.get(pool)?;
        let mut best: Option<(Priority, f64, &Option<TeamId>)> = None;
        for team in queue.teams().filter(|team| self.has_limit_capacity(team)) {
            let (priority, rank) = self.rank_team(team);
            let is_better = best.is_none_or(|(best_priority, best_rank, _)| {
                priority < best_priority || (priority == best_priority && rank < best_rank)
            });
            if is_better {
                best = Some((priority, rank, team));
            }
        }
        best.map(|(_, _, team)| team.clone())
    }

    /// Whether the team's local allocation has an unused unit.
    fn has_limit_capacity(&self, team: &Option<TeamId>) -> bool {
        let Some(team) = team else { return true };
        self.team_limits.get(team).is_some_and(|limit| limit.available() > 0)
    }

    /// Returns the sort key of a team: its priority, then its recent service in
    /// proportion to its share. The lowest key is served first.
    fn rank_team(&self, team: &Option<TeamId>) -> (Priority, f64) {
        let Some(team) = team else { return (Priority::Normal, 0.0) };
        let config = self.config.doc();
        let share = config.teams.get(team).map_or(1, |plan| plan.share);
        (config.priority(team), self.shares.rank(team, share, self.now()))
    }

    /// Sends one request; returns false if no minion can take the request now.
    fn try_send_call(&mut self, key: CallKey) -> bool {
        let now = self.now();
        let call = &self.calls[key];
        let (pool, team) = (call.pool.clone(), call.team.clone());
        let Some(route) = self.routes.get(&pool) else { return false };
        let minion = route.choose_minion(now, |vm| self.is_usable(&pool, vm), &call.tried_vms);
        let Some(vm) = minion else { return false };
        let address = self.listing[&vm].address.clone();
        self.occupy_slot(&team, &pool, &vm);
        let estimated_ms = self.service_estimates.get(&pool).copied().unwrap_or_default().mean_ms();
        if let Some(team) = &team {
            self.shares.add_service(team, estimated_ms, now);
        }
        let call = &mut self.calls[key];
        call.phase = CallPhase::Sent { vm: vm.clone(), at: now };
        call.attempts += 1;
        call.charged_ms = estimated_ms;
        call.tried_vms.push(vm.clone());
        let directive = CallDirective::Send {
            request: call.request.clone(),
            vm: vm.clone(),
            address,
            remaining: call.deadline - now,
        };
        let (token, request) = (call.token, call.request.clone());
        let attempt = call.attempts;
        self.send_directive(token, directive);
        self.log_decision(Decision {
            subject: "request",
            id: request.as_str().into(),
            team,
            pool: Some(pool),
            choice: vm.as_str().into(),
            reason: format!("attempt {attempt}: least loaded minion with a free slot").into(),
        });
        true
    }

    /// Counts one started attempt against the slots of `vm` and the team's limit.
    fn occupy_slot(&mut self, team: &Option<TeamId>, pool: &PoolId, vm: &VmId) {
        let now = self.now();
        if let Some(route) = self.routes.get_mut(pool) {
            route.acquire_slot(vm, now);
        }
        if let Some(limit) = team.as_ref().and_then(|team| self.team_limits.get_mut(team)) {
            limit.acquire();
        }
    }

    /// Replaces the estimated service time that was charged for an attempt by the
    /// actual service time, which is zero for an attempt that was not sent.
    pub(super) fn apply_actual_charge(
        &mut self,
        key: CallKey,
        sent_at: Moment,
        outcome: &AttemptOutcome,
    ) {
        let actual_ms = match outcome {
            AttemptOutcome::NotSent { .. } | AttemptOutcome::Stale => 0.0,
            _ => (self.now() - sent_at).0.max(1) as f64,
        };
        let now = self.now();
        let call = &self.calls[key];
        let (team, pool, charged_ms) = (call.team.clone(), call.pool.clone(), call.charged_ms);
        if let Some(team) = team {
            self.shares.add_service(&team, actual_ms - charged_ms, now);
            let total_ms = self.counters.service_ms.entry(team).or_default();
            *total_ms += actual_ms as u64;
        }
        if matches!(outcome, AttemptOutcome::Answered { .. }) {
            self.service_estimates.entry(pool).or_default().observe(actual_ms);
        }
    }
}
