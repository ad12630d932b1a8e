//! Samples of one class of run times, and their medians.

use std::ops::{Add, Sub};

use state::{Millis, Moment};

use super::MIN_SAMPLES;

/// Number of the newest samples of a class that are kept.
const MAX_SAMPLES: usize = 31;
/// Age from which a sample no longer counts, in milliseconds.
const RETENTION_MS: i64 = 900_000;
/// Change of a median that counts as noticeable: 9 %.
const NOTICEABLE_CHANGE: i32 = LogTime::UNITS_PER_OCTAVE / 8;
/// Deviation of a ratio from the median ratio from which it counts no further, so that stragglers do not
/// bend the slope.
const MAX_DEVIATION: i32 = 2 * LogTime::UNITS_PER_OCTAVE;
/// Slope of samples that all have about the same declared time.
const UNKNOWN_SLOPE: Slope = Slope(Slope::UNITS / 2);
/// Upper bound of the times that are told apart, about 50 days.
const MAX_TIME: Millis = Millis(u32::MAX as u64);

/// Logarithm of a time in milliseconds, or of a ratio of times, to the base 2, in 256ths. Whole
/// numbers give the same decisions on every machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub(super) struct LogTime(i32);

impl LogTime {
    const UNITS_PER_OCTAVE: i32 = 256;
    pub(super) const ZERO: Self = Self(0);

    pub(super) const fn from_octaves(octaves: i32) -> Self {
        Self(octaves * Self::UNITS_PER_OCTAVE)
    }

    /// Restores a stored logarithm of a time; one that no time has is bounded.
    pub(super) fn from_value(value: i32) -> Self {
        Self(value.clamp(0, 32 * Self::UNITS_PER_OCTAVE))
    }

    pub(super) fn value(self) -> i32 {
        self.0
    }

    /// Returns the class of the time: the exponent of the power of two below it.
    pub(super) fn class(self) -> u8 {
        (self.0.max(0) / Self::UNITS_PER_OCTAVE) as u8
    }

    fn exp(self) -> f64 {
        (f64::from(self.0) / f64::from(Self::UNITS_PER_OCTAVE)).exp2()
    }

    pub(super) fn to_millis(self) -> Millis {
        Millis(self.exp().round() as u64)
    }

    pub(super) fn to_percent(self) -> u64 {
        (self.exp() * 100.0).round() as u64
    }
}

impl From<Millis> for LogTime {
    fn from(time: Millis) -> Self {
        let bounded = time.clamp(Millis(1), MAX_TIME).0 as f64;
        Self((bounded.log2() * f64::from(Self::UNITS_PER_OCTAVE)).round() as i32)
    }
}

impl Add for LogTime {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0 + other.0)
    }
}

impl Sub for LogTime {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self(self.0 - other.0)
    }
}

/// Declared and measured time of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Sample {
    pub(super) declared: LogTime,
    measured: LogTime,
    /// Time of the end on the process's clock, in milliseconds; negative if the process was not
    /// running.
    at_ms: i64,
}

impl Sample {
    pub(super) fn new(declared: Millis, measured: Millis, at: Moment) -> Self {
        Self { declared: declared.into(), measured: measured.into(), at_ms: to_signed(at.0) }
    }

    /// Restores the medians of a record as a sample.
    pub(super) fn restored(declared: i32, measured: i32, now: Moment, age_ms: u64) -> Self {
        Self {
            declared: LogTime::from_value(declared),
            measured: LogTime::from_value(measured),
            at_ms: to_signed(now.0).saturating_sub(to_signed(age_ms)),
        }
    }
}

fn to_signed(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}

/// Part of a difference between declared times that the measured times show as well, in 256ths: all of
/// it if declared times are exact, and none if they say nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct Slope(i32);

impl Slope {
    const UNITS: i32 = 256;

    /// Fits the slope to samples, by least squares.
    fn fit(samples: &[Sample], medians: &Medians) -> Self {
        let (mut product, mut square) = (0i64, 0i64);
        for sample in samples {
            let distance = i64::from((sample.declared - medians.declared).0);
            let deviation = (sample.measured - sample.declared - medians.ratio).0;
            product += distance * i64::from(deviation.clamp(-MAX_DEVIATION, MAX_DEVIATION));
            square += distance * distance;
        }
        let units = i64::from(Self::UNITS);
        let change = (product * units).checked_div(square);
        change.map_or(UNKNOWN_SLOPE, |change| Self((units + change).clamp(0, units) as i32))
    }

