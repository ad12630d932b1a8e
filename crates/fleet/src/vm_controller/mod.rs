//! Gives all orders for VMs: moves between pools and maintenance.
//!
//! Only one daemon at a time may give orders for a VM, under fencing tokens that never
//! decrease. Therefore one daemon owns the VM controller for all VMs, and a new owner
//! waits until no order of the previous owner can arrive after its own orders. Each
//! pool states in its [`PoolDemand`](crate::PoolDemand) how many VMs it requests and
//! which drained VMs it offers; a VM of a wave is taken down once its pool has marked
//! it as down.
//!
//! An offered VM goes to the pool that requests the most VMs. A VM that no pool
//! requests goes back to the spare pool, where it costs nothing. The module `waves` handles the
//! progress of maintenance waves.

mod waves;

use std::collections::{BTreeMap, BTreeSet};

use state::{Moment, PoolId, Revision, VmId};

use crate::io::{CloudAnswer, CloudCall, StoreAnswer};
use crate::key::{OwnKey, ShardKey, StoreKey};
use crate::model::{VmPhase, VmReport, WaveOrder};
use crate::outbox::CallPurpose;
use crate::pool::StepContext;
use crate::records::VmMaintenance;
use crate::timing::{
    COMMIT_RETRY_DELAY, MAX_VM_LIST_AGE, MOVE_VISIBILITY_DELAY, OFFERED_VM_RETENTION,
    VM_LIST_IDLE_INTERVAL, VM_LIST_INTERVAL,
};

pub(crate) use waves::{
    has_reached, incomplete_waves, vms_due_for_maintenance, wave_commit, wave_progress_of,
};

/// Store and cloud calls of [`VmController`].
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum VmControllerCall {
    List,
    WaveCommit,
    Maintenance { vm: VmId, wave: u64 },
    Move { vm: VmId, pool: PoolId },
}

/// State of the VM controller.
#[derive(Debug)]
pub(crate) struct VmController {
    fencing_token: Revision,
    owned_since: Moment,
    vms: BTreeMap<VmId, VmReport>,
    /// Time at which the current VM list was requested.
    listed_at: Option<Moment>,
    list_requested_at: Moment,
    is_list_in_flight: bool,
    next_list_at: Moment,
    is_write_in_flight: bool,
    /// Wave and revision of the last wave progress that this owner wrote.
    last_write: (u64, Revision),
    next_write_at: Moment,
    /// Time at which this owner first saw each incomplete wave.
    waves_seen_at: BTreeMap<u64, Moment>,
    /// VMs with an order that is not answered yet.
    pending_orders: BTreeSet<VmId>,
    /// VMs whose maintenance order was carried out, with the time of the answer, by wave and VM.
    maintenance_answered_at: BTreeMap<(u64, VmId), Moment>,
    /// Target pool and time of the order for each moved VM, kept until the VM list
    /// certainly shows the move.
    recent_moves: BTreeMap<VmId, (PoolId, Moment)>,
    /// Time since which a VM is offered without a request from any pool, by VM.
    unrequested_since: BTreeMap<VmId, Moment>,
    next_order_at: Moment,
    pub(crate) is_lost: bool,
}

impl VmController {
    pub(crate) fn new(fencing_token: Revision, now: Moment) -> Self {
        Self {
            fencing_token,
            owned_since: now,
            vms: BTreeMap::new(),
            listed_at: None,
            list_requested_at: Moment(0),
            is_list_in_flight: false,
            next_list_at: Moment(0),
            is_write_in_flight: false,
            last_write: (0, Revision(0)),
            next_write_at: Moment(0),
            waves_seen_at: BTreeMap::new(),
            pending_orders: BTreeSet::new(),
            maintenance_answered_at: BTreeMap::new(),
            recent_moves: BTreeMap::new(),
            unrequested_since: BTreeMap::new(),
            next_order_at: Moment(0),
            is_lost: false,
        }
    }

    pub(crate) fn fencing_token(&self) -> Revision {
        self.fencing_token
    }

    /// Gives the orders and makes the calls that are due; runs after every event.
    pub(crate) fn advance(&mut self, context: &mut StepContext) {
        if !context.is_ownership_valid || self.is_lost {
            return;
        }
        let incomplete_waves = incomplete_waves(context);
        let is_busy = !incomplete_waves.is_empty()
            || !self.recent_moves.is_empty()
            || self.has_demands(context);
        self.note_waves(context.clock.now, &incomplete_waves);
        self.list_vms(context, is_busy);
        if !self.may_order(context) {
            return;
        }
        for order in &incomplete_waves {
            self.update_wave(context, order);
        }
        self.move_vms(context, &incomplete_waves);
    }

    /// Whether orders may be given: no order of the previous owner can arrive any more, and what
    /// the orders depend on is current.
    fn may_order(&self, context: &StepContext) -> bool {
        let now = context.clock.now;
        let is_list_current =
            self.listed_at.is_some_and(|listed_at| now - listed_at <= MAX_VM_LIST_AGE);
        now - self.owned_since >= context.settings.controller_lease
            && now >= self.next_order_at
            && is_list_current
            && context.shared.is_current(now)
    }

