//! Finds bursts in the arriving work.
//!
//! The work of the last half minute is kept in bins. A cumulative sum of the work above the
//! average rate opens a candidate, and the candidate is closed when little has arrived for some
//! seconds. The candidate's edges are those of the bins whose rate is above a part of its own rate.
//! It is a burst only if it consists of several jobs that are comparable in size, and its rate is
//! clearly above the rate before and after it.
//!
//! Jobs differ much in size. A job therefore counts with at most a few times the typical work
//! when bursts are searched, and with all of its work when their height is measured.

use state::Rate;

use super::{BURST_END_DELAY_MS, Burst};

const BIN_MS: u64 = 250;
/// Number of bins that are kept.
const BIN_COUNT: u64 = 128;
/// Number of bins without much work after which a candidate is closed.
const QUIET_BINS: u64 = BURST_END_DELAY_MS / BIN_MS;
/// Number of bins after which a candidate counts as steady load.
const MAX_BURST_BINS: u64 = 100;
/// Minimum number of bins of a burst.
const MIN_BURST_BINS: u64 = 3;
/// Rate relative to the average from which work counts towards a candidate.
const OPEN_FACTOR: f64 = 1.5;
/// Minimum rate of a burst relative to the rate before and after it. Noise of steady load stays
/// below it.
const BURST_FACTOR: f64 = 2.25;
/// Rate of a candidate's last bins, relative to all of it, below which it is closed.
const QUIET_FACTOR: f64 = 0.3;
/// Rate of the bins at the edges of a burst, relative to the whole burst.
const EDGE_FACTOR: f64 = 0.3;
/// Minimum number of jobs of equal size that would spread as much as those of the burst. The
/// square of the sum over the sum of squares gives that number: a huge job counts as one.
const MIN_EFFECTIVE_JOBS: f64 = 2.5;
/// Maximum work of a job relative to the typical work, when bursts are searched.
const MAX_SIZE_FACTOR: f64 = 2.0;
/// Factor by which one job changes the typical work, which follows the median.
const SIZE_STEP: f64 = 1.1;
/// Number of successive jobs that are older than all bins after which the clock has gone back.
const MAX_OLD_JOBS: u32 = 20;

/// Work that arrived in a time of `BIN_MS`.
#[derive(Debug, Clone, Copy, Default)]
struct Bin {
    jobs: u32,
    /// Work of all jobs.
    work: f64,
    /// Work of all jobs, each bounded by the typical work.
    bounded: f64,
    squares: f64,
}

impl Bin {
    fn add(&mut self, other: Bin) {
        self.jobs = self.jobs.saturating_add(other.jobs);
        self.work += other.work;
        self.bounded += other.bounded;
        self.squares += other.squares;
    }
}

/// Work of the last half minute.
#[derive(Debug, Default)]
pub(super) struct ArrivalWindow {
    bins: Vec<Bin>,
    /// Number of the first bin that got work, and of the newest one, since 1970.
    first: u64,
    newest: u64,
    /// Work of a job of median size.
    typical_work: f64,
    /// Average rate of arriving work over all bins, in millicores.
    average: f64,
    /// Cumulative sum of the work above the average.
    excess: f64,
    /// Number of the first bin of the candidate.
    candidate: Option<u64>,
    old_jobs: u32,
}

impl ArrivalWindow {
    /// Whether a burst may have begun before the first recorded work.
    pub(super) fn began_within(&self, burst: &Burst) -> bool {
        burst.start_ms / BIN_MS <= self.first + QUIET_BINS
    }

    /// Records work that was accepted at `at_ms`, and returns the burst that is complete, if any.
    pub(super) fn record(&mut self, at_ms: u64, work: u64) -> Option<Burst> {
        let number = at_ms / BIN_MS;
        if self.bins.is_empty() {
            self.first = number;
            self.restart(number);
        }
        if number + BIN_COUNT <= self.newest {
            self.old_jobs += 1;
            if self.old_jobs < MAX_OLD_JOBS {
                return None;
            }
            self.restart(number);
        }
        self.old_jobs = 0;
        let complete = self.advance_to(number);
        let arrival = self.measure_job(work as f64);
        self.bin_mut(number).add(arrival);
        self.excess += arrival.bounded;
        self.candidate.get_or_insert(number);
        complete
    }

    /// Returns the candidate if it is a burst by now.
    pub(super) fn open_burst(&self) -> Option<Burst> {
        self.measure_burst(self.candidate?)
    }

    /// Forgets all bins and begins at a bin.
    fn restart(&mut self, number: u64) {
        self.bins = vec![Bin::default(); BIN_COUNT as usize];
        self.newest = number;
        self.first = self.first.min(number);
        (self.average, self.excess, self.candidate, self.old_jobs) = (0.0, 0.0, None, 0);
    }

    fn measure_job(&mut self, work: f64) -> Bin {
        if self.typical_work <= 0.0 {
            self.typical_work = work;
        }
        let bounded = work.min(MAX_SIZE_FACTOR * self.typical_work);
        if work > self.typical_work {
            self.typical_work *= SIZE_STEP;
        } else {
            self.typical_work /= SIZE_STEP;
        }
        Bin { jobs: 1, work, bounded, squares: bounded * bounded }
    }

