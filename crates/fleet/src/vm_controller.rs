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
//! requests goes back to the spare pool, where it costs nothing.

use std::collections::{BTreeMap, BTreeSet};

use state::{Moment, PoolId, Revision, VmId};

use crate::io::{CloudAnswer, CloudCall, PutValue, StoreAnswer, StoreCall, StoreCommit, StorePut};
use crate::key::{OwnKey, ShardKey, StoreKey};
use crate::model::{VmPhase, VmReport, WaveOrder, WavePhase};
use crate::outbox::CallPurpose;
use crate::pool::StepContext;
use crate::records::{VmMaintenance, WaveProgressDoc, encode};
use crate::timing::{CLOUD_PERIOD, CLOUD_QUIET_PERIOD, COMMIT_RETRY, MOVE_SEEN, SPARED_KEPT};

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
    taken_at: Moment,
    vms: BTreeMap<VmId, VmReport>,
    listed_at: Option<Moment>,
    list_sent: Moment,
    is_listing: bool,
    next_list: Moment,
    is_writing: bool,
    written: Revision,
    next_write: Moment,
    /// VMs with an order that is not answered yet.
    ordered: BTreeSet<VmId>,
    /// VMs whose maintenance order was carried out or refused, with the time of the
    /// answer, by wave and VM.
    begun: BTreeMap<(u64, VmId), Moment>,
    /// Target pool and time of the order for each moved VM, kept until the VM list
    /// certainly shows the move.
    sent: BTreeMap<VmId, (PoolId, Moment)>,
    /// Time since when a VM is offered and no pool requests it.
    unwanted: BTreeMap<VmId, Moment>,
    next_order: Moment,
    pub(crate) is_lost: bool,
}

impl VmController {
    pub(crate) fn new(fencing_token: Revision, now: Moment) -> Self {
        Self {
            fencing_token,
            taken_at: now,
            vms: BTreeMap::new(),
            listed_at: None,
            list_sent: Moment(0),
            is_listing: false,
            next_list: Moment(0),
            is_writing: false,
            written: Revision(0),
            next_write: Moment(0),
            ordered: BTreeSet::new(),
            begun: BTreeMap::new(),
            sent: BTreeMap::new(),
            unwanted: BTreeMap::new(),
            next_order: Moment(0),
            is_lost: false,
        }
    }

    pub(crate) fn token(&self) -> Revision {
        self.fencing_token
    }

    /// Gives the orders and makes the calls that are due; runs after every event.
    pub(crate) fn advance(&mut self, context: &mut StepContext) {
        if !context.is_valid || self.is_lost {
            return;
        }
        let open = open_waves(context);
        let is_busy = !open.is_empty() || !self.sent.is_empty() || self.has_needs(context);
        self.list_vms(context, is_busy);
        let may_order = context.clock.now - self.taken_at >= context.settings.controller_lease;
        if self.listed_at.is_none() || !may_order || context.clock.now < self.next_order {
            return;
        }
        for order in &open {
            self.keep_wave(context, order);
        }
        self.move_vms(context, &open);
    }

    fn has_needs(&self, context: &StepContext) -> bool {
        let needs = context.shared.needs.values();
        needs.into_iter().any(|need| need.record.requested > 0 || !need.record.offered.is_empty())
    }

    fn list_vms(&mut self, context: &mut StepContext, is_busy: bool) {
        let now = context.clock.now;
        let period = if is_busy { CLOUD_PERIOD } else { CLOUD_QUIET_PERIOD };
        let is_due = self.listed_at.is_none_or(|_| now >= self.list_sent + period);
        if !self.is_listing && is_due && now >= self.next_list {
            self.is_listing = true;
            self.list_sent = now;
            let purpose = CallPurpose::VmController(self.fencing_token, VmControllerCall::List);
            context.out.cloud(context.clock, purpose, CloudCall::List);
        }
    }

