//! Run times that the pool's runs have taken, and those expected of later ones.
//!
//! The owner measures its runs and passes few of each job to the table of run times
//! (`policy::RunTimeTable`). The expected run times of a job are computed when the job is ranked, if the
//! table has changed noticeably since. The table is kept in a record that only the pool's owners read,
//! and a new owner starts from it (`docs/design/run-times.md`).

use std::collections::BTreeMap;

use jobs::{RunNumber, StepSpec, TaskName};
use policy::{RunTimeRecord, RunTimeTable, ShapeKey};
use state::{JobId, Millis, MinionId, Moment, QueueId, Revision};

use super::job::OwnedJob;
use super::minion::RunPhase;
use super::{PoolCall, PoolOwner, StepContext};
use crate::event::Measurement;
use crate::io::{EndKind, ItemValue, PutValue, StoreAnswer, StoreCall, StoreCommit, StorePut};
use crate::key::{OwnKey, StoreKey};
use crate::records::{decode, encode};
use crate::timing::{MIN_RUN_TIMES_INTERVAL, READ_RETRY_DELAY};

/// Maximum number of samples from one job. All declared times of a job may share one error, so more of
/// its runs say nothing more about the queue.
const MAX_SAMPLES_PER_JOB: u8 = 4;
/// Time from a hold to its answer from which the hold has waited on the minion for the end of a run.
const MIN_HOLD_WAIT: Millis = Millis(50);
/// Maximum range of times in which a run may have ended, in percent of its longest possible run time.
const MAX_UNCERTAINTY_PERCENT: u64 = 50;
/// Maximum length of the stored record, in bytes.
const MAX_RECORD_BYTES: usize = 8_192;
/// Number of classes of the stored record, unless it would be too long.
const MAX_RECORD_ROWS: usize = 128;
/// Change of a queue's correction that is logged, in percent of the one that was logged last.
const LOGGED_CHANGE_PERCENT: u64 = 25;
/// Minimum interval between two log lines about a queue's correction.
const LINE_INTERVAL: Millis = Millis(10_000);

/// Progress of reading the record of an earlier owner.
#[derive(Debug, Default)]
enum ReadStage {
    /// The read has not been sent.
    #[default]
    Pending,
    /// The read has not been answered.
    InFlight,
    /// The read has failed and is sent again at this time.
    RetryAt(Moment),
    /// What an earlier owner wrote has been adopted, or there is nothing.
    Complete,
}

/// Measured run times of the pool, and the state of their record.
#[derive(Debug, Default)]
pub(super) struct RunTimeState {
    table: RunTimeTable,
    read_stage: ReadStage,
    /// Whether runs were measured that the record does not have.
    is_dirty: bool,
    is_write_in_flight: bool,
    /// Earliest time of the next write.
    next_write_at: Moment,
    /// Correction of each queue that was logged last, in percent, and the time of the line.
    logged: BTreeMap<QueueId, (u64, Moment)>,
}

/// Returns what the table distinguishes of a job's step.
fn shape_of<'a>(queue: &'a QueueId, step: &StepSpec) -> ShapeKey<'a> {
    ShapeKey { queue, processor: step.demand.processor, memory: step.demand.memory }
}

impl RunTimeState {
    /// Computes the expected run time of a task of each step.
    fn expected_run_times(&self, job: &OwnedJob, now: Moment) -> Box<[Millis]> {
        let expected =
            |step: &StepSpec| self.table.expected(&shape_of(&job.queue, step), step.estimate, now);
        job.spec.steps.iter().map(expected).collect()
    }

    /// Builds the record, no longer than [`MAX_RECORD_BYTES`].
    fn encode_record(&self, now: Moment, wall_ms: u64) -> Box<[u8]> {
        let mut rows = MAX_RECORD_ROWS;
        loop {
            let mut record = self.table.to_record(now, rows);
            record.written_ms = wall_ms;
            let bytes = encode(&record);
            if bytes.len() <= MAX_RECORD_BYTES || rows == 0 {
                return bytes;
            }
            rows /= 2;
        }
    }

