//! Counts failed runs and fails jobs whose tasks have no attempts left.
//!
//! A failure is certain to count once it is saved and its minion has been told to drop
//! the finished run. If the minion's incarnation ends earlier, the finished run can no
//! longer be proven, and the failure is discounted. Otherwise a job could fail because
//! of a failure for which no evidence is left.

use std::collections::BTreeMap;

use jobs::{JobPhase, TaskMark, TaskName};
use state::{JobId, MinionId};

use super::job::{PendingFailure, position_of};
use super::{PoolOwner, StepContext};
use crate::records::UncertainFailure;

impl PoolOwner {
    /// Counts a failure of a task and keeps it as uncertain. Long-running tasks may fail
    /// any number of times.
    pub(super) fn record_failure(&mut self, id: &MinionId, task: &TaskName, number: u64) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let position = position_of(task);
        let TaskMark::Open(failed) = job.progress.mark(position.0, position.1, position.2) else {
            return;
        };
        let is_long_running_task =
            job.spec.steps.get(usize::from(position.1)).is_none_or(|step| step.long_running);
        if is_long_running_task || job.phase.is_final() {
            return;
        }
        let incarnation = self.minions.get(id).map_or(0, |minion| minion.report.minion_incarnation);
        let details = UncertainFailure {
            minion: id.clone(),
            minion_incarnation: incarnation,
            number,
            task: position,
        };
        // An earlier owner may have saved the failure and stopped before it saved the
        // number of the finished run.
        if job.failures.iter().any(|failure| failure.details == details) {
            return;
        }
        job.progress.set_mark(
            position.0,
            position.1,
            position.2,
            TaskMark::Open(failed.saturating_add(1)),
        );
        job.failures.push(PendingFailure { details, is_acknowledgement_sent: false });
        job.is_progress_dirty = true;
    }

    /// Whether a minion has failures that are not yet certain to count.
    pub(super) fn has_uncertain_failures(&mut self, id: &MinionId) -> bool {
        let jobs = self.uncertain_jobs_of(|details| details.minion == *id);
        !jobs.is_empty()
    }

    /// Lists the jobs with an uncertain failure for which `is_match` holds.
    fn uncertain_jobs_of(&mut self, is_match: impl Fn(&UncertainFailure) -> bool) -> Vec<JobId> {
        let mut matching = Vec::new();
        for (name, job) in self.jobs.uncertain_jobs() {
            self.work.add(1);
            if job.failures.iter().any(|failure| is_match(&failure.details)) {
                matching.push(name.clone());
            }
        }
        matching
    }

    /// Records that a minion was told to drop its finished runs up to `last_saved_end`.
    pub(super) fn record_acknowledged_end(&mut self, id: &MinionId, last_saved_end: u64) {
        let Some(minion) = self.minions.get_mut(id) else { return };
        minion.acknowledged_end = minion.acknowledged_end.max(last_saved_end);
        let incarnation = minion.report.minion_incarnation;
        self.confirm_failures(id, incarnation, last_saved_end);
    }

    /// Confirms the failures up to number `last_end` of a minion's incarnation: the minion
    /// has dropped these finished runs, so the failures are certain to count.
    pub(super) fn confirm_failures(&mut self, id: &MinionId, incarnation: u64, last_end: u64) {
        let is_confirmed = |details: &UncertainFailure| {
            details.minion == *id
                && details.minion_incarnation == incarnation
                && details.number <= last_end
        };
        for name in self.uncertain_jobs_of(is_confirmed) {
            let Some(job) = self.jobs.get_mut(&name) else { continue };
            let count = job.failures.len();
            job.failures.retain(|failure| !is_confirmed(&failure.details));
            // Saves the change, so that the next owner does not discount a confirmed
            // failure.
            job.is_progress_dirty |= job.failures.len() < count && !job.phase.is_final();
        }
    }

    /// Marks the failures that a hold acknowledges as the hold is sent.
    pub(super) fn mark_acknowledgement_sent(&mut self, id: &MinionId, last_saved_end: u64) {
        let is_acknowledged =
            |details: &UncertainFailure| details.minion == *id && details.number <= last_saved_end;
        for name in self.uncertain_jobs_of(is_acknowledged) {
            let Some(job) = self.jobs.get_mut(&name) else { continue };
            for failure in &mut job.failures {
                failure.is_acknowledgement_sent |= is_acknowledged(&failure.details);
            }
        }
    }

    /// Discounts the unacknowledged failures of a minion whose incarnation has ended or
    /// whose leases have expired without contact.
    pub(super) fn discount_minion_failures(&mut self, context: &mut StepContext, id: &MinionId) {
        self.discount_where(context, |details| details.minion == *id);
    }

    /// Discounts the unacknowledged failures of a minion with numbers below
    /// `last_lapse_end`, the number of the last run that ended because its lease lapsed.
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

    /// Discounts uncertain failures of an earlier owner whose minion is unknown or has
    /// another incarnation by now.
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

    /// Removes the uncertain failures for which `is_discounted` holds. Each of them no
    /// longer counts as an attempt, unless its acknowledgement was sent.
    fn discount_where(
        &mut self,
        context: &mut StepContext,
        is_discounted: impl Fn(&UncertainFailure) -> bool,
    ) {
        for name in self.uncertain_jobs_of(&is_discounted) {
            let Some(job) = self.jobs.get_mut(&name) else { continue };
            let failures = std::mem::take(&mut job.failures);
            let (discounted, remaining): (Vec<PendingFailure>, Vec<PendingFailure>) =
                failures.into_iter().partition(|failure| is_discounted(&failure.details));
            job.failures = remaining;
            job.is_progress_dirty |= !discounted.is_empty() && !job.phase.is_final();
            for failure in discounted.into_iter().filter(|failure| !failure.is_acknowledgement_sent)
            {
                let (occurrence, step, index) = failure.details.task;
                let inputs =
                    format!("end {} of {}", failure.details.number, failure.details.minion);
                context.out.log("failure", &name, inputs, "taken back");
                job.progress.discount_failure(occurrence, step, index);
            }
        }
    }

    /// Fails jobs with a task that has failed as often as the job's terms allow.
    pub(super) fn fail_exhausted_jobs(&mut self, context: &mut StepContext) {
        let mut exhausted: Vec<(JobId, TaskName)> = Vec::new();
        for name in self.jobs.take_unchecked() {
            self.work.add(1);
            let Some(job) = self.jobs.get(&name) else { continue };
            if job.phase.is_final() || job.may_have_unknown_runs {
                continue;
            }
            if let Some(position) = job.exhausted_task() {
                let task = super::job::task_name(&name, position);
                exhausted.push((name, task));
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
