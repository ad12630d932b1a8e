//! Chooses the minion that serves a request.
//!
//! Candidates are the minions of the pool that have a free slot in this daemon's
//! allocation. The minion with the lowest share of its allocation in use is
//! chosen; among equals, the least recently used one. A minion whose attempts
//! fail several times in a row is excluded for a while and then tried again; one
//! more failure excludes that minion again. At most half of a pool is excluded at
//! a time: while more minions are due for exclusion, all exclusions are ignored,
//! so that a fault of all minions cannot exclude the whole pool.

use std::collections::BTreeMap;

use state::{Millis, Moment, VmId};

use crate::local_allocation::LocalAllocation;

/// Number of consecutive failures after which a minion is excluded.
const EXCLUSION_THRESHOLD: u32 = 3;
/// Duration of the first exclusion; it doubles with each further failure.
const MIN_EXCLUSION_DURATION: Millis = Millis(500);
/// Maximum duration of an exclusion.
const MAX_EXCLUSION_DURATION: Millis = Millis(8_000);

/// Slots of one minion and its recent failures.
#[derive(Debug, Clone, Default)]
pub(crate) struct MinionRoute {
    pub(crate) slots: LocalAllocation,
    /// Number of consecutive failed attempts.
    consecutive_failures: u32,
    excluded_until: Moment,
    last_used: Moment,
}

impl MinionRoute {
    /// Records a successful attempt, which ends an exclusion.
    pub(crate) fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.excluded_until = Moment(0);
    }

    /// Records a failed attempt, which may exclude the minion.
    pub(crate) fn record_failure(&mut self, now: Moment) {
        self.consecutive_failures += 1;
        if self.consecutive_failures >= EXCLUSION_THRESHOLD {
            let doublings = (self.consecutive_failures - EXCLUSION_THRESHOLD).min(10);
            let exclusion = (MIN_EXCLUSION_DURATION.0 << doublings).min(MAX_EXCLUSION_DURATION.0);
            self.excluded_until = now + Millis(exclusion);
        }
    }

    fn is_excluded(&self, now: Moment) -> bool {
        now < self.excluded_until
    }
}

/// Minions of one pool.
#[derive(Debug, Clone, Default)]
pub(crate) struct PoolRoute {
    pub(crate) minions: BTreeMap<VmId, MinionRoute>,
}

impl PoolRoute {
    /// Chooses a minion with a free slot for which `is_usable` holds, preferring
    /// minions that are not in `avoid`.
    pub(crate) fn choose_minion(
        &self,
        now: Moment,
        is_usable: impl Fn(&VmId) -> bool,
        avoid: &[VmId],
    ) -> Option<VmId> {
        let usable: Vec<(&VmId, &MinionRoute)> =
            self.minions.iter().filter(|(vm, _)| is_usable(vm)).collect();
        let excluded = usable.iter().filter(|(_, route)| route.is_excluded(now)).count();
        let respects_exclusions = excluded * 2 <= usable.len();
        let free = usable.into_iter().filter(|(_, route)| route.slots.available() > 0);
        let free = free.filter(|(_, route)| !(respects_exclusions && route.is_excluded(now)));
        let best = free.min_by_key(|(vm, route)| {
            (avoid.contains(vm), load_permille(&route.slots), route.last_used)
        });
        best.map(|(vm, _)| vm.clone())
    }

    /// Counts one more slot of `vm` as in use.
    pub(crate) fn acquire_slot(&mut self, vm: &VmId, now: Moment) {
        if let Some(route) = self.minions.get_mut(vm) {
            route.slots.acquire();
            route.last_used = now;
        }
    }

    /// Number of free slots on minions for which `is_usable` holds.
    pub(crate) fn available_slots(&self, is_usable: impl Fn(&VmId) -> bool) -> u32 {
        let usable = self.minions.iter().filter(|(vm, _)| is_usable(vm));
        usable.map(|(_, route)| route.slots.available()).sum()
    }
}

/// Share of the ceiling in use, in per mille.
fn load_permille(slots: &LocalAllocation) -> u32 {
    slots.in_use() * 1_000 / slots.ceiling().max(1)
}
