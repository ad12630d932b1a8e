//! Failed runs, and jobs that have failed.
//!
//! A failed end counts as an attempt once it is saved and its minion was told to
//! forget it. A minion that ends its life before has lost the end unseen, so the run
//! is taken back; else a job could be given up for a failure that nobody can show.

use std::collections::{BTreeMap, BTreeSet};

use jobs::{JobPhase, TaskMark, TaskName};
use state::{JobId, MinionId};

use super::job::{PendingFailure, place_of};
use super::{PoolOwner, StepContext};
use crate::records::UncertainFailure;

impl PoolOwner {
    pub(super) fn task_failed(&mut self, id: &MinionId, task: &TaskName, number: u64) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let place = place_of(task);
        let TaskMark::Open(failed) = job.progress.mark(place.0, place.1, place.2) else { return };
        let is_lasting =
            job.spec.steps.get(usize::from(place.1)).is_none_or(|step| step.long_running);
        if is_lasting || job.phase.is_final() {
            return;
        }
        let born = self.minions.get(id).map_or(0, |minion| minion.report.minion_incarnation);
        let doubt =
            UncertainFailure { minion: id.clone(), minion_incarnation: born, number, task: place };
        // An earlier owner saved the failure and died before it saved the end's number.
        if job.failures.iter().any(|failure| failure.doubt == doubt) {
            return;
        }
        job.progress.set(place.0, place.1, place.2, TaskMark::Open(failed + 1));
        job.failures.push(PendingFailure { doubt, is_named: false });
        job.is_progress_dirty = true;
    }

    /// Minions of which failed ends are not known to count.
    pub(super) fn doubted_minions(&self) -> BTreeSet<MinionId> {
        let failures = self.jobs.values().flat_map(|job| &job.failures);
        failures.map(|failure| failure.doubt.minion.clone()).collect()
    }

    /// A minion was told to forget its ends up to a number.
    pub(super) fn take_told(&mut self, id: &MinionId, noted: u64) {
        let Some(minion) = self.minions.get_mut(id) else { return };
        minion.told = minion.told.max(noted);
        let born = minion.report.minion_incarnation;
        self.settle_forgotten(id, born, noted);
    }

    /// Failures count without a doubt that a minion has forgotten in its present life.
    pub(super) fn settle_forgotten(&mut self, id: &MinionId, born: u64, upto: u64) {
        let is_settled = |doubt: &UncertainFailure| {
            doubt.minion == *id && doubt.minion_incarnation == born && doubt.number <= upto
        };
        for job in self.jobs.values_mut().filter(|job| !job.failures.is_empty()) {
            let count = job.failures.len();
            job.failures.retain(|failure| !is_settled(&failure.doubt));
            // The next owner must not take back what counts.
            job.is_progress_dirty |= job.failures.len() < count && !job.phase.is_final();
        }
    }

    /// A hold that names ends up to a number is on its way.
    pub(super) fn name_failures(&mut self, id: &MinionId, noted: u64) {
        for job in self.jobs.values_mut() {
            let failures = job.failures.iter_mut();
            let named = failures
                .filter(|failure| failure.doubt.minion == *id && failure.doubt.number <= noted);
            named.for_each(|failure| failure.is_named = true);
        }
    }

    /// A minion's life is over, or nothing is heard of it: what it was not told
    /// to forget does not count.
    pub(super) fn forgive_failures(&mut self, context: &mut StepContext, id: &MinionId) {
        self.forgive(context, |doubt| doubt.minion == *id);
    }

    /// A minion's lease has lapsed before its end `lapse`: failures from before that
    /// it was not told to forget do not count.
    pub(super) fn forgive_before_lapse(
        &mut self,
        context: &mut StepContext,
        id: &MinionId,
        lapse: u64,
    ) {
        self.forgive(context, |doubt| doubt.minion == *id && doubt.number < lapse);
    }

    /// The lives of which an earlier owner had doubts are over where no minion of
    /// that life is known.
    pub(super) fn forgive_unknown_lives(&mut self, context: &mut StepContext) {
        let lives: BTreeMap<MinionId, u64> = self
            .minions
            .iter()
            .map(|(id, minion)| (id.clone(), minion.report.minion_incarnation))
            .collect();
        self.forgive(context, |doubt| lives.get(&doubt.minion) != Some(&doubt.minion_incarnation));
    }

    fn forgive(&mut self, context: &mut StepContext, is_over: impl Fn(&UncertainFailure) -> bool) {
        for (name, job) in self.jobs.iter_mut().filter(|(_, job)| !job.failures.is_empty()) {
            let failures = std::mem::take(&mut job.failures);
            let (over, kept): (Vec<PendingFailure>, Vec<PendingFailure>) =
                failures.into_iter().partition(|failure| is_over(&failure.doubt));
            job.failures = kept;
            job.is_progress_dirty |= !over.is_empty() && !job.phase.is_final();
            for failure in over.into_iter().filter(|failure| !failure.is_named) {
                let (occurrence, step, index) = failure.doubt.task;
                let inputs = format!("end {} of {}", failure.doubt.number, failure.doubt.minion);
                context.out.log("failure", name, inputs, "taken back");
                job.progress.discount_failure(occurrence, step, index);
            }
        }
    }

    /// Gives up jobs of which a task has failed as often as its queue allows.
    pub(super) fn settle_failures(&mut self, context: &mut StepContext) {
        let Some(config) = context.shared.config.as_ref() else { return };
        let mut spent: Vec<(JobId, TaskName)> = Vec::new();
        for (name, job) in &self.jobs {
            if job.phase.is_final() || job.is_inherited {
                continue;
            }
            // Without its queue's configuration a job is not given up.
            let Some(queue) = config.queue(&job.queue) else { continue };
            if let Some(place) = job.spent_task(queue.max_attempts) {
                spent.push((name.clone(), super::job::task_name(name, place)));
            }
        }
        for (name, task) in spent {
            let Some(job) = self.jobs.get_mut(&name) else { continue };
            job.phase = JobPhase::Failed;
            job.is_phase_dirty = true;
            job.ready.clear();
            context.out.log("job", &name, format!("{task} has no attempts left"), "failed");
            self.stop_job(context, &name);
        }
    }
}
