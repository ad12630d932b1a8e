//! A minion of a pool: the runs that may execute there, and the time at which their leases
//! end.
//!
//! The minion's clock is estimated from its answers. A run of the known incarnation stops at the
//! latest when the longest lease that was ever sent, answered or not, expires by the minion's clock;
//! `lease_ends` says when others do.

use std::collections::BTreeMap;

use jobs::{Resources, RunNumber, TaskName};
use policy::FULL_WEIGHT;
use state::{Millis, Moment, TeamId};

use super::lease_ends::LeaseEnds;
use super::pass::UnusableReason;
use super::unsaved::UnsavedEnds;
use crate::model::MinionReport;
use crate::timing::{CLOCK_ERROR_PERMILLE, CONTACT_VALIDITY};

/// State of a run as its pool's owner knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RunPhase {
    /// The start is unanswered. The minion refuses the start once its clock, in
    /// milliseconds, has passed `until_clock`.
    Starting { until_clock: u64 },
    /// The minion has confirmed the run.
    Running,
    /// A stop was sent and is sent again at `retry_at`.
    Stopping { retry_at: Moment },
    /// The start is unanswered, and was sent before the owner knew of the minion's current
    /// incarnation, or a stop was sent after it. It may have been carried out or may still be. Unless the run is listed or the start is answered before,
    /// a stop is sent at `stop_at`, and again until it is answered; then the run can no longer start.
    Uncertain { stop_at: Moment, is_stop_sent: bool },
}

impl RunPhase {
    /// Whether a stop of the run was sent.
    pub(super) fn is_stop_sent(self) -> bool {
        match self {
            Self::Stopping { .. } => true,
            Self::Uncertain { is_stop_sent, .. } => is_stop_sent,
            Self::Starting { .. } | Self::Running => false,
        }
    }

    /// Whether the start may still arrive, so that the run may begin to execute.
    pub(super) fn may_still_start(self) -> bool {
        matches!(self, Self::Starting { .. } | Self::Uncertain { .. })
    }

    /// Returns the time at which a stop of the run is sent again.
    pub(super) fn stop_retry_at(self) -> Option<Moment> {
        match self {
            Self::Stopping { retry_at } => Some(retry_at),
            Self::Uncertain { stop_at, .. } => Some(stop_at),
            Self::Starting { .. } | Self::Running => None,
        }
    }
}

/// Task and run number, which together identify a run.
pub(super) type RunKey = (TaskName, RunNumber);

/// A run that is or may be executing on a minion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct MinionRun {
    pub(super) phase: RunPhase,
    /// Team whose limit the run counts against.
    pub(super) team: Option<TeamId>,
    /// Resources that the run reserves of the minion's capacity.
    pub(super) reservation: Resources,
    /// Whether the run belongs to a long-running job, or to an unknown one.
    pub(super) is_long_running: bool,
    /// Whether the run certainly belongs to the minion's known incarnation: a hold has listed it, or the
    /// answer to its start can't be that of a later incarnation.
    pub(super) is_of_known_incarnation: bool,
    /// Whether nothing has shown yet that the start has arrived, so that it may still do so.
    pub(super) is_start_unanswered: bool,
    /// Progress that the task reported last; a long-running task serves at 100.
    pub(super) percent: u8,
    /// Metric that the task reported last: tail latency in milliseconds for a serving task,
    /// millicores for others.
    pub(super) reported_metric: Option<u64>,
    /// Share of its processor time that the run may use, in percent; below 100 only for a
    /// throttled best-effort run.
    pub(super) processor_share: u8,
    /// Time at which the start was answered or the run was first listed.
    pub(super) confirmed_at: Moment,
    /// Time at which the run was last known to execute: confirmed or listed as running.
    pub(super) last_running_at: Moment,
    /// Whether the run's duration shows the run time of its task: this owner started it, and not from a
    /// checkpoint.
    pub(super) is_measurable: bool,
}

