//! Jobs with tasks that may start, in the order of placement.
//!
//! A job is ranked when it changes. The passing of time alone changes a rank only once, when
//! the job can no longer meet its objective. Each group of ready tasks keeps the time at which it
//! was first ranked and the reason why the last pass did not start all of it.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use jobs::{JobSpec, Resources};
use state::{JobId, TeamId};

use super::job::OwnedJob;
use super::placement::reservation_for;
use crate::event::WaitCause;

/// Order in which jobs are placed; lower ranks come first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PlaceRank {
    class: RankClass,
    priority: u32,
    /// Latest time at which the rest of the job must start to meet the objective, in
    /// milliseconds since 1970.
    latest_start_ms: u64,
}

/// Class of a job, in the order of placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum RankClass {
    LongRunning,
    OnTime,
    Late,
}

/// Ready tasks of one occurrence's step.
#[derive(Debug)]
pub(super) struct ReadyGroup {
    pub(super) occurrence: u32,
    pub(super) step: u16,
    /// Resources that each task reserves.
    pub(super) reservation: Resources,
    /// Time at which the group was first ranked, in milliseconds since 1970.
    pub(super) ready_since_ms: u64,
    /// What prevented further starts in the last pass.
    pub(super) wait_cause: Cell<WaitCause>,
}

/// Job with tasks that may start.
#[derive(Debug)]
pub(super) struct ReadyJob {
    pub(super) spec: Arc<JobSpec>,
    pub(super) team: Option<TeamId>,
    pub(super) groups: Box<[ReadyGroup]>,
}

/// Jobs with tasks that may start, by rank.
#[derive(Debug, Default)]
pub(super) struct ReadyQueue {
    jobs: BTreeMap<(PlaceRank, JobId), ReadyJob>,
    ranks: BTreeMap<JobId, PlaceRank>,
    /// Jobs of class [`RankClass::OnTime`] by their latest start.
    on_time: BTreeSet<(u64, JobId)>,
}

impl ReadyQueue {
    pub(super) fn len(&self) -> usize {
        self.jobs.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Returns the jobs in the order of placement.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&JobId, &ReadyJob)> {
        self.jobs.iter().map(|((_, job), ready)| (job, ready))
    }

    /// Removes and returns a job, if it is in the queue.
    pub(super) fn remove(&mut self, job: &JobId) -> Option<ReadyJob> {
        let rank = self.ranks.remove(job)?;
        self.on_time.remove(&(rank.latest_start_ms, job.clone()));
        self.jobs.remove(&(rank, job.clone()))
    }

    /// Adds a job whose ready tasks are to be placed. `previous` is the job as it was in the
    /// queue before it changed.
    pub(super) fn insert(
        &mut self,
        job: JobId,
        owned: &OwnedJob,
        previous: Option<ReadyJob>,
        wall_ms: u64,
    ) {
        let previous_groups = previous.map(|ready| ready.groups).unwrap_or_default();
        let groups = list_ready_groups(owned, &previous_groups, wall_ms);
        if groups.is_empty() {
            return;
        }
        let rank = rank_job(owned, wall_ms);
        if rank.class == RankClass::OnTime {
            self.on_time.insert((rank.latest_start_ms, job.clone()));
        }
        let (spec, team) = (Arc::clone(&owned.spec), owned.team.clone());
        self.ranks.insert(job.clone(), rank);
        self.jobs.insert((rank, job), ReadyJob { spec, team, groups });
    }

    /// Moves the jobs that can no longer meet their objective to the late ones, and returns
    /// the number of moved jobs.
    pub(super) fn demote_late_jobs(&mut self, wall_ms: u64) -> usize {
        let mut count = 0;
        while self.on_time.first().is_some_and(|(latest_start_ms, _)| *latest_start_ms < wall_ms)
            && let Some((_, job)) = self.on_time.pop_first()
        {
            count += 1;
            let Some(rank) = self.ranks.get_mut(&job) else { continue };
            let Some(ready) = self.jobs.remove(&(*rank, job.clone())) else { continue };
            rank.class = RankClass::Late;
            self.jobs.insert((*rank, job), ready);
        }
        count
    }
}

/// Lists a job's groups of ready tasks with at least one task that has attempts left.
fn list_ready_groups(owned: &OwnedJob, previous: &[ReadyGroup], wall_ms: u64) -> Box<[ReadyGroup]> {
    let to_group = |(&(occurrence, step), tasks): (&(u32, u16), &Vec<u32>)| {
        let spec = owned.spec.steps.get(usize::from(step))?;
        let may_start =
            |index: &u32| spec.long_running || owned.has_attempts_left((occurrence, step, *index));
        let known =
            previous.iter().find(|group| (group.occurrence, group.step) == (occurrence, step));
        tasks.iter().any(may_start).then(|| ReadyGroup {
            occurrence,
            step,
            reservation: reservation_for(spec),
            ready_since_ms: known.map_or(wall_ms, |group| group.ready_since_ms),
            wait_cause: Cell::new(
                known.map_or(WaitCause::FirstPass, |group| group.wait_cause.get()),
            ),
        })
    };
    owned.ready.iter().filter_map(to_group).collect()
}

/// Computes a job's rank at `wall_ms`, in milliseconds since 1970.
fn rank_job(job: &OwnedJob, wall_ms: u64) -> PlaceRank {
    let latest_start_ms = job.objective_ms().saturating_sub(job.remaining_critical_path().0);
    let class = if job.spec.is_long_running() {
        RankClass::LongRunning
    } else if wall_ms <= latest_start_ms {
        RankClass::OnTime
    } else {
        RankClass::Late
    };
    PlaceRank { class, priority: job.terms.priority, latest_start_ms }
}
