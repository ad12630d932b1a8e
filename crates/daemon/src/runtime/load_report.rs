//! Reports once a second what this daemon did as the owner of pools.
//!
//! Decision lines are limited in number, so an owner under load does not show by them how much it
//! starts and what its ready tasks wait for. [`LoadReport`] sums the measurements of the state
//! machine and writes one line a second (`docs/OPERATIONS.md`, "A job came late, or waits").

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use fleet::{Measurement, WaitCause};
use state::Millis;

/// Interval between two lines.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Number of started tasks and the time for which they had been ready.
#[derive(Debug, Default)]
struct ReadyTotal {
    tasks: u64,
    total: Millis,
    longest: Millis,
}

/// Sums since the last line.
#[derive(Debug, Default)]
struct LoadTotals {
    ready: BTreeMap<WaitCause, ReadyTotal>,
    events: u64,
    max_event_wait: Duration,
    max_pass_delay: Millis,
    saves: u64,
    total_save_answer: Millis,
    saved_ends: u64,
    max_end_saved: Millis,
}

impl LoadTotals {
    fn add(&mut self, measurement: Measurement) {
        match measurement {
            Measurement::TaskReady(cause, duration) => {
                let total = self.ready.entry(cause).or_default();
                total.tasks += 1;
                total.total.0 += duration.0;
                total.longest = total.longest.max(duration);
            }
            Measurement::PassDelay(delay) => self.max_pass_delay = self.max_pass_delay.max(delay),
            Measurement::SaveAnswered(duration) => {
                self.saves += 1;
                self.total_save_answer.0 += duration.0;
            }
            Measurement::EndSaved(duration) => {
                self.saved_ends += 1;
                self.max_end_saved = self.max_end_saved.max(duration);
            }
            // The waits of started tasks include those for data; the metrics have the rest as well.
            Measurement::RunTime { .. }
            | Measurement::VmHealth(_)
            | Measurement::RunReleased(_)
            | Measurement::DataWaitsBegun(_)
            | Measurement::DataWaitEnded(..) => {}
        }
    }

    /// Describes the waits of the started tasks: for each cause their number, mean and longest
    /// wait.
    fn describe_waits(&self) -> String {
        let mut text = String::new();
        for (cause, total) in &self.ready {
            let mean = total.total.0 / total.tasks.max(1);
            let longest = total.longest;
            let _ = write!(text, "{cause}: {} tasks, {mean}ms, {longest}; ", total.tasks);
        }
        text
    }

    fn write_line(&self, period: Duration) {
        tracing::info!(
            period_ms = period.as_millis() as u64,
            starts = self.ready.values().map(|total| total.tasks).sum::<u64>(),
            waits = self.describe_waits(),
            saves = self.saves,
            mean_save_answer_ms = self.total_save_answer.0 / self.saves.max(1),
            saved_ends = self.saved_ends,
            max_end_saved_ms = self.max_end_saved.0,
            events = self.events,
            max_event_wait_ms = self.max_event_wait.as_millis() as u64,
            max_pass_delay_ms = self.max_pass_delay.0,
            "owner load"
        );
    }
}

/// Sums of an owner's work, and the time of the last line.
#[derive(Debug)]
pub struct LoadReport {
    totals: Mutex<(Instant, LoadTotals)>,
}

impl Default for LoadReport {
    fn default() -> Self {
        Self { totals: Mutex::new((Instant::now(), LoadTotals::default())) }
    }
}

impl LoadReport {
    fn lock(&self) -> MutexGuard<'_, (Instant, LoadTotals)> {
        self.totals.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn add_measurement(&self, measurement: Measurement) {
        self.lock().1.add(measurement);
    }

    /// Counts an event that waited for the state machine, and writes a line if one is due. A daemon
    /// that started no task and saved no finished run writes none.
    pub fn add_event(&self, wait: Duration) {
        let mut totals = self.lock();
        totals.1.events += 1;
        totals.1.max_event_wait = totals.1.max_event_wait.max(wait);
        let period = totals.0.elapsed();
        if period < REPORT_INTERVAL {
            return;
        }
        let (_, sums) = std::mem::replace(&mut *totals, (Instant::now(), LoadTotals::default()));
        drop(totals);
        if !sums.ready.is_empty() || sums.saved_ends > 0 {
            sums.write_line(period);
        }
    }
}
