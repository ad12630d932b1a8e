//! Adjusts this daemon's quota allocations to its demand.
//!
//! A team's limit and the slots of each minion are split into allocations, one
//! per daemon. Once per [`REBALANCE_INTERVAL`] a daemon requests unallocated
//! capacity that it needs. A daemon releases units of a team's limit that is
//! overallocated or that queued jobs wait for.

use std::collections::BTreeSet;

use state::{Moment, PoolId, SlotCount, TeamId, VmId, VmListing, VmPresence, VmRole, VmState};

use super::Core;
use crate::mutate::slot::SlotMutation;
use crate::mutate::team::TeamMutation;
use crate::timing::{REBALANCE_INTERVAL, TEAM_REFRESH_INTERVAL};

impl Core {
    /// Applies this daemon's allocation of a team's limit from the team's
    /// document. No start is allowed while more is allocated than the limit, or
    /// while the configuration has lowered the limit below the document's.
    pub(super) fn apply_team_allocation(&mut self, team: &TeamId) {
        let Some(writer) = self.teams.get(team) else { return };
        let doc = writer.doc();
        let configured = self.config.doc().teams.get(team).map_or(0, |plan| plan.limit);
        let is_lowered = configured < doc.allocations.capacity;
        let is_blocked = is_lowered || doc.used_capacity() > doc.allocations.capacity;
        let allocated = doc.allocations.allocation(&self.identity.daemon_ref);
        self.team_limits.entry(team.clone()).or_default().observe(allocated, is_blocked);
    }

    /// Applies this daemon's allocations of a pool's slots from the pool's
    /// document. A minion without an entry in the document gets zero slots.
    pub(super) fn apply_slot_allocations(&mut self, pool: &PoolId) {
        let Some(writer) = self.slots.get(pool) else { return };
        let this_daemon = self.identity.daemon_ref.clone();
        let route = self.routes.entry(pool.clone()).or_default();
        for (vm, allocations) in &writer.doc().minions {
            let allocated = allocations.allocation(&this_daemon);
            if allocated > 0 || route.minions.contains_key(vm) {
                route.minions.entry(vm.clone()).or_default().slots.observe(allocated, false);
            }
        }
        let listed_minions = &writer.doc().minions;
        for (vm, minion) in &mut route.minions {
            if !listed_minions.contains_key(vm) {
                minion.slots.observe(0, false);
            }
        }
    }

    /// Sets all local allocations to zero until the documents have been read
    /// again.
    pub(super) fn revoke_local_allocations(&mut self) {
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
        self.team_writer(team).request_read();
        self.dirty_documents.insert(super::DocumentRef::Team(team.clone()));
    }

    fn refresh_slots(&mut self, pool: &PoolId) {
        self.slot_writer(pool).request_read();
        self.dirty_documents.insert(super::DocumentRef::Slots(pool.clone()));
    }

    /// Rereads the team and slot documents when due, since other daemons may have
    /// changed their allocations or jobs. The interval grows with the number of
    /// teams, so that the number of reads per second stays the same.
    pub(super) fn refresh_documents_when_due(&mut self) {
        if self.now() < self.refresh_due {
            return;
        }
        let factor = 1 + self.config.doc().teams.len() as u64 / 10;
        self.refresh_due = self.now() + state::Millis(TEAM_REFRESH_INTERVAL.0 * factor);
        self.refresh_all_documents();
    }

    /// Rebalances every limit once per [`REBALANCE_INTERVAL`].
    pub(super) fn rebalance_allocations(&mut self) {
        if self.now() < self.rebalance_due || self.check_work_allowed().is_err() {
            return;
        }
        self.rebalance_due = self.now() + REBALANCE_INTERVAL;
        let teams: Vec<TeamId> = self.config.doc().teams.keys().cloned().collect();
        for team in teams {
            self.rebalance_team(&team);
        }
        let pools: Vec<PoolId> = self.config.doc().pools.keys().cloned().collect();
        for pool in pools {
            self.rebalance_slots(&pool);
        }
    }