/// A minion of the pool, with the runs that may execute there.
#[derive(Debug)]
pub(super) struct OwnedMinion {
    pub(super) report: MinionReport,
    /// Whether the newest reading of the registry lists the minion for this pool.
    pub(super) is_listed: bool,
    /// Whether the minion has answered this owner's fencing token in its current
    /// incarnation.
    pub(super) is_fenced: bool,
    /// Whether the roster in the store has the minion's current incarnation.
    pub(super) is_in_roster: bool,
    /// Time at which a hold was answered by the current incarnation for the first time.
    first_confirmed_at: Option<Moment>,
    /// Time at which the hold was sent whose answer named the current incarnation last.
    pub(super) confirmed_at: Moment,
    /// Newest reading of the minion's clock, in milliseconds, and the time of its arrival.
    clock: Option<(u64, Moment)>,
    /// Estimate of the minion's clock, in milliseconds, and the time of the estimate. The reading
    /// of an answer that waited for this daemon's processor is too low.
    clock_estimate: Option<(u64, Moment)>,
    /// Times by which the leases have expired, allowing for the error of the clock.
    pub(super) lease_ends: LeaseEnds,
    pub(super) runs: BTreeMap<RunKey, MinionRun>,
    /// Sum of the reservations of all runs.
    pub(super) used: Resources,
    /// Number of runs of long-running jobs.
    pub(super) long_running_runs: usize,
    /// Sum of the processor reservations of these runs, in millicores.
    pub(super) long_running_millicores: u64,
    /// Whether stops were sent that may have to be sent again.
    pub(super) may_have_stops: bool,
    /// Highest number of a finished run that was processed.
    pub(super) processed_end: u64,
    /// Finished runs that were processed and are not saved.
    pub(super) unsaved_ends: UnsavedEnds,
    /// Highest number of a finished run that is saved in the store.
    pub(super) saved_end: u64,
    /// Highest number up to which the minion has been told to drop its finished runs.
    pub(super) acknowledged_end: u64,
    /// Whether the last answer to a hold listed as many finished runs as an answer can, so that there
    /// may be more.
    pub(super) has_more_ends: bool,
    /// Whether a hold is not answered yet.
    pub(super) is_hold_in_flight: bool,
    /// Whether the last completed hold failed or was not answered. No task is started on the minion
    /// until a hold is answered again.
    pub(super) is_unresponsive: bool,
    /// Earliest time of the next hold.
    pub(super) next_hold_at: Moment,
    /// Time at which the last hold was sent.
    pub(super) last_hold_at: Moment,
    /// Time before which no task is started on the minion.
    pub(super) starts_paused_until: Moment,
    /// Part of the capacity that may be used, in percent, by the judgement of its VM (`vm_health`).
    pub(super) weight: u8,
    /// Whether one task may start although the weight does not allow it.
    pub(super) may_probe: bool,
    /// Whether the minion's rack has stopped answering.
    pub(super) is_rack_dark: bool,
}

impl OwnedMinion {
    /// Creates a minion whose finished runs up to number `saved_end` are saved and
    /// acknowledged.
    pub(super) fn new(report: MinionReport, saved_end: u64) -> Self {
        Self {
            report,
            is_listed: true,
            is_fenced: false,
            is_in_roster: false,
            first_confirmed_at: None,
            confirmed_at: Moment(0),
            clock: None,
            clock_estimate: None,
            lease_ends: LeaseEnds::default(),
            runs: BTreeMap::new(),
            used: Resources::default(),
            long_running_runs: 0,
            long_running_millicores: 0,
            may_have_stops: false,
            processed_end: saved_end,
            unsaved_ends: UnsavedEnds::default(),
            saved_end,
            acknowledged_end: saved_end,
            has_more_ends: false,
            is_hold_in_flight: false,
            is_unresponsive: false,
            next_hold_at: Moment(0),
            last_hold_at: Moment(0),
            starts_paused_until: Moment(0),
            weight: FULL_WEIGHT,
            may_probe: false,
            is_rack_dark: false,
        }
    }

    /// Returns why no task may be started on the minion by its own state, or `None` if its state
    /// allows starts. [`PoolOwner::unusable_reason`](super::PoolOwner::unusable_reason) has the other
    /// reasons.
    pub(super) fn unusable_reason(&self, now: Moment) -> Option<UnusableReason> {
        if self.report.is_draining {
            Some(UnusableReason::Draining)
        } else if !self.is_fenced || !self.is_in_roster || self.clock.is_none() {
            Some(UnusableReason::Unconfirmed)
        } else if now < self.starts_paused_until || self.is_unresponsive || self.is_rack_dark {
            Some(UnusableReason::Paused)
        } else if self.weight == 0 && !self.may_probe {
            Some(UnusableReason::HeldBack)
        } else {
            None
        }
    }

    /// Whether the minion's VM gets less work than others.
    pub(super) fn is_held_back(&self) -> bool {
        self.weight < FULL_WEIGHT
    }

    /// Returns the capacity that no run reserves and that the VM's weight allows. Probes may use all of
    /// it.
    pub(super) fn free_capacity(&self) -> Resources {
        let mut usable = self.report.capacity;
        if self.is_held_back() && !self.may_probe {
            usable.processor.0 = usable.processor.0 * u64::from(self.weight) / 100;
        }
        usable.saturating_sub(&self.used)
    }

    /// Records that the answer to a hold, which was sent at `sent_at`, names the current incarnation.
    pub(super) fn confirm_incarnation(&mut self, sent_at: Moment, now: Moment) {
        self.first_confirmed_at.get_or_insert(now);
        self.confirmed_at = sent_at;
    }

    /// Whether a reading of the clock that arrived at `now` is certainly not that of a later incarnation.
    ///
    /// A minion's clock begins anew, at the same value, with each incarnation. One that has begun since the current incarnation
    /// was confirmed is younger, so its clock is behind by at least the difference of their ages.
    pub(super) fn proves_known_incarnation(&self, clock_ms: u64, now: Moment) -> bool {
        let (Some((known_ms, _)), Some(first_confirmed_at)) = (self.clock, self.first_confirmed_at)
        else {
            return false;
        };
        let min_age_ms = (self.confirmed_at - first_confirmed_at).0;
        let min_age_ms = min_age_ms - min_age_ms * CLOCK_ERROR_PERMILLE / 1_000;
        let max_elapsed_ms = (now - self.confirmed_at).0;
        let is_expected = (known_ms..=known_ms + max_elapsed_ms).contains(&clock_ms);
        is_expected && clock_ms + min_age_ms > known_ms + max_elapsed_ms
    }

