//! Computes how many VMs the pool requests and which VMs it offers to other pools.
//!
//! The pool's open work, by the submitters' estimates, should be done within about the
//! latency objective of the pool's jobs, which takes a certain number of cores. Work that
//! arrives faster than it can be done counts as well, before a backlog has built up,
//! because a new VM takes seconds to arrive. A pool with fewer cores requests VMs. A pool
//! with more VMs than it needs, and more than it had at first, drains VMs without
//! long-running tasks and offers them. A VM whose offer was withdrawn gets no starts for a
//! while, because an order to move the VM may be in flight.

use std::collections::BTreeSet;

use state::{Millis, MinionId, Moment, Revision, VmId};

use super::minion::OwnedMinion;
use super::work_estimate::WorkEstimate;
use super::{PoolCall, PoolOwner, StepContext};
use crate::io::{PutValue, StoreAnswer, StoreCall, StoreCommit, StorePut};
use crate::key::{OwnKey, StoreKey};
use crate::records::{PoolDemand, encode};
use crate::timing::{COMMIT_RETRY_DELAY, MIN_DEMAND_INTERVAL, WITHDRAWN_OFFER_PAUSE};
use crate::vm_controller::incomplete_waves;

/// Time in which the open work should be done, in milliseconds.
const BACKLOG_TARGET_MS: u64 = 1_500;
/// Time over which arriving work is measured, in milliseconds.
const ARRIVAL_WINDOW_MS: u64 = 1_000;
/// Maximum number of VMs that a pool requests besides its own.
const MAX_REQUESTED_VMS: u64 = 24;
/// Cores that a pool retains, in percent of the cores that its work needs.
const RETAINED_PERCENT: u64 = 150;
/// Time for which a pool must have had a surplus of VMs before it offers one.
const SURPLUS_DURATION: Millis = Millis(1_000);

/// State of the pool's demand, as last written for the VM controller.
#[derive(Debug, Default)]
pub(super) struct DemandState {
    estimate: WorkEstimate,
    /// Demand that was last written.
    written_demand: PoolDemand,
    /// Revision of the demand record in the store.
    revision: Revision,
    /// Whether a write is not answered yet.
    is_write_in_flight: bool,
    /// Earliest time of the next write.
    next_write_at: Moment,
    /// VMs that are drained to be offered, or are offered already.
    draining_vms: BTreeSet<VmId>,
    /// Time since which the pool has had more VMs than it needs.
    surplus_since: Option<Moment>,
}

impl PoolOwner {
    /// Recomputes the demand and writes it if it has changed. Without a spare pool in the
    /// configuration there is nothing to request or offer.
    pub(super) fn update_demand(&mut self, context: &mut StepContext) {
        let has_spare = context
            .shared
            .config
            .as_ref()
            .is_some_and(|config| config.pools.values().any(|pool| pool.is_spare));
        self.estimate_changed_jobs();
        if !context.is_ownership_valid || !self.stage.is_loaded() || !has_spare {
            return;
        }
        let now = context.clock.now;
        if self.demand.is_write_in_flight || now < self.demand.next_write_at {
            return;
        }
        let (requested_vms, retained_vms) = self.compute_demand(context);
        self.choose_vm_to_drain(context, requested_vms, retained_vms);
        let offered_vms: BTreeSet<VmId> = self
            .demand
            .draining_vms
            .iter()
            .filter(|vm| self.minion_of_vm(vm).is_some_and(|minion| minion.is_drained(now)))
            .cloned()
            .collect();
        let is_first_request = requested_vms > 0 && self.demand.written_demand.baseline == 0;
        let baseline_vms = if is_first_request {
            self.count_retained_vms() as u32
        } else {
            self.demand.written_demand.baseline
        };
        let next =
            PoolDemand { requested: requested_vms, offered: offered_vms, baseline: baseline_vms };
        if next != self.demand.written_demand {
            self.write_demand(context, next);
        }
    }

    /// Updates the estimates of the jobs that have changed.
    fn estimate_changed_jobs(&mut self) {
        for job in self.jobs.take_unestimated() {
            self.work.add(1);
            self.demand.estimate.update(&job, self.jobs.get(&job));
        }
    }

