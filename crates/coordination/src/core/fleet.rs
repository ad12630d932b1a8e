//! VM records and planned stops of VMs.
//!
//! A planned stop drains a VM, waits until every daemon has confirmed that it has
//! no work on the VM, and then reboots or holds the VM. A rebooted VM returns to
//! service, possibly in another pool.

use std::collections::{BTreeMap, BTreeSet};

use state::{
    DaemonRef, Millis, Moment, PoolId, VmId, VmListing, VmPresence, VmRecord, VmRole, VmState,
};

use super::Core;
use super::documents::PlatformCallPurpose;
use crate::document::FinishedChange;
use crate::event::{Decision, PlatformRequest};
use crate::mutate::fleet::{AvailabilityBudget, FleetMutation, FleetResult};

/// Interval between two passes over the VM records.
const FLEET_PASS_INTERVAL: Millis = Millis(200);
/// Time after which an unfinished reboot is requested again.
const REBOOT_RETRY_INTERVAL: Millis = Millis(2_000);

impl Core {
    /// Rebuilds the index of VMs by pool from the VM records, and creates the slot
    /// document's writer for each new pool.
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

    /// Reconciles the VM records with the platform's listing, and advances every
    /// planned stop in the pools that are assigned to this daemon.
    pub(super) fn run_fleet_pass(&mut self) {
        if self.now() < self.fleet_pass_due {
            return;
        }
        self.fleet_pass_due = self.now() + FLEET_PASS_INTERVAL;
        self.count_out_of_service_time();
        if self.check_work_allowed().is_err() || !self.fleet.is_loaded() || !self.is_listing_known {
            return;
        }
        if self.fleet.pending().next().is_some() {
            return;
        }
        self.reconcile_with_listing();
        let vms = self.fleet.doc().vms.iter();
        let not_serving = vms.filter(|(_, record)| record.state != VmState::Serving);
        let not_serving: Vec<(VmId, VmRecord)> =
            not_serving.map(|(vm, record)| (vm.clone(), record.clone())).collect();
        for (vm, record) in not_serving {
            if self.is_assigned(&format!("pool/{}", record.pool)) {
                self.advance_vm(&vm, &record);
            }
        }
    }

    /// Adds one pass interval for each VM that is not serving. Only the daemon to
    /// which the fleet-wide counters are assigned counts.
    fn count_out_of_service_time(&mut self) {
        if !self.is_assigned("measures") {
            return;
        }
        let not_serving =
            self.fleet.doc().vms.values().filter(|record| record.state != VmState::Serving);
        self.counters.buffer_ms += not_serving.count() as u64 * FLEET_PASS_INTERVAL.0;
    }

