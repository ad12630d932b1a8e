//! Fake minion in memory. The minion measures leases by its own slow clock, refuses orders
//! with an outdated fencing token, and lists its finished runs until an owner has saved them.

use std::collections::BTreeMap;

use fleet::io::{EndKind, EndedRow, MinionAnswer, MinionCall, OrderRefusal, RunningRow};
use fleet::model::MinionReport;
use jobs::{Resources, RunNumber, StepSpec, TaskName};

/// Run of a task on a fake minion.
#[derive(Debug, Clone)]
pub struct FakeRun {
    pub number: RunNumber,
    pub demand: Resources,
    /// Virtual time, in milliseconds, at which the run finishes; `None` for a long-running
    /// task.
    pub ends_at: Option<u64>,
    /// Whether the run fails when it finishes.
    pub fails: bool,
    pub started_ms: u64,
    /// Virtual time, in milliseconds, at which an ordered stop takes effect.
    stopping: Option<u64>,
}

/// Fake minion that can crash and restart with a new incarnation.
#[derive(Debug)]
pub struct FakeMinion {
    pub report: MinionReport,
    pub is_up: bool,
    /// No message reaches or leaves the minion.
    pub is_partitioned: bool,
    /// Messages reach the minion, and those that it sends are lost.
    pub loses_answers: bool,
    /// Maximum time by which an order extends the lease, by the minion's clock, in milliseconds; it
    /// outlasts an incarnation.
    pub max_lease_ms: u64,
    pub runs: BTreeMap<TaskName, FakeRun>,
    /// Virtual time at which the incarnation started; the minion's clock is 0 then.
    started_ms: u64,
    /// Speed of the minion's clock, in thousandths of the speed of virtual time.
    clock_permille: u64,
    /// Highest fencing token of an order so far.
    highest_token: u64,
    /// End of the lease by the minion's clock, in milliseconds.
    lease_end_clock: u64,
    /// Finished runs that no owner has saved yet.
    ended: Vec<EndedRow>,
    /// Number of runs that have finished, which is the number of the last of them.
    finished_count: u64,
    /// Highest run of each task that has finished or was ordered to stop; the minion
    /// refuses to start a run up to that number.
    closed_runs: BTreeMap<TaskName, RunNumber>,
    /// Highest number of a finished run that an owner has saved.
    pub saved_end: u64,
    /// Time from the order to stop a run until the run has stopped, in milliseconds.
    pub stop_duration_ms: u64,
    /// Factor by which runs take longer than on other minions; it outlasts an incarnation.
    pub slowdown: u64,
    /// Every run fails a short time after its start; it outlasts an incarnation.
    pub fails_all: bool,
}

/// Event on a minion, for the rule checker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MinionEvent {
    Started {
        task: TaskName,
        run: RunNumber,
    },
    Ended {
        task: TaskName,
        run: RunNumber,
        kind: EndKind,
        number: u64,
    },
    /// An owner has saved the finished runs up to a number.
    Saved {
        up_to: u64,
    },
    /// The lease has lapsed, so finished runs that no owner has saved yet are never saved.
    /// The lapse is unreported if no run was live, since then no run ends as lapsed and no
    /// owner learns of the lapse.
    Lapsed {
        is_unreported: bool,
    },
}

/// Time from the order to stop a run until the run has stopped, unless a test sets another.
const STOP_DURATION_MS: u64 = 300;
/// Maximum number of finished runs in one answer.
const MAX_LISTED_ENDS: usize = 500;
/// Time from the start of a run until its task is at work.
const STARTUP_MS: u64 = 700;

impl FakeMinion {
    pub fn new(report: MinionReport, now: u64, clock_permille: u64, max_lease_ms: u64) -> Self {
        Self {
            report,
            is_up: true,
            is_partitioned: false,
            loses_answers: false,
            max_lease_ms,
            runs: BTreeMap::new(),
            started_ms: now,
            clock_permille,
            highest_token: 0,
            lease_end_clock: 0,
            ended: Vec::new(),
            finished_count: 0,
            closed_runs: BTreeMap::new(),
            saved_end: 0,
            stop_duration_ms: STOP_DURATION_MS,
            slowdown: 1,
            fails_all: false,
        }
    }

