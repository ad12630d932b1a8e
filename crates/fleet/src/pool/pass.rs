//! Schedule of placement passes, and the free capacity that one pass hands out.
//!
//! A pass visits every job with ready tasks and every minion. While events pour in, passes
//! are spaced so that their work per unit of time is bounded; after a small pass, the next
//! one may follow at once.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use jobs::Resources;
use state::{Millis, MinionId, Moment};

use super::minion::OwnedMinion;
use super::{PoolOwner, StepContext};
use crate::event::WaitCause;

/// Number of visited jobs and minions for which the next pass is delayed by a millisecond.
const CHECKS_PER_MS: u64 = 100;
/// Maximum delay of the next pass.
const MAX_PASS_DELAY: Millis = Millis(50);
/// Minimum interval between two log lines about waiting tasks.
const WAIT_LINE_INTERVAL: Millis = Millis(1_000);
/// Number of failed searches that a pass remembers.
const MAX_FAILED_SEARCHES: usize = 16;

/// Times of placement passes.
#[derive(Debug, Default)]
pub(super) struct PassSchedule {
    /// Whether something changed that may allow a start.
    is_requested: bool,
    /// Time at which the requested pass was first seen to be open.
    requested_at: Option<Moment>,
    /// Earliest time of the next pass.
    next_pass_at: Moment,
    /// Earliest time of the next log line about waiting tasks.
    next_line_at: Moment,
}

impl PassSchedule {
    /// Requests a pass. A pass that is not due yet is run by a later event or tick.
    pub(super) fn request(&mut self) {
        self.is_requested = true;
    }

    /// Whether a pass is requested and due.
    pub(super) fn is_due(&self, now: Moment) -> bool {
        self.is_requested && now >= self.next_pass_at
    }

    /// Notes the time of a request. Runs in each step, so the time is that of the step which made
    /// the request.
    pub(super) fn note_request(&mut self, now: Moment) {
        if self.is_requested {
            self.requested_at.get_or_insert(now);
        }
    }

    /// Whether a line about waiting tasks may be logged now; if so, the next one may be logged
    /// after [`WAIT_LINE_INTERVAL`].
    pub(super) fn take_line(&mut self, now: Moment) -> bool {
        let is_due = now >= self.next_line_at;
        if is_due {
            self.next_line_at = now + WAIT_LINE_INTERVAL;
        }
        is_due
    }

    /// Records a pass that visited `checks` jobs and minions, and returns its delay since the
    /// request.
    pub(super) fn record_pass(&mut self, now: Moment, checks: u64) -> Millis {
        self.is_requested = false;
        let delay = now - self.requested_at.take().unwrap_or(now);
        self.next_pass_at = now + Millis(checks / CHECKS_PER_MS).min(MAX_PASS_DELAY);
        delay
    }
}

/// Why a minion gets no starts at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum UnusableReason {
    /// Its data centre is evacuated.
    Evacuated,
    /// It leaves, or its VM is being drained.
    Draining,
    /// It has not answered this owner, or is not in the stored roster yet.
    Unconfirmed,
    /// A start or hold has failed a short time ago, or its rack has stopped answering.
    Paused,
    /// Its VM fails more often than others, and gets only probes.
    HeldBack,
}

/// Number and free capacity of some minions.
#[derive(Debug, Clone, Copy, Default)]
struct MinionTotal {
    minions: u64,
    free: Resources,
}

impl MinionTotal {
    fn add(&mut self, free: &Resources) {
        self.minions += 1;
        self.free = self.free.saturating_add(free);
    }
}

impl fmt::Display for MinionTotal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} with {} {}", self.minions, self.free.processor, self.free.memory)
    }
}

/// Free capacity of the usable minions during a pass.
#[derive(Debug, Default)]
pub(super) struct PassCapacity {
    /// Minions with their free processor time, the most free one first.
    minions: BTreeSet<(Reverse<u64>, MinionId)>,
    /// Upper bounds of the free memory and accelerators of any minion.
    largest_free: Resources,
    /// Upper bounds of the free resources of the pool's other minions.
    largest_unusable: Resources,
    /// Usable minions with what was free at the beginning of the pass.
    usable_total: MinionTotal,
    unusable_totals: BTreeMap<UnusableReason, MinionTotal>,
    /// Reservations and labels for which no minion was found. Capacity only shrinks during
    /// a pass, so larger reservations with the same label find none either.
    failed_searches: Vec<(Resources, Option<Box<str>>)>,
}

