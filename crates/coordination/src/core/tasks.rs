//! Tasks on workers, under leases that lapse on the worker's own clock.
//!
//! A start carries the lease of a poll that was answered moments ago, and the
//! worker refuses a start whose lease has lapsed. So a daemon that is paused
//! between its decision and its call cannot start a task late.

use std::collections::BTreeMap;

use state::{JobId, Millis, Moment, VmId};

use super::Core;
use super::jobs::PlacedJob;
use crate::event::{Effect, IoCall, TaskReport, TaskState, WorkerAnswer, WorkerRequest};
use crate::mutate::team::AttemptEnd;
use crate::timing::WORKER_POLL;

/// Failures in a row, of different jobs, after which a worker is set aside.
const FAILURES_BEFORE_EXCLUSION: u32 = 3;
const EXCLUSION_DURATION: Millis = Millis(60_000);
/// Longest gap between polls of a worker that is asked all the time.
const MAX_POLL_GAP: Millis = Millis(5_000);

/// What this daemon knows of one worker.
#[derive(Debug, Clone, Default)]
pub(crate) struct WorkerView {
    polled_since: Option<Moment>,
    last_answer_at: Option<Moment>,
    last_poll_at: Option<Moment>,
    is_polling: bool,
    lease: Option<u64>,
    tasks: BTreeMap<JobId, TaskReport>,
    pending_starts: BTreeMap<JobId, u32>,
    consecutive_failures: u32,
    last_failed_job: Option<JobId>,
    excluded_until: Moment,
}

/// What a call to a worker was for.
#[derive(Debug, Clone)]
pub(crate) struct WorkerCallInfo {
    worker: VmId,
    start: Option<(JobId, u32)>,
}

impl Core {
    fn worker_view(&mut self, worker: &VmId) -> &mut WorkerView {
        self.workers.entry(worker.clone()).or_default()
    }

    /// How long a worker has not answered although it was asked all the time. A
    /// worker that had no task was not asked, so its silence then says nothing.
    pub(super) fn unanswered_duration(&self, worker: &VmId) -> Millis {
        let Some(view) = self.workers.get(worker) else { return Millis(0) };
        if view.last_poll_at.is_none_or(|at| self.now() - at > MAX_POLL_GAP) {
            return Millis(0);
        }
        let since = view.last_answer_at.max(view.polled_since);
        since.map_or(Millis(0), |since| self.now() - since)
    }

    pub(super) fn clear_worker_view(&mut self, worker: &VmId) {
        if let Some(view) = self.workers.get_mut(worker) {
            view.tasks.clear();
            view.lease = None;
        }
    }

    /// Whether a worker is left out because what it starts fails.
    pub(super) fn is_excluded(&self, worker: &VmId) -> bool {
        self.workers.get(worker).is_some_and(|view| self.now() < view.excluded_until)
    }

    /// Whether a start is under way on `vm`.
    pub(super) fn has_pending_starts_on(&self, vm: &VmId) -> bool {
        let starting = self.workers.get(vm).is_some_and(|view| !view.pending_starts.is_empty());
        let placing = self.teams.values().flat_map(|writer| writer.pending());
        let placing = placing.filter_map(|mutation| match mutation {
            crate::mutate::team::TeamMutation::Place { worker, .. } => Some(worker),
            _ => None,
        });
        starting || placing.into_iter().any(|worker| worker == vm)
    }

    pub(super) fn poll_worker(&mut self, worker: &VmId) {
        let now = self.now();
        let view = self.worker_view(worker);
        if view.last_poll_at.is_none_or(|at| now - at > MAX_POLL_GAP) {
            view.polled_since = Some(now);
        }
        let is_due = view.last_poll_at.is_none_or(|at| now - at >= WORKER_POLL);
        if view.is_polling || !is_due {
            return;
        }
        view.is_polling = true;
        view.last_poll_at = Some(now);
        let lease = view.lease;
        self.call_worker(worker, WorkerRequest::Poll { lease }, None);
    }

    fn call_worker(&mut self, worker: &VmId, request: WorkerRequest, start: Option<(JobId, u32)>) {
        let Some(listing) = self.listing.get(worker) else { return };
        let address = listing.address.clone();
        let call = self.allocate_io_call();
        let info = WorkerCallInfo { worker: worker.clone(), start };
        self.worker_calls.insert(call, info);
        self.emit(Effect::Worker { call, address, request });
    }

