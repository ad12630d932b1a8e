//! Lanes in which a pool's changes are saved side by side.
//!
//! A full commit takes several times as long as a small one, so one commit at a time bounds the
//! finished runs that an owner can save in a second. Each lane has one commit in flight at most and
//! a save sequence of its own. An owner gives each job a lane when it takes the job and keeps to
//! it, so that the commits of one job stay in order; those of different lanes need none. A pool with
//! few jobs uses the first lane only, because each commit is a call to the store.

use std::ops::{Index, IndexMut};

/// Number of lanes.
const LANE_COUNT: usize = 4;
/// Number of jobs up to which all of them belong to the first lane.
const MAX_JOBS_OF_FIRST: usize = 64;

/// Lane in which a job is saved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SaveLane(u8);

impl SaveLane {
    /// First lane, in which the roster is saved too.
    pub(super) const FIRST: Self = Self(0);

    /// Returns the lane with this number in its key, if there is one.
    pub(super) fn from_number(number: u8) -> Option<Self> {
        (usize::from(number) < LANE_COUNT).then_some(Self(number))
    }

    /// Returns the number in the key of the lane's save sequence.
    pub(super) fn number(self) -> u8 {
        self.0
    }

    pub(super) fn all() -> impl Iterator<Item = Self> {
        (0..LANE_COUNT as u8).map(Self)
    }
}

/// Returns the lane of the next job, by the number of jobs in each lane.
pub(super) fn choose_lane(job_counts: &PerLane<usize>) -> SaveLane {
    if job_counts[SaveLane::FIRST] < MAX_JOBS_OF_FIRST {
        return SaveLane::FIRST;
    }
    SaveLane::all().min_by_key(|lane| job_counts[*lane]).unwrap_or(SaveLane::FIRST)
}

/// One value for each lane.
#[derive(Debug, Default)]
pub(super) struct PerLane<T>([T; LANE_COUNT]);

impl<T> PerLane<T> {
    pub(super) fn iter(&self) -> impl Iterator<Item = &T> {
        self.0.iter()
    }
}

impl<T> Index<SaveLane> for PerLane<T> {
    type Output = T;

    fn index(&self, lane: SaveLane) -> &T {
        &self.0[usize::from(lane.0)]
    }
}

impl<T> IndexMut<SaveLane> for PerLane<T> {
    fn index_mut(&mut self, lane: SaveLane) -> &mut T {
        &mut self.0[usize::from(lane.0)]
    }
}
