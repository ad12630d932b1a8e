//! Planned stops: drain, wait for every daemon, reboot, return.

use std::collections::{BTreeMap, BTreeSet};

use state::{
    DaemonRef, Millis, Moment, PoolId, VmId, VmListing, VmPresence, VmRecord, VmRole, VmState,
};

use super::Core;
use super::documents::PlatformCallPurpose;
use crate::document::Finished;
use crate::event::{Decision, PlatformRequest};
use crate::mutate::fleet::{Budget, FleetMutation, FleetResult};

/// How often planned stops are looked at.
const FLEET_PASS_INTERVAL: Millis = Millis(200);
/// How long until a reboot is asked for again.
const REBOOT_RETRY_INTERVAL: Millis = Millis(2_000);

impl Core {
    /// Takes up what changed in VM records or in the platform's list.
    pub(super) fn index_vm_records(&mut self) {
        self.pool_vms.clear();
        for (vm, record) in &self.fleet.doc().vms {
            self.pool_vms.entry(record.pool.clone()).or_default().push(vm.clone());
        }
        let pools: Vec<PoolId> = self.pool_vms.keys().cloned().collect();
        for pool in pools {
            if self.slots.contains_key(&pool) {
                continue;
            }
            self.slot_writer(&pool);
            self.dirty_documents.insert(super::DocumentRef::Slots(pool));
        }
    }

    /// Moves each VM record on that this daemon has the duty for.
    pub(super) fn run_fleet_pass(&mut self) {
        if self.now() < self.fleet_pass_due {
            return;
        }
        self.fleet_pass_due = self.now() + FLEET_PASS_INTERVAL;
        self.count_out_of_service_time();
        if self.check_work_allowed().is_err() || !self.fleet.is_known() || !self.is_listing_known {
            return;
        }
        if self.fleet.pending().next().is_some() {
            return;
        }
        self.reconcile_with_listing();
        let stopped = self.fleet.doc().vms.iter();
        let stopped = stopped.filter(|(_, record)| record.state != VmState::Serving);
        let stopped: Vec<(VmId, VmRecord)> =
            stopped.map(|(vm, record)| (vm.clone(), record.clone())).collect();
        for (vm, record) in stopped {
            if self.is_assigned(&format!("pool/{}", record.pool)) {
                self.advance_vm(&vm, &record);
            }
        }
    }

    fn count_out_of_service_time(&mut self) {
        if !self.is_assigned("measures") {
            return;
        }
        let stopped = self.fleet.doc().vms.values().filter(|row| row.state != VmState::Serving);
        self.measures.buffer_ms += stopped.count() as u64 * FLEET_PASS_INTERVAL.0;
    }

    /// Takes listed VMs into their pool, and forgets VMs that have gone.
    fn reconcile_with_listing(&mut self) {
        if !self.is_assigned("fleet") {
            return;
        }
        let known = &self.fleet.doc().vms;
        let managed = self.listing.values().filter(|listing| listing.role != VmRole::Entry);
        let fresh = managed.filter(|listing| !known.contains_key(&listing.vm));
        let adopt = fresh.map(|listing| FleetMutation::Adopt {
            vm: listing.vm.clone(),
            pool: listing.pool.clone(),
            data_centre: listing.data_centre.clone(),
        });
        let gone = known.keys().filter(|vm| !self.listing.contains_key(*vm));
        let forget = gone.map(|vm| FleetMutation::Forget { vm: vm.clone() });
        let mutations: Vec<FleetMutation> = adopt.chain(forget).collect();
        for mutation in mutations {
            self.fleet.submit(mutation);
        }
    }

    fn advance_vm(&mut self, vm: &VmId, record: &VmRecord) {
        let Some(listing) = self.listing.get(vm).cloned() else { return };
        match &record.state {
            VmState::Draining { .. } => self.advance_drain(vm, record, &listing),
            VmState::Rebooting { from_boot, .. } => {
                self.advance_reboot(vm, record, &listing, *from_boot);
            }
            VmState::Serving | VmState::Held => {}
        }
    }

    /// A drain ends when every daemon has confirmed that it has nothing there;
    /// it is taken back when unplanned losses have used up the budget.
    fn advance_drain(&mut self, vm: &VmId, record: &VmRecord, listing: &VmListing) {
        if self.is_below_minimum(&record.pool) {
            self.log_vm(vm, &record.pool, "return", "unplanned losses have used up the budget");
            return self.fleet.submit(FleetMutation::Release { vm: vm.clone() });
        }
        let waiting = self.members_with_work_on(vm, self.fleet.revision());
        let lost = self.has_departed_slot_holders();
        if !waiting.is_empty() || lost || self.busy_vms().contains(vm) || self.has_placed_jobs(vm) {
            return;
        }
        let boot = listing.boot;
        self.log_vm(
            vm,
            &record.pool,
            "stop",
            "every daemon has confirmed that it has nothing there",
        );
        self.fleet.submit(FleetMutation::Emptied { vm: vm.clone(), epoch: record.epoch, boot });
    }