    /// Requests or releases units of a team's limit. Without contention a daemon
    /// keeps at least an equal share of the limit in reserve. While jobs wait or
    /// the limit is overallocated, a daemon keeps only the units that its requests
    /// use or wait for: it releases the whole surplus of an overallocated limit, and
    /// one unit per interval for jobs that find no unused unit.
    fn rebalance_team(&mut self, team: &TeamId) {
        let writer = self.team_writer(team);
        if !writer.is_loaded() || writer.pending().next().is_some() {
            return;
        }
        let doc = writer.doc();
        let capacity = doc.allocations.capacity;
        let unused = capacity.saturating_sub(doc.used_capacity());
        let is_overallocated = doc.used_capacity() > capacity;
        let has_queued_jobs = doc.jobs.values().any(|job| job.state == state::JobState::Queued);
        let equal_share = capacity / self.member_count();
        let queued_calls = self.queued_calls_of(team);
        let requested_for_jobs = u32::from(has_queued_jobs && unused == 0);
        let holder = self.this_daemon().clone();
        let limit = self.team_limits.entry(team.clone()).or_default();
        let demand = limit.in_use() + queued_calls;
        let target =
            if is_overallocated || has_queued_jobs { demand } else { demand.max(equal_share) };
        let allocated = limit.ceiling();
        if target > allocated && unused > 0 && !is_overallocated {
            let requested = target.min(allocated + unused);
            self.submit_team(team, TeamMutation::SetAllocation { holder, requested });
        } else if allocated > target && (is_overallocated || requested_for_jobs > 0) {
            let surplus = allocated - target;
            let released = if is_overallocated { surplus } else { surplus.min(requested_for_jobs) };
            if let Some(requested) = limit.lower_ceiling(allocated - released) {
                self.submit_team(team, TeamMutation::SetAllocation { holder, requested });
            }
        }
    }

    /// Number of members, at least one.
    fn member_count(&self) -> u32 {
        (self.members.doc().members.len() as u32).max(1)
    }

    /// Number of requests of `team` that wait for a slot here, over all pools.
    pub(super) fn queued_calls_of(&self, team: &TeamId) -> u32 {
        let team = Some(team.clone());
        self.queues.values().map(|queue| queue.waiting_count(&team) as u32).sum()
    }

    /// Requests slots of the pool's minions for the requests queued here.
    fn rebalance_slots(&mut self, pool: &PoolId) {
        let writer = self.slot_writer(pool);
        if !writer.is_loaded() || writer.pending().next().is_some() {
            return;
        }
        self.remove_delisted_minions(pool);
        let minions = self.minions_of(pool);
        let queued_calls = self.queues.get(pool).map_or(0, |queue| queue.len() as u32);
        let mut missing = queued_calls.saturating_sub(self.free_slots(pool));
        for (vm, slots) in minions {
            self.request_minion_slots(pool, &vm, slots, &mut missing);
        }
    }

    /// Requests slots of one minion: an equal share at first, and more while
    /// requests wait. Lowers `missing`, the number of slots that queued requests
    /// still need, by the number of slots requested.
    fn request_minion_slots(
        &mut self,
        pool: &PoolId,
        vm: &VmId,
        slots: SlotCount,
        missing: &mut u32,
    ) {
        let equal_share = (slots.0 / self.member_count()).max(1);
        let allocations = self.slot_writer(pool).doc().minions.get(vm);
        let unallocated =
            allocations.map_or(slots.0, |table| slots.0.saturating_sub(table.allocated()));
        let route = self.routes.entry(pool.clone()).or_default();
        let allocated = route.minions.entry(vm.clone()).or_default().slots.ceiling();
        let requested = (*missing).max(equal_share.saturating_sub(allocated)).min(unallocated);
        if requested == 0 {
            return;
        }
        *missing = missing.saturating_sub(requested);
        let holder = self.this_daemon().clone();
        let mutation = SlotMutation::SetAllocation {
            vm: vm.clone(),
            slots,
            holder,
            requested: allocated + requested,
        };
        self.submit_slots(pool, mutation);
    }

