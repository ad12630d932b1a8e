//! Writes decisions to standard output as JSON lines, at a limited rate.
//!
//! The log thread receives the decisions over a bounded channel, formats at most
//! [`MAX_LINES_PER_SECOND`] lines per second and reports how many lines it dropped. All lines of the
//! daemon go to standard output through the [`LogQueue`].

use std::io;
use std::time::Duration;

use crossbeam::channel::{Sender, bounded};
use fleet::DecisionLine;

use crate::line_budget::LineBudget;
use crate::log_queue::LogQueue;

/// Maximum number of lines that wait for the log thread.
const CHANNEL_CAPACITY: usize = 2_048;
const MAX_LINES_PER_SECOND: u32 = 600;
/// Maximum length of a text that contains a client's bytes, such as the path of a request.
const MAX_CLIENT_TEXT_BYTES: usize = 256;
/// Time for the log thread to format the last lines before the process ends.
const FORMAT_DELAY: Duration = Duration::from_millis(30);
/// Time for the last lines to be written before the process ends.
const WRITE_TIMEOUT: Duration = Duration::from_millis(200);

/// Starts logging and returns the sender for decision lines, and the queue of all lines.
///
/// # Errors
///
/// Returns the reason why the thread cannot be started.
pub fn start() -> io::Result<(Sender<DecisionLine>, LogQueue)> {
    let queue = LogQueue::start(io::stdout())?;
    let writer = queue.clone();
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_writer(move || writer.clone())
        .init();
    LogQueue::redirect_panics();
    let (sender, receiver) = bounded::<DecisionLine>(CHANNEL_CAPACITY);
    std::thread::Builder::new().name("log".into()).spawn(move || {
        let mut budget = LineBudget::new(MAX_LINES_PER_SECOND);
        for line in receiver {
            if budget.try_take_line() {
                write_line(&line);
            }
        }
    })?;
    Ok((sender, queue))
}

/// Waits for the remaining lines to be written, for a limited time.
pub fn wait_for_flush(queue: &LogQueue) {
    std::thread::sleep(FORMAT_DELAY);
    queue.wait_until_written(WRITE_TIMEOUT);
}

/// Shortens the name of a request, which its client chooses.
pub fn shorten_id(line: DecisionLine) -> DecisionLine {
    DecisionLine { id: shorten_text(line.id), ..line }
}

/// Shortens a text that contains a client's bytes to [`MAX_CLIENT_TEXT_BYTES`].
pub fn shorten_text(text: Box<str>) -> Box<str> {
    if text.len() <= MAX_CLIENT_TEXT_BYTES {
        return text;
    }
    let mut ends = (0..=MAX_CLIENT_TEXT_BYTES).rev();
    let end = ends.find(|end| text.is_char_boundary(*end)).unwrap_or(0);
    text[..end].into()
}

fn write_line(line: &DecisionLine) {
    tracing::info!(
        decision = line.decision,
        id = &*line.id,
        inputs = &*line.inputs,
        outcome = &*line.outcome
    );
}
