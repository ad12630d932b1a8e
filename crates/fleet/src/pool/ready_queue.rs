//! Jobs with tasks that may start, in the order of placement.
//!
//! A job is ranked when it changes, and when the selection of the jobs that a full pool can complete
//! in time (`overload`) moves it to another class. Each group of ready tasks keeps the time at which it
//! was first ranked and the reason why the last pass did not start all of it.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::sync::Arc;

use jobs::{JobSpec, Resources};
use policy::{JobClass, JobLoad};
use state::{JobId, TeamId};

use super::job::OwnedJob;
use super::placement::reservation_for;
use crate::event::WaitCause;

/// Order in which jobs are placed; lower ranks come first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PlaceRank {
    class: RankClass,
    priority: u32,
    /// Whether jobs of teams that use less than their share come before this one.
    is_unprotected: bool,
    /// Latest time at which the rest of the job must start to meet the objective, or, for a job
    /// that was left out, to end before it expires; in milliseconds since 1970.
    latest_start_ms: u64,
}

/// Class of a job, in the order of placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum RankClass {
    LongRunning,
    Selected(JobClass),
}

impl PlaceRank {
    fn new(load: &JobLoad, class: JobClass) -> Self {
        let latest_start_ms = match class {
            JobClass::Protected | JobClass::InTime => load.latest_start_ms(),
            JobClass::Late | JobClass::Expired => load.last_start_ms(),
        };
        Self {
            class: RankClass::Selected(class.max(JobClass::InTime)),
            priority: load.priority,
            is_unprotected: class != JobClass::Protected,
            latest_start_ms,
        }
    }

    fn long_running(load: &JobLoad) -> Self {
        let latest_start_ms = load.latest_start_ms();
        let (class, priority) = (RankClass::LongRunning, load.priority);
        Self { class, priority, is_unprotected: true, latest_start_ms }
    }
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
}

impl ReadyQueue {
    pub(super) fn len(&self) -> usize {
        self.jobs.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Whether the last placement pass found tasks that wait for VMs with free capacity.
    pub(super) fn waits_for_capacity(&self) -> bool {
        let waits = |group: &ReadyGroup| {
            matches!(group.wait_cause.get(), WaitCause::Capacity | WaitCause::UnusableMinions)
        };
        self.jobs.values().any(|ready| ready.groups.iter().any(waits))
    }

    /// Returns the jobs in the order of placement.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&JobId, &ReadyJob)> {
        self.jobs.iter().map(|((_, job), ready)| (job, ready))
    }

    /// Removes and returns a job, if it is in the queue.
    pub(super) fn remove(&mut self, job: &JobId) -> Option<ReadyJob> {
        let rank = self.ranks.remove(job)?;
        self.jobs.remove(&(rank, job.clone()))
    }

    /// Adds a job whose ready tasks are to be placed. `previous` is the job as it was in the
    /// queue before it changed; `class` is `None` for a long-running job.
    pub(super) fn insert(
        &mut self,
        job: JobId,
        owned: &OwnedJob,
        previous: Option<ReadyJob>,
        placed: (&JobLoad, Option<JobClass>),
        wall_ms: u64,
    ) {
        let previous_groups = previous.map(|ready| ready.groups).unwrap_or_default();
        let groups = list_ready_groups(owned, &previous_groups, wall_ms);
        if groups.is_empty() {
            return;
        }
        let (load, class) = placed;
        let rank = class.map_or(PlaceRank::long_running(load), |class| PlaceRank::new(load, class));
        let (spec, team) = (Arc::clone(&owned.spec), owned.team.clone());
        self.ranks.insert(job.clone(), rank);
        self.jobs.insert((rank, job), ReadyJob { spec, team, groups });
    }

    /// Moves a job to the class that the selection has found, if it is in the queue.
    pub(super) fn reclassify(&mut self, job: &JobId, load: &JobLoad, class: JobClass) {
        let next = PlaceRank::new(load, class);
        let Some(rank) = self.ranks.get_mut(job).filter(|rank| **rank != next) else { return };
        let previous = std::mem::replace(rank, next);
        if let Some(ready) = self.jobs.remove(&(previous, job.clone())) {
            self.jobs.insert((next, job.clone()), ready);
        }
    }
}

/// Lists a job's groups of ready tasks with at least one task that has attempts left, in the order of
/// occurrences and steps.
fn list_ready_groups(owned: &OwnedJob, previous: &[ReadyGroup], wall_ms: u64) -> Box<[ReadyGroup]> {
    let to_group = |(&(occurrence, step), tasks): (&(u32, u16), &Vec<u32>)| {
        let spec = owned.spec.steps.get(usize::from(step))?;
        let may_start =
            |index: &u32| spec.long_running || owned.has_attempts_left((occurrence, step, *index));
        let position = |group: &ReadyGroup| (group.occurrence, group.step);
        let known = previous.binary_search_by_key(&(occurrence, step), position);
        let known = known.ok().map(|index| &previous[index]);
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