    /// Returns the part of a difference.
    pub(super) fn of(self, difference: LogTime) -> LogTime {
        LogTime(difference.0 * self.0 / Self::UNITS)
    }
}

/// Medians of a class, and the slope of its samples.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct Medians {
    pub(super) declared: LogTime,
    pub(super) measured: LogTime,
    pub(super) ratio: LogTime,
    pub(super) slope: Slope,
}

impl Medians {
    /// Returns the measured time at `offset` from the declared time of these medians, on the line
    /// through `next`. A line that falls, or rises faster than the declared times, shows chance.
    pub(super) fn interpolate(&self, next: &Self, offset: LogTime) -> LogTime {
        let distance = next.declared - self.declared;
        if distance == LogTime::ZERO {
            return self.measured;
        }
        let rise = next.measured - self.measured;
        let change = i64::from(rise.0) * i64::from(offset.0) / i64::from(distance.0);
        let change = LogTime(change as i32);
        let (lowest, highest) = (offset.min(LogTime::ZERO), offset.max(LogTime::ZERO));
        self.measured + change.clamp(lowest, highest)
    }
}

/// Newest samples of a class, with their medians.
#[derive(Debug, Clone, Default)]
pub(super) struct Cell {
    /// Ring of samples; `next` is the position of the next one once the ring is full.
    samples: Vec<Sample>,
    next: usize,
    medians: Medians,
    /// Median ratio that was last counted as a noticeable change.
    noted: Option<LogTime>,
}

impl Cell {
    pub(super) fn len(&self) -> usize {
        self.samples.len()
    }

    /// Returns the time of the newest sample.
    pub(super) fn newest_ms(&self) -> i64 {
        self.samples.iter().map(|sample| sample.at_ms).max().unwrap_or(i64::MIN)
    }

    /// Returns the medians if they are taken of enough samples that are not too old.
    pub(super) fn usable(&self, now: Moment) -> Option<&Medians> {
        let is_recent = self.newest_ms() > to_signed(now.0) - RETENTION_MS;
        (self.samples.len() >= MIN_SAMPLES && is_recent).then_some(&self.medians)
    }

    /// Adds a sample, and returns whether the medians have changed noticeably.
    pub(super) fn add(&mut self, sample: Sample) -> bool {
        if self.samples.len() < MAX_SAMPLES {
            self.samples.push(sample);
        } else {
            self.samples[self.next] = sample;
            self.next = (self.next + 1) % MAX_SAMPLES;
        }
        self.drop_old(sample.at_ms);
        self.medians = Medians {
            declared: self.median_of(|sample| sample.declared),
            measured: self.median_of(|sample| sample.measured),
            ratio: self.median_of(|sample| sample.measured - sample.declared),
            slope: Slope::default(),
        };
        self.medians.slope = Slope::fit(&self.samples, &self.medians);
        self.note_change()
    }

    /// Removes the samples that are too old beside one of `at_ms`.
    fn drop_old(&mut self, at_ms: i64) {
        let is_old = |sample: &Sample| sample.at_ms <= at_ms.saturating_sub(RETENTION_MS);
        if self.samples.iter().any(is_old) {
            self.samples.rotate_left(self.next);
            self.next = 0;
            self.samples.retain(|sample| !is_old(sample));
        }
    }

    fn median_of(&self, value: impl Fn(&Sample) -> LogTime) -> LogTime {
        let mut values: Vec<LogTime> = self.samples.iter().map(value).collect();
        let middle = values.len() / 2;
        *values.select_nth_unstable(middle).1
    }

    fn note_change(&mut self) -> bool {
        if self.samples.len() < MIN_SAMPLES {
            return false;
        }
        let ratio = self.medians.ratio;
        let is_change = self.noted.is_none_or(|noted| (ratio - noted).0.abs() >= NOTICEABLE_CHANGE);
        if is_change {
            self.noted = Some(ratio);
        }
        is_change
    }
}
