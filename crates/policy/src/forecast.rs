//! Predicts the next burst of a pool's demand from the work that was accepted.
//!
//! `arrivals` finds bursts in the arriving work, and `period` judges whether the last bursts came
//! at a stable interval. A missed burst, or one at another time, lowers the trust in the interval;
//! each burst that comes as predicted raises it. Below a threshold there is no forecast, and the
//! pool depends on its reactive path alone.
//!
//! Times of acceptance are wall-clock times of several daemons, so they may be out of order and
//! may jump. A jump moves one or two bursts, which lowers the trust for a while.

mod arrivals;
mod period;

use serde::{Deserialize, Serialize};
use state::{Millis, Rate};

use arrivals::ArrivalWindow;
use period::PeriodEstimate;

/// Version of the records that this code writes and reads.
const RECORD_VERSION: u32 = 1;
/// Number of bursts on which a forecast is based.
const MAX_BURSTS: usize = 6;
/// Weight of a burst's length and height relative to those of the next burst, in percent.
const RECENCY_PERCENT: u64 = 70;
/// Time after the last work of a burst from which its length is known.
const BURST_END_DELAY_MS: u64 = 3_000;
/// Minimum time by which a burst is expected early. Capacity that comes late costs submitters
/// more than capacity that comes early.
const MIN_EARLY_MS: u64 = 500;
/// Time by which a burst is expected early if its interval was never measured.
const UNMEASURED_EARLY_MS: u64 = 750;
/// Time after which half of the recent peak is forgotten.
const PEAK_HALF_LIFE_MS: u64 = 180_000;
/// Trust in the next turn that remains after each burst that did not come, in percent.
const MISSED_TURN_PERCENT: u64 = 70;
/// Trust from which there is a forecast, in percent.
const MIN_TRUST_PERCENT: u64 = 45;
/// Time by which the last burst may seem to begin in the future. A record from before a correction
/// of the clock gives no forecast.
const MAX_CLOCK_LAG_MS: u64 = 5_000;
/// Maximum number of periods after the last burst for which there is a forecast.
const MAX_TURNS_AHEAD: u64 = 8;
/// Maximum time, rate and length in a record, which bound its size.
const MAX_RECORD_VALUE: u64 = 9_999_999_999_999;

/// Time in which much more work arrives than on average.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Burst {
    /// Milliseconds since 1970.
    start_ms: u64,
    length_ms: u64,
    rate: Rate,
}

impl Burst {
    fn end_ms(&self) -> u64 {
        self.start_ms.saturating_add(self.length_ms)
    }

    /// Returns the middle of the burst, which few jobs determine better than its edges.
    fn middle_ms(&self) -> u64 {
        self.start_ms.saturating_add(self.length_ms / 2)
    }
}

/// Burst that is expected, or that is in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExpectedTurn {
    /// Expected start in milliseconds since 1970, a little early.
    pub start_ms: u64,
    /// Expected end in milliseconds since 1970.
    pub end_ms: u64,
    /// Expected rate of arriving work during the burst.
    pub rate: Rate,
}

/// Bursts that a forecast has seen, in the form in which the store keeps them.
///
/// The default, and every record of another version, stands for no burst.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct TurnRecord {
    /// Version of the code that wrote the record.
    pub version: u32,
    /// Start of the first burst in milliseconds since 1970.
    pub first_ms: u64,
    /// Time from the start of each burst to the start of the next, in milliseconds.
    pub intervals: Vec<u64>,
    /// Length of each burst in milliseconds.
    pub lengths: Vec<u64>,
    /// Rate of arriving work in each burst, in millicores.
    pub rates: Vec<u64>,
    /// Highest rate of arriving work at `peak_ms`, in millicores.
    pub peak: u64,
    /// Milliseconds since 1970.
    pub peak_ms: u64,
}

/// Learns when the bursts of one pool's demand come.
///
/// All times are in milliseconds since 1970.
#[derive(Debug, Default)]
pub struct TurnForecast {
    arrivals: ArrivalWindow,
    /// Completed bursts, the oldest first.
    bursts: Vec<Burst>,
    peak: Rate,
    peak_ms: u64,
    /// Whether the next burst may have begun before its first known work, because an earlier
    /// owner of the pool saw its beginning.
    is_next_start_unknown: bool,
}

impl TurnForecast {
    /// Records `work`, in millicores times milliseconds, that was accepted at `at_ms`.
    pub fn record_work(&mut self, at_ms: u64, work: u64) {
        if let Some(burst) = self.arrivals.record(at_ms, work) {
            self.add_burst(burst);
        }
    }