    fn order(
        &mut self,
        context: &mut StepContext,
        vm: &VmId,
        call: VmControllerCall,
        order: CloudCall,
    ) {
        self.ordered.insert(vm.clone());
        context.out.cloud(
            context.clock,
            CallPurpose::VmController(self.fencing_token, call),
            order,
        );
    }

    fn keep_wave(&mut self, context: &mut StepContext, order: &WaveOrder) {
        let doc = doc_of(context, order.wave);
        self.order_upkeep(context, order, &doc);
        let revision = context.shared.wave_docs.get(&order.wave).map(|doc| doc.revision);
        let revision = revision.unwrap_or(Revision(0));
        if self.is_writing || context.clock.now < self.next_write || revision < self.written {
            return;
        }
        let mut next = doc.clone();
        self.mark_done(&mut next, order);
        self.mark_spare(context, &mut next, order);
        if next != doc || revision.0 == 0 {
            self.write_wave(context, order, revision, &next);
        }
    }

    fn order_upkeep(
        &mut self,
        context: &mut StepContext,
        order: &WaveOrder,
        doc: &WaveProgressDoc,
    ) {
        for (vm, mark) in &doc.vms {
            let is_open = *mark == VmMaintenance::Down
                && !self.ordered.contains(vm)
                && !self.begun.contains_key(&(order.wave, vm.clone()));
            if is_open {
                let wave = order.wave;
                let inputs = format!("wave {wave}, token {}", self.fencing_token);
                context.out.log("upkeep", vm, inputs, "ordered");
                let call =
                    CloudCall::Maintenance { vm: vm.clone(), wave, token: self.fencing_token.0 };
                self.order(
                    context,
                    vm,
                    VmControllerCall::Maintenance { vm: vm.clone(), wave },
                    call,
                );
            }
        }
    }

    /// Marks the VMs that are up again after maintenance and those that no longer
    /// exist.
    fn mark_done(&self, doc: &mut WaveProgressDoc, order: &WaveOrder) {
        let Some(listed_at) = self.listed_at else { return };
        for vm in &order.vms {
            let mark = doc.vms.get(vm).copied();
            if mark == Some(VmMaintenance::Done) {
                continue;
            }
            let is_done = match self.vms.get(vm) {
                None => true,
                Some(known) => {
                    let begun = self.begun.get(&(order.wave, vm.clone()));
                    known.phase == VmPhase::Up
                        && mark == Some(VmMaintenance::Down)
                        && begun.is_some_and(|at| *at < listed_at)
                }
            };
            if is_done {
                doc.vms.insert(vm.clone(), VmMaintenance::Done);
            }
        }
    }

    /// Marks VMs of spare pools as down at once: no task runs on them, so they need no
    /// drain.
    fn mark_spare(&self, context: &StepContext, doc: &mut WaveProgressDoc, order: &WaveOrder) {
        for vm in &order.vms {
            let down = doc.vms.values().filter(|mark| **mark == VmMaintenance::Down).count();
            if down >= order.max_down as usize {
                return;
            }
            let is_free = self
                .vms
                .get(vm)
                .is_some_and(|known| is_spare(context, &known.pool) && known.phase == VmPhase::Up);
            if is_free && !doc.vms.contains_key(vm) && !self.is_under_way(vm) {
                doc.vms.insert(vm.clone(), VmMaintenance::Down);
            }
        }
    }

    fn is_under_way(&self, vm: &VmId) -> bool {
        self.ordered.contains(vm) || self.sent.contains_key(vm)
    }

    fn write_wave(
        &mut self,
        context: &mut StepContext,
        order: &WaveOrder,
        revision: Revision,
        next: &WaveProgressDoc,
    ) {
        self.is_writing = true;
        let owner = StoreKey::Own(OwnKey::Owner(ShardKey::VmController));
        let commit = wave_commit(owner, self.fencing_token, order, revision, next);
        let inputs = format!("{} of {} marked", next.vms.len(), order.vms.len());
        context.out.log("wave", order.wave, inputs, "written");
        let purpose = CallPurpose::VmController(self.fencing_token, VmControllerCall::WaveCommit);
        context.out.store(context.clock, purpose, StoreCall::Commit(commit));
    }

