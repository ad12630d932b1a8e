//! A minion of a pool: what may run there, and until when.
//!
//! Its clock is known from its answers. What may run there ends at the latest when
//! the longest lease that was ever sent, answered or not, has lapsed by that clock.

use std::collections::BTreeMap;

use jobs::{Resources, RunNumber, TaskName};
use state::{Millis, Moment, TeamId};

use crate::model::MinionReport;
use crate::timing::{CLOCK_ERROR_PERMILLE, HEARD_SPAN};

/// How far a run has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RunPhase {
    /// The start is not answered; after this time of its clock the minion refuses it.
    Starting { until_clock: u64 },
    /// It runs.
    Running,
    /// A stop was sent; it is sent again at this time.
    Stopping { retry_at: Moment },
}

/// Names a run.
pub(super) type RunKey = (TaskName, RunNumber);

/// A run on a minion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct MinionRun {
    pub(super) phase: RunPhase,
    /// Whose limit it counts against.
    pub(super) team: Option<TeamId>,
    /// What it takes of the minion's room.
    pub(super) reservation: Resources,
    pub(super) percent: u8,
    pub(super) reported_metric: Option<u64>,
    /// Share of its processor time that it may use, in percent.
    pub(super) processor_share: u8,
    /// When the start was answered, or the run was first listed.
    pub(super) confirmed_at: Moment,
}

/// A minion with what may run there.
#[derive(Debug)]
pub(super) struct OwnedMinion {
    pub(super) report: MinionReport,
    /// The newest reading of the registry has it.
    pub(super) is_listed: bool,
    /// It has answered this owner's token in this life.
    pub(super) is_fenced: bool,
    /// The roster in the store has this life.
    pub(super) is_in_roster: bool,
    clock: Option<(u64, Moment)>,
    lease_end: Moment,
    pub(super) runs: BTreeMap<RunKey, MinionRun>,
    /// Sum of what the runs take.
    pub(super) used: Resources,
    /// Largest number of an end that was looked at.
    pub(super) processed_end: u64,
    /// Largest number of an end that is saved.
    pub(super) saved_end: u64,
    /// Largest number of an end that the minion has forgotten.
    pub(super) acknowledged_end: u64,
    pub(super) is_hold_in_flight: bool,
    /// The newest hold was not answered.
    pub(super) is_unresponsive: bool,
    pub(super) next_hold_at: Moment,
    pub(super) last_hold_at: Moment,
    /// It gets no start until then.
    pub(super) starts_paused_until: Moment,
    /// It is being emptied for its VM's upkeep.
    pub(super) is_being_drained: bool,
}

impl OwnedMinion {
    pub(super) fn new(report: MinionReport, saved_end: u64) -> Self {
        Self {
            report,
            is_listed: true,
            is_fenced: false,
            is_in_roster: false,
            clock: None,
            lease_end: Moment(0),
            runs: BTreeMap::new(),
            used: Resources::default(),
            processed_end: saved_end,
            saved_end,
            acknowledged_end: saved_end,
            is_hold_in_flight: false,
            is_unresponsive: false,
            next_hold_at: Moment(0),
            last_hold_at: Moment(0),
            starts_paused_until: Moment(0),
            is_being_drained: false,
        }
    }

    /// Whether it may get starts.
    pub(super) fn is_usable(&self, now: Moment) -> bool {
        self.is_listed
            && self.is_fenced
            && self.is_in_roster
            && !self.report.is_draining
            && !self.is_being_drained
            && self.clock.is_some()
            && now >= self.starts_paused_until
    }

    /// Room that no run takes.
    pub(super) fn free_capacity(&self) -> Resources {
        self.report.capacity.minus(&self.used)
    }

    pub(super) fn set_clock(&mut self, clock_ms: u64, now: Moment) {
        self.clock = Some((clock_ms, now));
    }

    /// The minion's clock at `now`; it may be a little further.
    pub(super) fn clock_at(&self, now: Moment) -> Option<u64> {
        self.clock.map(|(clock_ms, at)| clock_ms + (now - at).0)
    }

    /// Remembers that all that runs may last until `until_clock`.
    pub(super) fn extend_lease(&mut self, until_clock: u64, now: Moment) {
        let Some((clock_ms, at)) = self.clock else { return };
        let span = until_clock.saturating_sub(clock_ms);
        let slow = span * CLOCK_ERROR_PERMILLE / 1_000;
        self.lease_end = self.lease_end.max(at + Millis(span + slow)).max(now);
    }

    /// Whether nothing can run any more unless it was renewed.
    pub(super) fn is_lapsed(&self, now: Moment) -> bool {
        now >= self.lease_end
    }

    pub(super) fn insert_run(&mut self, key: RunKey, run: MinionRun) {
        self.used = self.used.plus(&run.reservation);
        self.runs.insert(key, run);
    }

    pub(super) fn remove_run(&mut self, key: &RunKey) {
        self.runs.remove(key);
        self.used =
            self.runs.values().fold(Resources::default(), |sum, run| sum.plus(&run.reservation));
    }

    /// Whether it has said that it runs nothing and lists no end: it can go without
    /// loss.
    pub(super) fn is_drained(&self) -> bool {
        self.is_fenced && self.runs.is_empty() && self.processed_end == self.acknowledged_end
    }

    /// Whether it has answered so lately that what it said still counts.
    pub(super) fn has_recent_contact(&self, now: Moment) -> bool {
        self.clock.is_some_and(|(_, at)| now <= at + HEARD_SPAN)
    }
}
