//! Upkeep of the pool's VMs.
//!
//! One record a wave says which VMs are down and which are done, so the bound of
//! VMs that are down at one time holds by compare-and-swap whoever owns the pools.
//! A VM is first emptied: it gets no starts, tasks that save are stopped and go on
//! elsewhere, lasting ones move one at a time within what their step may miss, and
//! the others run to their end. Then its mark is set, and then the order is given.
//! An owner that finds a mark without knowing what came of the order gives it again:
//! the cloud does it once.

use std::collections::BTreeSet;

use jobs::TaskName;
use state::{MinionId, Moment, Revision, VmId};

use super::job::place_of;
use super::minion::{RunKey, RunPhase};
use super::{PoolCall, PoolOwner, StepContext};
use crate::io::{CloudAnswer, CloudCall, PutValue, StoreAnswer, StoreCall, StoreCommit, StorePut};
use crate::key::{OwnKey, StoreKey};
use crate::model::{VmPhase, VmReport, WaveOrder, WavePhase};
use crate::records::{WaveDoc, WaveMark, encode};
use crate::timing::{CLOUD_PERIOD, COMMIT_RETRY};

/// What the owner knows of its VMs and of the orders that it gave.
#[derive(Debug, Default)]
pub(super) struct UpkeepState {
    vms: Vec<VmReport>,
    listed_at: Option<Moment>,
    list_sent: Moment,
    is_listing: bool,
    next_list: Moment,
    is_writing: bool,
    /// The shared record must have this revision before it is changed again.
    written: Revision,
    next_write: Moment,
    /// Orders that are not answered.
    ordered: BTreeSet<VmId>,
    /// Orders that were carried out, with the time of the answer.
    begun: std::collections::BTreeMap<VmId, Moment>,
    next_order: Moment,
    vacating: Option<VmId>,
}

impl PoolOwner {
    pub(super) fn keep_upkeep(&mut self, context: &mut StepContext) {
        if !context.is_valid || !self.stage.is_loaded() {
            return;
        }
        self.leave_draining(context);
        let open: Vec<WaveOrder> = context
            .shared
            .waves
            .values()
            .filter(|order| !is_complete(order, &doc_of(context, order.wave)))
            .cloned()
            .collect();
        if open.is_empty() {
            self.stop_vacating();
            return;
        }
        self.list_vms(context);
        let since_taken = context.clock.now - self.taken_at;
        if self.upkeep.listed_at.is_none() || since_taken < context.settings.holder_span {
            return;
        }
        for order in open {
            self.keep_wave(context, &order);
        }
    }

    fn list_vms(&mut self, context: &mut StepContext) {
        let now = context.clock.now;
        if !self.upkeep.is_listing && now >= self.upkeep.next_list {
            self.upkeep.is_listing = true;
            self.upkeep.list_sent = now;
            let purpose = self.purpose(PoolCall::ListVms);
            context.out.cloud(context.clock, purpose, CloudCall::List);
        }
    }

    fn keep_wave(&mut self, context: &mut StepContext, order: &WaveOrder) {
        let doc = doc_of(context, order.wave);
        self.give_orders(context, order, &doc);
        if self.upkeep.is_writing
            || context.clock.now < self.upkeep.next_write
            || self.shared_revision(context, order.wave) < self.upkeep.written
        {
            return;
        }
        let mut next = doc.clone();
        self.mark_done(&mut next, order);
        let down = next.vms.values().filter(|mark| **mark == WaveMark::Down).count();
        if down < order.most_down as usize
            && let Some(vm) = self.emptied_vm(order, &next)
        {
            next.vms.insert(vm, WaveMark::Down);
        }
        if next != doc || self.shared_revision(context, order.wave).0 == 0 {
            self.write_wave(context, order, next);
        }
        self.empty_next(context, order, &doc);
    }

    fn shared_revision(&self, context: &StepContext, wave: u64) -> Revision {
        context.shared.wave_docs.get(&wave).map_or(Revision(0), |doc| doc.revision)
    }

    /// Marks VMs that are back, and those that are gone for good.
    fn mark_done(&self, doc: &mut WaveDoc, order: &WaveOrder) {
        let Some(listed_at) = self.upkeep.listed_at else { return };
        for vm in &order.vms {
            let mark = doc.vms.get(vm).copied();
            if mark == Some(WaveMark::Done) {
                continue;
            }
            let listed = self.upkeep.vms.iter().find(|known| known.vm == *vm);
            let is_done = match listed {
                None => true,
                Some(known) => {
                    let begun = self.upkeep.begun.get(vm);
                    known.pool == self.pool
                        && known.phase == VmPhase::Up
                        && mark == Some(WaveMark::Down)
                        && begun.is_some_and(|at| *at < listed_at)
                }
            };
            if is_done {
                doc.vms.insert(vm.clone(), WaveMark::Done);
            }
        }
    }

