//! Expected free capacity of the VMs of a rack.

use jobs::Resources;
use state::{Millis, Moment};

/// Free capacity, which is negative where more is claimed than a VM has.
#[derive(Debug, Clone, Copy, Default)]
struct Space {
    processor: i64,
    memory: i64,
    accelerators: i64,
}

impl Space {
    fn plus(self, other: Self) -> Self {
        Self {
            processor: self.processor.saturating_add(other.processor),
            memory: self.memory.saturating_add(other.memory),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    fn minus(self, other: Self) -> Self {
        let opposite = Self {
            processor: other.processor.saturating_neg(),
            memory: other.memory.saturating_neg(),
            accelerators: other.accelerators.saturating_neg(),
        };
        self.plus(opposite)
    }

    /// Returns the number of tasks for which there is room, up to `maximum`.
    fn count_tasks(self, need: Self, maximum: u32) -> u32 {
        let count = |free: i64, need: i64| match need {
            0 => i64::from(maximum),
            need => free.max(0) / need,
        };
        let tasks = count(self.processor, need.processor)
            .min(count(self.memory, need.memory))
            .min(count(self.accelerators, need.accelerators));
        tasks.clamp(0, i64::from(maximum)) as u32
    }
}

impl From<&Resources> for Space {
    fn from(resources: &Resources) -> Self {
        Self {
            processor: resources.processor.0.try_into().unwrap_or(i64::MAX),
            memory: i64::from(resources.memory.0),
            accelerators: i64::from(resources.accelerators.0),
        }
    }
}

/// Expected free capacity of one VM: what is free at first, and each change.
#[derive(Debug, Clone, Default)]
struct VmTimeline {
    free: Space,
    /// Changes by time.
    changes: Vec<(Moment, Space)>,
}

impl VmTimeline {
    fn add_change(&mut self, at: Moment, change: Space) {
        let index = self.changes.partition_point(|(known, _)| *known <= at);
        self.changes.insert(index, (at, change));
    }

    /// Returns the earliest time from which there is room for a number of tasks. Room that a later
    /// claim needs does not count.
    fn earliest(&self, now: Moment, need: Space, tasks: u32) -> Option<Moment> {
        let has_room = |free: Space| free.count_tasks(need, tasks) >= tasks;
        let last = self.changes.iter().fold(self.free, |free, (_, change)| free.plus(*change));
        let mut free = last;
        if !has_room(free) {
            return None;
        }
        for (at, change) in self.changes.iter().rev() {
            free = free.minus(*change);
            if !has_room(free) {
                return Some((*at).max(now));
            }
        }
        Some(now)
    }

    /// Returns the number of tasks, up to `maximum`, for which there is room from `at` on.
    fn count_tasks_from(&self, at: Moment, need: Space, maximum: u32) -> u32 {
        let mut free = self.free;
        let mut least = None;
        for (known, change) in &self.changes {
            if *known > at {
                least.get_or_insert(free.count_tasks(need, maximum));
            }
            free = free.plus(*change);
            if *known > at {
                least = least.min(Some(free.count_tasks(need, maximum)));
            }
        }
        least.unwrap_or_else(|| free.count_tasks(need, maximum))
    }
}

/// Room for a task in a rack.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RackRoom {
    /// Earliest expected time.
    pub at: Moment,
    /// Number of the VM, in the order in which the VMs were added.
    pub vm: usize,
}

/// Expected free capacity of the usable VMs of a rack.
#[derive(Debug, Clone)]
pub struct RackTimeline {
    now: Moment,
    vms: Vec<VmTimeline>,
}

impl RackTimeline {
    /// Creates the timeline of a rack without VMs.
    pub fn new(now: Moment) -> Self {
        Self { now, vms: Vec::new() }
    }

    /// Adds a VM with its free capacity and, for each run, the expected end and what it reserves.
    pub fn add_vm(
        &mut self,
        free: &Resources,
        ends: impl IntoIterator<Item = (Moment, Resources)>,
    ) {
        let ends = ends.into_iter().map(|(at, reserved)| (at, Space::from(&reserved)));
        let mut changes: Vec<(Moment, Space)> = ends.collect();
        changes.sort_by_key(|(at, _)| *at);
        self.vms.push(VmTimeline { free: free.into(), changes });
    }

    /// Returns the earliest room for a task on the VMs that `may_run` allows.
    pub fn earliest(&self, need: &Resources, may_run: impl Fn(usize) -> bool) -> Option<RackRoom> {
        let need = need.into();
        let allowed = self.vms.iter().enumerate().filter(|(vm, _)| may_run(*vm));
        let rooms = allowed.filter_map(|(vm, timeline)| {
            Some(RackRoom { at: timeline.earliest(self.now, need, 1)?, vm })
        });
        rooms.min_by_key(|room| (room.at, room.vm))
    }

    /// Returns the earliest time at which there is room for all tasks of a gang together.
    pub fn earliest_for_gang(
        &self,
        need: &Resources,
        tasks: u32,
        may_run: impl Fn(usize) -> bool,
    ) -> Option<Moment> {
        let need = need.into();
        let allowed: Vec<&VmTimeline> = self
            .vms
            .iter()
            .enumerate()
            .filter(|(vm, _)| may_run(*vm))
            .map(|(_, timeline)| timeline)
            .collect();
        let mut times: Vec<Moment> =
            allowed.iter().flat_map(|vm| vm.changes.iter().map(|(at, _)| *at)).collect();
        times.push(self.now);
        times.retain(|at| *at >= self.now);
        times.sort_unstable();
        let has_room = |at: &Moment| {
            let counts = allowed.iter().map(|vm| vm.count_tasks_from(*at, need, tasks));
            counts.fold(0_u32, u32::saturating_add) >= tasks
        };
        // Room that is free from a time on is also free from any later time on.
        let index = times.partition_point(|at| !has_room(at));
        times.get(index).copied()
    }

    /// Reserves room on a VM for a task that starts at `at` and lasts for `duration`.
    pub fn claim(&mut self, vm: usize, at: Moment, need: &Resources, duration: Millis) {
        let Some(timeline) = self.vms.get_mut(vm) else { return };
        let need = Space::from(need);
        if at <= self.now {
            timeline.free = timeline.free.minus(need);
        } else {
            timeline.add_change(at, Space::default().minus(need));
        }
        timeline.add_change(at + duration, need);
    }
}