    fn has_demands(&self, context: &StepContext) -> bool {
        let demands = context.shared.demands.values();
        demands
            .into_iter()
            .any(|demand| demand.record.requested > 0 || !demand.record.offered.is_empty())
    }

    fn list_vms(&mut self, context: &mut StepContext, is_busy: bool) {
        let now = context.clock.now;
        let interval = if is_busy { VM_LIST_INTERVAL } else { VM_LIST_IDLE_INTERVAL };
        let is_due = self.listed_at.is_none_or(|_| now >= self.list_requested_at + interval);
        if !self.is_list_in_flight && is_due && now >= self.next_list_at {
            self.is_list_in_flight = true;
            self.list_requested_at = now;
            let purpose = CallPurpose::VmController(self.fencing_token, VmControllerCall::List);
            context.out.call_cloud(context.clock, purpose, CloudCall::List);
        }
    }

    fn send_order(
        &mut self,
        context: &mut StepContext,
        vm: &VmId,
        call: VmControllerCall,
        order: CloudCall,
    ) {
        self.pending_orders.insert(vm.clone());
        context.out.call_cloud(
            context.clock,
            CallPurpose::VmController(self.fencing_token, call),
            order,
        );
    }

    fn is_order_in_progress(&self, vm: &VmId) -> bool {
        self.pending_orders.contains(vm) || self.recent_moves.contains_key(vm)
    }

    /// Moves offered VMs to pools that request VMs.
    fn move_vms(&mut self, context: &mut StepContext, incomplete_waves: &[WaveOrder]) {
        let now = context.clock.now;
        self.recent_moves.retain(|_, (_, at)| now < *at + MOVE_VISIBILITY_DELAY);
        let is_in_incomplete_wave = |vm: &VmId| {
            incomplete_waves.iter().any(|order| {
                order.vms.contains(vm)
                    && wave_progress_of(context, order.wave).vms.get(vm)
                        != Some(&VmMaintenance::Done)
            })
        };
        let mut movable: Vec<(VmId, PoolId, bool)> = Vec::new();
        for (vm, known) in &self.vms {
            let demand = context.shared.demands.get(&known.pool);
            let is_offered = demand.is_some_and(|demand| demand.record.offered.contains(vm));
            let is_in_spare_pool = is_spare_pool(context, &known.pool);
            if known.phase == VmPhase::Up
                && (is_offered || is_in_spare_pool)
                && !self.is_order_in_progress(vm)
                && !is_in_incomplete_wave(vm)
            {
                movable.push((vm.clone(), known.pool.clone(), is_in_spare_pool));
            }
        }
        // VMs of a spare pool cost nothing there, so they move last.
        movable.sort_by_key(|(_, _, is_in_spare_pool)| *is_in_spare_pool);
        self.unrequested_since.retain(|vm, _| {
            movable.iter().any(|(known, _, is_in_spare_pool)| known == vm && !is_in_spare_pool)
        });
        let mut requesting_pools = self.list_requesting_pools(context);
        for (vm, from, is_in_spare_pool) in movable {
            match requesting_pools.pop() {
                Some(pool) => self.move_vm(context, &vm, &from, pool),
                None if !is_in_spare_pool => self.return_to_spare_pool(context, &vm, &from),
                None => break,
            }
        }
    }

    /// Lists each pool once per requested VM, less the VMs that have been moved to the pool since
    /// it made the request; the pools alternate.
    fn list_requesting_pools(&self, context: &StepContext) -> Vec<PoolId> {
        let mut remaining: Vec<(PoolId, usize)> = Vec::new();
        for (pool, demand) in &context.shared.demands {
            let arriving = self.count_arriving(pool, demand.record.known_vms);
            let requested = demand.record.requested as usize;
            remaining.push((pool.clone(), requested.saturating_sub(arriving)));
        }
        let mut requesting_pools = Vec::new();
        while remaining.iter().any(|(_, count)| *count > 0) {
            for (pool, count) in &mut remaining {
                if *count > 0 {
                    *count -= 1;
                    requesting_pools.push(pool.clone());
                }
            }
        }
        requesting_pools
    }

    /// Counts the VMs that are on their way to a pool, or have arrived there and are not known to
    /// its owner, who knew `known_vms` when it requested more.
    fn count_arriving(&self, pool: &PoolId, known_vms: Option<u32>) -> usize {
        let is_moving_there = |vm: &VmId| {
            let target = self.recent_moves.get(vm).map(|(target, _)| target);
            let is_there =
                self.vms.get(vm).is_some_and(|vm| vm.pool == *pool && vm.phase == VmPhase::Up);
            target == Some(pool) && !is_there
        };
        let moving = self.vms.keys().filter(|vm| is_moving_there(vm)).count();
        let Some(known_vms) = known_vms else { return moving };
        let is_up = |vm: &&VmReport| vm.pool == *pool && vm.phase == VmPhase::Up;
        let leaving =
            |vm: &VmReport| self.recent_moves.get(&vm.vm).is_some_and(|(target, _)| target != pool);
        let up = self.vms.values().filter(is_up).filter(|vm| !leaving(vm)).count();
        moving + up.saturating_sub(known_vms as usize)
    }

