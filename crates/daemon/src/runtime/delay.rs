//! Detects that the daemon falls behind: clock ticks that come late, and where the time went.
//!
//! A tick is late when the process gets too little processor time or when its threads are busy
//! with other work. [`TickMonitor`] compares the delay with the time spent in steps of the state
//! machine, so that the log tells decisions from calls (`docs/OPERATIONS.md`, "A daemon falls
//! behind").

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use super::metrics::MetricsRegistry;

/// Tick delay from which a warning is logged.
const LATE_TICK_DELAY: Duration = Duration::from_millis(200);
/// Minimum interval between two warnings.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Number and total duration of the steps since the last report.
#[derive(Debug, Default)]
pub struct StepTotals {
    steps: AtomicU64,
    step_micros: AtomicU64,
}

impl StepTotals {
    pub fn add_step(&self, duration: Duration) {
        self.steps.fetch_add(1, Ordering::Relaxed);
        self.step_micros.fetch_add(duration.as_micros() as u64, Ordering::Relaxed);
    }

    fn take(&self) -> (u64, u64) {
        (self.steps.swap(0, Ordering::Relaxed), self.step_micros.swap(0, Ordering::Relaxed))
    }
}

/// Measures the delay of clock ticks.
#[derive(Debug)]
pub struct TickMonitor {
    interval: Duration,
    last_tick: Instant,
    last_report: Instant,
    max_delay: Duration,
}

impl TickMonitor {
    pub fn new(interval: Duration) -> Self {
        let now = Instant::now();
        Self { interval, last_tick: now, last_report: now, max_delay: Duration::ZERO }
    }

    /// Records a tick, and logs at most one warning per [`REPORT_INTERVAL`] if ticks are late.
    pub fn on_tick(&mut self, totals: &StepTotals, metrics: &MetricsRegistry) {
        let now = Instant::now();
        let delay = (now - self.last_tick).saturating_sub(self.interval);
        self.last_tick = now;
        self.max_delay = self.max_delay.max(delay);
        metrics.record_tick_delay(delay);
        let period = now - self.last_report;
        if period < REPORT_INTERVAL {
            return;
        }
        let (steps, step_micros) = totals.take();
        if self.max_delay >= LATE_TICK_DELAY {
            tracing::warn!(
                tick_late_ms = self.max_delay.as_millis() as u64,
                period_ms = period.as_millis() as u64,
                steps,
                step_ms = step_micros / 1_000,
                "behind"
            );
        }
        self.last_report = now;
        self.max_delay = Duration::ZERO;
    }
}