    /// Adopts the demand that an earlier owner wrote, since orders for the offered VMs may
    /// be in flight.
    pub(super) fn adopt_demand(&mut self, context: &StepContext) {
        if let Some(known_demand) = context.shared.demands.get(&self.pool) {
            self.demand.draining_vms = known_demand.record.offered.clone();
            self.demand.written_demand = known_demand.record.clone();
            self.demand.revision = known_demand.revision;
        }
    }

    /// Whether a VM is drained to be offered, or is offered already.
    pub(super) fn is_offered_or_draining(&self, vm: Option<&VmId>) -> bool {
        vm.is_some_and(|vm| self.demand.draining_vms.contains(vm))
    }

    /// Returns the number of VMs to request besides the present ones, and the number to
    /// retain.
    fn compute_demand(&self, context: &StepContext) -> (u32, usize) {
        self.work.add(self.minions.len());
        let usable = self.minions.values().filter(|minion| {
            minion.is_listed
                && !minion.is_being_drained
                && !minion.report.is_draining
                && !context.shared.evacuated_data_centres.contains(&minion.report.data_centre)
        });
        let mut total_millicores = 0;
        let mut count = 0;
        let mut long_running_millicores = 0;
        for minion in usable {
            total_millicores += minion.report.capacity.processor.0;
            count += 1;
            long_running_millicores += minion.long_running_millicores;
        }
        let millicores_per_vm =
            total_millicores.checked_div(count).unwrap_or_else(|| typical_capacity(context));
        if millicores_per_vm == 0 {
            return (0, self.minions.len());
        }
        let work = self.demand.estimate.open_work();
        let since_ms = context.clock.wall_ms.saturating_sub(ARRIVAL_WINDOW_MS);
        let new_work = self.demand.estimate.work_accepted_after(since_ms);
        let needed =
            (work / BACKLOG_TARGET_MS).max(new_work / ARRIVAL_WINDOW_MS) + long_running_millicores;
        let requested_vms = needed
            .saturating_sub(total_millicores)
            .div_ceil(millicores_per_vm)
            .min(MAX_REQUESTED_VMS);
        let vms_to_retain = (needed * RETAINED_PERCENT / 100).div_ceil(millicores_per_vm);
        let requested_vms = (requested_vms as u32).max(self.count_unplaced_long_running());
        (requested_vms, vms_to_retain as usize)
    }

    /// Returns the maximum number of unplaced tasks of one long-running job, since each of
    /// them may need a VM of its own.
    fn count_unplaced_long_running(&self) -> u32 {
        let jobs = self.demand.estimate.long_running_jobs();
        let jobs = jobs.iter().filter_map(|job| self.jobs.get(job));
        let ready = jobs.map(|job| job.ready.values().map(Vec::len).sum::<usize>());
        ready.max().unwrap_or(0) as u32
    }

    /// Chooses a VM to drain if the pool has had a surplus for long enough. Withdraws all
    /// offers if the pool requests VMs.
    fn choose_vm_to_drain(
        &mut self,
        context: &StepContext,
        requested_vms: u32,
        retained_vms: usize,
    ) {
        let now = context.clock.now;
        let known: BTreeSet<VmId> =
            self.minions.values().filter_map(|minion| minion.report.vm.clone()).collect();
        self.demand.draining_vms.retain(|vm| known.contains(vm));
        if requested_vms > 0 {
            self.demand.surplus_since = None;
            return self.withdraw_offers(now);
        }
        let wave_vms: BTreeSet<VmId> =
            incomplete_waves(context).into_iter().flat_map(|order| order.vms).collect();
        // Until its first request a pool has only its own VMs and a baseline of 0, and offers
        // no VM.
        let baseline_vms = self.demand.written_demand.baseline as usize;
        if baseline_vms == 0 || self.count_retained_vms() <= retained_vms.max(baseline_vms) {
            self.demand.surplus_since = None;
            return;
        }
        let surplus_start = *self.demand.surplus_since.get_or_insert(now);
        if now - surplus_start >= SURPLUS_DURATION
            && let Some(id) = self.least_loaded_minion(&wave_vms)
            && let Some(minion) = self.minions.get_mut(&id)
            && let Some(vm) = minion.report.vm.clone()
        {
            minion.is_being_drained = true;
            self.demand.draining_vms.insert(vm);
        }
    }

