//! Gives free slots to waiting requests: first by priority, then by share.

use state::{Moment, PoolId, Priority, TeamId, VmId};

use super::Core;
use super::calls::CallPhase;
use crate::event::{AttemptOutcome, CallDirective, Decision};
use crate::queue::CallKey;

impl Core {
    pub(super) fn dispatch_all(&mut self) {
        let pools: Vec<PoolId> = self.waiting_pools().cloned().collect();
        for pool in pools {
            self.dispatch(&pool);
        }
    }

    fn waiting_pools(&self) -> impl Iterator<Item = &PoolId> {
        self.queues.iter().filter(|(_, queue)| queue.len() > 0).map(|(pool, _)| pool)
    }

    /// Sends waiting requests of `pool` while there are slots for them.
    pub(super) fn dispatch(&mut self, pool: &PoolId) {
        if self.queues.get(pool).is_none_or(|queue| queue.len() == 0) {
            return;
        }
        if self.work_permit().is_err() {
            return;
        }
        while let Some(team) = self.next_team(pool) {
            let key = self.queues.get_mut(pool).and_then(|queue| queue.pop(&team));
            let Some(key) = key else { return };
            if self.now() >= self.calls[key].latest_start {
                self.refuse_late(key);
                continue;
            }
            if !self.send_call(key) {
                self.calls[key].phase = CallPhase::Queued;
                let queue = self.queues.entry(pool.clone()).or_default();
                return queue.push_front(&team, key);
            }
        }
    }

    /// The team whose request goes next, among those below their limit.
    fn next_team(&self, pool: &PoolId) -> Option<Option<TeamId>> {
        let queue = self.queues.get(pool)?;
        let mut best: Option<(Priority, f64, &Option<TeamId>)> = None;
        for team in queue.teams().filter(|team| self.has_limit_room(team)) {
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

    fn has_limit_room(&self, team: &Option<TeamId>) -> bool {
        let Some(team) = team else { return true };
        self.team_limits.get(team).is_some_and(|limit| limit.available() > 0)
    }

    fn rank_team(&self, team: &Option<TeamId>) -> (Priority, f64) {
        let Some(team) = team else { return (Priority::Normal, 0.0) };
        let config = self.config.doc();
        let share = config.teams.get(team).map_or(1, |plan| plan.share);
        (config.priority(team), self.shares.rank(team, share, self.now()))
    }

    /// Sends one request; false if no minion can take it now.
    fn send_call(&mut self, key: CallKey) -> bool {
        let now = self.now();
        let call = &self.calls[key];
        let (pool, team) = (call.pool.clone(), call.team.clone());
        let Some(route) = self.routes.get(&pool) else { return false };
        let chosen = route.choose(now, |vm| self.is_usable(&pool, vm), &call.tried);
        let Some(vm) = chosen else { return false };
        let address = self.listing[&vm].address.clone();
        self.take_slot(&team, &pool, &vm);
        let estimate = self.service_estimate.get(&pool).copied().unwrap_or_default().mean_ms();
        if let Some(team) = &team {
            self.shares.charge(team, estimate, now);
        }
        let call = &mut self.calls[key];
        call.phase = CallPhase::Sent { vm: vm.clone(), at: now };
        call.attempts += 1;
        call.charged = estimate;
        call.tried.push(vm.clone());
        let directive = CallDirective::Send {
            request: call.request.clone(),
            vm: vm.clone(),
            address,
            left: call.deadline - now,
        };
        let (token, request) = (call.token, call.request.clone());
        let attempt = call.attempts;
        self.directive(token, directive);
        self.log(Decision {
            subject: "request",
            id: request.as_str().into(),
            team,
            pool: Some(pool),
            choice: vm.as_str().into(),
            reason: format!("attempt {attempt}: least loaded minion with a free slot").into(),
        });
        true
    }

    fn take_slot(&mut self, team: &Option<TeamId>, pool: &PoolId, vm: &VmId) {
        let now = self.now();
        if let Some(route) = self.routes.get_mut(pool) {
            route.take(vm, now);
        }
        if let Some(limit) = team.as_ref().and_then(|team| self.team_limits.get_mut(team)) {
            limit.take();
        }
    }

    /// Replaces the estimated service of an attempt by what it took.
    pub(super) fn correct_charge(&mut self, key: CallKey, sent: Moment, ending: &AttemptOutcome) {
        let took = match ending {
            AttemptOutcome::NotSent { .. } | AttemptOutcome::Stale => 0.0,
            _ => (self.now() - sent).0.max(1) as f64,
        };
        let now = self.now();
        let call = &self.calls[key];
        let (team, pool, charged) = (call.team.clone(), call.pool.clone(), call.charged);
        if let Some(team) = team {
            self.shares.charge(&team, took - charged, now);
            let total = self.measures.service_ms.entry(team).or_default();
            *total += took as u64;
        }
        if matches!(ending, AttemptOutcome::Answered { .. }) {
            self.service_estimate.entry(pool).or_default().observe(took);
        }
    }
}
