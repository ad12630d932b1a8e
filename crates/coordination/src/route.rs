//! Chooses a minion for a request.
//!
//! Among the minions with a free slot of this daemon's part, the one with the
//! lowest share of its part in use goes first; ties go to the one longest
//! unused. A minion whose attempts fail several times in a row is set aside for
//! a while and tried again with one request; at most half of a pool is ever set
//! aside, so that a fault of all of them cannot empty the pool.

use std::collections::BTreeMap;

use state::{Millis, Moment, VmId};

use crate::local_allocation::LocalAllocation;

/// Failures in a row after which a minion is set aside.
const FAILURES_TO_SET_ASIDE: u32 = 3;
const ASIDE_FIRST: Millis = Millis(500);
const ASIDE_LONGEST: Millis = Millis(8_000);

/// One minion's slots and record of failures.
#[derive(Debug, Clone, Default)]
pub(crate) struct MinionRoute {
    pub(crate) slots: LocalAllocation,
    failures: u32,
    aside_until: Moment,
    last_used: Moment,
}

impl MinionRoute {
    pub(crate) fn succeeded(&mut self) {
        self.failures = 0;
        self.aside_until = Moment(0);
    }

    pub(crate) fn failed(&mut self, now: Moment) {
        self.failures += 1;
        if self.failures >= FAILURES_TO_SET_ASIDE {
            let doublings = (self.failures - FAILURES_TO_SET_ASIDE).min(10);
            let span = (ASIDE_FIRST.0 << doublings).min(ASIDE_LONGEST.0);
            self.aside_until = now + Millis(span);
        }
    }

    fn is_aside(&self, now: Moment) -> bool {
        now < self.aside_until
    }
}

/// The minions of one pool.
#[derive(Debug, Clone, Default)]
pub(crate) struct PoolRoute {
    pub(crate) minions: BTreeMap<VmId, MinionRoute>,
}

impl PoolRoute {
    /// The best minion for which `usable` holds.
    pub(crate) fn choose(
        &self,
        now: Moment,
        usable: impl Fn(&VmId) -> bool,
        avoid: &[VmId],
    ) -> Option<VmId> {
        let open: Vec<(&VmId, &MinionRoute)> =
            self.minions.iter().filter(|(vm, _)| usable(vm)).collect();
        let aside = open.iter().filter(|(_, route)| route.is_aside(now)).count();
        let honour_aside = aside * 2 <= open.len();
        let free = open.into_iter().filter(|(_, route)| route.slots.available() > 0);
        let free = free.filter(|(_, route)| !(honour_aside && route.is_aside(now)));
        let best = free.min_by_key(|(vm, route)| {
            (avoid.contains(vm), load_permille(&route.slots), route.last_used)
        });
        best.map(|(vm, _)| vm.clone())
    }

    /// Takes a slot of `vm`.
    pub(crate) fn take(&mut self, vm: &VmId, now: Moment) {
        if let Some(route) = self.minions.get_mut(vm) {
            route.slots.take();
            route.last_used = now;
        }
    }

    /// Free slots on minions for which `usable` holds.
    pub(crate) fn available(&self, usable: impl Fn(&VmId) -> bool) -> u32 {
        let open = self.minions.iter().filter(|(vm, _)| usable(vm));
        open.map(|(_, route)| route.slots.available()).sum()
    }
}

fn load_permille(slots: &LocalAllocation) -> u32 {
    slots.in_use() * 1_000 / slots.ceiling().max(1)
}