    /// Returns the rate of arriving work that bursts bring at `at_ms`, or `None` if there is no
    /// forecast. `shared_period` is the period of other pools whose bursts are alike.
    pub fn expected_rate(&self, at_ms: u64, shared_period: Option<Millis>) -> Option<Rate> {
        let turn = self.next_turn(at_ms, shared_period)?;
        Some(if turn.start_ms <= at_ms { turn.rate } else { Rate(0) })
    }

    /// Returns the burst that is in progress at `now_ms` or comes next, or `None` if there is no
    /// forecast.
    pub fn next_turn(&self, now_ms: u64, shared_period: Option<Millis>) -> Option<ExpectedTurn> {
        let known = self.bursts_at(now_ms);
        let period = trusted_period(&known.bursts, shared_period)?;
        let last = known.bursts.last()?;
        if now_ms.saturating_add(MAX_CLOCK_LAG_MS) < last.start_ms {
            return None;
        }
        if now_ms < last.end_ms() {
            let (start_ms, end_ms) = (last.start_ms, last.end_ms());
            return Some(ExpectedTurn { start_ms, end_ms, rate: last.rate });
        }
        let typical = known.typical;
        let half_ms = typical.length_ms / 2;
        // A turn lasts until its expected end, so the turn of the period that passes may be over.
        let phase_ms = last.middle_ms().saturating_add_signed(period.correction_ms);
        let elapsed_ms = now_ms.saturating_sub(phase_ms.saturating_add(half_ms));
        let number = elapsed_ms / period.period_ms + 1;
        if number > MAX_TURNS_AHEAD || trust_ahead(&period, number) < MIN_TRUST_PERCENT {
            return None;
        }
        let middle_ms = phase_ms.saturating_add(number * period.period_ms);
        let early_ms = match period.deviation_ms {
            Some(deviation) => MIN_EARLY_MS + deviation,
            None => UNMEASURED_EARLY_MS,
        };
        Some(ExpectedTurn {
            start_ms: middle_ms.saturating_sub(half_ms + early_ms),
            end_ms: middle_ms.saturating_add(half_ms),
            rate: typical.rate,
        })
    }

    /// Returns the pool's own estimate of the time between two bursts, or `None` if its trust is
    /// below the threshold.
    pub fn period(&self) -> Option<Millis> {
        let estimate = period::estimate_own(&self.bursts)?;
        (estimate.trust_percent >= MIN_TRUST_PERCENT).then_some(Millis(estimate.period_ms))
    }

    /// Returns the trust in the pool's own period, in percent; 0 if there is none.
    pub fn trust_percent(&self) -> u64 {
        period::estimate_own(&self.bursts).map_or(0, |estimate| estimate.trust_percent)
    }

    /// Returns the highest rate of arriving work that recent bursts had. It halves in each
    /// [`PEAK_HALF_LIFE_MS`].
    pub fn recent_peak(&self, now_ms: u64) -> Rate {
        let known = decayed(self.peak, now_ms.saturating_sub(self.peak_ms));
        self.arrivals.open_burst().map_or(known, |open| known.max(open.rate))
    }

    /// Returns the completed bursts for the store.
    pub fn to_record(&self) -> TurnRecord {
        let bounded = |value: u64| value.min(MAX_RECORD_VALUE);
        let pairs = self.bursts.windows(2);
        TurnRecord {
            version: RECORD_VERSION,
            first_ms: bounded(self.bursts.first().map_or(0, |burst| burst.start_ms)),
            intervals: pairs
                .map(|pair| bounded(pair[1].start_ms.saturating_sub(pair[0].start_ms)))
                .collect(),
            lengths: self.bursts.iter().map(|burst| bounded(burst.length_ms)).collect(),
            rates: self.bursts.iter().map(|burst| bounded(burst.rate.0)).collect(),
            peak: bounded(self.peak.0),
            peak_ms: bounded(self.peak_ms),
        }
    }

    /// Restores a forecast. A record of another version, or one that contradicts itself, gives
    /// the forecast of a new pool.
    pub fn from_record(record: TurnRecord) -> Self {
        let count = record.lengths.len();
        let is_valid = record.version == RECORD_VERSION
            && (1..=MAX_BURSTS).contains(&count)
            && record.rates.len() == count
            && record.intervals.len() == count - 1
            && record.intervals.iter().all(|interval| *interval > 0);
        if !is_valid {
            return Self::default();
        }
        let mut start_ms = record.first_ms;
        let mut bursts = Vec::with_capacity(MAX_BURSTS + 1);
        for (number, (length, rate)) in record.lengths.iter().zip(&record.rates).enumerate() {
            bursts.push(Burst { start_ms, length_ms: *length, rate: Rate(*rate) });
            start_ms = start_ms.saturating_add(record.intervals.get(number).copied().unwrap_or(0));
        }
        Self {
            bursts,
            peak: Rate(record.peak),
            peak_ms: record.peak_ms,
            is_next_start_unknown: true,
            ..Self::default()
        }
    }