    /// Returns the queue's correction if it is to be logged, in percent, with its number of samples.
    fn correction_to_log(&mut self, queue: &QueueId, now: Moment) -> Option<(u64, usize)> {
        let correction = self.table.correction(queue, now)?;
        let (logged_percent, next_line_at) = match self.logged.get(queue) {
            Some((percent, at)) => (*percent, *at + LINE_INTERVAL),
            None => (100, now),
        };
        let change = correction.percent.abs_diff(logged_percent);
        if now < next_line_at || change * 100 < logged_percent * LOGGED_CHANGE_PERCENT {
            return None;
        }
        self.logged.insert(queue.clone(), (correction.percent, now));
        Some((correction.percent, correction.samples))
    }
}

impl PoolOwner {
    /// Brings the expected run times of a job up to date.
    pub(super) fn update_expected_run_times(&mut self, now: Moment, job: &JobId) {
        let version = self.run_times.table.version();
        let Some(owned) = self.jobs.get(job) else { return };
        if owned.run_times_version != version {
            let run_times = self.run_times.expected_run_times(owned, now);
            self.jobs.set_expected_run_times(job, run_times, version);
        }
    }

    /// Measures a run that has ended `done`, before it is released.
    pub(super) fn measure_run(
        &mut self,
        context: &mut StepContext,
        id: &MinionId,
        task: &TaskName,
        number: RunNumber,
        kind: EndKind,
    ) {
        let now = context.clock.now;
        let Some(measured) = self.measured_time(id, task, number, now) else { return };
        let Some(job) = self.jobs.get(&task.job) else { return };
        let Some(step) = job.spec.steps.get(usize::from(task.step)) else { return };
        if kind != EndKind::Done || step.long_running || !self.is_representative(id, step) {
            return;
        }
        let (declared, shape) = (step.estimate, shape_of(&job.queue, step));
        let expected = self.run_times.table.expected(&shape, declared, now);
        context.out.measure(Measurement::RunTime { declared, expected, measured });
        // The first runs of a step to end would be the shortest ones, so one task is chosen beforehand.
        if task.index != 0 || job.run_time_samples >= MAX_SAMPLES_PER_JOB {
            return;
        }
        self.run_times.table.record(&shape, declared, measured, now);
        self.run_times.is_dirty = true;
        let queue = job.queue.clone();
        self.jobs.count_run_time_sample(&task.job);
        if let Some((percent, samples)) = self.run_times.correction_to_log(&queue, now) {
            let inputs = format!("{samples} runs, pool {}", self.pool);
            let outcome = format!("runs take {percent}% of their declared time");
            context.out.log("run-times", &queue, inputs, outcome);
        }
    }

    /// Returns the time from a run's confirmed start to its end, if it shows the run time of the task. A
    /// hold that waited is answered as the run ends; of other ends only a range of times is known, which
    /// must be short.
    pub(super) fn measured_time(
        &self,
        id: &MinionId,
        task: &TaskName,
        number: RunNumber,
        now: Moment,
    ) -> Option<Millis> {
        let minion = self.minions.get(id)?;
        let run = minion.runs.get(&(task.clone(), number))?;
        let is_full_speed = run.processor_share == 100;
        if run.phase != RunPhase::Running || !run.is_measurable || !is_full_speed {
            return None;
        }
        let has_waited = now - minion.last_hold_at >= MIN_HOLD_WAIT;
        let earliest = if has_waited { now } else { run.last_running_at };
        let (shortest, longest) = (earliest - run.confirmed_at, now - run.confirmed_at);
        let uncertainty = longest.0 - shortest.0;
        (uncertainty * 100 <= longest.0 * MAX_UNCERTAINTY_PERCENT)
            .then_some(Millis((shortest.0 + longest.0) / 2))
    }

