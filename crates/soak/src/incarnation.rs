//! One incarnation of a minion: its clock, its lease, what runs and what has ended.
//!
//! Nothing here outlives the incarnation. A run ends when its time or its lease has passed, however
//! late that is noticed, so that a busy machine makes no run longer.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use jobs::{RunNumber, TaskName};
use serde::Deserialize;
use serde_json::{Value, json};
use state::{Millicores, Millis, MinionId};

use crate::run_log::{RunEnd, RunIndex, RunLog, RunRecord};

/// Ends that an answer to a hold lists at most.
const MAX_LISTED_ENDS: usize = 500;
/// Processor capacity of a minion.
pub(crate) const CAPACITY_CPU: Millicores = Millicores(16_000);

/// Body of an order; an absent field does not belong to the kind of the order.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub(crate) struct MinionOrder {
    task: Box<str>,
    run: RunNumber,
    spec: Box<str>,
    until_ms: Option<u64>,
    fencing_token: u64,
    observed: u64,
    pub(crate) wait_ms: u64,
}

/// What a run does, as the payload of its job says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct TaskWork {
    /// Run time of the task.
    pub(crate) duration: Duration,
    /// Processor demand of the task.
    pub(crate) cpu: Millicores,
}

impl TaskWork {
    /// Returns the payload of a job whose tasks do this work.
    pub(crate) fn payload(self) -> Box<str> {
        format!("{} {}", self.duration.as_millis(), self.cpu.0).into()
    }

    fn parse(payload: &str) -> Option<Self> {
        let (duration, cpu) = payload.split_once(' ')?;
        let duration = Duration::from_millis(duration.parse().ok()?);
        Some(Self { duration, cpu: Millicores(cpu.parse().ok()?) })
    }
}

/// Result of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OrderResult {
    /// The order is carried out.
    Accepted,
    /// The order is refused for the reason.
    Refused(&'static str),
    /// The order cannot be read.
    Malformed,
}

/// Clock of an incarnation, which may run more slowly than the time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MinionClock {
    pub(crate) began: Instant,
    /// Reading at the beginning.
    pub(crate) first_reading: Millis,
    /// Length of a second of the time on this clock, in seconds.
    pub(crate) rate: f64,
}

impl MinionClock {
    fn read(&self, now: Instant) -> u64 {
        let elapsed = now.saturating_duration_since(self.began).mul_f64(self.rate);
        self.first_reading.0 + elapsed.as_millis() as u64
    }

    fn instant_of(&self, reading: u64) -> Instant {
        let elapsed = Duration::from_millis(reading.saturating_sub(self.first_reading.0));
        self.began + elapsed.div_f64(self.rate)
    }
}

struct RunningTask {
    task: TaskName,
    run: RunNumber,
    work: TaskWork,
    began: Instant,
    log_index: RunIndex,
}

impl RunningTask {
    fn ends_at(&self) -> Instant {
        self.began + self.work.duration
    }
}

struct EndedRun {
    number: u64,
    task: TaskName,
    run: RunNumber,
    end: RunEnd,
    log_index: RunIndex,
}

/// One incarnation of a minion.
pub(crate) struct MinionIncarnation {
    minion: MinionId,
    /// Number of the incarnation, counted from 1.
    pub(crate) number: u32,
    /// Unix time of the beginning.
    pub(crate) born: Millis,
    clock: MinionClock,
    hold_max: Millis,
    fencing_token: u64,
    /// End of the lease on the minion's clock; `None` after it has lapsed.
    lease_end: Option<u64>,
    running: Vec<RunningTask>,
    ended: VecDeque<EndedRun>,
    last_end: u64,
    observed: u64,
    /// Highest run of each task that was stopped or has ended.
    highest_runs: BTreeMap<TaskName, RunNumber>,
    log: Arc<RunLog>,
}