    /// Adds a completed burst.
    fn add_burst(&mut self, burst: Burst) {
        if burst.rate >= decayed(self.peak, burst.end_ms().saturating_sub(self.peak_ms)) {
            self.peak = burst.rate;
            self.peak_ms = burst.end_ms();
        }
        // Bursts that seem to come later were recorded before the clock went back.
        self.bursts.retain(|known| known.end_ms() <= burst.start_ms);
        if std::mem::take(&mut self.is_next_start_unknown) && self.arrivals.began_within(&burst) {
            return;
        }
        self.bursts.push(burst);
        if self.bursts.len() > MAX_BURSTS {
            self.bursts.remove(0);
        }
    }

    /// Returns the bursts up to `now_ms`. A burst in progress has at least the typical length.
    fn bursts_at(&self, now_ms: u64) -> KnownBursts {
        let mut bursts = self.bursts.clone();
        let open = self.arrivals.open_burst();
        let open =
            open.filter(|open| !(self.is_next_start_unknown && self.arrivals.began_within(open)));
        let Some(mut open) = open else {
            let typical = typical_burst(&bursts);
            return KnownBursts { bursts, typical };
        };
        bursts.retain(|known| known.end_ms() <= open.start_ms);
        let is_over = now_ms >= open.end_ms().saturating_add(BURST_END_DELAY_MS);
        if is_over || bursts.is_empty() {
            bursts.push(open);
            let typical = typical_burst(&bursts);
            return KnownBursts { bursts, typical };
        }
        let typical = typical_burst(&bursts);
        open.length_ms = open.length_ms.max(typical.length_ms);
        open.rate = open.rate.max(typical.rate);
        bursts.push(open);
        KnownBursts { bursts, typical }
    }
}

/// Bursts that a forecast knows at a time, the oldest first.
#[derive(Debug)]
struct KnownBursts {
    bursts: Vec<Burst>,
    typical: TypicalBurst,
}

/// Length and height of the bursts, as means in which recent bursts weigh more.
#[derive(Debug, Clone, Copy)]
struct TypicalBurst {
    length_ms: u64,
    rate: Rate,
}

/// Returns the trust in the turn that is `number` periods after the last burst, in percent.
fn trust_ahead(period: &PeriodEstimate, number: u64) -> u64 {
    let decay = |trust, _| trust * MISSED_TURN_PERCENT / 100;
    (1..number).fold(period.trust_percent, decay)
}

/// Returns the pool's own period or the shared one, whichever the bursts support more.
fn trusted_period(bursts: &[Burst], shared_period: Option<Millis>) -> Option<PeriodEstimate> {
    let own = period::estimate_own(bursts);
    let shared = shared_period.and_then(|period| period::estimate_shared(bursts, period));
    let best = [own, shared].into_iter().flatten().max_by_key(|estimate| estimate.trust_percent)?;
    (best.trust_percent >= MIN_TRUST_PERCENT).then_some(best)
}

fn typical_burst(bursts: &[Burst]) -> TypicalBurst {
    let (mut weights, mut lengths, mut rates) = (0, 0, 0);
    let mut weight = 1_000_u128;
    for burst in bursts.iter().rev() {
        weights += weight;
        lengths += weight * u128::from(burst.length_ms);
        rates += weight * u128::from(burst.rate.0);
        weight = weight * u128::from(RECENCY_PERCENT) / 100;
    }
    let mean = |sum: u128| u64::try_from(sum / weights.max(1)).unwrap_or(u64::MAX);
    TypicalBurst { length_ms: mean(lengths), rate: Rate(mean(rates)) }
}

/// Returns what remains of a peak after some time. Between two half-lives it falls linearly.
fn decayed(peak: Rate, elapsed_ms: u64) -> Rate {
    let half_lives = (elapsed_ms / PEAK_HALF_LIFE_MS).min(63);
    let rest_ms = elapsed_ms % PEAK_HALF_LIFE_MS;
    let halved = peak.0 >> half_lives;
    let lost = u128::from(halved / 2) * u128::from(rest_ms) / u128::from(PEAK_HALF_LIFE_MS);
    Rate(halved.saturating_sub(lost as u64))
}