    fn own_vm(&self, vm: &VmId) -> Option<&VmReport> {
        self.upkeep.vms.iter().find(|known| known.vm == *vm && known.pool == self.pool)
    }

    fn give_orders(&mut self, context: &mut StepContext, order: &WaveOrder, doc: &WaveDoc) {
        if context.clock.now < self.upkeep.next_order {
            return;
        }
        for (vm, mark) in &doc.vms {
            let is_mine = self.own_vm(vm).is_some();
            let is_open = *mark == WaveMark::Down
                && !self.upkeep.ordered.contains(vm)
                && !self.upkeep.begun.contains_key(vm);
            if is_mine && is_open {
                self.upkeep.ordered.insert(vm.clone());
                let call =
                    CloudCall::Upkeep { vm: vm.clone(), wave: order.wave, token: self.token.0 };
                let inputs = format!("wave {}, token {}", order.wave, self.token);
                context.out.log("upkeep", vm, inputs, "ordered");
                let purpose = self.purpose(PoolCall::Upkeep { vm: vm.clone(), wave: order.wave });
                context.out.cloud(context.clock, purpose, call);
            }
        }
    }

    /// A VM of the wave on which nothing runs any more.
    fn emptied_vm(&self, order: &WaveOrder, doc: &WaveDoc) -> Option<VmId> {
        let is_empty = |vm: &&VmId| {
            if doc.vms.contains_key(*vm) {
                return false;
            }
            let Some(known) = self.own_vm(vm) else { return false };
            if known.phase != VmPhase::Up {
                return false;
            }
            let minion = known.minion.as_ref().and_then(|id| self.minions.get(id));
            minion.is_none_or(|minion| minion.is_vacating && minion.runs.is_empty())
        };
        order.vms.iter().find(is_empty).cloned()
    }

    /// Empties the VM with the least work.
    fn empty_next(&mut self, context: &mut StepContext, order: &WaveOrder, doc: &WaveDoc) {
        let still = self.upkeep.vacating.clone().filter(|vm| {
            order.vms.contains(vm) && !doc.vms.contains_key(vm) && self.own_vm(vm).is_some()
        });
        let chosen = still.or_else(|| self.least_busy(order, doc));
        self.upkeep.vacating = chosen.clone();
        let Some(vm) = chosen else { return };
        let Some(id) = self.own_vm(&vm).and_then(|known| known.minion.clone()) else { return };
        if let Some(minion) = self.minions.get_mut(&id)
            && !minion.is_vacating
        {
            minion.is_vacating = true;
            let inputs = format!("wave {}, {} runs", order.wave, minion.runs.len());
            context.out.log("upkeep", &vm, inputs, "emptying");
        }
        self.empty_minion(context, &id, true);
    }

    fn least_busy(&self, order: &WaveOrder, doc: &WaveDoc) -> Option<VmId> {
        let load = |vm: &&VmId| {
            let minion = self.own_vm(vm).and_then(|known| known.minion.as_ref());
            minion.and_then(|id| self.minions.get(id)).map_or(0, |minion| minion.used.processor.0)
        };
        let waits = |vm: &&VmId| {
            !doc.vms.contains_key(*vm)
                && self.own_vm(vm).is_some_and(|known| known.phase == VmPhase::Up)
        };
        order.vms.iter().filter(waits).min_by_key(load).cloned()
    }

    fn stop_vacating(&mut self) {
        self.upkeep.vacating = None;
        for minion in self.minions.values_mut() {
            minion.is_vacating = false;
        }
    }

    /// Moves what can be moved away from minions that will leave.
    fn leave_draining(&mut self, context: &mut StepContext) {
        let draining: Vec<MinionId> = self
            .minions
            .iter()
            .filter(|(_, minion)| minion.report.is_draining && !minion.runs.is_empty())
            .map(|(id, _)| id.clone())
            .collect();
        for id in draining {
            self.empty_minion(context, &id, false);
        }
    }

    /// Stops what goes on elsewhere without loss; lasting tasks only within what
    /// their step may miss, if `keeps_bound`.
    fn empty_minion(&mut self, context: &mut StepContext, id: &MinionId, keeps_bound: bool) {
        let Some(minion) = self.minions.get(id) else { return };
        let running: Vec<RunKey> = minion
            .runs
            .iter()
            .filter(|(_, run)| run.phase == RunPhase::Running)
            .map(|(key, _)| key.clone())
            .collect();
        for (task, run) in running {
            if self.may_stop(&task, keeps_bound, context.clock.now) {
                context.out.log("move", &task, format!("{id} is emptied"), "stopped");
                self.stop_run(context, id, &task, run);
            }
        }
    }

