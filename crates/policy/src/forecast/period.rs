//! Judges whether bursts come at a stable interval.

use state::Millis;

use super::Burst;

/// Range of periods.
const MIN_PERIOD_MS: u64 = 2_000;
const MAX_PERIOD_MS: u64 = 600_000;
/// Maximum number of periods in an interval; all but one of their bursts were missed.
const MAX_PERIODS: u64 = 3;
/// Part of the period by which an interval may deviate from it.
const TOLERANCE_DIVISOR: u64 = 7;
/// Weight of an interval relative to the next one, in percent.
const RECENCY_PERCENT: u64 = 70;
/// Weight that a missed burst takes from its interval, in percent.
const MISSED_PERCENT: u64 = 40;
/// Weight of an interval that contradicts the period, in percent of one that confirms it.
const CONTRADICTION_PERCENT: u64 = 50;
/// Number of intervals that must confirm the pool's own period.
const MIN_OWN_CONFIRMATIONS: usize = 2;
/// Weight of the unknown, which bounds the trust that few intervals give.
const OWN_DOUBT: u64 = 1_000;
const SHARED_DOUBT: u64 = 500;
/// Weight of the newest interval.
const FULL_WEIGHT: u64 = 1_000;

/// Time between two bursts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PeriodEstimate {
    pub(super) period_ms: u64,
    /// Mean deviation of the intervals from the period; `None` if no interval was measured.
    pub(super) deviation_ms: Option<u64>,
    pub(super) trust_percent: u64,
    /// Time to add to the middle of the last burst, so that it agrees with the bursts before it.
    pub(super) correction_ms: i64,
}

/// How the intervals between bursts agree with a period.
#[derive(Debug, Default)]
struct Agreement {
    confirmations: usize,
    weights: u64,
    gained: u64,
    lost: u64,
    /// Sums over the confirming intervals, by weight.
    confirmed_weights: u64,
    period_sum: u64,
    deviation_sum: u64,
}

/// Estimates the period from the pool's own bursts.
pub(super) fn estimate_own(bursts: &[Burst]) -> Option<PeriodEstimate> {
    let intervals = list_intervals(bursts);
    let candidates = intervals
        .iter()
        .flat_map(|interval| (1..=MAX_PERIODS).map(move |periods| interval / periods))
        .filter(|period| (MIN_PERIOD_MS..=MAX_PERIOD_MS).contains(period));
    let estimates = candidates.filter_map(|period| {
        let agreement = compare(&intervals, period);
        (agreement.confirmations >= MIN_OWN_CONFIRMATIONS)
            .then(|| agreement.estimate(period, 0, OWN_DOUBT))
    });
    let best = estimates.max_by_key(|estimate| (estimate.trust_percent, estimate.period_ms))?;
    Some(PeriodEstimate { correction_ms: correct_phase(&intervals, best.period_ms), ..best })
}

/// Judges a period that other pools have observed. It counts as an interval that confirms it, so
/// one burst of the pool's own is enough.
pub(super) fn estimate_shared(bursts: &[Burst], period: Millis) -> Option<PeriodEstimate> {
    if bursts.is_empty() || !(MIN_PERIOD_MS..=MAX_PERIOD_MS).contains(&period.0) {
        return None;
    }
    let intervals = list_intervals(bursts);
    let estimate = compare(&intervals, period.0).estimate(period.0, FULL_WEIGHT, SHARED_DOUBT);
    Some(PeriodEstimate { correction_ms: correct_phase(&intervals, period.0), ..estimate })
}

/// Lists the times between successive bursts, the newest first.
fn list_intervals(bursts: &[Burst]) -> Vec<u64> {
    let pairs = bursts.windows(2).rev();
    pairs.map(|pair| pair[1].middle_ms().saturating_sub(pair[0].middle_ms())).collect()
}

fn compare(intervals: &[u64], period_ms: u64) -> Agreement {
    let mut agreement = Agreement::default();
    let mut weight = FULL_WEIGHT;
    for interval in intervals {
        agreement.add(*interval, period_ms, weight);
        weight = weight * RECENCY_PERCENT / 100;
    }
    agreement
}

/// Returns the number of periods in an interval, or `None` if it contradicts the period.
fn count_periods(interval: u64, period_ms: u64) -> Option<u64> {
    let periods = interval.saturating_add(period_ms / 2) / period_ms;
    let deviation = interval.abs_diff(periods.saturating_mul(period_ms));
    let is_near = deviation <= period_ms / TOLERANCE_DIVISOR;
    (is_near && (1..=MAX_PERIODS).contains(&periods)).then_some(periods)
}

/// Returns the mean time by which the last bursts differ from the newest one, weighted by
/// recency. Bursts before an interval that contradicts the period do not count.
fn correct_phase(intervals: &[u64], period_ms: u64) -> i64 {
    let mut weight = FULL_WEIGHT as i64;
    let (mut weights, mut offset, mut offsets) = (weight, 0, 0);
    for interval in intervals {
        let Some(periods) = count_periods(*interval, period_ms) else { break };
        weight = weight * RECENCY_PERCENT as i64 / 100;
        offset += (periods * period_ms) as i64 - *interval as i64;
        weights += weight;
        offsets += weight * offset;
    }
    offsets / weights
}

impl Agreement {
    fn add(&mut self, interval: u64, period_ms: u64, weight: u64) {
        self.weights += weight;
        let Some(periods) = count_periods(interval, period_ms) else {
            self.lost += weight * CONTRADICTION_PERCENT / 100;
            return;
        };
        let deviation = interval.abs_diff(periods * period_ms);
        let missed = periods - 1;
        self.confirmations += 1;
        self.gained += weight * (100 - MISSED_PERCENT * missed) / 100;
        self.confirmed_weights += weight;
        self.period_sum += weight * (interval / periods);
        self.deviation_sum += weight * deviation;
    }

    /// Estimates the period near `period_ms`, with `given` as the weight of other evidence.
    fn estimate(&self, period_ms: u64, given: u64, doubt: u64) -> PeriodEstimate {
        let gained = (self.gained + given).saturating_sub(self.lost);
        let refined = self.period_sum.checked_div(self.confirmed_weights);
        PeriodEstimate {
            period_ms: refined.unwrap_or(period_ms),
            deviation_ms: self.deviation_sum.checked_div(self.confirmed_weights),
            trust_percent: gained * 100 / (self.weights + given + doubt),
            correction_ms: 0,
        }
    }
}
