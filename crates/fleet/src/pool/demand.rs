//! How many VMs the pool wants, and which it can spare.
//!
//! The pool's work that is not done, by the submitters' estimates, must be done
//! within about the objective of its jobs; that takes so many cores. So does work that
//! comes in faster than it can be done, before it has piled up: a VM needs seconds to
//! come. A pool with fewer cores wants VMs; one that has more than it needs and than its own empties VMs on
//! which no lasting task runs and offers them. A VM that was offered is used again only some time after the
//! offer was withdrawn, because an order may be on its way.

use std::collections::BTreeSet;

use jobs::TaskMark;
use state::{Millis, MinionId, Moment, Revision, VmId};

use super::job::OwnedJob;
use super::minion::OwnedMinion;
use super::{PoolCall, PoolOwner, StepContext};
use crate::io::{PutValue, StoreAnswer, StoreCall, StoreCommit, StorePut};
use crate::key::{OwnKey, StoreKey};
use crate::records::{PoolDemand, encode};
use crate::timing::{COMMIT_RETRY, NEED_GAP, SPARED_GRACE};
use crate::vm_controller::open_waves;

/// Time in which work that waits should be done, in milliseconds.
const WORK_SPAN_MS: u64 = 1_500;
/// Time over which the work that comes in is measured, in milliseconds.
const RATE_SPAN_MS: u64 = 1_000;
/// Most VMs that a pool wants besides its own.
const MOST_WANTED: u64 = 24;
/// A pool keeps this many times the cores that its work needs, in percent.
const KEPT_PERCENT: u64 = 150;
/// Time for which a pool must have more than it needs before it spares a VM.
const CALM_SPAN: Millis = Millis(1_000);

/// What was last told to the mover.
#[derive(Debug, Default)]
pub(super) struct NeedState {
    told: PoolDemand,
    revision: Revision,
    is_writing: bool,
    next_at: Moment,
    /// VMs that are being emptied to be spared.
    leaving: BTreeSet<VmId>,
    /// Since when there have been more VMs than are needed.
    calm_since: Option<Moment>,
}

impl PoolOwner {
    pub(super) fn keep_need(&mut self, context: &mut StepContext) {
        let has_spare = context
            .shared
            .config
            .as_ref()
            .is_some_and(|config| config.pools.values().any(|pool| pool.is_spare));
        if !context.is_valid || !self.stage.is_loaded() || !has_spare {
            return;
        }
        let now = context.clock.now;
        if self.need.is_writing || now < self.need.next_at {
            return;
        }
        let (wanted, keeps) = self.wanted_and_kept(context);
        self.choose_leaving(context, wanted, keeps);
        let spared: BTreeSet<VmId> = self
            .need
            .leaving
            .iter()
            .filter(|vm| self.minion_of_vm(vm).is_some_and(OwnedMinion::is_empty))
            .cloned()
            .collect();
        let is_first_want = wanted > 0 && self.need.told.baseline == 0;
        let own = if is_first_want { self.staying() as u32 } else { self.need.told.baseline };
        let next = PoolDemand { requested: wanted, offered: spared, baseline: own };
        if next != self.need.told {
            self.write_need(context, next);
        }
    }

    /// Takes over what an earlier owner has offered: orders may be on their way.
    pub(super) fn adopt_need(&mut self, context: &StepContext) {
        if let Some(need) = context.shared.needs.get(&self.pool) {
            self.need.leaving = need.record.offered.clone();
            self.need.told = need.record.clone();
            self.need.revision = need.revision;
        }
    }

    /// Whether a VM is being emptied to be spared.
    pub(super) fn is_leaving(&self, vm: Option<&VmId>) -> bool {
        vm.is_some_and(|vm| self.need.leaving.contains(vm))
    }

    /// VMs that are wanted besides those that there are, and how many are kept.
    fn wanted_and_kept(&self, context: &StepContext) -> (u32, usize) {
        let usable = self.minions.values().filter(|minion| {
            minion.is_listed
                && !minion.is_vacating
                && !minion.report.is_draining
                && !context.shared.evacuated.contains(&minion.report.data_centre)
        });
        let mut room = 0;
        let mut count = 0;
        let mut lasting = 0;
        for minion in usable {
            room += minion.report.capacity.processor.0;
            count += 1;
            lasting += self.lasting_cores(&minion.report.minion);
        }
        let of_vm = room.checked_div(count).unwrap_or_else(|| usual_room(context));
        if of_vm == 0 {
            return (0, self.minions.len());
        }
        let work: u64 = self.jobs.values().map(open_work).sum();
        let since_ms = context.clock.wall_ms.saturating_sub(RATE_SPAN_MS);
        let is_new = |job: &&OwnedJob| {
            job.accepted_ms > since_ms
                && !job.spec.is_long_running()
                && job.spec.timetable.is_none()
        };
        let new_jobs = self.jobs.values().filter(is_new);
        let new_work: u64 = new_jobs.map(|job| job.spec.estimated_work()).sum();
        let needed = (work / WORK_SPAN_MS).max(new_work / RATE_SPAN_MS) + lasting;
        let wanted = needed.saturating_sub(room).div_ceil(of_vm).min(MOST_WANTED);
        let kept = (needed * KEPT_PERCENT / 100).div_ceil(of_vm);
        let wanted = (wanted as u32).max(self.unplaced_lasting());
        (wanted, kept as usize)
    }

    /// Tasks of one lasting job that found no minion: each may need one of its own.
    fn unplaced_lasting(&self) -> u32 {
        let lasting = self.jobs.values().filter(|job| job.spec.is_long_running());
        let ready = lasting.map(|job| job.ready.values().map(Vec::len).sum::<usize>());
        ready.max().unwrap_or(0) as u32
    }