    fn may_stop(&self, task: &TaskName, keeps_bound: bool, now: Moment) -> bool {
        let Some(job) = self.jobs.get(&task.job) else { return true };
        let place = place_of(task);
        let Some(step) = job.spec.steps.get(usize::from(place.1)) else { return true };
        if !step.lasting {
            return step.saves && job.checkpoints.contains_key(&place);
        }
        if !keeps_bound {
            return true;
        }
        let at_work = (0..step.tasks)
            .filter(|index| *index != place.2)
            .filter(|index| self.is_at_work(task, *index, now))
            .count() as u32;
        let away = step.tasks - 1 - at_work;
        away < step.may_miss.max(1)
    }

    /// Whether another task of the same step is at work, as its minion lately said.
    fn is_at_work(&self, task: &TaskName, index: u32, now: Moment) -> bool {
        let other = TaskName { index, ..task.clone() };
        let job = self.jobs.get(&task.job);
        let Some(live) = job.and_then(|job| job.live.get(&place_of(&other))) else {
            return false;
        };
        let Some(minion) = self.minions.get(&live.minion) else { return false };
        let run = minion.runs.get(&(other, live.run));
        minion.is_heard(now)
            && run.is_some_and(|run| run.phase == RunPhase::Running && run.percent >= 100)
    }

    fn write_wave(&mut self, context: &mut StepContext, order: &WaveOrder, next: WaveDoc) {
        self.upkeep.is_writing = true;
        let phase = if is_complete(order, &next) { WavePhase::Complete } else { WavePhase::Active };
        let inputs = format!("{} of {} marked", next.vms.len(), order.vms.len());
        context.out.log("wave", order.wave, inputs, format!("{phase:?}"));
        let key = StoreKey::Own(OwnKey::Wave(order.wave));
        let owner = StoreKey::Own(OwnKey::Owner(self.pool.clone()));
        let revision = self.shared_revision(context, order.wave);
        let record =
            StorePut { key: key.clone(), value: PutValue::Own(encode(&next)), lease: None };
        let status = StorePut {
            key: StoreKey::WaveStatus(order.wave),
            value: PutValue::Status(phase),
            lease: None,
        };
        let commit = StoreCommit {
            expect: vec![(owner, self.token), (key, revision)],
            puts: vec![record, status],
            remove: Vec::new(),
        };
        let purpose = self.purpose(PoolCall::WaveCommit);
        context.out.store(context.clock, purpose, StoreCall::Commit(commit));
    }

    pub(super) fn on_wave_written(&mut self, context: &mut StepContext, answer: StoreAnswer) {
        self.upkeep.is_writing = false;
        match answer {
            StoreAnswer::Committed(revision) => self.upkeep.written = revision,
            StoreAnswer::Conflict(_) => {}
            other => {
                context.out.log("wave", &self.pool, format!("{other:?}"), "again");
                self.upkeep.next_write = context.clock.now + COMMIT_RETRY;
            }
        }
    }

    pub(super) fn on_cloud_answer(
        &mut self,
        context: &mut StepContext,
        call: PoolCall,
        answer: CloudAnswer,
    ) {
        let now = context.clock.now;
        match (call, answer) {
            (PoolCall::ListVms, CloudAnswer::Listed(vms)) => {
                self.upkeep.is_listing = false;
                self.upkeep.next_list = now + CLOUD_PERIOD;
                self.upkeep.listed_at = Some(self.upkeep.list_sent);
                self.upkeep.vms = vms;
            }
            (PoolCall::ListVms, other) => {
                self.upkeep.is_listing = false;
                self.upkeep.next_list = now + CLOUD_PERIOD;
                context.out.log("cloud-list", &self.pool, format!("{other:?}"), "again");
            }
            (PoolCall::Upkeep { vm, wave }, answer) => {
                self.upkeep.ordered.remove(&vm);
                let inputs = format!("wave {wave}, token {}", self.token);
                context.out.log("upkeep", &vm, inputs, format!("{answer:?}"));
                match answer {
                    CloudAnswer::Done | CloudAnswer::Refused(_) => {
                        self.upkeep.begun.insert(vm, now);
                    }
                    _ => self.upkeep.next_order = now + CLOUD_PERIOD,
                }
            }
            _ => {}
        }
    }
}

fn doc_of(context: &StepContext, wave: u64) -> WaveDoc {
    context.shared.wave_docs.get(&wave).map(|doc| doc.record.clone()).unwrap_or_default()
}

fn is_complete(order: &WaveOrder, doc: &WaveDoc) -> bool {
    order.vms.iter().all(|vm| doc.vms.get(vm) == Some(&WaveMark::Done))
}