    /// Counts the VMs that are present and are not being drained.
    fn count_retained_vms(&self) -> usize {
        let is_retained = |minion: &&OwnedMinion| {
            minion.is_listed && !minion.is_being_drained && !minion.report.is_draining
        };
        self.minions.values().filter(is_retained).count()
    }

    /// Finds the minion with the least reserved processor time that runs no long-running
    /// task.
    fn least_loaded_minion(&self, wave_vms: &BTreeSet<VmId>) -> Option<MinionId> {
        let may_drain = |minion: &&OwnedMinion| {
            minion.is_listed
                && minion.is_fenced
                && !minion.is_being_drained
                && !minion.report.is_draining
                && minion.report.vm.as_ref().is_some_and(|vm| !wave_vms.contains(vm))
                && minion.long_running_runs == 0
        };
        let candidates = self.minions.values().filter(may_drain);
        let least = candidates.min_by_key(|minion| minion.used.processor.0);
        least.map(|minion| minion.report.minion.clone())
    }

    /// Withdraws every offer. A VM that was offered gets no starts for
    /// `WITHDRAWN_OFFER_PAUSE`.
    fn withdraw_offers(&mut self, now: Moment) {
        let draining_vms = std::mem::take(&mut self.demand.draining_vms);
        for minion in self.minions.values_mut() {
            if minion.report.vm.as_ref().is_some_and(|vm| draining_vms.contains(vm)) {
                minion.is_being_drained = false;
                let was_offered = minion
                    .report
                    .vm
                    .as_ref()
                    .is_some_and(|vm| self.demand.written_demand.offered.contains(vm));
                if was_offered {
                    minion.starts_paused_until = now + WITHDRAWN_OFFER_PAUSE;
                }
            }
        }
    }

    /// Commits the pool's demand.
    fn write_demand(&mut self, context: &mut StepContext, next: PoolDemand) {
        self.demand.is_write_in_flight = true;
        let key = StoreKey::Own(OwnKey::Need(self.pool.clone()));
        let known =
            context.shared.demands.get(&self.pool).map(|known_demand| known_demand.revision);
        let revision = known.unwrap_or(Revision(0)).max(self.demand.revision);
        let inputs = format!("{} minions, {} jobs", self.minions.len(), self.jobs.len());
        let outcome = format!("requests {} VMs, offers {}", next.requested, next.offered.len());
        context.out.log("need", &self.pool, inputs, outcome);
        let commit = StoreCommit {
            expect: vec![(self.owner_key(), self.fencing_token), (key.clone(), revision)],
            puts: vec![StorePut { key, value: PutValue::Own(encode(&next)), lease: None }],
            remove: Vec::new(),
        };
        self.demand.written_demand = next;
        let purpose = self.purpose(PoolCall::Demand);
        context.out.call_store(context.clock, purpose, StoreCall::Commit(commit));
    }

    /// Handles the answer to a write of the demand.
    pub(super) fn on_demand_written(&mut self, context: &mut StepContext, answer: StoreAnswer) {
        self.demand.is_write_in_flight = false;
        self.demand.next_write_at = context.clock.now + MIN_DEMAND_INTERVAL;
        match answer {
            StoreAnswer::Committed(revision) => self.demand.revision = revision,
            other => {
                // The stored demand is unknown. No computed demand requests `u32::MAX` VMs, so
                // the next demand is written in any case.
                self.demand.written_demand.requested = u32::MAX;
                self.demand.next_write_at = context.clock.now + COMMIT_RETRY_DELAY;
                if !matches!(other, StoreAnswer::Conflict(_)) {
                    context.out.log("need", &self.pool, format!("{other:?}"), "again");
                }
            }
        }
    }
}

/// Returns the processor capacity of a VM, in millicores: the maximum over the reports of
/// all pools' minions.
fn typical_capacity(context: &StepContext) -> u64 {
    let capacities = context.registry.reports.values().map(|report| report.capacity.processor.0);
    capacities.max().unwrap_or(0)
}
