//! A minion in memory: leases on its own slow clock, fences, lists of ends.

use std::collections::BTreeMap;

use fleet::io::{EndKind, EndedRow, MinionAnswer, MinionCall, OrderRefusal, RunningRow};
use fleet::model::MinionReport;
use jobs::{Resources, RunNumber, StepSpec, TaskName};

/// What takes a run from its start to its end.
#[derive(Debug, Clone)]
pub struct FakeRun {
    pub number: RunNumber,
    pub takes: Resources,
    pub ends_at: Option<u64>,
    pub fails: bool,
    pub began: u64,
    stopping: Option<u64>,
}

/// A minion; it may be down, and come back as a new life.
#[derive(Debug)]
pub struct FakeMinion {
    pub report: MinionReport,
    pub is_up: bool,
    /// No message reaches it or leaves it.
    pub is_cut: bool,
    /// Until then the newest report in the store is the one before.
    pub runs: BTreeMap<TaskName, FakeRun>,
    began: u64,
    /// Its clock goes at so many parts of a thousand.
    rate: u64,
    fence: u64,
    lease_until: u64,
    ended: Vec<EndedRow>,
    ends: u64,
    bars: BTreeMap<TaskName, RunNumber>,
    /// Largest number of an end that an owner has noted.
    pub noted: u64,
}

/// Something that happened on a minion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MinionFact {
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
    Noted {
        upto: u64,
    },
    /// The lease has lapsed: ends that are not noted never will be. Nothing tells an
    /// owner so if nothing ran.
    Lapsed {
        is_silent: bool,
    },
}

const STOP_MS: u64 = 300;
const LONGEST_HOLD: u64 = 10_000;

impl FakeMinion {
    pub fn new(report: MinionReport, now: u64, rate: u64) -> Self {
        Self {
            report,
            is_up: true,
            is_cut: false,
            runs: BTreeMap::new(),
            began: now,
            rate,
            fence: 0,
            lease_until: 0,
            ended: Vec::new(),
            ends: 0,
            bars: BTreeMap::new(),
            noted: 0,
        }
    }

    /// Ends this life; what ran is gone.
    pub fn crash(&mut self) -> Vec<TaskName> {
        self.is_up = false;
        std::mem::take(&mut self.runs).into_keys().collect()
    }

    /// Begins a new life.
    pub fn rise(&mut self, now: u64) {
        let mut report = self.report.clone();
        report.minion_incarnation = now + 1;
        report.is_draining = false;
        let (rate, is_cut) = (self.rate, self.is_cut);
        *self = Self::new(report, now, rate);
        self.is_cut = is_cut;
    }

    fn clock(&self, now: u64) -> u64 {
        (now - self.began) * self.rate / 1_000
    }

    fn used(&self) -> Resources {
        self.runs.values().fold(Resources::default(), |sum, run| sum.saturating_add(&run.takes))
    }

    /// Lets runs end whose time or lease is over.
    pub fn advance(&mut self, now: u64) -> Vec<MinionFact> {
        let mut facts = Vec::new();
        let clock = self.clock(now);
        let is_lapsed = clock > self.lease_until;
        let tasks: Vec<TaskName> = self.runs.keys().cloned().collect();
        for task in tasks {
            let run = &self.runs[&task];
            let kind = if is_lapsed {
                Some(EndKind::Lapsed)
            } else if run.ends_at.is_some_and(|at| now >= at) {
                Some(if run.fails { EndKind::Failed } else { EndKind::Done })
            } else if run.stopping.is_some_and(|at| now >= at) {
                Some(EndKind::Stopped)
            } else {
                None
            };
            if let Some(kind) = kind {
                facts.push(self.end(&task, kind));
            }
        }
        if is_lapsed && self.ends > self.noted {
            let is_silent = facts.is_empty();
            facts.push(MinionFact::Lapsed { is_silent });
        }
        facts
    }