    /// Whether a run of the task is at work and was not told to stop.
    pub fn serves(&self, task: &TaskName, now: u64) -> bool {
        let run = self.runs.get(task);
        run.is_some_and(|run| run.stopping.is_none() && now > run.started_ms + STARTUP_MS)
    }

    /// Ends the incarnation, and returns the tasks whose runs are lost.
    pub fn crash(&mut self) -> Vec<TaskName> {
        self.is_up = false;
        std::mem::take(&mut self.runs).into_keys().collect()
    }

    /// Starts a new incarnation with the same clock speed and links.
    pub fn restart(&mut self, now: u64) {
        let mut report = self.report.clone();
        report.minion_incarnation = now + 1;
        report.is_draining = false;
        *self = Self {
            is_partitioned: self.is_partitioned,
            loses_answers: self.loses_answers,
            slowdown: self.slowdown,
            fails_all: self.fails_all,
            ..Self::new(report, now, self.clock_permille, self.max_lease_ms)
        };
    }

    /// Returns the time since the start of the incarnation by the minion's clock, in
    /// milliseconds.
    fn read_clock(&self, now: u64) -> u64 {
        (now - self.started_ms) * self.clock_permille / 1_000
    }

    fn used_resources(&self) -> Resources {
        self.runs.values().fold(Resources::default(), |sum, run| sum.saturating_add(&run.demand))
    }

    /// Finishes the runs whose duration, stop or lease is over by `now`.
    pub fn advance(&mut self, now: u64) -> Vec<MinionEvent> {
        let mut minion_events = Vec::new();
        let clock = self.read_clock(now);
        let has_lease_lapsed = clock > self.lease_end_clock;
        let tasks: Vec<TaskName> = self.runs.keys().cloned().collect();
        for task in tasks {
            let run = &self.runs[&task];
            let kind = if has_lease_lapsed {
                Some(EndKind::Lapsed)
            } else if run.ends_at.is_some_and(|at| now >= at) {
                Some(if run.fails { EndKind::Failed } else { EndKind::Done })
            } else if run.stopping.is_some_and(|at| now >= at) {
                Some(EndKind::Stopped)
            } else {
                None
            };
            if let Some(kind) = kind {
                minion_events.push(self.finish_run(&task, kind));
            }
        }
        // An end up to the number that an owner has saved is forgotten, also if that owner meant the
        // ends of an earlier incarnation.
        let has_forgotten = self.ended.iter().any(|row| row.number <= self.saved_end);
        if has_forgotten {
            self.ended.retain(|row| row.number > self.saved_end);
            minion_events.push(MinionEvent::Saved { up_to: self.saved_end });
        }
        if has_lease_lapsed && self.finished_count > self.saved_end {
            let is_unreported = minion_events.is_empty();
            minion_events.push(MinionEvent::Lapsed { is_unreported });
        }
        minion_events
    }

    fn finish_run(&mut self, task: &TaskName, kind: EndKind) -> MinionEvent {
        let run = self.runs.remove(task).expect("the task has a live run");
        self.finished_count += 1;
        self.closed_runs.insert(task.clone(), run.number);
        let row = EndedRow {
            number: self.finished_count,
            task: task.clone(),
            run: run.number,
            kind,
            checkpoint: None,
        };
        self.ended.push(row);
        MinionEvent::Ended {
            task: task.clone(),
            run: run.number,
            kind,
            number: self.finished_count,
        }
    }