    /// Records a reading of the minion's clock that was processed at `now`.
    pub(super) fn set_clock(&mut self, clock_ms: u64, now: Moment) {
        let expected_ms = self.clock_at(now).unwrap_or(clock_ms);
        self.clock_estimate = Some((expected_ms.max(clock_ms), now));
        self.clock = Some((clock_ms, now));
    }

    /// Lowers the estimate of the minion's clock to the highest value that the clock can have,
    /// since the newest reading was taken after `sent_at`.
    pub(super) fn bound_clock(&mut self, sent_at: Moment) {
        if let (Some((clock_ms, at)), Some((estimate_ms, _))) =
            (self.clock, &mut self.clock_estimate)
        {
            *estimate_ms = (*estimate_ms).min(clock_ms + (at - sent_at).0);
        }
    }

    /// Estimates the minion's clock at `now`, in milliseconds, for the end of a lease or of a
    /// start's validity. [`Self::extend_lease`] relies on the newest reading alone.
    pub(super) fn clock_at(&self, now: Moment) -> Option<u64> {
        self.clock_estimate.map(|(estimate_ms, at)| {
            let elapsed_ms = (now - at).0;
            estimate_ms + elapsed_ms - elapsed_ms * CLOCK_ERROR_PERMILLE / 1_000
        })
    }

    /// Records that all runs may execute until the minion's clock reaches `until_clock`.
    /// The duration is lengthened by the clock error of 30 per mille
    /// (`CLOCK_ERROR_PERMILLE`).
    pub(super) fn extend_lease(&mut self, until_clock: u64, now: Moment) {
        let Some((clock_ms, at)) = self.clock else { return };
        let duration = until_clock.saturating_sub(clock_ms);
        let clock_error = duration * CLOCK_ERROR_PERMILLE / 1_000;
        self.lease_ends.record_lease((at + Millis(duration + clock_error)).max(now));
    }

    /// Describes a run and what its release depends on, for the log.
    pub(super) fn describe_run(&self, run: &MinionRun, now: Moment) -> String {
        let origin = if run.is_of_known_incarnation { "known" } else { "unknown" };
        format!(
            "of {origin} incarnation, {:?}, started or answered {} ago, incarnation {} confirmed {} ago, leases \
             ended {} ago",
            run.phase,
            now - run.confirmed_at,
            self.report.minion_incarnation,
            now - self.confirmed_at,
            now - self.lease_ends.end_of(run.is_of_known_incarnation),
        )
    }

    /// Whether every lease of the known incarnation has expired.
    pub(super) fn are_leases_expired(&self, now: Moment) -> bool {
        now >= self.lease_ends.known_end()
    }

    /// Whether the minion may execute tasks of this owner. An incarnation that has not answered yet may do
    /// so by orders for an earlier one.
    pub(super) fn may_execute(&self, now: Moment) -> bool {
        self.is_fenced || !self.runs.is_empty() || now < self.lease_ends.end_of(false)
    }

    /// Whether the minion may have finished runs that this owner has not seen and that still count:
    /// those of a lapsed lease do not.
    pub(super) fn may_have_unseen_ends(&self, now: Moment) -> bool {
        self.has_more_ends && !self.are_leases_expired(now)
    }

    /// Adds a run and reserves its resources.
    pub(super) fn insert_run(&mut self, key: RunKey, run: MinionRun) {
        self.may_probe = false;
        self.runs.insert(key, run);
        self.sum_reservations();
    }

    /// Removes and returns a run, and releases its resources.
    pub(super) fn remove_run(&mut self, key: &RunKey) -> Option<MinionRun> {
        let run = self.runs.remove(key);
        self.sum_reservations();
        run
    }

    fn sum_reservations(&mut self) {
        self.used = Resources::default();
        self.long_running_runs = 0;
        self.long_running_millicores = 0;
        for run in self.runs.values() {
            self.used = self.used.saturating_add(&run.reservation);
            if run.is_long_running {
                self.long_running_runs += 1;
                self.long_running_millicores += run.reservation.processor.0;
            }
        }
    }

    /// Whether the minion has no runs and lists no finished run, so that its VM can be
    /// taken down without loss. A minion that has not answered for some time shows nothing of its
    /// VM, which may run another minion by now.
    pub(super) fn is_drained(&self, now: Moment) -> bool {
        self.is_idle() && self.has_recent_contact(now)
    }

    /// Whether the minion has no runs and no finished run to report, by all that this owner knows.
    pub(super) fn is_idle(&self) -> bool {
        self.is_fenced
            && self.runs.is_empty()
            && self.processed_end == self.acknowledged_end
            && !self.has_more_ends
    }

    /// Whether the minion's last answer is recent enough to describe its current state.
    pub(super) fn has_recent_contact(&self, now: Moment) -> bool {
        self.clock.is_some_and(|(_, at)| now <= at + CONTACT_VALIDITY)
    }
}
