//! Lanes in which a pool's changes are saved side by side.
//!
//! A full commit takes several times as long as a small one, so one commit at a time bounds the
//! finished runs that an owner can save in a second. Each job belongs to one lane by its name, and
//! each lane has one commit in flight at most and a save sequence of its own: the commits of one
//! job stay in order, those of different lanes need none.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::ops::{Index, IndexMut};

use state::JobId;

/// Number of lanes.
const LANE_COUNT: usize = 4;

/// Lane in which a job is saved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SaveLane(u8);

impl SaveLane {
    /// Lane in which the roster is saved.
    pub(super) const ROSTER: Self = Self(0);

    /// Returns the lane of a job, which never changes.
    pub(super) fn of(job: &JobId) -> Self {
        let mut hasher = DefaultHasher::new();
        job.hash(&mut hasher);
        Self((hasher.finish() % LANE_COUNT as u64) as u8)
    }

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