impl MinionIncarnation {
    /// Begins an incarnation that knows nothing of earlier ones.
    pub(crate) fn new(
        minion: MinionId,
        number: u32,
        clock: MinionClock,
        hold_max: Millis,
        log: Arc<RunLog>,
    ) -> Self {
        let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            minion,
            number,
            born: Millis(since_1970.as_millis() as u64),
            clock,
            hold_max,
            fencing_token: 0,
            lease_end: None,
            running: Vec::new(),
            ended: VecDeque::new(),
            last_end: 0,
            observed: 0,
            highest_runs: BTreeMap::new(),
            log,
        }
    }

    /// Ends the incarnation with everything that runs.
    pub(crate) fn crash(&mut self, now: Instant) {
        self.advance(now);
        for running in self.running.drain(..) {
            self.log.end(running.log_index, RunEnd::Crashed, now);
        }
    }

    /// Ends the runs whose time has come, and all that run when the lease lapses.
    pub(crate) fn advance(&mut self, now: Instant) {
        self.running.sort_by_key(RunningTask::ends_at);
        let lapse = self.lease_end.map(|end| self.clock.instant_of(end + 1));
        let lapse = lapse.filter(|lapse| *lapse <= now);
        let done_until = lapse.unwrap_or(now);
        let count = self.running.partition_point(|running| running.ends_at() <= done_until);
        for running in self.running.drain(..count).collect::<Vec<_>>() {
            let at = running.ends_at();
            self.end(running, RunEnd::Done, at);
        }
        if let Some(lapse) = lapse {
            self.lapse(lapse);
        }
    }

    fn lapse(&mut self, at: Instant) {
        self.lease_end = None;
        for ended in &self.ended {
            self.log.lapse_unobserved(ended.log_index);
        }
        for running in std::mem::take(&mut self.running) {
            self.end(running, RunEnd::Lapsed, at);
        }
    }

    fn end(&mut self, running: RunningTask, end: RunEnd, at: Instant) {
        let RunningTask { task, run, log_index, .. } = running;
        self.last_end += 1;
        self.log.end(log_index, end, at);
        self.reject_up_to(&task, run);
        if self.last_end <= self.observed {
            self.log.observe(log_index, at);
            return;
        }
        self.ended.push_back(EndedRun { number: self.last_end, task, run, end, log_index });
    }

    /// Remembers that no run of `task` up to `run` may start any more.
    fn reject_up_to(&mut self, task: &TaskName, run: RunNumber) {
        let highest = self.highest_runs.entry(task.clone()).or_default();
        *highest = run.max(*highest);
    }

    /// Carries out the order with the given path.
    pub(crate) fn carry_out(
        &mut self,
        path: &str,
        order: &MinionOrder,
        now: Instant,
    ) -> OrderResult {
        self.advance(now);
        if order.fencing_token < self.fencing_token {
            return OrderResult::Refused("fence");
        }
        self.fencing_token = order.fencing_token;
        match path {
            "/api/run-start" => self.start(order, now),
            "/api/run-stop" => self.stop(order, now),
            "/api/hold" => {
                self.extend_lease(order, now);
                self.observe(order.observed, now);
                OrderResult::Accepted
            }
            "/api/pace" => OrderResult::Accepted,
            _ => OrderResult::Malformed,
        }
    }

    fn start(&mut self, order: &MinionOrder, now: Instant) -> OrderResult {
        let (Ok(task), Some(work)) = (order.task.parse(), TaskWork::parse(&order.spec)) else {
            return OrderResult::Malformed;
        };
        let run = order.run;
        let is_present = |running: &RunningTask| running.task == task && running.run == run;
        let is_repeated = self.running.iter().any(is_present);
        if !is_repeated && order.until_ms.is_some_and(|end| self.clock.read(now) > end) {
            return OrderResult::Refused("late");
        }
        // A start that is refused as old or for want of room extends the lease too.
        self.extend_lease(order, now);
        if is_repeated {
            return OrderResult::Accepted;
        }
        if self.highest_runs.get(&task).is_some_and(|highest| run <= *highest) {
            return OrderResult::Refused("old");
        }
        let used: u64 = self.running.iter().map(|running| running.work.cpu.0).sum();
        if used + work.cpu.0 > CAPACITY_CPU.0 {
            return OrderResult::Refused("room");
        }
        let log_index = self.log.add(RunRecord {
            task: task.clone(),
            run,
            minion: self.minion.clone(),
            incarnation: self.number,
            began: self.log.time_of(now),
            ended: None,
            end: RunEnd::Running,
            observed: None,
            lapsed_unobserved: false,
        });
        self.running.push(RunningTask { task, run, work, began: now, log_index });
        OrderResult::Accepted
    }

    fn stop(&mut self, order: &MinionOrder, now: Instant) -> OrderResult {
        let Ok(task) = order.task.parse::<TaskName>() else { return OrderResult::Malformed };
        let is_it = |running: &RunningTask| running.task == task && running.run == order.run;
        match self.running.iter().position(is_it) {
            Some(index) => {
                let running = self.running.remove(index);
                self.end(running, RunEnd::Stopped, now);
            }
            None => self.reject_up_to(&task, order.run),
        }
        OrderResult::Accepted
    }

    /// Extends the lease to the end that `order` names, as far as a lease may reach.
    fn extend_lease(&mut self, order: &MinionOrder, now: Instant) {
        let Some(end) = order.until_ms else { return };
        let reading = self.clock.read(now);
        let end = end.min(reading + self.hold_max.0);
        if end >= reading {
            self.lease_end = Some(self.lease_end.map_or(end, |known| known.max(end)));
        }
    }

    /// Forgets the ends up to the number `observed`, those that come later included.
    fn observe(&mut self, observed: u64, now: Instant) {
        self.observed = self.observed.max(observed);
        while self.ended.front().is_some_and(|ended| ended.number <= self.observed) {
            let ended = self.ended.pop_front().expect("the front was found");
            self.log.observe(ended.log_index, now);
        }
    }

    /// Returns whether nothing runs and no end waits to be observed.
    pub(crate) fn is_idle(&self) -> bool {
        self.running.is_empty() && !self.has_ends()
    }

    /// Returns whether an end waits to be observed.
    pub(crate) fn has_ends(&self) -> bool {
        !self.ended.is_empty()
    }

    /// Returns the status and the body of the answer to any order but a hold.
    pub(crate) fn answer(&self, result: OrderResult, now: Instant) -> (u16, Value) {
        let reading = self.clock.read(now);
        match result {
            OrderResult::Accepted => (200, json!({ "ClockMs": reading })),
            OrderResult::Refused(reason) => (409, json!({ "ClockMs": reading, "Reason": reason })),
            OrderResult::Malformed => (400, json!({ "ClockMs": reading })),
        }
    }

    /// Returns the body of the answer to a hold.
    pub(crate) fn list_runs(&self, now: Instant) -> Value {
        let running: Vec<Value> =
            self.running.iter().map(|running| list_row(running, now)).collect();
        let ended = self.ended.iter().take(MAX_LISTED_ENDS);
        let ended = ended.map(|ended| {
            json!([ended.number, ended.task.to_string(), ended.run, ended.end.to_string(), ""])
        });
        let ended: Vec<Value> = ended.collect();
        let reading = self.clock.read(now);
        json!({ "ClockMs": reading, "born": self.born, "Running": running, "Ended": ended })
    }
}

fn list_row(running: &RunningTask, now: Instant) -> Value {
    let elapsed = now.saturating_duration_since(running.began).as_millis();
    let percent = elapsed * 100 / running.work.duration.as_millis().max(1);
    let percent = percent.min(99) as u64;
    json!([running.task.to_string(), running.run, "", percent, running.work.cpu])
}
