//! Estimates of the pool's open and arriving work, kept up to date job by job.

use std::collections::{BTreeMap, BTreeSet};

use state::{JobId, Millicores};

use super::job::OwnedJob;

/// Times over which arriving work is measured, in milliseconds.
const ARRIVAL_WINDOWS_MS: [u64; 3] = [250, 500, LONGEST_WINDOW_MS];
/// Longest time over which arriving work is measured, in milliseconds.
const LONGEST_WINDOW_MS: u64 = 1_000;

/// Estimate for one job, in millicores times milliseconds.
#[derive(Debug, Clone, Copy)]
struct JobEstimate {
    open_work: u64,
    accepted_ms: u64,
    /// Work of the whole job, if the job counts as arriving work.
    arriving_work: Option<u64>,
}

/// Work of a job that was not known before.
#[derive(Debug, Clone, Copy)]
pub(super) struct NewWork {
    /// Time of acceptance, in milliseconds since 1970.
    pub(super) accepted_ms: u64,
    /// Work of the whole job, in millicores times milliseconds.
    pub(super) work: u64,
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
    /// Replaces the estimate of a job; `None` stands for a removed job. Returns the work of a job
    /// that was not known before and counts as arriving work.
    pub(super) fn update(&mut self, job: &JobId, owned: Option<&OwnedJob>) -> Option<NewWork> {
        let known = self.jobs.remove(job);
        if let Some(known) = known {
            self.open_work -= u128::from(known.open_work);
            self.arrivals.remove(&(known.accepted_ms, job.clone()));
            self.long_running.remove(job);
        }
        let owned = owned?;
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
        let work = estimate.arriving_work.filter(|_| known.is_none())?;
        Some(NewWork { accepted_ms: owned.accepted_ms, work })
    }

    /// Returns the work that is not done.
    pub(super) fn open_work(&self) -> u64 {
        self.open_work.try_into().unwrap_or(u64::MAX)
    }

    /// Returns the rate at which work has arrived lately: the highest one over
    /// [`ARRIVAL_WINDOWS_MS`], so that the beginning of a burst shows before a whole second of it
    /// has passed. The rate over a shorter window counts only as far as the number and the sizes
    /// of its jobs make it certain. `wall_ms` is the time in milliseconds since 1970.
    pub(super) fn arrival_rate(&self, wall_ms: u64) -> Millicores {
        let rates = ARRIVAL_WINDOWS_MS.iter().map(|window| self.rate_over(wall_ms, *window));
        Millicores(rates.max().unwrap_or(0))
    }

    fn rate_over(&self, wall_ms: u64, window_ms: u64) -> u64 {
        let since_ms = wall_ms.saturating_sub(window_ms);
        let newest = self.arrivals.iter().rev().take_while(|(at, _)| *at > since_ms);
        let (mut sum, mut squares) = (0.0, 0.0);
        for work in newest.filter_map(|(_, job)| self.jobs.get(job)?.arriving_work) {
            sum += work as f64;
            squares += (work as f64).powi(2);
        }
        let deviation = if window_ms < LONGEST_WINDOW_MS { squares.sqrt() } else { 0.0 };
        ((sum - deviation).max(0.0) / window_ms as f64) as u64
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
        let open = u64::from(job.progress.open_tasks(&job.spec, 0, number));
        let run_time = job.expected_run_time(usize::from(number));
        let step_work = open.saturating_mul(step.demand.processor.0).saturating_mul(run_time.0);
        let counted = if job.ready.contains_key(&(0, number)) { step_work } else { step_work / 2 };
        work = work.saturating_add(counted);
    }
    work
}