    /// Whether runs of a step take as long on a minion as on others: its VM is not held back, and the
    /// minion is near the step's data.
    fn is_representative(&self, id: &MinionId, step: &StepSpec) -> bool {
        self.minions.get(id).is_some_and(|minion| {
            let rack = step.data_rack.as_ref();
            !minion.is_held_back() && rack.is_none_or(|rack| minion.report.labels.contains(rack))
        })
    }

    /// Reads the run times that an earlier owner has measured.
    pub(super) fn read_run_times(&mut self, context: &mut StepContext) {
        if matches!(self.run_times.read_stage, ReadStage::InFlight | ReadStage::Complete) {
            return;
        }
        self.run_times.read_stage = ReadStage::InFlight;
        let request = StoreCall::Read(self.run_times_key());
        let purpose = self.purpose(PoolCall::ReadRunTimes);
        context.out.call_store(context.clock, purpose, request);
    }

    /// Adopts the run times that an earlier owner has measured. Jobs are placed without waiting for them.
    pub(super) fn on_run_times_read(&mut self, context: &mut StepContext, answer: StoreAnswer) {
        let now = context.clock.now;
        let items = match answer {
            StoreAnswer::Items { items, .. } => items,
            StoreAnswer::Absent => Vec::new(),
            _ => {
                self.run_times.read_stage = ReadStage::RetryAt(now + READ_RETRY_DELAY);
                return;
            }
        };
        self.run_times.read_stage = ReadStage::Complete;
        for item in items {
            let ItemValue::Own(bytes) = &item.value else { continue };
            match decode::<RunTimeRecord>(bytes) {
                Ok(record) => {
                    let elapsed = Millis(context.clock.wall_ms.saturating_sub(record.written_ms));
                    self.run_times.table.add_record(&record, elapsed, now);
                }
                Err(reason) => self.log_unreadable_record(context, &item.key, &reason),
            }
        }
    }

    /// Repeats a failed read of the record, and writes the record after changes.
    pub(super) fn keep_run_times(&mut self, context: &mut StepContext) {
        let now = context.clock.now;
        match self.run_times.read_stage {
            ReadStage::Complete => {}
            ReadStage::RetryAt(at) if now >= at => return self.read_run_times(context),
            _ => return,
        }
        let state = &self.run_times;
        let is_due = state.is_dirty && !state.is_write_in_flight && now >= state.next_write_at;
        if is_due && context.is_ownership_valid {
            self.write_run_times(context);
        }
    }

    /// Writes the record. A late write of this owner only brings older samples back.
    fn write_run_times(&mut self, context: &mut StepContext) {
        let now = context.clock.now;
        let value = PutValue::Own(self.run_times.encode_record(now, context.clock.wall_ms));
        let commit = StoreCommit {
            expect: vec![(self.owner_key(), self.fencing_token)],
            puts: vec![StorePut { key: self.run_times_key(), value, lease: None }],
            remove: Vec::new(),
        };
        self.run_times.is_dirty = false;
        self.run_times.is_write_in_flight = true;
        self.run_times.next_write_at = now + MIN_RUN_TIMES_INTERVAL;
        let purpose = self.purpose(PoolCall::WriteRunTimes);
        context.out.call_store(context.clock, purpose, StoreCall::Commit(commit));
    }

    /// Handles the answer to a write of the record.
    pub(super) fn on_run_times_written(&mut self, context: &mut StepContext, answer: StoreAnswer) {
        self.run_times.is_write_in_flight = false;
        if !matches!(answer, StoreAnswer::Committed(Revision(_))) {
            self.run_times.is_dirty = true;
            context.out.log("run-times", &self.pool, "the record was not written", "again");
        }
    }

    fn run_times_key(&self) -> StoreKey {
        self.pool_key(OwnKey::RunTimes)
    }
}
