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
    pub(super) fn record_failure(&mut self, id: &MinionId, task: &TaskName, number: u64) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let place = place_of(task);
        let TaskMark::Open(failed) = job.progress.mark(place.0, place.1, place.2) else { return };
        let is_long_running_task =
            job.spec.steps.get(usize::from(place.1)).is_none_or(|step| step.long_running);
        if is_long_running_task || job.phase.is_final() {
            return;
        }
        let incarnation = self.minions.get(id).map_or(0, |minion| minion.report.minion_incarnation);
        let details = UncertainFailure {
            minion: id.clone(),
            minion_incarnation: incarnation,
            number,
            task: place,
        };
        // An earlier owner saved the failure and died before it saved the end's number.
        if job.failures.iter().any(|failure| failure.details == details) {
            return;
        }
        job.progress.set(place.0, place.1, place.2, TaskMark::Open(failed + 1));
        job.failures.push(PendingFailure { details, is_acknowledgement_sent: false });
        job.is_progress_dirty = true;
    }

    /// Minions of which failed ends are not known to count.
    pub(super) fn minions_with_uncertain_failures(&self) -> BTreeSet<MinionId> {
        let failures = self.jobs.values().flat_map(|job| &job.failures);
        failures.map(|failure| failure.details.minion.clone()).collect()
    }

    /// A minion was told to forget its ends up to a number.
    pub(super) fn record_acknowledged_end(&mut self, id: &MinionId, last_saved_end: u64) {
        let Some(minion) = self.minions.get_mut(id) else { return };
        minion.acknowledged_end = minion.acknowledged_end.max(last_saved_end);
        let incarnation = minion.report.minion_incarnation;
        self.confirm_failures(id, incarnation, last_saved_end);
    }

    /// Failures count without a doubt that a minion has forgotten in its present life.
    pub(super) fn confirm_failures(&mut self, id: &MinionId, incarnation: u64, last_end: u64) {
        let is_confirmed = |details: &UncertainFailure| {
            details.minion == *id
                && details.minion_incarnation == incarnation
                && details.number <= last_end
        };
        for job in self.jobs.values_mut().filter(|job| !job.failures.is_empty()) {
            let count = job.failures.len();
            job.failures.retain(|failure| !is_confirmed(&failure.details));
            // The next owner must not take back what counts.
            job.is_progress_dirty |= job.failures.len() < count && !job.phase.is_final();
        }
    }

    /// A hold that names ends up to a number is on its way.
    pub(super) fn mark_acknowledgement_sent(&mut self, id: &MinionId, last_saved_end: u64) {
        for job in self.jobs.values_mut() {
            let failures = job.failures.iter_mut();
            let named = failures.filter(|failure| {
                failure.details.minion == *id && failure.details.number <= last_saved_end
            });
            named.for_each(|failure| failure.is_acknowledgement_sent = true);
        }
    }

    /// A minion's life is over, or nothing is heard of it: what it was not told
    /// to forget does not count.
    pub(super) fn discount_minion_failures(&mut self, context: &mut StepContext, id: &MinionId) {
        self.discount_where(context, |details| details.minion == *id);
    }

    /// A minion's lease has lapsed before its end `last_lapse_end`: failures from before that
    /// it was not told to forget do not count.
    pub(super) fn discount_before_lapse(
        &mut self,
        context: &mut StepContext,
        id: &MinionId,
        last_lapse_end: u64,
    ) {
        self.discount_where(context, |details| {
            details.minion == *id && details.number < last_lapse_end
        });
    }

    /// The lives of which an earlier owner had doubts are over where no minion of
    /// that life is known.
    pub(super) fn discount_unknown_incarnations(&mut self, context: &mut StepContext) {
        let known_incarnations: BTreeMap<MinionId, u64> = self
            .minions
            .iter()
            .map(|(id, minion)| (id.clone(), minion.report.minion_incarnation))
            .collect();
        self.discount_where(context, |details| {
            known_incarnations.get(&details.minion) != Some(&details.minion_incarnation)
        });
    }

    fn discount_where(
        &mut self,
        context: &mut StepContext,
        is_discounted: impl Fn(&UncertainFailure) -> bool,
    ) {
        for (name, job) in self.jobs.iter_mut().filter(|(_, job)| !job.failures.is_empty()) {
            let failures = std::mem::take(&mut job.failures);
            let (discounted, kept): (Vec<PendingFailure>, Vec<PendingFailure>) =
                failures.into_iter().partition(|failure| is_discounted(&failure.details));
            job.failures = kept;
            job.is_progress_dirty |= !discounted.is_empty() && !job.phase.is_final();
            for failure in discounted.into_iter().filter(|failure| !failure.is_acknowledgement_sent)
            {
                let (occurrence, step, index) = failure.details.task;
                let inputs =
                    format!("end {} of {}", failure.details.number, failure.details.minion);
                context.out.log("failure", name, inputs, "taken back");
                job.progress.discount_failure(occurrence, step, index);
            }
        }
    }

    /// Gives up jobs of which a task has failed as often as its queue allows.
    pub(super) fn fail_exhausted_jobs(&mut self, context: &mut StepContext) {
        let Some(config) = context.shared.config.as_ref() else { return };
        let mut exhausted: Vec<(JobId, TaskName)> = Vec::new();
        for (name, job) in &self.jobs {
            if job.phase.is_final() || job.may_have_unknown_runs {
                continue;
            }
            // Without its queue's configuration a job is not given up.
            let Some(queue) = config.queue(&job.queue) else { continue };
            if let Some(place) = job.exhausted_task(queue.max_attempts) {
                exhausted.push((name.clone(), super::job::task_name(name, place)));
            }
        }
        for (name, task) in exhausted {
            let Some(job) = self.jobs.get_mut(&name) else { continue };
            job.phase = JobPhase::Failed;
            job.is_phase_dirty = true;
            job.ready.clear();
            context.out.log("job", &name, format!("{task} has no attempts left"), "failed");
            self.stop_job(context, &name);
        }
    }
}
