//! Learns the ratio of measured to declared run times.
//!
//! The error of a declared time does not depend on the true time, and the true times of a queue
//! differ less than the declared ones. The best prediction therefore lies between the declared time
//! and what is typical of the queue. [`RunTimeTable`] keeps the medians of the declared and of the
//! measured times for each queue and class of declared times (powers of two), and interpolates
//! between the medians of adjacent classes: the medians show by themselves how far declared times can
//! be trusted. Times are handled as logarithms, since errors are factors.
//!
//! A class is divided further by the demand of the step. While a division has few samples, the class
//! answers; while that has few, a line through the median of the queue, whose slope says how far its
//! declared times can be trusted; and else the declared time.
//! `docs/design/run-times.md` describes the decision.

mod cell;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use state::{Mebibytes, Millicores, Millis, Moment, QueueId};

use cell::{Cell, LogTime, Sample, Slope};

/// Maximum number of classes over all queues; a class takes about 500 bytes.
const MAX_CELLS: usize = 256;
/// Number of samples from which the medians of a class are used.
const MIN_SAMPLES: usize = 6;
/// Factor up to which the expected time may differ from the declared one, as a logarithm, so that
/// wrong samples have a limited effect. A declared time is off by a factor of 10 at most.
const MAX_CORRECTION: LogTime = LogTime::from_octaves(5);
/// Lower bound of the declared time when the maximum of the expected time is computed: very short
/// declared times, such as 0, stand for an unknown time.
const MIN_TRUSTED_TIME: Millis = Millis(1_000);

/// Queue and demand of a step, which select its class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShapeKey<'a> {
    /// Queue of the job.
    pub queue: &'a QueueId,
    /// Processor time that a task of the step demands.
    pub processor: Millicores,
    /// Memory that a task of the step demands.
    pub memory: Mebibytes,
}

/// Coarse class of a step's demand: exponents of processor time and memory to the base 4.
type DemandClass = (u8, u8);

impl ShapeKey<'_> {
    fn demand_class(&self) -> DemandClass {
        let class = |value: u64| (value.max(1).ilog2() / 2) as u8;
        (class(self.processor.0), class(u64::from(self.memory.0)))
    }
}

/// Class of a queue's steps.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum CellKey {
    /// Steps by their declared time.
    Declared(u8),
    /// Steps by their demand and declared time.
    Shape(DemandClass, u8),
    /// All steps; the last in the order, so that it is not removed before the others.
    Queue,
}

impl CellKey {
    /// Returns the class whose declared times are twice as long, or half as long.
    fn neighbour(self, is_longer: bool) -> Option<Self> {
        let shift = |class: u8| if is_longer { class.checked_add(1) } else { class.checked_sub(1) };
        match self {
            Self::Queue => None,
            Self::Declared(class) => shift(class).map(Self::Declared),
            Self::Shape(demand, class) => shift(class).map(|class| Self::Shape(demand, class)),
        }
    }
}

/// What a queue's runs take in relation to their declared times.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueCorrection {
    /// Median of the measured times in percent of the declared ones.
    pub percent: u64,
    /// Number of samples that the median is taken of.
    pub samples: usize,
}

/// Measured run times of a pool, by queue and shape of the step.
#[derive(Debug, Clone, Default)]
pub struct RunTimeTable {
    queues: BTreeMap<QueueId, BTreeMap<CellKey, Cell>>,
    cell_count: usize,
    version: u64,
}

impl RunTimeTable {
    /// Adds the measured time of one run. The caller passes few runs of each job, since the declared
    /// times of one job share one error.
    pub fn record(&mut self, key: &ShapeKey, declared: Millis, measured: Millis, at: Moment) {
        let sample = Sample::new(declared, measured, at);
        let class = sample.declared.class();
        for cell in
            [CellKey::Queue, CellKey::Declared(class), CellKey::Shape(key.demand_class(), class)]
        {
            self.add_sample(key.queue, cell, sample);
        }
    }

    fn add_sample(&mut self, queue: &QueueId, key: CellKey, sample: Sample) {
        let is_known = self.queues.get(queue).is_some_and(|cells| cells.contains_key(&key));
        if !is_known {
            if self.cell_count >= MAX_CELLS {
                self.evict_stalest();
            }
            self.cell_count += 1;
            self.queues.entry(queue.clone()).or_default().insert(key, Cell::default());
        }
        let cell = self.queues.get_mut(queue).and_then(|cells| cells.get_mut(&key));
        if cell.is_some_and(|cell| cell.add(sample)) {
            self.version += 1;
        }
    }

    /// Removes the class whose newest sample is the oldest.
    fn evict_stalest(&mut self) {
        let cells = self.queues.iter().flat_map(|(queue, cells)| {
            cells.iter().map(move |(key, cell)| (cell.newest_ms(), queue, *key))
        });
        let Some((_, queue, key)) = cells.min() else { return };
        let queue = queue.clone();
        if let Some(cells) = self.queues.get_mut(&queue) {
            self.cell_count -= usize::from(cells.remove(&key).is_some());
            if cells.is_empty() {
                self.queues.remove(&queue);
            }
        }
    }

