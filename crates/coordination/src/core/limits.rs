//! Weighs this daemon's parts of limits against its demand, and moves unused
//! parts to where they are needed.

use std::collections::BTreeSet;

use state::{Moment, PoolId, SlotCount, TeamId, VmId, VmListing, VmPresence, VmRole, VmState};

use super::Core;
use crate::mutate::slot::SlotMutation;
use crate::mutate::team::TeamMutation;
use crate::timing::{REBALANCE_PERIOD, TEAM_REFRESH};

impl Core {
    /// Takes this daemon's part of a team's limit from the document.
    pub(super) fn observe_team(&mut self, team: &TeamId) {
        let Some(writer) = self.teams.get(team) else { return };
        let doc = writer.doc();
        let configured = self.config.doc().teams.get(team).map_or(0, |plan| plan.limit);
        let lowered = configured < doc.allocations.capacity;
        let frozen = lowered || doc.used() > doc.allocations.capacity;
        let granted = doc.allocations.allocation(&self.identity.me);
        self.team_limits.entry(team.clone()).or_default().observe(granted, frozen);
    }

    /// Takes this daemon's parts of a pool's slots from the document.
    pub(super) fn observe_slots(&mut self, pool: &PoolId) {
        let Some(writer) = self.slots.get(pool) else { return };
        let me = self.identity.me.clone();
        let route = self.routes.entry(pool.clone()).or_default();
        for (vm, holdings) in &writer.doc().minions {
            let part = holdings.allocation(&me);
            if part > 0 || route.minions.contains_key(vm) {
                route.minions.entry(vm.clone()).or_default().slots.observe(part, false);
            }
        }
        let known = &writer.doc().minions;
        for (vm, minion) in &mut route.minions {
            if !known.contains_key(vm) {
                minion.slots.observe(0, false);
            }
        }
    }

    /// Uses no part until the documents have been read again.
    pub(super) fn forget_parts(&mut self) {
        for limit in self.team_limits.values_mut() {
            limit.observe(0, false);
        }
        let minions = self.routes.values_mut().flat_map(|route| route.minions.values_mut());
        for minion in minions {
            minion.slots.observe(0, false);
        }
        self.refresh_all_documents();
    }

    fn refresh_all_documents(&mut self) {
        let teams: Vec<TeamId> = self.teams.keys().cloned().collect();
        for team in teams {
            self.refresh_team(&team);
        }
        let pools: Vec<PoolId> = self.slots.keys().cloned().collect();
        for pool in pools {
            self.refresh_slots(&pool);
        }
    }

    pub(super) fn refresh_team(&mut self, team: &TeamId) {
        self.team_writer(team).refresh();
        self.dirty.insert(super::DocRef::Team(team.clone()));
    }

    fn refresh_slots(&mut self, pool: &PoolId) {
        self.slot_writer(pool).refresh();
        self.dirty.insert(super::DocRef::Slots(pool.clone()));
    }

    /// Reads documents again whose parts or jobs others may have changed. The
    /// period grows with the number of teams, so that the reads a second stay
    /// the same.
    pub(super) fn refresh_teams(&mut self) {
        if self.now() < self.refresh_due {
            return;
        }
        let factor = 1 + self.config.doc().teams.len() as u64 / 10;
        self.refresh_due = self.now() + state::Millis(TEAM_REFRESH.0 * factor);
        self.refresh_all_documents();
    }

    /// Weighs every limit once a period.
    pub(super) fn weigh_limits(&mut self) {
        if self.now() < self.rebalance_due || self.work_permit().is_err() {
            return;
        }
        self.rebalance_due = self.now() + REBALANCE_PERIOD;
        let teams: Vec<TeamId> = self.config.doc().teams.keys().cloned().collect();
        for team in teams {
            self.weigh_team(&team);
        }
        let pools: Vec<PoolId> = self.config.doc().pools.keys().cloned().collect();
        for pool in pools {
            self.weigh_slots(&pool);
        }
    }

    fn weigh_team(&mut self, team: &TeamId) {
        let writer = self.team_writer(team);
        if !writer.is_known() || writer.pending().next().is_some() {
            return;
        }
        let doc = writer.doc();
        let capacity = doc.allocations.capacity;
        let room = capacity.saturating_sub(doc.used());
        let over = doc.used() > capacity;
        let jobs_wait = doc.jobs.values().any(|job| job.state == state::JobState::Queued);
        let fair = capacity / self.member_count();
        let queued = self.queued_of(team);
        let jobs_want = u32::from(jobs_wait && room == 0);
        let me = self.me().clone();
        let limit = self.team_limits.entry(team.clone()).or_default();
        let needed = limit.in_use() + queued;
        let reserve = if over || jobs_wait { needed } else { needed.max(fair) };
        let granted = limit.ceiling();
        if reserve > granted && room > 0 && !over {
            let wanted = reserve.min(granted + room);
            self.submit_team(team, TeamMutation::SetPart { holder: me, wanted });
        } else if granted > reserve && (over || jobs_want > 0) {
            let surplus = granted - reserve;
            let given = if over { surplus } else { surplus.min(jobs_want) };
            if let Some(part) = limit.lower_to(granted - given) {
                self.submit_team(team, TeamMutation::SetPart { holder: me, wanted: part });
            }
        }
    }

    fn member_count(&self) -> u32 {
        (self.members.doc().members.len() as u32).max(1)
    }