    /// Moves offered VMs to pools that request VMs.
    fn move_vms(&mut self, context: &mut StepContext, open: &[WaveOrder]) {
        let now = context.clock.now;
        self.sent.retain(|_, (_, at)| now < *at + MOVE_SEEN);
        let in_wave = |vm: &VmId| {
            open.iter().any(|order| {
                order.vms.contains(vm)
                    && doc_of(context, order.wave).vms.get(vm) != Some(&VmMaintenance::Done)
            })
        };
        let mut free: Vec<(VmId, PoolId, bool)> = Vec::new();
        for (vm, known) in &self.vms {
            let need = context.shared.needs.get(&known.pool);
            let is_spared = need.is_some_and(|need| need.record.offered.contains(vm));
            let is_off = is_spare(context, &known.pool);
            if known.phase == VmPhase::Up
                && (is_spared || is_off)
                && !self.is_under_way(vm)
                && !in_wave(vm)
            {
                free.push((vm.clone(), known.pool.clone(), is_off));
            }
        }
        // VMs of a spare pool cost nothing there, so they move last.
        free.sort_by_key(|(_, _, is_off)| *is_off);
        self.unwanted.retain(|vm, _| free.iter().any(|(known, _, is_off)| known == vm && !is_off));
        let mut wants = self.open_wants(context);
        for (vm, from, is_off) in free {
            match wants.pop() {
                Some(pool) => self.move_vm(context, &vm, &from, pool),
                None if !is_off => self.return_vm(context, &vm, &from),
                None => break,
            }
        }
    }

    /// Lists each pool once per VM that it requests and that is not on the way to it;
    /// the pools alternate.
    fn open_wants(&self, context: &StepContext) -> Vec<PoolId> {
        let mut left: Vec<(PoolId, usize)> = Vec::new();
        for (pool, need) in &context.shared.needs {
            let coming = self.sent.iter().filter(|(vm, (to, _))| {
                let has_come = self
                    .vms
                    .get(*vm)
                    .is_some_and(|known| known.pool == *pool && known.phase == VmPhase::Up);
                to == pool && !has_come
            });
            left.push((
                pool.clone(),
                (need.record.requested as usize).saturating_sub(coming.count()),
            ));
        }
        let mut wants = Vec::new();
        while left.iter().any(|(_, count)| *count > 0) {
            for (pool, count) in &mut left {
                if *count > 0 {
                    *count -= 1;
                    wants.push(pool.clone());
                }
            }
        }
        wants
    }

    fn move_vm(&mut self, context: &mut StepContext, vm: &VmId, from: &PoolId, pool: PoolId) {
        self.unwanted.remove(vm);
        let inputs = format!("from {from}, token {}", self.fencing_token);
        context.out.log("move-vm", vm, inputs, format!("to {pool}"));
        self.sent.insert(vm.clone(), (pool.clone(), context.clock.now));
        let call =
            CloudCall::Move { vm: vm.clone(), pool: pool.clone(), token: self.fencing_token.0 };
        self.order(context, vm, VmControllerCall::Move { vm: vm.clone(), pool }, call);
    }

    /// Moves a VM to the spare pool when no pool has requested it for `SPARED_KEPT`.
    fn return_vm(&mut self, context: &mut StepContext, vm: &VmId, from: &PoolId) {
        let now = context.clock.now;
        let since = *self.unwanted.entry(vm.clone()).or_insert(now);
        let config = context.shared.config.as_ref();
        let spare = config.and_then(|config| {
            config.pools.iter().find(|(_, pool)| pool.is_spare).map(|(name, _)| name.clone())
        });
        if let Some(spare) = spare.filter(|_| now - since >= SPARED_KEPT) {
            self.move_vm(context, vm, from, spare);
        }
    }

