//! Writes decisions to standard output, a bounded number a second.

use std::io;
use std::time::{Duration, Instant};

use crossbeam::channel::{Sender, bounded};
use fleet::DecisionLine;

/// Lines that may wait for the writer.
const RING_LINES: usize = 2_048;
/// Most lines a second.
const LINES_PER_SECOND: u32 = 600;
const BUDGET_PERIOD: Duration = Duration::from_secs(1);
/// Time that the writer gets for the last lines.
const FLUSH_TIME: Duration = Duration::from_millis(30);

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
    let (sender, receiver) = bounded::<DecisionLine>(RING_LINES);
    std::thread::Builder::new().name("log".into()).spawn(move || {
        let mut budget = LineBudget::new();
        for line in receiver {
            if budget.takes_one() {
                write(&line);
            }
        }
    })?;
    Ok(sender)
}

/// Gives the writer time for what is left.
pub fn flush() {
    std::thread::sleep(FLUSH_TIME);
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
    since: Instant,
    left: u32,
    dropped: u64,
}

impl LineBudget {
    fn new() -> Self {
        Self { since: Instant::now(), left: LINES_PER_SECOND, dropped: 0 }
    }

    fn takes_one(&mut self) -> bool {
        if self.since.elapsed() >= BUDGET_PERIOD {
            if self.dropped > 0 {
                tracing::warn!(dropped = self.dropped, "lines over the bound were not written");
            }
            *self = Self::new();
        }
        if self.left == 0 {
            self.dropped += 1;
            return false;
        }
        self.left -= 1;
        true
    }
}