    /// Whether a daemon was lost so lately that its requests may still run.
    fn has_departed_slot_holders(&self) -> bool {
        let holders = self.slots.values().flat_map(|writer| writer.doc().minions.values());
        let mut holders = holders.flat_map(|holdings| holdings.allocations.keys());
        holders
            .any(|holder: &DaemonRef| !self.members.doc().has(&holder.daemon, holder.incarnation))
    }

    fn advance_reboot(&mut self, vm: &VmId, record: &VmRecord, listing: &VmListing, from: u64) {
        let is_back = listing.boot > from && listing.presence == VmPresence::Live;
        if is_back {
            self.reboot_requests.remove(vm);
            self.log_vm(vm, &record.pool, "serve", "the platform lists it live after its reboot");
            let epoch = record.epoch;
            return self.fleet.submit(FleetMutation::Returned { vm: vm.clone(), epoch });
        }
        let asked = self.reboot_requests.get(vm).copied();
        let is_due = asked.is_none_or(|at: Moment| self.now() - at >= REBOOT_RETRY_INTERVAL);
        if listing.boot > from || listing.presence == VmPresence::Rebooting || !is_due {
            return;
        }
        self.reboot_requests.insert(vm.clone(), self.now());
        self.log_vm(vm, &record.pool, "reboot", "it is empty");
        let request = PlatformRequest::Reboot { vm: vm.clone(), epoch: record.epoch };
        self.send_platform_call(PlatformCallPurpose::Reboot, request);
    }

    /// What a planned stop in `pool` must leave in service.
    pub(super) fn availability_budget(&self, pool: &PoolId) -> Budget {
        let config = self.config.doc();
        let is_lost = |vm: &&VmId| {
            let listing = self.listing.get(*vm);
            listing.is_none_or(|listing| listing.presence != VmPresence::Live)
        };
        Budget {
            config: self.config.revision(),
            min_available: config.pools.get(pool).map_or(0, |policy| policy.min_available),
            out: config.out_data_centres.clone(),
            lost: self.fleet.doc().vms.keys().filter(is_lost).cloned().collect(),
        }
    }

    /// Gives planned stops that are still to be written the budget of now.
    pub(super) fn refresh_pending_budgets(&mut self) {
        if self.fleet.pending().next().is_none() {
            return;
        }
        let pools: BTreeSet<PoolId> =
            self.fleet.doc().vms.values().map(|record| record.pool.clone()).collect();
        let budgets: BTreeMap<PoolId, Budget> =
            pools.into_iter().map(|pool| (pool.clone(), self.availability_budget(&pool))).collect();
        let pool_of: BTreeMap<VmId, PoolId> =
            self.fleet.doc().vms.iter().map(|(vm, row)| (vm.clone(), row.pool.clone())).collect();
        self.fleet.amend(|mutation| {
            if let FleetMutation::Drain { vm, budget, .. } = mutation
                && let Some(now) = pool_of.get(vm).and_then(|pool| budgets.get(pool))
            {
                *budget = now.clone();
            }
        });
    }

    fn is_below_minimum(&self, pool: &PoolId) -> bool {
        let budget = self.availability_budget(pool);
        let available = self.fleet.doc().serving(pool).filter(|(vm, record)| {
            !budget.lost.contains(*vm) && !budget.out.contains(&record.data_centre)
        });
        (available.count() as u32) < budget.min_available
    }

    pub(super) fn handle_finished_fleet_changes(
        &mut self,
        finished: Vec<Finished<FleetMutation, FleetResult>>,
    ) {
        for Finished { mutation, result } in finished {
            if result == FleetResult::Applied {
                self.record_vm_change(&mutation);
            }
            self.answer_vm_waiters(&mutation, result);
        }
    }

    fn record_vm_change(&mut self, mutation: &FleetMutation) {
        match mutation {
            FleetMutation::Drain { vm, to, .. } => {
                let from = self.fleet.doc().vms.get(vm).map(|record| record.pool.clone());
                self.measures.drains += 1;
                self.measures.moves += u64::from(from.as_ref() != Some(to));
            }
            FleetMutation::Adopt { vm, pool, .. } => {
                self.log_vm(vm, pool, "adopt", "the platform lists it");
            }
            _ => {}
        }
    }

    pub(super) fn log_vm(&mut self, vm: &VmId, pool: &PoolId, choice: &str, reason: &str) {
        self.log_decision(Decision {
            subject: "vm",
            id: vm.as_str().into(),
            team: None,
            pool: Some(pool.clone()),
            choice: choice.into(),
            reason: reason.into(),
        });
    }
}
