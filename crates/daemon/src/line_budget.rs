//! Rate limit on log lines.

use std::time::{Duration, Instant};

const BUDGET_PERIOD: Duration = Duration::from_secs(1);

/// Rate limit on lines, counted per [`BUDGET_PERIOD`].
#[derive(Debug)]
pub struct LineBudget {
    max_lines: u32,
    period_start: Instant,
    remaining: u32,
    /// Number of lines over the limit in this period.
    dropped: u64,
}

impl LineBudget {
    /// Creates a budget of `max_lines` lines in each period.
    pub fn new(max_lines: u32) -> Self {
        Self { max_lines, period_start: Instant::now(), remaining: max_lines, dropped: 0 }
    }

    /// Returns whether another line may be written in this period; if not, counts the line as
    /// dropped.
    pub fn try_take_line(&mut self) -> bool {
        if self.period_start.elapsed() >= BUDGET_PERIOD {
            if self.dropped > 0 {
                tracing::warn!(dropped = self.dropped, "lines over the rate limit were dropped");
            }
            *self = Self::new(self.max_lines);
        }
        if self.remaining == 0 {
            self.dropped += 1;
            return false;
        }
        self.remaining -= 1;
        true
    }
}