    pub(super) fn queued_of(&self, team: &TeamId) -> u32 {
        let team = Some(team.clone());
        self.queues.values().map(|queue| queue.waiting_of(&team) as u32).sum()
    }

    fn weigh_slots(&mut self, pool: &PoolId) {
        let writer = self.slot_writer(pool);
        if !writer.is_known() || writer.pending().next().is_some() {
            return;
        }
        self.forget_gone_minions(pool);
        let minions = self.minions_of(pool);
        let queued = self.queues.get(pool).map_or(0, |queue| queue.len() as u32);
        let mut still_wanted = queued.saturating_sub(self.free_slots(pool));
        for (vm, slots) in minions {
            self.weigh_minion(pool, &vm, slots, &mut still_wanted);
        }
    }

    /// Takes a fair part at first, and more while requests wait.
    fn weigh_minion(&mut self, pool: &PoolId, vm: &VmId, slots: SlotCount, wanted: &mut u32) {
        let fair = (slots.0 / self.member_count()).max(1);
        let holdings = self.slot_writer(pool).doc().minions.get(vm);
        let room = holdings.map_or(slots.0, |held| slots.0.saturating_sub(held.allocated()));
        let route = self.routes.entry(pool.clone()).or_default();
        let granted = route.minions.entry(vm.clone()).or_default().slots.ceiling();
        let more = (*wanted).max(fair.saturating_sub(granted)).min(room);
        if more == 0 {
            return;
        }
        *wanted = wanted.saturating_sub(more);
        let holder = self.me().clone();
        let part = SlotMutation::SetPart { vm: vm.clone(), slots, holder, wanted: granted + more };
        self.submit_slots(pool, part);
    }

    fn forget_gone_minions(&mut self, pool: &PoolId) {
        if !self.listing_known {
            return;
        }
        let known = self.slots[pool].doc().minions.keys();
        let (listed, gone): (BTreeSet<VmId>, BTreeSet<VmId>) =
            known.cloned().partition(|vm| self.listing.contains_key(vm));
        if !gone.is_empty() && self.holds(&format!("pool/{pool}")) {
            self.submit_slots(pool, SlotMutation::Keep { listed });
        }
    }

    /// Minions that serve `pool` now, with their slots.
    pub(super) fn minions_of(&self, pool: &PoolId) -> Vec<(VmId, SlotCount)> {
        let minions = self.usable_vms(pool).filter(|listing| listing.role == VmRole::Minion);
        minions.map(|listing| (listing.vm.clone(), listing.slots)).collect()
    }

    /// VMs to which new work of `pool` may go.
    pub(super) fn usable_vms(&self, pool: &PoolId) -> impl Iterator<Item = &VmListing> {
        let vms = self.pool_vms.get(pool).into_iter().flatten();
        let usable = vms.filter(|vm| self.is_usable(pool, vm));
        usable.filter_map(|vm| self.listing.get(vm))
    }

    /// Whether new work of `pool` may go to `vm`.
    pub(super) fn is_usable(&self, pool: &PoolId, vm: &VmId) -> bool {
        let Some(record) = self.fleet.doc().vms.get(vm) else { return false };
        let Some(listing) = self.listing.get(vm) else { return false };
        record.pool == *pool
            && record.state == VmState::Serving
            && listing.presence == VmPresence::Live
            && !self.is_out(&listing.data_centre, pool)
    }

    pub(super) fn free_slots(&self, pool: &PoolId) -> u32 {
        let route = self.routes.get(pool);
        route.map_or(0, |route| route.available(|vm| self.is_usable(pool, vm)))
    }

    pub(super) fn holds_any_part(&self) -> bool {
        let me = self.me();
        let team = self.teams.values().any(|writer| writer.doc().allocations.allocation(me) > 0);
        let slots = self.slots.values().flat_map(|writer| writer.doc().minions.values());
        team || slots.into_iter().any(|holdings| holdings.allocation(me) > 0)
    }

    /// Gives every part back, before a graceful stop ends.
    pub(super) fn give_all_back(&mut self) {
        let me = self.me().clone();
        let teams =
            self.teams.iter().filter(|(_, writer)| writer.doc().allocations.allocation(&me) > 0);
        let teams: Vec<TeamId> = teams
            .filter(|(_, writer)| writer.pending().next().is_none())
            .map(|(team, _)| team.clone())
            .collect();
        for team in teams {
            self.submit_team(&team, TeamMutation::SetPart { holder: me.clone(), wanted: 0 });
        }
        let slots = self.slots.iter().filter(|(_, writer)| writer.pending().next().is_none());
        let parts = slots.flat_map(|(pool, writer)| {
            let held = writer.doc().minions.iter().filter(|(_, held)| held.allocation(&me) > 0);
            held.map(|(vm, held)| (pool.clone(), vm.clone(), SlotCount(held.capacity)))
        });
        let parts: Vec<(PoolId, VmId, SlotCount)> = parts.collect();
        for (pool, vm, slots) in parts {
            let holder = me.clone();
            self.submit_slots(&pool, SlotMutation::SetPart { vm, slots, holder, wanted: 0 });
        }
    }

    /// Milliseconds since `earlier` on this daemon's clock.
    pub(super) fn since(&self, earlier: Moment) -> u64 {
        (self.now() - earlier).0
    }
}
