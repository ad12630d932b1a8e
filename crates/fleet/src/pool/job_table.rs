//! The jobs of a pool, with indexes of the jobs that need work.
//!
//! An owner processes hundreds of events a second while hundreds of jobs wait, so no event
//! may visit all jobs. The table notes each job that is borrowed mutably, and
//! [`JobTable::refresh`] brings the indexes up to date for these jobs only.

use std::collections::{BTreeMap, BTreeSet, btree_map};
use std::ops::{Bound, Index};

use jobs::TaskName;
use state::{JobId, Millis, Moment};

use super::job::{OwnedJob, position_of};
use super::save_lane::{PerLane, SaveLane, choose_lane};

/// All jobs of a pool by name.
#[derive(Debug, Default)]
pub(super) struct JobTable {
    jobs: BTreeMap<JobId, OwnedJob>,
    /// Whether jobs were added since the last call of [`JobTable::take_has_new`].
    has_new: bool,
    /// Jobs that may have changed since the last refresh.
    changed: BTreeSet<JobId>,
    /// Number of jobs in each lane.
    lane_jobs: PerLane<usize>,
    /// Jobs with changes that can be saved at once, by lane.
    unsaved: PerLane<BTreeSet<JobId>>,
    /// Jobs with an active phase that is saved after a delay, by the end of the delay.
    delayed_phases: PerLane<BTreeSet<(Moment, JobId)>>,
    /// Jobs with failures that are not yet certain to count.
    uncertain: BTreeSet<JobId>,
    /// Jobs whose tasks may be executed by runs that no minion has listed yet.
    unresolved: BTreeSet<JobId>,
    /// Jobs with a timetable.
    timetabled: BTreeSet<JobId>,
    /// Jobs that changed since their attempts were last checked.
    unchecked: BTreeSet<JobId>,
    /// Jobs that changed since they were last ranked, and removed jobs.
    unranked: BTreeSet<JobId>,
    /// Jobs that changed since their open work was last computed, and removed jobs.
    unestimated: BTreeSet<JobId>,
}

impl JobTable {
    pub(super) fn len(&self) -> usize {
        self.jobs.len()
    }

    pub(super) fn contains_key(&self, job: &JobId) -> bool {
        self.jobs.contains_key(job)
    }

    pub(super) fn get(&self, job: &JobId) -> Option<&OwnedJob> {
        self.jobs.get(job)
    }

    /// Borrows a job mutably and notes it for the next refresh.
    pub(super) fn get_mut(&mut self, job: &JobId) -> Option<&mut OwnedJob> {
        let owned = self.jobs.get_mut(job)?;
        if !self.changed.contains(job) {
            self.changed.insert(job.clone());
        }
        Some(owned)
    }

    /// Adds a job that is not in the table, and chooses its lane.
    pub(super) fn insert(&mut self, job: JobId, mut owned: OwnedJob) {
        self.has_new = true;
        owned.lane = choose_lane(&self.lane_jobs);
        self.lane_jobs[owned.lane] += 1;
        self.changed.insert(job.clone());
        self.jobs.insert(job, owned);
    }

    /// Records the last checkpoint of a task, which no index depends on.
    pub(super) fn set_checkpoint(&mut self, task: &TaskName, checkpoint: Box<str>) {
        if let Some(owned) = self.jobs.get_mut(&task.job) {
            owned.checkpoints.insert(position_of(task), checkpoint);
        }
    }

    /// Replaces the expected run times of a job. No index depends on them; ranks and estimates that
    /// were computed from earlier ones remain until the job changes.
    pub(super) fn set_expected_run_times(
        &mut self,
        job: &JobId,
        run_times: Box<[Millis]>,
        version: u64,
    ) {
        if let Some(owned) = self.jobs.get_mut(job) {
            owned.set_expected_run_times(run_times, version);
        }
    }

    /// Counts a run of a job that the run-time table has.
    pub(super) fn count_run_time_sample(&mut self, job: &JobId) {
        if let Some(owned) = self.jobs.get_mut(job) {
            owned.run_time_samples += 1;
        }
    }

    /// Removes a job from the table and from every index.
    pub(super) fn remove(&mut self, job: &JobId) {
        let Some(owned) = self.jobs.remove(job) else { return };
        self.changed.remove(job);
        let lane = owned.lane;
        self.lane_jobs[lane] -= 1;
        self.unsaved[lane].remove(job);
        if let Some(at) = owned.phase_report_at() {
            self.delayed_phases[lane].remove(&(at, job.clone()));
        }
        self.uncertain.remove(job);
        self.unresolved.remove(job);
        self.timetabled.remove(job);
        self.unchecked.remove(job);
        self.unranked.insert(job.clone());
        self.unestimated.insert(job.clone());
    }