impl PassCapacity {
    /// Adds a usable minion.
    pub(super) fn add_minion(&mut self, minion: MinionId, free: &Resources) {
        self.largest_free = self.largest_free.component_max(free);
        self.usable_total.add(free);
        self.minions.insert((Reverse(free.processor.0), minion));
    }

    /// Notes the free capacity of a minion that gets no starts at present.
    pub(super) fn note_unusable(&mut self, reason: UnusableReason, free: &Resources) {
        self.largest_unusable = self.largest_unusable.component_max(free);
        self.unusable_totals.entry(reason).or_default().add(free);
    }

    /// Describes the minions and their free capacity at the beginning of the pass.
    pub(super) fn describe(&self) -> String {
        let mut text = format!("usable {}", self.usable_total);
        for (reason, total) in &self.unusable_totals {
            text.push_str(&format!(", {reason:?} {total}"));
        }
        text
    }

    /// Returns why no minion was found for a reservation.
    pub(super) fn wait_cause(&self, reservation: &Resources) -> WaitCause {
        let most_free = self.minions.first().map_or(0, |(Reverse(free), _)| *free);
        if reservation.processor.0 <= most_free && reservation.fits_within(&self.largest_free) {
            WaitCause::Constraints
        } else if reservation.fits_within(&self.largest_unusable) {
            WaitCause::UnusableMinions
        } else {
            WaitCause::Capacity
        }
    }

    /// Records that a minion's free processor time has changed.
    pub(super) fn update_minion(
        &mut self,
        minion: &MinionId,
        before: &Resources,
        after: &Resources,
    ) {
        if self.minions.remove(&(Reverse(before.processor.0), minion.clone())) {
            self.minions.insert((Reverse(after.processor.0), minion.clone()));
        }
    }

    /// Returns the minions, the one with the most free processor time first.
    pub(super) fn minions(&self) -> impl Iterator<Item = &(Reverse<u64>, MinionId)> {
        self.minions.iter()
    }

    /// Whether a search for a minion may succeed.
    pub(super) fn may_fit(&self, reservation: &Resources, label: Option<&str>) -> bool {
        let most_free = self.minions.first().map(|(Reverse(free), _)| *free);
        most_free.is_some_and(|free| reservation.processor.0 <= free)
            && reservation.fits_within(&self.largest_free)
            && !self.failed_searches.iter().any(|(failed, failed_label)| {
                failed_label.as_deref() == label && failed.fits_within(reservation)
            })
    }

    /// Records that no minion was found.
    pub(super) fn record_failed_search(&mut self, reservation: &Resources, label: Option<&str>) {
        if self.failed_searches.len() < MAX_FAILED_SEARCHES {
            self.failed_searches.push((*reservation, label.map(Box::from)));
        }
    }
}

impl PoolOwner {
    /// Lists the minions that may get tasks, with their free capacity.
    pub(super) fn usable_capacity(&self, context: &StepContext) -> PassCapacity {
        let mut capacity = PassCapacity::default();
        for (id, minion) in self.minions.iter().filter(|(_, minion)| minion.is_listed) {
            self.work.add(1);
            match self.unusable_reason(context, minion) {
                None => capacity.add_minion(id.clone(), &minion.free_capacity()),
                Some(reason) => capacity.note_unusable(reason, &minion.free_capacity()),
            }
        }
        capacity
    }

    /// Returns why no task may be started on a minion, or `None` if tasks may be started.
    pub(super) fn unusable_reason(
        &self,
        context: &StepContext,
        minion: &OwnedMinion,
    ) -> Option<UnusableReason> {
        if context.shared.evacuated_data_centres.contains(&minion.report.data_centre) {
            Some(UnusableReason::Evacuated)
        } else if self.is_being_drained(minion) {
            Some(UnusableReason::Draining)
        } else {
            minion.unusable_reason(context.clock.now)
        }
    }
}
