//! Result of a soak, for people and for tests.

use std::fmt;
use std::fs;
use std::path::Path;

use eyre::WrapErr;

use crate::run_log::{DoubledRun, RunEnd, RunLog, find_doubled_runs};

/// What the minions saw in a soak.
#[derive(Debug, Clone)]
pub struct SoakReport {
    /// Runs that break the rule TWICE.
    pub doubled_runs: Vec<DoubledRun>,
    /// Number of runs.
    pub runs: usize,
    /// Number of runs that ended `done`.
    pub done_runs: usize,
    /// Whether everything that ran had ended, and every end was observed, when the soak ended.
    pub has_settled: bool,
    lines: Vec<Box<str>>,
}

impl SoakReport {
    /// Checks the runs of `log`.
    pub(crate) fn new(log: &RunLog, has_settled: bool) -> Self {
        let runs = log.runs();
        Self {
            doubled_runs: find_doubled_runs(&runs),
            done_runs: runs.iter().filter(|run| run.end == RunEnd::Done).count(),
            runs: runs.len(),
            has_settled,
            lines: log.lines(),
        }
    }

    /// Writes the log of faults and runs to a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written.
    pub fn write_log(&self, path: &Path) -> eyre::Result<()> {
        fs::write(path, self.lines.join("\n")).wrap_err("cannot write the log of the runs")
    }
}

impl fmt::Display for SoakReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for doubled in &self.doubled_runs {
            writeln!(f, "{doubled}")?;
        }
        let (runs, done, doubled) = (self.runs, self.done_runs, self.doubled_runs.len());
        write!(f, "{runs} runs, {done} done, {doubled} doubled")?;
        if self.has_settled { Ok(()) } else { f.write_str("; runs or ends were left") }
    }
}
