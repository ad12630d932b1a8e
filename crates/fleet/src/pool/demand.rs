//! Computes how many VMs the pool requests and which VMs it offers to other pools.
//!
//! `policy::plan_capacity` computes how many VMs the pool should have. A pool with fewer
//! requests VMs. A pool with more drains all surplus VMs without long-running tasks side by side,
//! and offers each of them once it is drained. A VM whose offer was withdrawn gets no starts for a
//! while, because an order to move the VM may be in flight.

use std::collections::BTreeSet;

use policy::{CapacityPlan, PoolLoad, TurnForecast, plan_capacity};
use state::{Millicores, Millis, MinionId, Moment, Revision, VmId};

use super::minion::OwnedMinion;
use super::work_estimate::WorkEstimate;
use super::{PoolCall, PoolOwner, StepContext};
use crate::io::{PutValue, StoreAnswer, StoreCall, StoreCommit, StorePut};
use crate::key::{OwnKey, StoreKey};
use crate::records::{PoolDemand, encode};
use crate::timing::{
    COMMIT_RETRY_DELAY, MIN_DEMAND_INTERVAL, VM_ARRIVAL_DELAY, WITHDRAWN_OFFER_PAUSE,
};
use crate::vm_controller::vms_due_for_maintenance;

/// Time for which a pool must have had a surplus of VMs before it offers one.
const SURPLUS_DURATION: Millis = Millis(1_000);

/// State of the pool's demand, as last written for the VM controller.
#[derive(Debug, Default)]
pub(super) struct DemandState {
    estimate: WorkEstimate,
    /// Bursts of the pool's demand.
    forecast: TurnForecast,
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
    /// Number of VMs that the pool had before its demand changed their number.
    initial_vms: u32,
}

