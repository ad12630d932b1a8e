//! Decides how long a task waits for capacity near its data or its group.
//!
//! A task that runs away from its data takes a known number of times as long. Waiting is worth at
//! most the time that the task saves, so a task waits only if the rack is expected to have room
//! well before that ([`decide`]). The expected time comes from the ends of the runs there and from
//! the tasks that wait already ([`RackTimeline`]). All numbers are estimates that may be far off,
//! so a wait also has a bound that does not depend on the rack (`docs/design/data-waits.md`).

mod timeline;

use std::fmt;
use std::num::ParseFloatError;
use std::str::FromStr;

use state::{Millis, Moment};

pub use timeline::{RackRoom, RackTimeline};

/// Part of the time saved by running near the data that a task may wait, in percent. The rest
/// allows for estimates that are too low.
const WAIT_PERCENT: u64 = 75;
/// Part of the allowed wait within which the rack must be expected to have room when a wait begins,
/// in percent. Declared run times are usually wrong by 20 to 50 %, and a wait that fails costs
/// more than none.
const BEGIN_PERCENT: u64 = 50;
/// Margin by which a start away must meet the objective to count as in time, in percent of its run
/// time.
const AWAY_MARGIN_PERCENT: u64 = 25;
/// Time that a run which is over its expected end is expected to last, in percent of its expected
/// run time.
const OVERDUE_PERCENT: u64 = 25;
/// Lower bound of the expected remaining time of a run.
const MIN_REMAINING: Millis = Millis(50);
/// Largest factor that a setting can give.
const MAX_FACTOR: f64 = 1_000.0;

/// Number of times as long that a task takes away from its data, in thousandths. At most 1 means
/// that tasks do not wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RemoteFactor {
    permille: u64,
}

impl Default for RemoteFactor {
    /// Returns the factor of a platform on which tasks run alike on all racks.
    fn default() -> Self {
        Self { permille: 1_000 }
    }
}

impl RemoteFactor {
    /// Whether tasks run longer away from their data.
    pub fn is_above_one(self) -> bool {
        self.permille > 1_000
    }

    /// Returns the run time away from the data of a task that takes `near` at its data.
    pub fn extend(self, near: Millis) -> Millis {
        Millis(near.0.saturating_mul(self.permille) / 1_000)
    }
}

impl fmt::Display for RemoteFactor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.permille as f64 / 1_000.0)
    }
}

/// Error that describes why a text is no [`RemoteFactor`].
#[derive(Debug, Clone, PartialEq)]
pub enum RemoteFactorError {
    /// The text is no number.
    NoNumber(ParseFloatError),
    /// The number is infinite, undefined or too large.
    OutOfRange,
}

impl fmt::Display for RemoteFactorError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoNumber(error) => error.fmt(f),
            Self::OutOfRange => write!(f, "not a number up to {MAX_FACTOR}"),
        }
    }
}

impl std::error::Error for RemoteFactorError {}

impl FromStr for RemoteFactor {
    type Err = RemoteFactorError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let factor: f64 = text.parse().map_err(RemoteFactorError::NoNumber)?;
        if !factor.is_finite() || factor > MAX_FACTOR {
            return Err(RemoteFactorError::OutOfRange);
        }
        Ok(Self { permille: (factor.max(1.0) * 1_000.0).round() as u64 })
    }
}

/// What a wait may gain and cost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitTerms {
    /// Expected run time of the task near its data.
    pub run_near: Millis,
    /// Expected run time of the task elsewhere.
    pub run_away: Millis,
    /// Time until the job's objective, less the expected time of the steps after this one.
    /// `None` if the objective cannot be met any more.
    pub time_left: Option<Millis>,
}

impl WaitTerms {
    /// Returns the time that a task may wait in all, from the beginning of its wait.
    ///
    /// A wait must not make a task late that would be in time elsewhere. If only a start near the
    /// data is in time, the task waits no longer than such a start is.
    pub fn allowed_wait(&self) -> Millis {
        let gain = Millis(self.run_away.0.saturating_sub(self.run_near.0));
        let worth = Millis(gain.0.saturating_mul(WAIT_PERCENT) / 100);
        let Some(time_left) = self.time_left else { return worth };
        let margin = self.run_away.0.saturating_mul(AWAY_MARGIN_PERCENT) / 100;
        let slack_away = time_left.0.checked_sub(self.run_away.0);
        if let Some(slack) = slack_away.filter(|slack| *slack >= margin) {
            return worth.min(Millis(slack));
        }
        match time_left.0.checked_sub(self.run_near.0) {
            Some(slack) => worth.min(Millis(slack)),
            None => worth,
        }
    }
}

/// Reason for which a task starts away from its data.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AwayReason {
    /// The rack drains, does not answer, is due for maintenance, or never has enough room.
    RackUnusable,
    /// Room near the data is expected later than a wait is worth.
    NoGain,
    /// The task has waited as long as its gain justifies.
    TooLong,
}

impl AwayReason {
    /// Returns the label of the reason in logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::RackUnusable => "the rack is not usable",
            Self::NoGain => "a wait gains nothing",
            Self::TooLong => "waited too long",
        }
    }
}

/// Whether a task waits for room near its data.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitDecision {
    /// The task starts elsewhere now.
    StartAway(AwayReason),
    /// The task waits at most until a time.
    WaitUntil(Moment),
}

/// Decides whether a task that has waited since `waiting_since` waits on. `room_at` is the time at
/// which room near the data is expected; `None` if the rack is not usable.
pub fn decide(
    now: Moment,
    waiting_since: Moment,
    room_at: Option<Moment>,
    terms: &WaitTerms,
) -> WaitDecision {
    let Some(room_at) = room_at else {
        return WaitDecision::StartAway(AwayReason::RackUnusable);
    };
    // The rest of the time left shrinks during a wait; what was allowed at its beginning counts.
    let waited = now - waiting_since;
    let at_begin = WaitTerms {
        time_left: terms.time_left.map(|left| Millis(left.0.saturating_add(waited.0))),
        ..*terms
    };
    let allowed = at_begin.allowed_wait();
    let limit = waiting_since + allowed;
    if now >= limit {
        let is_waiting = waited > Millis(0);
        let reason = if is_waiting { AwayReason::TooLong } else { AwayReason::NoGain };
        return WaitDecision::StartAway(reason);
    }
    let latest_room = match waited {
        Millis(0) => waiting_since + Millis(allowed.0 * BEGIN_PERCENT / 100),
        _ => limit,
    };
    if room_at > latest_room {
        return WaitDecision::StartAway(AwayReason::NoGain);
    }
    WaitDecision::WaitUntil(limit)
}

/// Returns the expected end of a run. A run that is over its expected end is expected to last as
/// long again as it is over, so that a straggler soon stops attracting waits.
pub fn expected_end(now: Moment, started_at: Moment, run_time: Millis) -> Moment {
    let end = started_at + run_time;
    if end > now + MIN_REMAINING {
        return end;
    }
    let minimum = Millis(run_time.0.saturating_mul(OVERDUE_PERCENT) / 100);
    now + (now - end).max(minimum).max(MIN_REMAINING)
}