    fn move_vm(&mut self, context: &mut StepContext, vm: &VmId, from: &PoolId, pool: PoolId) {
        self.unrequested_since.remove(vm);
        let inputs = format!("from pool {from}, {}", self.describe_basis(context));
        context.out.log("move-vm", vm, inputs, format!("to {pool}"));
        self.recent_moves.insert(vm.clone(), (pool.clone(), context.clock.now));
        let call = CloudCall::Move {
            vm: vm.clone(),
            pool: pool.clone(),
            fencing_token: self.fencing_token.0,
        };
        self.send_order(context, vm, VmControllerCall::Move { vm: vm.clone(), pool }, call);
    }

    /// Moves a VM to the spare pool when no pool has requested it for `OFFERED_VM_RETENTION`.
    fn return_to_spare_pool(&mut self, context: &mut StepContext, vm: &VmId, from: &PoolId) {
        let now = context.clock.now;
        let since = *self.unrequested_since.entry(vm.clone()).or_insert(now);
        let config = context.shared.config.as_ref();
        let spare_pool = config.and_then(|config| {
            config.pools.iter().find(|(_, pool)| pool.is_spare).map(|(name, _)| name.clone())
        });
        if let Some(spare_pool) = spare_pool.filter(|_| now - since >= OFFERED_VM_RETENTION) {
            self.move_vm(context, vm, from, spare_pool);
        }
    }

    pub(crate) fn on_store(&mut self, context: &mut StepContext, answer: StoreAnswer) {
        self.is_write_in_flight = false;
        match answer {
            StoreAnswer::Committed(revision) => self.last_write.1 = revision,
            StoreAnswer::Conflict(items) => {
                let key = StoreKey::Own(OwnKey::Owner(ShardKey::VmController));
                let is_owned = |item: &crate::io::StoreItem| {
                    item.key == key && item.revision == self.fencing_token
                };
                self.is_lost = !items.iter().any(is_owned);
            }
            other => {
                context.out.log("wave", "mover", format!("{other:?}"), "again");
                self.next_write_at = context.clock.now + COMMIT_RETRY_DELAY;
            }
        }
    }

    pub(crate) fn on_cloud(
        &mut self,
        context: &mut StepContext,
        call: VmControllerCall,
        answer: CloudAnswer,
    ) {
        let now = context.clock.now;
        match (call, answer) {
            (
                VmControllerCall::Maintenance { vm, .. } | VmControllerCall::Move { vm, .. },
                CloudAnswer::Fenced,
            ) => {
                self.log_order(context, "vm-controller", &vm, &CloudAnswer::Fenced);
                self.is_lost = true;
            }
            (VmControllerCall::List, CloudAnswer::Listed(vms)) => {
                self.is_list_in_flight = false;
                self.listed_at = Some(self.list_requested_at);
                self.vms = vms.into_iter().map(|vm| (vm.vm.clone(), vm)).collect();
            }
            (VmControllerCall::Maintenance { vm, wave }, answer) => {
                self.pending_orders.remove(&vm);
                self.log_order(context, "upkeep", &vm, &answer);
                match answer {
                    CloudAnswer::Done => {
                        self.maintenance_answered_at.insert((wave, vm), now);
                    }
                    _ => self.next_order_at = now + VM_LIST_INTERVAL,
                }
            }
            (VmControllerCall::Move { vm, .. }, answer) => {
                self.pending_orders.remove(&vm);
                self.log_order(context, "move-vm", &vm, &answer);
                if matches!(answer, CloudAnswer::NotNow | CloudAnswer::Refused(_)) {
                    // The order was not carried out, so another VM may be moved instead.
                    self.recent_moves.remove(&vm);
                }
                if answer != CloudAnswer::Done {
                    self.next_order_at = now + VM_LIST_INTERVAL;
                }
            }
            (_, other) => {
                self.is_list_in_flight = false;
                self.next_list_at = now + VM_LIST_INTERVAL;
                context.out.log("vm-list", "mover", format!("{other:?}"), "again");
            }
        }
        self.advance(context);
    }

    fn log_order(
        &self,
        context: &mut StepContext,
        decision: &'static str,
        vm: &VmId,
        answer: &CloudAnswer,
    ) {
        let inputs = self.describe_basis(context);
        context.out.log(decision, vm, inputs, format!("{answer:?}"));
    }

    /// Describes what an order is based on, for the order's log line.
    fn describe_basis(&self, context: &StepContext) -> String {
        let age = context.clock.now - self.listed_at.unwrap_or_default();
        format!("fencing token {}, VM list read {age} ago", self.fencing_token)
    }
}

fn is_spare_pool(context: &StepContext, pool: &PoolId) -> bool {
    let config = context.shared.config.as_ref();
    config.and_then(|config| config.pools.get(pool)).is_some_and(|pool| pool.is_spare)
}