    /// Carries out an order. For the start of a task, `step` is the step that holds the
    /// task, and `work` is the duration of the run in milliseconds and whether it fails.
    pub fn execute_order(
        &mut self,
        now: u64,
        fencing_token: u64,
        order: &MinionCall,
        step: Option<&StepSpec>,
        work: (u64, bool),
    ) -> (MinionAnswer, Vec<MinionEvent>) {
        let clock_ms = self.read_clock(now);
        if fencing_token < self.highest_token {
            return (MinionAnswer::Refused(OrderRefusal::Fenced), Vec::new());
        }
        self.highest_token = fencing_token;
        let mut minion_events = Vec::new();
        let ok = MinionAnswer::Ok { clock_ms };
        let answer = match order {
            MinionCall::Start { task, run, until_clock, .. } => {
                if clock_ms > *until_clock {
                    MinionAnswer::Refused(OrderRefusal::Late)
                } else {
                    self.extend_lease(clock_ms, *until_clock);
                    self.start(now, task, *run, step, work, &mut minion_events)
                        .map_or(ok, MinionAnswer::Refused)
                }
            }
            MinionCall::Stop { task, run } => {
                let closed_run = self.closed_runs.entry(task.clone()).or_default();
                *closed_run = (*closed_run).max(*run);
                if let Some(live_run) = self.runs.get_mut(task)
                    && live_run.number <= *run
                {
                    live_run.stopping.get_or_insert(now + self.stop_duration_ms);
                }
                ok
            }
            MinionCall::Hold { until_clock, saved_end, .. } => {
                if let Some(until) = until_clock {
                    self.extend_lease(clock_ms, *until);
                }
                if *saved_end > self.saved_end {
                    self.saved_end = *saved_end;
                    minion_events.push(MinionEvent::Saved { up_to: *saved_end });
                }
                self.ended.retain(|row| row.number > self.saved_end);
                self.list_runs(now, clock_ms)
            }
            MinionCall::Throttle { .. } => ok,
        };
        (answer, minion_events)
    }

    /// Returns the number of the last finished run of this incarnation.
    pub fn finished_count(&self) -> u64 {
        self.finished_count
    }

    /// Whether the minion lists finished runs, so that a hold is answered at once.
    pub fn has_finished_runs(&self) -> bool {
        !self.ended.is_empty()
    }

    fn extend_lease(&mut self, clock: u64, until: u64) {
        self.lease_end_clock = self.lease_end_clock.max(until.min(clock + self.max_lease_ms));
    }

    /// Starts a run, and returns the reason if the minion refuses it. A run that is live
    /// already is accepted again.
    fn start(
        &mut self,
        now: u64,
        task: &TaskName,
        run: RunNumber,
        step: Option<&StepSpec>,
        (run_ms, fails): (u64, bool),
        minion_events: &mut Vec<MinionEvent>,
    ) -> Option<OrderRefusal> {
        if self.runs.get(task).is_some_and(|live_run| live_run.number == run) {
            return None;
        }
        if self.closed_runs.get(task).is_some_and(|closed_run| run <= *closed_run) {
            return Some(OrderRefusal::Old);
        }
        let demand = step.map(|step| step.demand).unwrap_or_default();
        if !self.used_resources().saturating_add(&demand).fits_within(&self.report.capacity) {
            return Some(OrderRefusal::Room);
        }
        let is_long_running = step.is_some_and(|step| step.long_running);
        let fake_run = FakeRun {
            number: run,
            demand,
            ends_at: (!is_long_running).then_some(now + run_ms),
            fails,
            started_ms: now,
            stopping: None,
        };
        self.runs.insert(task.clone(), fake_run);
        minion_events.push(MinionEvent::Started { task: task.clone(), run });
        None
    }

    /// Returns the answer to a hold: the live runs, and the finished runs that are not saved.
    fn list_runs(&self, now: u64, clock_ms: u64) -> MinionAnswer {
        let running = self.runs.iter().map(|(task, run)| RunningRow {
            task: task.clone(),
            run: run.number,
            checkpoint: None,
            percent: if now > run.started_ms + STARTUP_MS { 100 } else { 0 },
            reported_metric: None,
        });
        MinionAnswer::Held {
            clock_ms,
            minion_incarnation: self.report.minion_incarnation,
            running: running.collect(),
            ended: self.ended.iter().take(MAX_LISTED_ENDS).cloned().collect(),
            has_more_ends: self.ended.len() >= MAX_LISTED_ENDS,
        }
    }
}
