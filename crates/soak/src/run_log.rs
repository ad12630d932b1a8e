//! Log of all runs as the minions saw them, and the check that no task runs twice.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use jobs::{RunNumber, TaskName};
use state::MinionId;

/// How a run ended, in the words of the wire, or that it has not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// The run still executes.
    Running,
    /// The task is done.
    Done,
    /// The owner stopped the run.
    Stopped,
    /// The minion's lease lapsed.
    Lapsed,
    /// The incarnation of the minion ended.
    Crashed,
}

impl fmt::Display for RunEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Running => "running",
            Self::Done => "done",
            Self::Stopped => "stopped",
            Self::Lapsed => "lapsed",
            Self::Crashed => "crashed",
        })
    }
}

/// One run of a task, with times since the beginning of the log.
#[derive(Debug, Clone)]
pub struct RunRecord {
    /// Task that ran.
    pub task: TaskName,
    /// Number of the run.
    pub run: RunNumber,
    /// Minion that executed the run.
    pub minion: MinionId,
    /// Incarnation of the minion, counted from 1.
    pub incarnation: u32,
    /// When the run began.
    pub began: Duration,
    /// When the run ended.
    pub ended: Option<Duration>,
    /// How the run ended.
    pub end: RunEnd,
    /// When `Observed` had reached the number of the end, or the end came if that was later.
    pub observed: Option<Duration>,
    /// Whether the minion's lease lapsed after the end and before it was observed.
    pub lapsed_unobserved: bool,
}

impl RunRecord {
    /// Returns whether a task whose run this is may have another run from `began` on.
    fn forbids_start_at(&self, began: Duration) -> bool {
        let is_over = self.ended.is_some_and(|ended| ended <= began);
        let is_done = self.end == RunEnd::Done && self.observed.is_some();
        !is_over || (is_done && !self.lapsed_unobserved)
    }
}

impl fmt::Display for RunRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (minion, incarnation) = (&self.minion, self.incarnation);
        let (began, end) = (self.began.as_secs_f64(), self.end);
        write!(f, "run {} on {minion} (incarnation {incarnation}) from {began:.3} s", self.run)?;
        match self.ended {
            Some(ended) => write!(f, " to {:.3} s, {end}", ended.as_secs_f64())?,
            None => write!(f, ", {end}")?,
        }
        match self.observed {
            Some(observed) => write!(f, ", observed {:.3} s", observed.as_secs_f64()),
            None => Ok(()),
        }
    }
}

/// Two runs of one task of which the later one must not have started.
#[derive(Debug, Clone)]
pub struct DoubledRun {
    /// Run that began first.
    pub earlier: RunRecord,
    /// Run that began while the earlier one executed, or after it was done.
    pub later: RunRecord,
}

impl fmt::Display for DoubledRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let RunRecord { ended, observed, .. } = self.earlier;
        let kind = match ended {
            Some(ended) if ended > self.later.began => "two runs at once",
            None => "two runs at once",
            // `Observed` had reached the end's number before the end came, so no hold listed it.
            Some(_) if observed == ended => "started after done, never listed",
            Some(_) => "started after done",
        };
        write!(f, "{kind}: {}: {}; {}", self.earlier.task, self.earlier, self.later)
    }
}

/// Position of a run in a [`RunLog`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RunIndex(usize);

/// Log of runs, and of the faults that a script has injected.
#[derive(Debug)]
pub struct RunLog {
    began: Instant,
    runs: Mutex<Vec<RunRecord>>,
    events: Mutex<Vec<(Duration, Box<str>)>>,
}

impl Default for RunLog {
    fn default() -> Self {
        Self { began: Instant::now(), runs: Mutex::default(), events: Mutex::default() }
    }
}

impl RunLog {
    fn lock_runs(&self) -> MutexGuard<'_, Vec<RunRecord>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time since the beginning of the log.
    pub(crate) fn time_of(&self, at: Instant) -> Duration {
        at.saturating_duration_since(self.began)
    }

    /// Adds a run.
    pub(crate) fn add(&self, record: RunRecord) -> RunIndex {
        let mut runs = self.lock_runs();
        runs.push(record);
        RunIndex(runs.len() - 1)
    }

    /// Records the end of a run.
    pub(crate) fn end(&self, index: RunIndex, end: RunEnd, at: Instant) {
        let run = &mut self.lock_runs()[index.0];
        (run.ended, run.end) = (Some(self.time_of(at)), end);
    }

    /// Records that `Observed` has reached the end of a run.
    pub(crate) fn observe(&self, index: RunIndex, at: Instant) {
        self.lock_runs()[index.0].observed = Some(self.time_of(at));
    }

    /// Records that the lease lapsed while the end of a run was not observed.
    pub(crate) fn lapse_unobserved(&self, index: RunIndex) {
        self.lock_runs()[index.0].lapsed_unobserved = true;
    }

    /// Adds a line about a fault that was injected.
    pub(crate) fn note(&self, text: impl Into<Box<str>>) {
        let at = self.time_of(Instant::now());
        let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        events.push((at, text.into()));
    }

    /// Returns all runs in the order in which they began.
    pub fn runs(&self) -> Vec<RunRecord> {
        let mut runs = self.lock_runs().clone();
        runs.sort_by_key(|run| run.began);
        runs
    }

    /// Returns the lines of the log, faults and runs, in the order of their times.
    pub fn lines(&self) -> Vec<Box<str>> {
        let events = self.events.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let mut lines = events;
        for run in self.runs() {
            lines.push((run.began, format!("{}: {run}", run.task).into()));
        }
        lines.sort_by_key(|(at, _)| *at);
        let lines = lines.into_iter();
        lines.map(|(at, line)| format!("{:.3} {line}", at.as_secs_f64()).into()).collect()
    }
}

/// Finds the runs that break the rule TWICE: two runs of a task at the same time, or a start after
/// a run has ended `done`, if that end is observed then or later and no lease lapsed in between.
pub fn find_doubled_runs(runs: &[RunRecord]) -> Vec<DoubledRun> {
    let mut by_task: BTreeMap<&TaskName, Vec<&RunRecord>> = BTreeMap::new();
    for run in runs {
        by_task.entry(&run.task).or_default().push(run);
    }
    let mut doubled = Vec::new();
    for runs in by_task.values_mut() {
        runs.sort_by_key(|run| run.began);
        for (index, later) in runs.iter().enumerate() {
            let earlier = runs[..index].iter().filter(|run| run.forbids_start_at(later.began));
            doubled.extend(earlier.map(|earlier| DoubledRun {
                earlier: (*earlier).clone(),
                later: (*later).clone(),
            }));
        }
    }
    doubled
}
