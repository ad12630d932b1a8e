//! Selection of the jobs that the pool completes in time when it cannot complete all.
//!
//! The load of each job is kept up to date when the job changes. The selection itself
//! (`policy::select_jobs`) visits all open jobs, so it is repeated at an interval that grows with
//! their number; between two selections a job keeps its class.

use std::collections::BTreeMap;

use policy::{JobClass, JobLoad, PoolCapacity, TeamShares, TeamUse, select_jobs};
use state::{JobId, Millis, Moment};

use super::job::OwnedJob;
use super::{PoolOwner, StepContext};

/// Minimum interval between two selections.
const MIN_SELECTION_INTERVAL: Millis = Millis(100);
/// Number of jobs for which the interval is a millisecond longer, so that an owner with little
/// processor time places tasks meanwhile.
const JOBS_PER_INTERVAL_MS: u64 = 10;
/// Minimum interval between two log lines about the selection.
const SELECTION_LINE_INTERVAL: Millis = Millis(1_000);

/// Load and class of an open job.
#[derive(Debug)]
struct SelectedJob {
    load: JobLoad,
    class: JobClass,
}

/// Loads of the pool's open jobs, and the classes of the last selection.
#[derive(Debug, Default)]
pub(super) struct OverloadState {
    /// Open jobs that are not long-running.
    jobs: BTreeMap<JobId, SelectedJob>,
    shares: TeamShares,
    /// Version of the configuration that the shares were taken from.
    config_version: Option<u64>,
    /// Earliest time of the next selection.
    next_selection_at: Moment,
    /// Earliest time of the next log line.
    next_line_at: Moment,
}

/// Number of jobs in each class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct ClassCounts {
    in_time: u64,
    late: u64,
    expired: u64,
}

impl ClassCounts {
    fn add(&mut self, class: JobClass) {
        match class {
            JobClass::Protected | JobClass::InTime => self.in_time += 1,
            JobClass::Late => self.late += 1,
            JobClass::Expired => self.expired += 1,
        }
    }
}

impl OverloadState {
    /// Replaces the load of a job and returns its class; `None` for a long-running job. A job that
    /// no selection has seen is classified by its own objective alone.
    pub(super) fn update(
        &mut self,
        job: &JobId,
        owned: &OwnedJob,
        load: &JobLoad,
        wall_ms: u64,
    ) -> Option<JobClass> {
        if owned.spec.is_long_running() || owned.phase.is_final() {
            self.remove(job);
            return (!owned.spec.is_long_running()).then_some(JobClass::Expired);
        }
        let known_class = self.jobs.get(job).map(|known| known.class);
        let class = known_class.unwrap_or_else(|| class_of_new(load, wall_ms));
        self.jobs.insert(job.clone(), SelectedJob { load: load.clone(), class });
        Some(class)
    }

    pub(super) fn remove(&mut self, job: &JobId) {
        self.jobs.remove(job);
    }

    /// Classifies all jobs, and returns the number of jobs in each class.
    fn classify(&mut self, capacity: &PoolCapacity, wall_ms: u64) -> ClassCounts {
        let loads: Vec<&JobLoad> = self.jobs.values().map(|job| &job.load).collect();
        let classes = select_jobs(&loads, capacity, &self.shares, wall_ms);
        let mut counts = ClassCounts::default();
        for (job, class) in self.jobs.values_mut().zip(classes) {
            job.class = class;
            counts.add(class);
        }
        counts
    }
}

impl PoolOwner {
    /// Repeats the selection if it is due and jobs wait, and ranks the waiting jobs by it.
    pub(super) fn select_jobs(&mut self, context: &mut StepContext) {
        let now = context.clock.now;
        if self.ready_queue.is_empty() || now < self.overload.next_selection_at {
            return;
        }
        let job_count = self.overload.jobs.len();
        self.work.add(job_count);
        let interval = Millis(job_count as u64 / JOBS_PER_INTERVAL_MS);
        self.overload.next_selection_at = now + MIN_SELECTION_INTERVAL + interval;
        self.update_shares(context);
        let capacity = self.selection_capacity(context);
        let counts = self.overload.classify(&capacity, context.clock.wall_ms);
        for (job, selected) in &self.overload.jobs {
            self.ready_queue.reclassify(job, &selected.load, selected.class);
        }
        self.log_selection(context, &capacity, counts);
    }

    /// Takes the teams' weights from the configuration, and records what they use.
    fn update_shares(&mut self, context: &StepContext) {
        let Some(config) = context.shared.config.as_ref() else { return };
        if self.overload.config_version.replace(config.version) != Some(config.version) {
            let teams = config.teams.iter();
            let weights = teams.clone().map(|team| (team.team.clone(), team.share));
            self.overload.shares.set_weights(weights);
            let limits = teams.map(|team| (team.team.clone(), team.limit.processor.0));
            self.overload.shares.set_limits(limits);
        }
        let allocations = context.shared.allocations.as_ref();
        let elsewhere = self.limits.processor_use_elsewhere(allocations, &self.pool);
        let present_use = TeamUse { here: self.limits.processor_use(), elsewhere };
        self.overload.shares.record_use(context.clock.now, present_use);
    }

    /// Sums the capacity of the minions that get tasks, without that of long-running tasks.
    fn selection_capacity(&self, context: &StepContext) -> PoolCapacity {
        self.work.add(self.minions.len());
        let evacuated = &context.shared.evacuated_data_centres;
        let usable = self.minions.values().filter(|minion| {
            minion.is_listed
                && !self.is_being_drained(minion)
                && !minion.report.is_draining
                && !evacuated.contains(&minion.report.data_centre)
        });
        let mut capacity = PoolCapacity::default();
        for minion in usable {
            let total = minion.report.capacity.processor.0;
            capacity.millicores += total.saturating_sub(minion.long_running_millicores);
            capacity.free_millicores += minion.free_capacity().processor.0;
        }
        capacity
    }

    /// Logs how many jobs are left out, and by which capacity.
    fn log_selection(
        &mut self,
        context: &mut StepContext,
        capacity: &PoolCapacity,
        counts: ClassCounts,
    ) {
        let now = context.clock.now;
        if counts.late + counts.expired == 0 || now < self.overload.next_line_at {
            return;
        }
        self.overload.next_line_at = now + SELECTION_LINE_INTERVAL;
        let inputs = format!(
            "{} jobs, {}m, {}m free",
            self.overload.jobs.len(),
            capacity.millicores,
            capacity.free_millicores,
        );
        let outcome =
            format!("{} in time, {} late, {} expired", counts.in_time, counts.late, counts.expired);
        context.out.log("selection", &self.pool, inputs, outcome);
    }
}

/// Classifies a job by its own objective alone.
fn class_of_new(load: &JobLoad, wall_ms: u64) -> JobClass {
    if wall_ms <= load.latest_start_ms() {
        JobClass::InTime
    } else if wall_ms <= load.last_start_ms() {
        JobClass::Late
    } else {
        JobClass::Expired
    }
}