    fn lasting_cores(&self, id: &MinionId) -> u64 {
        let Some(minion) = self.minions.get(id) else { return 0 };
        let runs = minion.runs.iter().filter(|((task, _), _)| self.is_lasting(task));
        runs.map(|(_, run)| run.takes.processor.0).sum()
    }

    fn is_lasting(&self, task: &jobs::TaskName) -> bool {
        self.jobs.get(&task.job).is_none_or(|job| job.spec.is_long_running())
    }

    /// Chooses the VMs that are emptied to be spared.
    fn choose_leaving(&mut self, context: &StepContext, wanted: u32, keeps: usize) {
        let now = context.clock.now;
        let known: BTreeSet<VmId> =
            self.minions.values().filter_map(|minion| minion.report.vm.clone()).collect();
        self.need.leaving.retain(|vm| known.contains(vm));
        if wanted > 0 {
            self.need.calm_since = None;
            return self.keep_all(now);
        }
        let in_wave: BTreeSet<VmId> =
            open_waves(context).into_iter().flat_map(|order| order.vms).collect();
        // Before it first wants more, a pool has only its own.
        let own = self.need.told.baseline as usize;
        if own == 0 || self.staying() <= keeps.max(own) {
            self.need.calm_since = None;
            return;
        }
        let since = *self.need.calm_since.get_or_insert(now);
        if now - since >= CALM_SPAN
            && let Some(id) = self.least_needed(&in_wave)
            && let Some(minion) = self.minions.get_mut(&id)
            && let Some(vm) = minion.report.vm.clone()
        {
            minion.is_vacating = true;
            self.need.leaving.insert(vm);
        }
    }

    /// VMs that are here and stay.
    fn staying(&self) -> usize {
        let stays = |minion: &&OwnedMinion| {
            minion.is_listed && !minion.is_vacating && !minion.report.is_draining
        };
        self.minions.values().filter(stays).count()
    }

    /// The minion without lasting tasks that has least to do.
    fn least_needed(&self, in_wave: &BTreeSet<VmId>) -> Option<MinionId> {
        let may_leave = |minion: &&OwnedMinion| {
            minion.is_listed
                && minion.is_fenced
                && !minion.is_vacating
                && !minion.report.is_draining
                && minion.report.vm.as_ref().is_some_and(|vm| !in_wave.contains(vm))
                && !minion.runs.keys().any(|(task, _)| self.is_lasting(task))
        };
        let leaving = self.minions.values().filter(may_leave);
        let least = leaving.min_by_key(|minion| minion.used.processor.0);
        least.map(|minion| minion.report.minion.clone())
    }

    /// Withdraws every offer.
    fn keep_all(&mut self, now: Moment) {
        let leaving = std::mem::take(&mut self.need.leaving);
        for minion in self.minions.values_mut() {
            if minion.report.vm.as_ref().is_some_and(|vm| leaving.contains(vm)) {
                minion.is_vacating = false;
                let was_offered =
                    minion.report.vm.as_ref().is_some_and(|vm| self.need.told.offered.contains(vm));
                if was_offered {
                    minion.pause_until = now + SPARED_GRACE;
                }
            }
        }
    }

    fn write_need(&mut self, context: &mut StepContext, next: PoolDemand) {
        self.need.is_writing = true;
        let key = StoreKey::Own(OwnKey::Need(self.pool.clone()));
        let known = context.shared.needs.get(&self.pool).map(|need| need.revision);
        let revision = known.unwrap_or(Revision(0)).max(self.need.revision);
        let inputs = format!("{} minions, {} jobs", self.minions.len(), self.jobs.len());
        let outcome = format!("wants {}, spares {}", next.requested, next.offered.len());
        context.out.log("need", &self.pool, inputs, outcome);
        let commit = StoreCommit {
            expect: vec![(self.owner_key(), self.fencing_token), (key.clone(), revision)],
            puts: vec![StorePut { key, value: PutValue::Own(encode(&next)), lease: None }],
            remove: Vec::new(),
        };
        self.need.told = next;
        let purpose = self.purpose(PoolCall::Demand);
        context.out.store(context.clock, purpose, StoreCall::Commit(commit));
    }

    pub(super) fn on_need_written(&mut self, context: &mut StepContext, answer: StoreAnswer) {
        self.need.is_writing = false;
        self.need.next_at = context.clock.now + NEED_GAP;
        match answer {
            StoreAnswer::Committed(revision) => self.need.revision = revision,
            other => {
                // Nobody knows what was told: it is told again.
                self.need.told.requested = u32::MAX;
                self.need.next_at = context.clock.now + COMMIT_RETRY;
                if !matches!(other, StoreAnswer::Conflict(_)) {
                    context.out.log("need", &self.pool, format!("{other:?}"), "again");
                }
            }
        }
    }
}

/// Processor room of a VM, by what all pools' minions report.
fn usual_room(context: &StepContext) -> u64 {
    let rooms = context.registry.reports.values().map(|report| report.capacity.processor.0);
    rooms.max().unwrap_or(0)
}

/// Work of a job that is not done, by its estimates, in thousandths of a core times
/// milliseconds; steps whose turn has not come count half, because they come later.
fn open_work(job: &OwnedJob) -> u64 {
    if job.phase.is_final() || job.spec.is_long_running() || job.spec.timetable.is_some() {
        return 0;
    }
    let mut work = 0;
    for (number, step) in job.spec.steps.iter().enumerate() {
        let number = number as u16;
        let is_open = |index: &u32| job.progress.mark(0, number, *index) != TaskMark::Done;
        let open = (0..step.tasks).filter(is_open).count() as u64;
        let of_step = open * step.demand.processor.0 * step.estimate.0;
        work += if job.ready.contains_key(&(0, number)) { of_step } else { of_step / 2 };
    }
    work
}