    /// Closes all bins before `number`.
    fn advance_to(&mut self, number: u64) -> Option<Burst> {
        let mut complete = None;
        let steps = number.saturating_sub(self.newest);
        if steps > BIN_COUNT {
            complete = self.close_candidate();
            self.restart(number);
            return complete;
        }
        for _ in 0..steps {
            complete = self.close_bin().or(complete);
            self.newest += 1;
            *self.bin_mut(self.newest) = Bin::default();
        }
        complete
    }

    /// Accounts for the end of the newest bin's time.
    fn close_bin(&mut self) -> Option<Burst> {
        self.average = self.sum(self.oldest()).bounded / (BIN_COUNT * BIN_MS) as f64;
        self.excess -= OPEN_FACTOR * self.average * BIN_MS as f64;
        let candidate = self.candidate?;
        if self.excess <= 0.0 || self.is_quiet(candidate) {
            return self.close_candidate();
        }
        if self.newest + 1 - candidate >= MAX_BURST_BINS {
            (self.excess, self.candidate) = (0.0, None);
        }
        None
    }

    fn close_candidate(&mut self) -> Option<Burst> {
        self.excess = 0.0;
        let candidate = self.candidate.take()?;
        self.measure_burst(candidate)
    }

    /// Whether little work has arrived in the last bins, compared with the whole candidate.
    fn is_quiet(&self, candidate: u64) -> bool {
        let length = self.newest + 1 - candidate;
        if length <= QUIET_BINS {
            return false;
        }
        let recent = self.sum(self.newest + 1 - QUIET_BINS).bounded / QUIET_BINS as f64;
        recent < QUIET_FACTOR * self.sum(candidate).bounded / length as f64
    }

    /// Returns the burst that the candidate contains.
    fn measure_burst(&self, candidate: u64) -> Option<Burst> {
        let from = candidate.saturating_sub(QUIET_BINS).max(self.oldest());
        let length = self.newest + 1 - candidate;
        let rough_rate = self.sum(candidate).bounded / length as f64;
        let (start, end) = self.densest_bins(from, rough_rate * EDGE_FACTOR);
        let rate = self.sum_between(start, end).bounded / (end + 1 - start) as f64;
        let (start, end) = self.densest_bins(from, rate * EDGE_FACTOR);
        let total = self.sum_between(start, end);
        let span_ms = (end + 1 - start) * BIN_MS;
        let is_burst = end + 1 - start >= MIN_BURST_BINS
            && total.jobs > 1
            && total.bounded * total.bounded >= MIN_EFFECTIVE_JOBS * total.squares
            && total.bounded / span_ms as f64 >= BURST_FACTOR * self.rate_beside(&total, span_ms);
        is_burst.then(|| extend_burst(start * BIN_MS, span_ms, &total))
    }

    /// Returns the rate of the work that arrived outside of a span, in millicores.
    fn rate_beside(&self, inside: &Bin, span_ms: u64) -> f64 {
        let known_bins = self.newest + 1 - self.first.max(self.oldest()).min(self.newest);
        let outside_ms = (known_bins * BIN_MS).saturating_sub(span_ms).max(BURST_END_DELAY_MS);
        (self.sum(self.oldest()).bounded - inside.bounded).max(0.0) / outside_ms as f64
    }

    /// Returns the first and the last bin of the range since `from` with the largest sum of work
    /// above `level`.
    fn densest_bins(&self, from: u64, level: f64) -> (u64, u64) {
        let (mut best, mut best_range) = (0.0, (from, from));
        let (mut sum, mut start) = (0.0, from);
        for number in from..=self.newest {
            if sum <= 0.0 {
                (sum, start) = (0.0, number);
            }
            sum += self.bin(number).bounded - level;
            if sum > best {
                (best, best_range) = (sum, (start, number));
            }
        }
        best_range
    }

    fn oldest(&self) -> u64 {
        self.newest.saturating_sub(BIN_COUNT - 1)
    }

    fn sum(&self, from: u64) -> Bin {
        self.sum_between(from, self.newest)
    }

    fn sum_between(&self, from: u64, to: u64) -> Bin {
        let mut total = Bin::default();
        for number in from..=to {
            total.add(self.bin(number));
        }
        total
    }

    fn bin(&self, number: u64) -> Bin {
        self.bins.get((number % BIN_COUNT) as usize).copied().unwrap_or_default()
    }

    fn bin_mut(&mut self, number: u64) -> &mut Bin {
        &mut self.bins[(number % BIN_COUNT) as usize]
    }
}

/// Returns the burst whose jobs arrived within a span. A burst of few jobs begins before its
/// first job and ends after its last one: the span of `n` times that are drawn from a range is
/// `(n - 1) / (n + 1)` of the range on average.
fn extend_burst(start_ms: u64, span_ms: u64, total: &Bin) -> Burst {
    let jobs = u64::from(total.jobs);
    let added_ms = span_ms * 2 / (jobs - 1);
    let length_ms = span_ms + added_ms;
    Burst {
        start_ms: start_ms.saturating_sub(added_ms / 2),
        length_ms,
        rate: Rate((total.work / length_ms as f64) as u64),
    }
}
