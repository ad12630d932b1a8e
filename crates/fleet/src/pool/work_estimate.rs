//! Estimates of the pool's open and arriving work, kept up to date job by job.

use std::collections::{BTreeMap, BTreeSet};

use state::JobId;

use super::job::OwnedJob;

/// Estimate for one job, in millicores times milliseconds.
#[derive(Debug, Clone, Copy)]
struct JobEstimate {
    open_work: u64,
    accepted_ms: u64,
    /// Work of the whole job, if the job counts as arriving work.
    arriving_work: Option<u64>,
}

/// Sums over all jobs of the pool.
#[derive(Debug, Default)]
pub(super) struct WorkEstimate {
    jobs: BTreeMap<JobId, JobEstimate>,
    open_work: u128,
    /// Jobs that count as arriving work, by their time of acceptance.
    arrivals: BTreeSet<(u64, JobId)>,
    /// Long-running jobs.
    long_running: BTreeSet<JobId>,
}

impl WorkEstimate {
    /// Replaces the estimate of a job; `None` stands for a removed job.
    pub(super) fn update(&mut self, job: &JobId, owned: Option<&OwnedJob>) {
        if let Some(known) = self.jobs.remove(job) {
            self.open_work -= u128::from(known.open_work);
            self.arrivals.remove(&(known.accepted_ms, job.clone()));
            self.long_running.remove(job);
        }
        let Some(owned) = owned else { return };
        let is_long_running = owned.spec.is_long_running();
        let arrives = !is_long_running && owned.spec.timetable.is_none();
        let estimate = JobEstimate {
            open_work: open_work(owned),
            accepted_ms: owned.accepted_ms,
            arriving_work: arrives.then(|| owned.expected_work()),
        };
        self.open_work += u128::from(estimate.open_work);
        if arrives {
            self.arrivals.insert((owned.accepted_ms, job.clone()));
        }
        if is_long_running {
            self.long_running.insert(job.clone());
        }
        self.jobs.insert(job.clone(), estimate);
    }

    /// Returns the work that is not done.
    pub(super) fn open_work(&self) -> u64 {
        self.open_work.try_into().unwrap_or(u64::MAX)
    }

    /// Returns the work of the jobs that were accepted after a time, in milliseconds since
    /// 1970.
    pub(super) fn work_accepted_after(&self, wall_ms: u64) -> u64 {
        let newest = self.arrivals.iter().rev().take_while(|(at, _)| *at > wall_ms);
        let work = newest.filter_map(|(_, job)| self.jobs.get(job)?.arriving_work);
        work.fold(0, u64::saturating_add)
    }

    /// Returns the long-running jobs.
    pub(super) fn long_running_jobs(&self) -> &BTreeSet<JobId> {
        &self.long_running
    }
}

/// Estimates the work of a job that is not done. Steps that are not ready count half, because
/// they start later.
fn open_work(job: &OwnedJob) -> u64 {
    if job.phase.is_final() || job.spec.is_long_running() || job.spec.timetable.is_some() {
        return 0;
    }
    let mut work: u64 = 0;
    for (number, step) in job.spec.steps.iter().enumerate() {
        let number = number as u16;
        let open = u64::from(step.tasks.saturating_sub(job.progress.done_tasks(0, number)));
        let run_time = job.expected_run_time(usize::from(number));
        let step_work = open.saturating_mul(step.demand.processor.0).saturating_mul(run_time.0);
        let counted = if job.ready.contains_key(&(0, number)) { step_work } else { step_work / 2 };
        work = work.saturating_add(counted);
    }
    work
}
