//! Queue of log lines between all threads and the one that writes them.
//!
//! A write to standard output or standard error waits for as long as nobody reads the other end of
//! the pipe. Only the thread of this queue makes such writes: every other thread leaves its line in
//! the queue, and drops and counts the line if the queue is full. Lines that cannot be written,
//! because the reader has closed the pipe, are lost (`docs/OPERATIONS.md`, "Logs").

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, bounded};
use prometheus_client::metrics::counter::Counter;

/// Maximum number of lines that wait to be written.
const QUEUE_CAPACITY: usize = 1_024;
/// Length above which a line is dropped, so that the queue takes a bounded amount of memory.
const MAX_LINE_BYTES: usize = 8 << 10;
/// Length from which the lines of one write are not joined by more.
const MAX_BATCH_BYTES: usize = 16 << 10;
/// Interval at which [`LogQueue::wait_until_written`] looks whether lines are left.
const WRITTEN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Sender of log lines, which never waits for their reader.
#[derive(Debug, Clone)]
pub struct LogQueue {
    lines: Sender<Box<[u8]>>,
    /// Number of lines that are queued or being written.
    pending: Arc<AtomicUsize>,
    /// Lines dropped because the queue was full or the line was too long.
    dropped: Counter,
}

impl LogQueue {
    /// Starts the thread that writes the lines to `output`.
    ///
    /// # Errors
    ///
    /// Returns the reason why the thread cannot be started.
    pub fn start(output: impl Write + Send + 'static) -> io::Result<Self> {
        let (lines, receiver) = bounded(QUEUE_CAPACITY);
        let queue = Self { lines, pending: Arc::default(), dropped: Counter::default() };
        let writer = LineWriter {
            output,
            pending: Arc::clone(&queue.pending),
            dropped: queue.dropped.clone(),
            reported: 0,
        };
        std::thread::Builder::new()
            .name("log-writer".into())
            .spawn(move || writer.write_lines(receiver))?;
        Ok(queue)
    }

    /// Returns the number of lines that were dropped.
    pub fn dropped(&self) -> &Counter {
        &self.dropped
    }

    /// Makes panics write their message to the log: the standard hook would wait for the reader of
    /// standard error.
    pub fn redirect_panics() {
        std::panic::set_hook(Box::new(|panic| {
            let thread = std::thread::current();
            let name = thread.name().unwrap_or("-");
            tracing::error!(thread = name, "{panic}");
        }));
    }

    /// Waits until all lines are written, for `timeout` at most.
    pub fn wait_until_written(&self, timeout: Duration) {
        let end = Instant::now() + timeout;
        while self.pending.load(Ordering::Acquire) > 0 && Instant::now() < end {
            std::thread::sleep(WRITTEN_POLL_INTERVAL);
        }
    }
}

impl Write for LogQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.pending.fetch_add(1, Ordering::AcqRel);
        if line.len() > MAX_LINE_BYTES || self.lines.try_send(line.into()).is_err() {
            self.pending.fetch_sub(1, Ordering::AcqRel);
            self.dropped.inc();
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The thread's end of the queue.
struct LineWriter<W> {
    output: W,
    pending: Arc<AtomicUsize>,
    dropped: Counter,
    /// Number of dropped lines that the log tells of.
    reported: u64,
}

impl<W: Write> LineWriter<W> {
    fn write_lines(mut self, lines: Receiver<Box<[u8]>>) {
        while let Ok(first) = lines.recv() {
            let mut batch = first.into_vec();
            let mut count = 1;
            while batch.len() < MAX_BATCH_BYTES
                && let Ok(line) = lines.try_recv()
            {
                batch.extend_from_slice(&line);
                count += 1;
            }
            // Nobody can be told of a write that fails.
            let _ = self.output.write_all(&batch).and_then(|()| self.output.flush());
            self.pending.fetch_sub(count, Ordering::AcqRel);
            self.report_dropped();
        }
    }

    /// Says in the log how many lines were dropped while the reader did not read.
    fn report_dropped(&mut self) {
        let dropped = self.dropped.get();
        if dropped > self.reported {
            let count = dropped - self.reported;
            self.reported = dropped;
            tracing::warn!(dropped = count, "log lines were dropped: the queue was full");
        }
    }
}