    /// Removes minions that the platform no longer lists from the pool's slot
    /// document, if this daemon is assigned to the pool.
    fn remove_delisted_minions(&mut self, pool: &PoolId) {
        if !self.is_listing_known {
            return;
        }
        let minions = self.slots[pool].doc().minions.keys();
        let (listed, delisted): (BTreeSet<VmId>, BTreeSet<VmId>) =
            minions.cloned().partition(|vm| self.listing.contains_key(vm));
        if !delisted.is_empty() && self.is_assigned(&format!("pool/{pool}")) {
            self.submit_slots(pool, SlotMutation::RetainListed { listed });
        }
    }

    /// Minions of `pool` that may take new work, with their numbers of slots.
    pub(super) fn minions_of(&self, pool: &PoolId) -> Vec<(VmId, SlotCount)> {
        let minions = self.usable_vms(pool).filter(|listing| listing.role == VmRole::Minion);
        minions.map(|listing| (listing.vm.clone(), listing.slots)).collect()
    }

    /// VMs of `pool` that may take new work.
    pub(super) fn usable_vms(&self, pool: &PoolId) -> impl Iterator<Item = &VmListing> {
        let vms = self.pool_vms.get(pool).into_iter().flatten();
        let usable = vms.filter(|vm| self.is_usable(pool, vm));
        usable.filter_map(|vm| self.listing.get(vm))
    }

    /// Whether `vm` may take new work of `pool`: the VM serves the pool, is live,
    /// and neither the pool nor the data centre is out of service.
    pub(super) fn is_usable(&self, pool: &PoolId, vm: &VmId) -> bool {
        let Some(record) = self.fleet.doc().vms.get(vm) else { return false };
        let Some(listing) = self.listing.get(vm) else { return false };
        record.pool == *pool
            && record.state == VmState::Serving
            && listing.presence == VmPresence::Live
            && !self.is_out_of_service(&listing.data_centre, pool)
    }

    /// Number of unused slots that are allocated to this daemon on usable minions
    /// of `pool`.
    pub(super) fn free_slots(&self, pool: &PoolId) -> u32 {
        let route = self.routes.get(pool);
        route.map_or(0, |route| route.available_slots(|vm| self.is_usable(pool, vm)))
    }

    /// Whether any document still has an allocation for this daemon.
    pub(super) fn has_any_allocation(&self) -> bool {
        let holder = self.this_daemon();
        let has_team_allocation =
            self.teams.values().any(|writer| writer.doc().allocations.allocation(holder) > 0);
        let minions = self.slots.values().flat_map(|writer| writer.doc().minions.values());
        has_team_allocation
            || minions.into_iter().any(|allocations| allocations.allocation(holder) > 0)
    }

    /// Releases every allocation of this daemon before a graceful stop ends.
    /// Documents with a pending change are skipped until the change is written.
    pub(super) fn release_all_allocations(&mut self) {
        let this_daemon = self.this_daemon().clone();
        let teams = self
            .teams
            .iter()
            .filter(|(_, writer)| writer.doc().allocations.allocation(&this_daemon) > 0);
        let teams: Vec<TeamId> = teams
            .filter(|(_, writer)| writer.pending().next().is_none())
            .map(|(team, _)| team.clone())
            .collect();
        for team in teams {
            self.submit_team(
                &team,
                TeamMutation::SetAllocation { holder: this_daemon.clone(), requested: 0 },
            );
        }
        let slots = self.slots.iter().filter(|(_, writer)| writer.pending().next().is_none());
        let allocated_slots = slots.flat_map(|(pool, writer)| {
            let held =
                writer.doc().minions.iter().filter(|(_, table)| table.allocation(&this_daemon) > 0);
            held.map(|(vm, table)| (pool.clone(), vm.clone(), SlotCount(table.capacity)))
        });
        let allocated_slots: Vec<(PoolId, VmId, SlotCount)> = allocated_slots.collect();
        for (pool, vm, slots) in allocated_slots {
            let holder = this_daemon.clone();
            self.submit_slots(
                &pool,
                SlotMutation::SetAllocation { vm, slots, holder, requested: 0 },
            );
        }
    }

    /// Milliseconds since `earlier` on this daemon's clock.
    pub(super) fn millis_since(&self, earlier: Moment) -> u64 {
        (self.now() - earlier).0
    }
}
