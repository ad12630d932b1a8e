//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant};

pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { start: Instant::now(), file: Mutex::new(File::create(path)?) })
    }

    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    /// Writes a line. `who` is the client, worker, operator or other stand-in that saw it.
    pub fn note(&self, who: &str, what: impl AsRef<str>) {
        let seconds = self.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("no thread panics with the file");
        let _ = writeln!(file, "{seconds:8.3} {who:<14} {}", what.as_ref());
    }
}