    pub(crate) fn on_store(&mut self, context: &mut StepContext, answer: StoreAnswer) {
        self.is_writing = false;
        match answer {
            StoreAnswer::Committed(revision) => self.written = revision,
            StoreAnswer::Conflict(items) => {
                let key = StoreKey::Own(OwnKey::Owner(ShardKey::VmController));
                let is_owned = |item: &crate::io::StoreItem| {
                    item.key == key && item.revision == self.fencing_token
                };
                self.is_lost = !items.iter().any(is_owned);
            }
            other => {
                context.out.log("wave", "mover", format!("{other:?}"), "again");
                self.next_write = context.clock.now + COMMIT_RETRY;
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
            (VmControllerCall::List, CloudAnswer::Listed(vms)) => {
                self.is_listing = false;
                self.listed_at = Some(self.list_sent);
                self.vms = vms.into_iter().map(|vm| (vm.vm.clone(), vm)).collect();
            }
            (VmControllerCall::Maintenance { vm, wave }, answer) => {
                self.ordered.remove(&vm);
                self.log_order(context, "upkeep", &vm, &answer);
                match answer {
                    CloudAnswer::Done | CloudAnswer::Refused(_) => {
                        self.begun.insert((wave, vm), now);
                    }
                    _ => self.next_order = now + CLOUD_PERIOD,
                }
            }
            (VmControllerCall::Move { vm, .. }, answer) => {
                self.ordered.remove(&vm);
                self.log_order(context, "move-vm", &vm, &answer);
                if answer != CloudAnswer::Done {
                    self.next_order = now + CLOUD_PERIOD;
                }
            }
            (_, other) => {
                self.is_listing = false;
                self.next_list = now + CLOUD_PERIOD;
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
        let age = context.clock.now - self.listed_at.unwrap_or_default();
        let inputs = format!("token {}, list of {} ago", self.fencing_token, age);
        context.out.log(decision, vm, inputs, format!("{answer:?}"));
    }
}

fn is_spare(context: &StepContext, pool: &PoolId) -> bool {
    let config = context.shared.config.as_ref();
    config.and_then(|config| config.pools.get(pool)).is_some_and(|pool| pool.is_spare)
}

/// Returns the waves that have VMs left to maintain.
pub(crate) fn open_waves(context: &StepContext) -> Vec<WaveOrder> {
    let is_open = |order: &&WaveOrder| !is_complete(order, &doc_of(context, order.wave));
    context.shared.waves.values().filter(is_open).cloned().collect()
}

pub(crate) fn doc_of(context: &StepContext, wave: u64) -> WaveProgressDoc {
    context.shared.wave_docs.get(&wave).map(|doc| doc.record.clone()).unwrap_or_default()
}

fn is_complete(order: &WaveOrder, doc: &WaveProgressDoc) -> bool {
    order.vms.iter().all(|vm| doc.vms.get(vm) == Some(&VmMaintenance::Done))
}

/// Builds the commit that writes a wave's progress together with the status for the
/// operator.
pub(crate) fn wave_commit(
    owner: StoreKey,
    token: Revision,
    order: &WaveOrder,
    revision: Revision,
    next: &WaveProgressDoc,
) -> StoreCommit {
    let phase = if is_complete(order, next) { WavePhase::Complete } else { WavePhase::Active };
    let key = StoreKey::Own(OwnKey::Wave(order.wave));
    let record = StorePut { key: key.clone(), value: PutValue::Own(encode(next)), lease: None };
    let status = StorePut {
        key: StoreKey::WaveStatus(order.wave),
        value: PutValue::Status(phase),
        lease: None,
    };
    StoreCommit {
        expect: vec![(owner, token), (key, revision)],
        puts: vec![record, status],
        remove: Vec::new(),
    }
}
