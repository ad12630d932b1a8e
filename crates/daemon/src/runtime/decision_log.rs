//! Writes decisions to standard output, a bounded number a second.

use std::io;
use std::time::{Duration, Instant};

use crossbeam::channel::{Sender, bounded};
use fleet::DecisionLine;

/// Lines that may wait for the writer.
const CHANNEL_CAPACITY: usize = 2_048;
/// Most lines a second.
const MAX_LINES_PER_SECOND: u32 = 600;
const BUDGET_PERIOD: Duration = Duration::from_secs(1);
/// Time that the writer gets for the last lines.
const FLUSH_DELAY: Duration = Duration::from_millis(30);

/// Starts logging; lines sent to the answer are written, or counted as dropped.
///
/// # Errors
///
/// The reason why the thread cannot be started.
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
            if budget.spend_one() {
                write(&line);
            }
        }
    })?;
    Ok(sender)
}

/// Gives the writer time for what is left.
pub fn flush() {
    std::thread::sleep(FLUSH_DELAY);
}

fn write(line: &DecisionLine) {
    tracing::info!(
        decision = line.decision,
        id = &*line.id,
        inputs = &*line.inputs,
        outcome = &*line.outcome
    );
}

struct LineBudget {
    period_start: Instant,
    remaining: u32,
    dropped: u64,
}

impl LineBudget {
    fn new() -> Self {
        Self { period_start: Instant::now(), remaining: MAX_LINES_PER_SECOND, dropped: 0 }
    }

    fn spend_one(&mut self) -> bool {
        if self.period_start.elapsed() >= BUDGET_PERIOD {
            if self.dropped > 0 {
                tracing::warn!(dropped = self.dropped, "lines over the bound were not written");
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
