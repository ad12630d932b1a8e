//! Writes decisions to standard output as JSON lines, at a limited rate.
//!
//! The log thread receives the lines over a bounded channel, writes at most
//! [`MAX_LINES_PER_SECOND`] lines per second and reports how many lines it dropped.

use std::io;
use std::time::{Duration, Instant};

use crossbeam::channel::{Sender, bounded};
use fleet::DecisionLine;

/// Maximum number of lines that wait for the log thread.
const CHANNEL_CAPACITY: usize = 2_048;
const MAX_LINES_PER_SECOND: u32 = 600;
const BUDGET_PERIOD: Duration = Duration::from_secs(1);
/// Time for the log thread to write the last lines before the process ends.
const FLUSH_DELAY: Duration = Duration::from_millis(30);

/// Starts logging and returns the sender for decision lines.
///
/// # Errors
///
/// Returns the reason why the thread cannot be started.
pub fn start() -> io::Result<Sender<DecisionLine>> {
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_writer(io::stdout)
        .init();
    let (sender, receiver) = bounded::<DecisionLine>(CHANNEL_CAPACITY);
    std::thread::Builder::new().name("log".into()).spawn(move || {
        let mut budget = LineBudget::new();
        for line in receiver {
            if budget.try_take_line() {
                write_line(&line);
            }
        }
    })?;
    Ok(sender)
}

/// Waits [`FLUSH_DELAY`] for the log thread to write the remaining lines.
pub fn wait_for_flush() {
    std::thread::sleep(FLUSH_DELAY);
}

fn write_line(line: &DecisionLine) {
    tracing::info!(
        decision = line.decision,
        id = &*line.id,
        inputs = &*line.inputs,
        outcome = &*line.outcome
    );
}

/// Rate limit on lines, counted per [`BUDGET_PERIOD`].
struct LineBudget {
    period_start: Instant,
    remaining: u32,
    /// Number of lines over the limit in this period.
    dropped: u64,
}

impl LineBudget {
    fn new() -> Self {
        Self { period_start: Instant::now(), remaining: MAX_LINES_PER_SECOND, dropped: 0 }
    }

    /// Returns whether another line may be written in this period; if not, counts the line as
    /// dropped.
    fn try_take_line(&mut self) -> bool {
        if self.period_start.elapsed() >= BUDGET_PERIOD {
            if self.dropped > 0 {
                tracing::warn!(
                    dropped = self.dropped,
                    "decision lines over the rate limit were dropped"
                );
            }
            *self = Self::new();
        }
        if self.remaining == 0 {
            self.dropped += 1;
            return false;
        }
        self.remaining -= 1;
        true
    }
}
