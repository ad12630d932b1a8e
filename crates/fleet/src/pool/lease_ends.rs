//! Times by which the leases on a minion have certainly expired.
//!
//! A lease ends at a time on the minion's clock, which begins anew with each incarnation, and only the
//! answer to a hold names the incarnation that gave it. An order that was sent since may have reached an
//! incarnation that the owner does not know. There, the end that the order names is far ahead, so that
//! all runs get the longest lease that minions grant, from the arrival of the order on
//! (`docs/incidents/issue-48.md`).

use state::{Millis, Moment};

/// Ends of the leases on a minion: those that its known incarnation has granted, and those that another
/// incarnation may have granted for the same orders.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LeaseEnds {
    known: Moment,
    unknown: Moment,
}

impl LeaseEnds {
    /// Records a lease that the known incarnation may have granted until `end`.
    pub(super) fn record_lease(&mut self, end: Moment) {
        self.known = self.known.max(end);
    }

    /// Records that an order which names an end of leases may have arrived at `now`, in whatever
    /// incarnation. A minion's longest lease has expired after `max_lease`.
    pub(super) fn record_order(&mut self, now: Moment, max_lease: Millis) {
        self.unknown = self.unknown.max(now + max_lease);
    }

    /// Records that the known incarnation may have received an order at `now` that names an end by the
    /// clock of an earlier one.
    pub(super) fn record_earlier_order(&mut self, now: Moment, max_lease: Millis) {
        self.record_order(now, max_lease);
        self.known = self.known.max(self.unknown);
    }

    /// Returns the ends for the next incarnation, which may have received all orders that an earlier one
    /// was meant to get.
    pub(super) fn of_next_incarnation(self) -> Self {
        Self { known: self.unknown, unknown: self.unknown }
    }

    /// Returns the time by which the leases that the known incarnation has granted have expired.
    pub(super) fn known_end(self) -> Moment {
        self.known
    }

    /// Returns the time from which on a run can no longer execute, by whether it certainly belongs to the
    /// known incarnation.
    pub(super) fn end_of(self, is_of_known_incarnation: bool) -> Moment {
        if is_of_known_incarnation { self.known } else { self.known.max(self.unknown) }
    }
}