impl DemandState {
    /// Whether a VM is drained to be offered, or is offered already.
    pub(super) fn is_draining(&self, vm: &VmId) -> bool {
        self.draining_vms.contains(vm)
    }
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
        self.note_initial_vms();
        let plan = self.compute_demand(context);
        self.choose_vms_to_drain(context, &plan);
        let offered_vms: BTreeSet<VmId> = self
            .demand
            .draining_vms
            .iter()
            .filter(|vm| self.minion_of_vm(vm).is_some_and(|minion| minion.is_drained(now)))
            .cloned()
            .collect();
        let next = PoolDemand {
            requested: plan.requested,
            offered: offered_vms,
            baseline: if plan.requested > 0 || !self.demand.draining_vms.is_empty() {
                self.demand.initial_vms
            } else {
                self.demand.written_demand.baseline
            },
            turns: Some(self.demand.forecast.to_record()),
            known_vms: (plan.requested > 0).then(|| self.count_listed_vms()),
        };
        if next != self.demand.written_demand {
            self.write_demand(context, next);
        }
    }

    /// Notes how many VMs the pool had before its demand changed their number.
    fn note_initial_vms(&mut self) {
        let written = &self.demand.written_demand;
        let has_changed = written.baseline > 0 || !self.demand.draining_vms.is_empty();
        let vms = self.count_retained_vms() as u32;
        self.demand.initial_vms =
            if has_changed { written.baseline } else { self.demand.initial_vms.max(vms) };
    }

    /// Updates the estimates of the jobs that have changed.
    fn estimate_changed_jobs(&mut self) {
        for job in self.jobs.take_unestimated() {
            self.work.add(1);
            if let Some(new) = self.demand.estimate.update(&job, self.jobs.get(&job)) {
                self.demand.forecast.record_work(new.accepted_ms, new.work);
            }
        }
    }

    /// Adopts the demand that an earlier owner wrote, since orders for the offered VMs may
    /// be in flight.
    pub(super) fn adopt_demand(&mut self, context: &StepContext) {
        if let Some(known_demand) = context.shared.demands.get(&self.pool) {
            self.demand.draining_vms = known_demand.record.offered.clone();
            self.demand.written_demand = known_demand.record.clone();
            let turns = known_demand.record.turns.clone().unwrap_or_default();
            self.demand.forecast = TurnForecast::from_record(turns);
            self.demand.revision = known_demand.revision;
        }
    }

    /// Computes the VMs to request and to retain.
    fn compute_demand(&self, context: &StepContext) -> CapacityPlan {
        self.work.add(self.minions.len());
        let usable = self.minions.values().filter(|minion| {
            minion.is_listed
                && !self.is_being_drained(minion)
                && !minion.report.is_draining
                && !context.shared.evacuated_data_centres.contains(&minion.report.data_centre)
        });
        let wall_ms = context.clock.wall_ms;
        let mut load = PoolLoad {
            open_work: self.demand.estimate.open_work(),
            arrival_rate: self.demand.estimate.arrival_rate(wall_ms),
            expected_rate: self.expected_rate(context),
            initial_vms: self.demand.initial_vms,
            ..PoolLoad::default()
        };
        for minion in usable {
            load.capacity.0 += minion.report.capacity.processor.0;
            load.long_running.0 += minion.long_running_millicores;
            load.vms += 1;
        }
        let mean_capacity = load.capacity.0.checked_div(u64::from(load.vms));
        load.vm_capacity = Millicores(mean_capacity.unwrap_or_else(|| typical_capacity(context)));
        let mut plan = plan_capacity(&load);
        plan.requested = plan.requested.max(self.count_unplaced_long_running());
        plan
    }

    /// Returns the rate of the work that is expected to arrive while a VM moves, or `None` without a
    /// forecast. The bursts of all pools have one period if any pool has found one.
    fn expected_rate(&self, context: &StepContext) -> Option<Millicores> {
        let now_ms = context.clock.wall_ms;
        let others = context.shared.demands.iter().filter(|(pool, _)| **pool != self.pool);
        let records = others.filter_map(|(_, demand)| demand.record.turns.clone());
        let mut forecasts = records.map(TurnForecast::from_record);
        let shared_period = forecasts.find_map(|forecast| forecast.period());
        let turn = self.demand.forecast.next_turn(now_ms, shared_period)?;
        let begins_soon = turn.start_ms <= now_ms + VM_ARRIVAL_DELAY.0;
        Some(Millicores(if begins_soon { turn.rate.0 } else { 0 }))
    }

    /// Returns the maximum number of unplaced tasks of one long-running job, since each of
    /// them may need a VM of its own.
    fn count_unplaced_long_running(&self) -> u32 {
        let jobs = self.demand.estimate.long_running_jobs();
        let jobs = jobs.iter().filter_map(|job| self.jobs.get(job));
        let ready = jobs.map(|job| job.ready.values().map(Vec::len).sum::<usize>());
        ready.max().unwrap_or(0) as u32
    }

    /// Drains the surplus VMs if the pool has had a surplus for long enough. Withdraws all offers if
    /// the pool requests VMs.
    fn choose_vms_to_drain(&mut self, context: &StepContext, plan: &CapacityPlan) {
        let now = context.clock.now;
        let known: BTreeSet<VmId> =
            self.minions.values().filter_map(|minion| minion.report.vm.clone()).collect();
        self.demand.draining_vms.retain(|vm| known.contains(vm));
        if plan.requested > 0 {
            self.demand.surplus_since = None;
            return self.withdraw_offers(now);
        }
        let surplus = self.count_retained_vms().saturating_sub(plan.retained as usize);
        if surplus == 0 {
            self.demand.surplus_since = None;
            return;
        }
        let surplus_start = *self.demand.surplus_since.get_or_insert(now);
        if now - surplus_start < SURPLUS_DURATION {
            return;
        }
        let wave_vms = vms_due_for_maintenance(context);
        for id in self.least_loaded_minions(&wave_vms, surplus) {
            let vm = self.minions.get(&id).and_then(|minion| minion.report.vm.clone());
            self.demand.draining_vms.extend(vm);
        }
    }

    /// Counts the VMs whose minions are listed, whether or not they are being drained.
    fn count_listed_vms(&self) -> u32 {
        self.minions.values().filter(|minion| minion.is_listed).count() as u32
    }

    /// Counts the VMs that are present and are not being drained.
    fn count_retained_vms(&self) -> usize {
        let is_retained = |minion: &&OwnedMinion| {
            minion.is_listed && !self.is_being_drained(minion) && !minion.report.is_draining
        };
        self.minions.values().filter(is_retained).count()
    }

    /// Finds up to `count` minions with the least reserved processor time that run no long-running
    /// task.
    fn least_loaded_minions(&self, wave_vms: &BTreeSet<VmId>, count: usize) -> Vec<MinionId> {
        let may_drain = |minion: &&OwnedMinion| {
            minion.is_listed
                && minion.is_fenced
                && !self.is_being_drained(minion)
                && !minion.report.is_draining
                && minion.report.vm.as_ref().is_some_and(|vm| !wave_vms.contains(vm))
                && minion.long_running_runs == 0
        };
        let mut candidates: Vec<&OwnedMinion> = self.minions.values().filter(may_drain).collect();
        candidates.sort_by_key(|minion| minion.used.processor.0);
        candidates.iter().take(count).map(|minion| minion.report.minion.clone()).collect()
    }

    /// Withdraws every offer. A VM that was offered gets no starts for
    /// `WITHDRAWN_OFFER_PAUSE`.
    fn withdraw_offers(&mut self, now: Moment) {
        let draining_vms = std::mem::take(&mut self.demand.draining_vms);
        let written = &self.demand.written_demand;
        for minion in self.minions.values_mut() {
            let was_offered = |vm: &VmId| draining_vms.contains(vm) && written.offered.contains(vm);
            if minion.report.vm.as_ref().is_some_and(was_offered) {
                minion.starts_paused_until = now + WITHDRAWN_OFFER_PAUSE;
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