    /// Borrows all jobs mutably, so that the next refresh visits all of them.
    pub(super) fn values_mut(&mut self) -> btree_map::ValuesMut<'_, JobId, OwnedJob> {
        self.mark_all_changed();
        self.jobs.values_mut()
    }

    /// Notes all jobs for the next refresh, after a change that concerns every job.
    fn mark_all_changed(&mut self) {
        self.changed.extend(self.jobs.keys().cloned());
    }

    /// Whether jobs were added since the last call.
    pub(super) fn take_has_new(&mut self) -> bool {
        std::mem::take(&mut self.has_new)
    }

    /// Brings the indexes up to date, and returns the number of visited jobs.
    pub(super) fn refresh(&mut self) -> usize {
        let changed = std::mem::take(&mut self.changed);
        let count = changed.len();
        for job in changed {
            self.index_job(job);
        }
        count
    }

    fn index_job(&mut self, job: JobId) {
        let Some(owned) = self.jobs.get(&job) else { return };
        let lane = owned.lane;
        if let Some(at) = owned.phase_report_at() {
            let is_delayed = owned.is_phase_dirty && !owned.phase.is_final();
            set_member(&mut self.delayed_phases[lane], (at, job.clone()), is_delayed);
        }
        set_member(&mut self.unsaved[lane], job.clone(), owned.has_urgent_changes());
        set_member(&mut self.uncertain, job.clone(), !owned.failures.is_empty());
        set_member(&mut self.unresolved, job.clone(), owned.may_have_unknown_runs);
        set_member(&mut self.timetabled, job.clone(), owned.spec.timetable.is_some());
        self.unchecked.insert(job.clone());
        self.unestimated.insert(job.clone());
        self.unranked.insert(job);
    }

    /// Returns up to `max_jobs` jobs of a lane to be saved now. The jobs after `last_saved` come
    /// first, so that each job has its turn while more jobs change than are saved at a time.
    pub(super) fn jobs_to_save(
        &mut self,
        now: Moment,
        lane: SaveLane,
        max_jobs: usize,
        last_saved: Option<&JobId>,
    ) -> Vec<JobId> {
        self.refresh();
        let unsaved = &self.unsaved[lane];
        let after = last_saved.map_or(Bound::Unbounded, Bound::Excluded);
        let until = last_saved.map_or(Bound::Unbounded, Bound::Included);
        let next = unsaved.range::<JobId, _>((after, Bound::Unbounded));
        let wrapped = unsaved.range::<JobId, _>((Bound::Unbounded, until));
        let wrapped = wrapped.take(if last_saved.is_some() { usize::MAX } else { 0 });
        let delayed = self.delayed_phases[lane].iter().take_while(|(at, _)| *at <= now);
        let delayed = delayed.map(|(_, job)| job).filter(|job| !unsaved.contains(*job));
        next.chain(wrapped).chain(delayed).take(max_jobs).cloned().collect()
    }

    /// Returns the jobs with failures that are not yet certain to count.
    pub(super) fn uncertain_jobs(&mut self) -> impl Iterator<Item = (&JobId, &OwnedJob)> {
        self.refresh();
        self.uncertain.iter().filter_map(|job| self.jobs.get_key_value(job))
    }

    /// Returns the jobs that may have unknown runs.
    pub(super) fn unresolved_jobs(&mut self) -> impl Iterator<Item = &OwnedJob> {
        self.refresh();
        self.unresolved.iter().filter_map(|job| self.jobs.get(job))
    }

    /// Returns the jobs with a timetable, as of the last refresh.
    pub(super) fn timetabled_jobs(&self) -> &BTreeSet<JobId> {
        &self.timetabled
    }

    /// Takes the jobs that changed since the last call.
    pub(super) fn take_unchecked(&mut self) -> BTreeSet<JobId> {
        self.refresh();
        std::mem::take(&mut self.unchecked)
    }

    /// Takes the jobs that changed or were removed since the last call.
    pub(super) fn take_unranked(&mut self) -> BTreeSet<JobId> {
        self.refresh();
        std::mem::take(&mut self.unranked)
    }

    /// Takes the jobs that changed or were removed since the last call.
    pub(super) fn take_unestimated(&mut self) -> BTreeSet<JobId> {
        self.refresh();
        std::mem::take(&mut self.unestimated)
    }
}

impl Index<&JobId> for JobTable {
    type Output = OwnedJob;

    fn index(&self, job: &JobId) -> &OwnedJob {
        &self.jobs[job]
    }
}

/// Adds `item` to a set or removes it.
fn set_member<T: Ord>(set: &mut BTreeSet<T>, item: T, is_member: bool) {
    if is_member {
        set.insert(item);
    } else {
        set.remove(&item);
    }
}