    fn end(&mut self, task: &TaskName, kind: EndKind) -> MinionFact {
        let run = self.runs.remove(task).expect("it runs");
        self.ends += 1;
        self.bars.insert(task.clone(), run.number);
        let row = EndedRow {
            number: self.ends,
            task: task.clone(),
            run: run.number,
            kind,
            checkpoint: None,
        };
        self.ended.push(row);
        MinionFact::Ended { task: task.clone(), run: run.number, kind, number: self.ends }
    }

    /// Carries an order out; `step` is what the started task belongs to, and `work`
    /// how long it works and whether it fails.
    pub fn order(
        &mut self,
        now: u64,
        token: u64,
        order: &MinionCall,
        step: Option<&StepSpec>,
        work: (u64, bool),
    ) -> (MinionAnswer, Vec<MinionFact>) {
        let clock_ms = self.clock(now);
        if token < self.fence {
            return (MinionAnswer::Refused(OrderRefusal::Fenced), Vec::new());
        }
        self.fence = token;
        let mut facts = Vec::new();
        let ok = MinionAnswer::Ok { clock_ms };
        let answer = match order {
            MinionCall::Start { task, run, until_clock, .. } => {
                if clock_ms > *until_clock {
                    MinionAnswer::Refused(OrderRefusal::Late)
                } else {
                    self.lend(clock_ms, *until_clock);
                    self.start(now, task, *run, step, work, &mut facts)
                        .map_or(ok, MinionAnswer::Refused)
                }
            }
            MinionCall::Stop { task, run } => {
                let bar = self.bars.entry(task.clone()).or_default();
                *bar = (*bar).max(*run);
                if let Some(known) = self.runs.get_mut(task)
                    && known.number <= *run
                {
                    known.stopping.get_or_insert(now + STOP_MS);
                }
                ok
            }
            MinionCall::Hold { until_clock, saved_end: noted, .. } => {
                if let Some(until) = until_clock {
                    self.lend(clock_ms, *until);
                }
                if *noted > self.noted {
                    self.noted = *noted;
                    facts.push(MinionFact::Noted { upto: *noted });
                }
                self.ended.retain(|row| row.number > self.noted);
                self.lists(now, clock_ms)
            }
            MinionCall::Throttle { .. } => ok,
        };
        (answer, facts)
    }

    /// Whether a hold would have to wait.
    pub fn has_ends(&self) -> bool {
        !self.ended.is_empty()
    }

    fn lend(&mut self, clock: u64, until: u64) {
        self.lease_until = self.lease_until.max(until.min(clock + LONGEST_HOLD));
    }

    fn start(
        &mut self,
        now: u64,
        task: &TaskName,
        run: RunNumber,
        step: Option<&StepSpec>,
        (works, fails): (u64, bool),
        facts: &mut Vec<MinionFact>,
    ) -> Option<OrderRefusal> {
        if self.runs.get(task).is_some_and(|known| known.number == run) {
            return None;
        }
        if self.bars.get(task).is_some_and(|bar| run <= *bar) {
            return Some(OrderRefusal::Old);
        }
        let takes = step.map(|step| step.demand).unwrap_or_default();
        if !self.used().saturating_add(&takes).fits_within(&self.report.capacity) {
            return Some(OrderRefusal::Room);
        }
        let is_lasting = step.is_some_and(|step| step.long_running);
        let fake = FakeRun {
            number: run,
            takes,
            ends_at: (!is_lasting).then_some(now + works),
            fails,
            began: now,
            stopping: None,
        };
        self.runs.insert(task.clone(), fake);
        facts.push(MinionFact::Started { task: task.clone(), run });
        None
    }

    fn lists(&self, now: u64, clock_ms: u64) -> MinionAnswer {
        let running = self.runs.iter().map(|(task, run)| RunningRow {
            task: task.clone(),
            run: run.number,
            checkpoint: None,
            percent: if now > run.began + 700 { 100 } else { 0 },
            reported_metric: None,
        });
        MinionAnswer::Held {
            clock_ms,
            minion_incarnation: self.report.minion_incarnation,
            running: running.collect(),
            ended: self.ended.clone(),
        }
    }
}