    /// Adopts listed VMs without a record into their pool, and removes the records
    /// of VMs that the platform no longer lists. Only the daemon to which the fleet
    /// is assigned changes the records.
    fn reconcile_with_listing(&mut self) {
        if !self.is_assigned("fleet") {
            return;
        }
        let records = &self.fleet.doc().vms;
        let managed = self.listing.values().filter(|listing| listing.role != VmRole::Entry);
        let unrecorded = managed.filter(|listing| !records.contains_key(&listing.vm));
        let adoptions = unrecorded.map(|listing| FleetMutation::AddRecord {
            vm: listing.vm.clone(),
            pool: listing.pool.clone(),
            data_centre: listing.data_centre.clone(),
        });
        let delisted = records.keys().filter(|vm| !self.listing.contains_key(*vm));
        let removals = delisted.map(|vm| FleetMutation::RemoveRecord { vm: vm.clone() });
        let mutations: Vec<FleetMutation> = adoptions.chain(removals).collect();
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

    /// Ends a drain once every daemon has confirmed that it has no work on the VM,
    /// or returns the VM to service if unplanned losses have brought the pool below
    /// its minimum.
    fn advance_drain(&mut self, vm: &VmId, record: &VmRecord, listing: &VmListing) {
        if self.is_below_minimum(&record.pool) {
            self.log_vm(
                vm,
                &record.pool,
                "return",
                "unplanned losses have left the pool below its minimum",
            );
            return self.fleet.submit(FleetMutation::Release { vm: vm.clone() });
        }
        let unconfirmed = self.unconfirmed_members(vm, self.fleet.revision());
        let has_departed = self.has_departed_slot_holders();
        if !unconfirmed.is_empty()
            || has_departed
            || self.busy_vms().contains(vm)
            || self.has_placed_jobs(vm)
        {
            return;
        }
        let boot = listing.boot;
        self.log_vm(
            vm,
            &record.pool,
            "stop",
            "every daemon has confirmed that it has no work on the VM",
        );
        self.fleet.submit(FleetMutation::FinishDrain { vm: vm.clone(), epoch: record.epoch, boot });
    }

    /// Whether any slots are still allocated to a daemon incarnation that is no
    /// longer a member. Requests of such an incarnation may still run.
    fn has_departed_slot_holders(&self) -> bool {
        let tables = self.slots.values().flat_map(|writer| writer.doc().minions.values());
        let mut holders = tables.flat_map(|table| table.allocations.keys());
        holders.any(|holder: &DaemonRef| {
            !self.members.doc().has_joined(&holder.daemon, holder.incarnation)
        })
    }

    /// Returns a rebooted VM to service, or requests the reboot if none is in
    /// progress. A VM has rebooted once its boot count exceeds `from_boot`.
    fn advance_reboot(
        &mut self,
        vm: &VmId,
        record: &VmRecord,
        listing: &VmListing,
        from_boot: u64,
    ) {
        let has_returned = listing.boot > from_boot && listing.presence == VmPresence::Live;
        if has_returned {
            self.reboot_requests.remove(vm);
            self.log_vm(
                vm,
                &record.pool,
                "serve",
                "the platform lists the VM live after its reboot",
            );
            let epoch = record.epoch;
            return self.fleet.submit(FleetMutation::FinishReboot { vm: vm.clone(), epoch });
        }
        let requested_at = self.reboot_requests.get(vm).copied();
        let is_due = requested_at.is_none_or(|at: Moment| self.now() - at >= REBOOT_RETRY_INTERVAL);
        if listing.boot > from_boot || listing.presence == VmPresence::Rebooting || !is_due {
            return;
        }
        self.reboot_requests.insert(vm.clone(), self.now());
        self.log_vm(vm, &record.pool, "reboot", "no daemon has work on the VM");
        let request = PlatformRequest::Reboot { vm: vm.clone(), epoch: record.epoch };
        self.send_platform_call(PlatformCallPurpose::Reboot, request);
    }

    /// Computes what a planned stop in `pool` must leave in service: the pool's
    /// minimum of available VMs, with the VMs that do not count as available.
    pub(super) fn availability_budget(&self, pool: &PoolId) -> AvailabilityBudget {
        let config = self.config.doc();
        let is_lost = |vm: &&VmId| {
            let listing = self.listing.get(*vm);
            listing.is_none_or(|listing| listing.presence != VmPresence::Live)
        };
        AvailabilityBudget {
            config: self.config.revision(),
            min_available: config.pools.get(pool).map_or(0, |policy| policy.min_available),
            out_data_centres: config.out_data_centres.clone(),
            unavailable: self.fleet.doc().vms.keys().filter(is_lost).cloned().collect(),
        }
    }

    /// Updates the budgets of planned stops that are not written yet to the current
    /// configuration and listing.
    pub(super) fn refresh_pending_budgets(&mut self) {
        if self.fleet.pending().next().is_none() {
            return;
        }
        let pools: BTreeSet<PoolId> =
            self.fleet.doc().vms.values().map(|record| record.pool.clone()).collect();
        let budgets: BTreeMap<PoolId, AvailabilityBudget> =
            pools.into_iter().map(|pool| (pool.clone(), self.availability_budget(&pool))).collect();
        let pool_of: BTreeMap<VmId, PoolId> = self
            .fleet
            .doc()
            .vms
            .iter()
            .map(|(vm, record)| (vm.clone(), record.pool.clone()))
            .collect();
        self.fleet.update_queued(|mutation| {
            if let FleetMutation::BeginDrain { vm, budget, .. } = mutation
                && let Some(current) = pool_of.get(vm).and_then(|pool| budgets.get(pool))
            {
                *budget = current.clone();
            }
        });
    }

    /// Whether `pool` has fewer available VMs than its minimum.
    fn is_below_minimum(&self, pool: &PoolId) -> bool {
        let budget = self.availability_budget(pool);
        let available = self.fleet.doc().serving_vms(pool).filter(|(vm, record)| {
            !budget.unavailable.contains(*vm)
                && !budget.out_data_centres.contains(&record.data_centre)
        });
        (available.count() as u32) < budget.min_available
    }

    pub(super) fn handle_finished_fleet_changes(
        &mut self,
        finished: Vec<FinishedChange<FleetMutation, FleetResult>>,
    ) {
        for FinishedChange { mutation, result } in finished {
            if result == FleetResult::Applied {
                self.record_vm_change(&mutation);
            }
            self.answer_vm_waiters(&mutation, result);
        }
    }

    /// Counts a planned stop that was written, or logs an adopted VM.
    fn record_vm_change(&mut self, mutation: &FleetMutation) {
        match mutation {
            FleetMutation::BeginDrain { vm, to, .. } => {
                let current_pool = self.fleet.doc().vms.get(vm).map(|record| record.pool.clone());
                self.counters.drains += 1;
                self.counters.moves += u64::from(current_pool.as_ref() != Some(to));
            }
            FleetMutation::AddRecord { vm, pool, .. } => {
                self.log_vm(vm, pool, "adopt", "the platform lists the VM");
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