    /// Starts, stops or ends one placed job, by what its worker last said.
    pub(super) fn reconcile_task(&mut self, placed: &PlacedJob) {
        let Some(view) = self.workers.get(&placed.worker) else { return };
        if view.pending_starts.contains_key(&placed.job) || self.has_pending_change(placed) {
            return;
        }
        let report = view.tasks.get(&placed.job).filter(|task| task.attempt == placed.attempt);
        match report.map(|task| task.state.clone()) {
            Some(TaskState::Running) if placed.cancel => self.stop_task(placed),
            Some(TaskState::Running) => {}
            Some(TaskState::Done) => self.finish_task(placed),
            Some(TaskState::Failed { reason }) => self.fail_task(placed, &reason),
            Some(TaskState::Stopped) => self.submit_attempt_end(placed, AttemptEnd::Lost),
            None if placed.cancel => self.stop_task(placed),
            None => self.start_task(placed),
        }
    }

    fn has_pending_change(&self, placed: &PlacedJob) -> bool {
        let mut pending = self.teams[&placed.team].pending();
        pending.any(|mutation| mutation.job() == Some(&placed.job))
    }

    fn stop_task(&mut self, placed: &PlacedJob) {
        let (job, attempt) = (placed.job.clone(), placed.attempt);
        self.call_worker(&placed.worker, WorkerRequest::Stop { job, attempt }, None);
        let view = self.worker_view(&placed.worker);
        view.last_poll_at = None;
    }

    /// Starts a placed task, unless its pool or data centre was taken out since.
    fn start_task(&mut self, placed: &PlacedJob) {
        if !self.is_usable(&placed.spec.pool, &placed.worker) {
            return self.stop_task(placed);
        }
        let view = self.worker_view(&placed.worker);
        let Some(lease) = view.lease else { return };
        view.pending_starts.insert(placed.job.clone(), placed.attempt);
        let request = WorkerRequest::Start {
            lease,
            job: placed.job.clone(),
            attempt: placed.attempt,
            spec: placed.spec.clone(),
        };
        self.measures.task_starts += 1;
        self.call_worker(&placed.worker, request, Some((placed.job.clone(), placed.attempt)));
    }

    fn finish_task(&mut self, placed: &PlacedJob) {
        let view = self.worker_view(&placed.worker);
        view.consecutive_failures = 0;
        view.last_failed_job = None;
        self.submit_attempt_end(placed, AttemptEnd::Done);
    }

    fn fail_task(&mut self, placed: &PlacedJob, reason: &str) {
        let now = self.now();
        let view = self.worker_view(&placed.worker);
        if view.last_failed_job.as_ref() != Some(&placed.job) {
            view.consecutive_failures += 1;
            view.last_failed_job = Some(placed.job.clone());
        }
        if view.consecutive_failures >= FAILURES_BEFORE_EXCLUSION {
            view.excluded_until = now + EXCLUSION_DURATION;
            view.consecutive_failures = FAILURES_BEFORE_EXCLUSION - 1;
        }
        self.submit_attempt_end(placed, AttemptEnd::Failed(reason.into()));
    }

    pub(super) fn handle_worker_answer(&mut self, call: IoCall, answer: WorkerAnswer) {
        let Some(info) = self.worker_calls.remove(&call) else { return };
        let now = self.now();
        let view = self.worker_view(&info.worker);
        if let Some((job, _)) = &info.start {
            view.pending_starts.remove(job);
        }
        match answer {
            WorkerAnswer::Tasks { lease, tasks, .. } => {
                view.is_polling = false;
                view.last_answer_at = Some(now);
                view.lease = Some(lease);
                view.tasks = tasks.into_iter().map(|task| (task.job.clone(), task)).collect();
            }
            WorkerAnswer::Started => self.record_task_start(&info),
            WorkerAnswer::Declined { .. } => self.expedite_next_poll(&info),
            WorkerAnswer::Stopping => {}
            WorkerAnswer::NotSent | WorkerAnswer::Unknown => {
                view.is_polling = false;
            }
        }
    }

    fn record_task_start(&mut self, info: &WorkerCallInfo) {
        let Some((job, attempt)) = info.start.clone() else { return };
        let report = TaskReport { job: job.clone(), attempt, state: TaskState::Running };
        self.worker_view(&info.worker).tasks.insert(job, report);
    }

    /// A declined start is asked for again under a new lease; the next poll is
    /// due at once.
    fn expedite_next_poll(&mut self, info: &WorkerCallInfo) {
        self.worker_view(&info.worker).last_poll_at = None;
    }
}