    /// Returns the expected run time of a task whose step has this shape and declared time.
    pub fn expected(&self, key: &ShapeKey, declared: Millis, now: Moment) -> Millis {
        let Some(cells) = self.queues.get(key.queue) else { return declared };
        let log_declared = LogTime::from(declared);
        let class = log_declared.class();
        let Some(queue) = cells.get(&CellKey::Queue).and_then(|cell| cell.usable(now)) else {
            return declared;
        };
        let shape = CellKey::Shape(key.demand_class(), class);
        let predicted = predict(cells, shape, queue.slope, log_declared, now)
            .or_else(|| predict(cells, CellKey::Declared(class), queue.slope, log_declared, now))
            .unwrap_or_else(|| queue.measured + queue.slope.of(log_declared - queue.declared));
        let longest = LogTime::from(declared.max(MIN_TRUSTED_TIME)) + MAX_CORRECTION;
        predicted.clamp(log_declared - MAX_CORRECTION, longest).to_millis()
    }

    /// Returns the correction of a queue's declared times; `None` while too little is known.
    pub fn correction(&self, queue: &QueueId, now: Moment) -> Option<QueueCorrection> {
        let cell = self.queues.get(queue)?.get(&CellKey::Queue)?;
        let medians = cell.usable(now)?;
        Some(QueueCorrection { percent: medians.ratio.to_percent(), samples: cell.len() })
    }

    /// Returns a number that changes when a median has changed noticeably, so that the caller
    /// recomputes expected times only then.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Builds the record from which a later table starts, with at most `max_rows` classes: those of
    /// whole queues first, then the ones with the newest samples.
    pub fn to_record(&self, now: Moment, max_rows: usize) -> RunTimeRecord {
        let mut rows: Vec<(bool, i64, &QueueId, RunTimeRow)> = Vec::new();
        for (queue, cells) in &self.queues {
            for (key, cell) in cells {
                let Some(medians) = cell.usable(now) else { continue };
                let age_s = (now.0 as i64 - cell.newest_ms()).max(0) as u64 / 1_000;
                let row = RunTimeRow::new(*key, medians, cell.len(), age_s);
                rows.push((*key != CellKey::Queue, -cell.newest_ms(), queue, row));
            }
        }
        rows.sort_by_key(|(is_part, age, queue, row)| (*is_part, *age, *queue, row.class));
        let mut record = RunTimeRecord::default();
        for (_, _, queue, row) in rows.into_iter().take(max_rows) {
            record.queues.entry(queue.as_str().into()).or_default().push(row);
        }
        record
    }

    /// Adds the medians of a record that was written `elapsed` ago. They count as a few samples, which
    /// the samples of this table soon outnumber.
    pub fn add_record(&mut self, record: &RunTimeRecord, elapsed: Millis, now: Moment) {
        for (queue, rows) in &record.queues {
            let Ok(queue) = queue.parse::<QueueId>() else { continue };
            for row in rows.iter().take(MAX_CELLS) {
                let Some(key) = row.key() else { continue };
                let age_ms = row.age_s.saturating_mul(1_000).saturating_add(elapsed.0);
                let sample = Sample::restored(row.declared, row.measured, now, age_ms);
                for _ in 0..row.samples.min(MIN_SAMPLES) {
                    self.add_sample(&queue, key, sample);
                }
            }
        }
    }
}

/// Predicts a run time from the medians of its class. Between the medians of this class and of the
/// next one, if that is known, the prediction follows the line through both; else it follows the slope of
/// the whole queue.
fn predict(
    cells: &BTreeMap<CellKey, Cell>,
    key: CellKey,
    slope: Slope,
    declared: LogTime,
    now: Moment,
) -> Option<LogTime> {
    let medians = cells.get(&key)?.usable(now)?;
    let offset = declared - medians.declared;
    let neighbour = key.neighbour(offset > LogTime::ZERO);
    let next = neighbour.and_then(|key| cells.get(&key)?.usable(now));
    Some(match next {
        Some(next) => medians.interpolate(next, offset),
        None => medians.measured + slope.of(offset),
    })
}

/// Medians of one class, as they are stored. Times are logarithms to the base 2, in 256ths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
struct RunTimeRow {
    /// Demand class; absent for a class of all demands.
    #[serde(rename = "d", skip_serializing_if = "Option::is_none")]
    demand: Option<DemandClass>,
    /// Class of declared times; absent for the whole queue.
    #[serde(rename = "c", skip_serializing_if = "Option::is_none")]
    class: Option<u8>,
    #[serde(rename = "x")]
    declared: i32,
    #[serde(rename = "y")]
    measured: i32,
    #[serde(rename = "n")]
    samples: usize,
    /// Age of the newest sample when the record was written, in seconds.
    #[serde(rename = "s")]
    age_s: u64,
}

impl RunTimeRow {
    fn new(key: CellKey, medians: &cell::Medians, samples: usize, age_s: u64) -> Self {
        let (demand, class) = match key {
            CellKey::Queue => (None, None),
            CellKey::Declared(class) => (None, Some(class)),
            CellKey::Shape(demand, class) => (Some(demand), Some(class)),
        };
        let (declared, measured) = (medians.declared.value(), medians.measured.value());
        Self { demand, class, declared, measured, samples, age_s }
    }

    fn key(&self) -> Option<CellKey> {
        match (self.demand, self.class) {
            (None, None) => Some(CellKey::Queue),
            (None, Some(class)) => Some(CellKey::Declared(class)),
            (Some(demand), Some(class)) => Some(CellKey::Shape(demand, class)),
            (Some(_), None) => None,
        }
    }
}

/// Medians of a [`RunTimeTable`], as they are stored.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RunTimeRecord {
    /// Time at which the record was written, in milliseconds since 1970; set by the writer.
    pub written_ms: u64,
    queues: BTreeMap<Box<str>, Vec<RunTimeRow>>,
}
