//! Tasks on workers, under leases that expire on the worker's own clock.
//!
//! A start carries the lease from the worker's latest answer to a poll, and the
//! worker refuses a start whose lease has expired. A daemon that is suspended
//! between its decision and its call can therefore not start a task late.

use std::collections::BTreeMap;

use state::{JobId, Millis, Moment, VmId};

use super::Core;
use super::jobs::PlacedJob;
use crate::event::{Effect, IoCallId, TaskReport, TaskState, WorkerAnswer, WorkerRequest};
use crate::mutate::team::AttemptEnd;
use crate::timing::WORKER_POLL_INTERVAL;

/// Number of consecutive failures, of different jobs, after which a worker is
/// excluded from placement.
const EXCLUSION_THRESHOLD: u32 = 3;
/// Time for which a worker is excluded from placement.
const EXCLUSION_DURATION: Millis = Millis(60_000);
/// Maximum time between two polls of a worker that counts as polled continuously.
const MAX_POLL_GAP: Millis = Millis(5_000);

/// State of one worker, as this daemon knows it.
#[derive(Debug, Clone, Default)]
pub(crate) struct WorkerView {
    /// Time since which the worker has been polled continuously.
    polled_since: Option<Moment>,
    last_answer_at: Option<Moment>,
    last_poll_at: Option<Moment>,
    is_polling: bool,
    lease: Option<u64>,
    tasks: BTreeMap<JobId, TaskReport>,
    /// Jobs whose start is not answered yet, with their attempts.
    pending_starts: BTreeMap<JobId, u32>,
    consecutive_failures: u32,
    last_failed_job: Option<JobId>,
    excluded_until: Moment,
}

/// Call to a worker whose answer has not arrived.
#[derive(Debug, Clone)]
pub(crate) struct WorkerCallInfo {
    worker: VmId,
    /// Job and attempt that the call starts, if the call is a start.
    start: Option<(JobId, u32)>,
}

impl Core {
    fn worker_view(&mut self, worker: &VmId) -> &mut WorkerView {
        self.workers.entry(worker.clone()).or_default()
    }

    /// Time for which a worker has left continuous polls unanswered; zero for a
    /// worker that was not polled continuously. A worker without tasks is not polled,
    /// so missing answers do not mean that such a worker is unresponsive.
    pub(super) fn unanswered_duration(&self, worker: &VmId) -> Millis {
        let Some(view) = self.workers.get(worker) else { return Millis(0) };
        if view.last_poll_at.is_none_or(|at| self.now() - at > MAX_POLL_GAP) {
            return Millis(0);
        }
        let since = view.last_answer_at.max(view.polled_since);
        since.map_or(Millis(0), |since| self.now() - since)
    }

    /// Discards the task reports and the lease of a worker.
    pub(super) fn clear_worker_view(&mut self, worker: &VmId) {
        if let Some(view) = self.workers.get_mut(worker) {
            view.tasks.clear();
            view.lease = None;
        }
    }

    /// Whether a worker is excluded from placement because its tasks failed.
    pub(super) fn is_excluded(&self, worker: &VmId) -> bool {
        self.workers.get(worker).is_some_and(|view| self.now() < view.excluded_until)
    }

    /// Whether a start on `vm` is unanswered or a placement on `vm` is not written.
    pub(super) fn has_pending_starts_on(&self, vm: &VmId) -> bool {
        let is_starting = self.workers.get(vm).is_some_and(|view| !view.pending_starts.is_empty());
        let pending_changes = self.teams.values().flat_map(|writer| writer.pending());
        let placements = pending_changes.filter_map(|mutation| match mutation {
            crate::mutate::team::TeamMutation::Place { worker, .. } => Some(worker),
            _ => None,
        });
        is_starting || placements.into_iter().any(|worker| worker == vm)
    }

    /// Polls a worker every [`WORKER_POLL_INTERVAL`], with at most one poll in flight.
    /// A poll returns the lease received last, which lets the worker's tasks continue.
    pub(super) fn poll_worker(&mut self, worker: &VmId) {
        let now = self.now();
        let view = self.worker_view(worker);
        if view.last_poll_at.is_none_or(|at| now - at > MAX_POLL_GAP) {
            view.polled_since = Some(now);
        }
        let is_due = view.last_poll_at.is_none_or(|at| now - at >= WORKER_POLL_INTERVAL);
        if view.is_polling || !is_due {
            return;
        }
        view.is_polling = true;
        view.last_poll_at = Some(now);
        let lease = view.lease;
        self.call_worker(worker, WorkerRequest::Poll { lease }, None);
    }

    /// Sends a call to a listed worker; `start` names the job and attempt of a start.
    fn call_worker(&mut self, worker: &VmId, request: WorkerRequest, start: Option<(JobId, u32)>) {
        let Some(listing) = self.listing.get(worker) else { return };
        let address = listing.address.clone();
        let call = self.allocate_io_call();
        let info = WorkerCallInfo { worker: worker.clone(), start };
        self.worker_calls.insert(call, info);
        self.emit(Effect::Worker { call, address, request });
    }

    /// Starts, stops or ends one placed job according to the worker's latest report.
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

    /// Stops a task on its worker; the next poll is due at once.
    fn stop_task(&mut self, placed: &PlacedJob) {
        let (job, attempt) = (placed.job.clone(), placed.attempt);
        self.call_worker(&placed.worker, WorkerRequest::Stop { job, attempt }, None);
        let view = self.worker_view(&placed.worker);
        view.last_poll_at = None;
    }

    /// Starts a placed task; stops the task instead if the worker may no longer take
    /// new work, for example because its pool or data centre was taken out.
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
        self.counters.task_starts += 1;
        self.call_worker(&placed.worker, request, Some((placed.job.clone(), placed.attempt)));
    }

    fn finish_task(&mut self, placed: &PlacedJob) {
        let view = self.worker_view(&placed.worker);
        view.consecutive_failures = 0;
        view.last_failed_job = None;
        self.submit_attempt_end(placed, AttemptEnd::Done);
    }

    /// Ends a failed attempt and excludes a worker on which too many jobs in a row
    /// have failed. After the exclusion one more failure excludes the worker again.
    fn fail_task(&mut self, placed: &PlacedJob, reason: &str) {
        let now = self.now();
        let view = self.worker_view(&placed.worker);
        if view.last_failed_job.as_ref() != Some(&placed.job) {
            view.consecutive_failures += 1;
            view.last_failed_job = Some(placed.job.clone());
        }
        if view.consecutive_failures >= EXCLUSION_THRESHOLD {
            view.excluded_until = now + EXCLUSION_DURATION;
            view.consecutive_failures = EXCLUSION_THRESHOLD - 1;
        }
        self.submit_attempt_end(placed, AttemptEnd::Failed(reason.into()));
    }

    pub(super) fn handle_worker_answer(&mut self, call: IoCallId, answer: WorkerAnswer) {
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

    /// Records a started task as running until the next report of the worker.
    fn record_task_start(&mut self, info: &WorkerCallInfo) {
        let Some((job, attempt)) = info.start.clone() else { return };
        let report = TaskReport { job: job.clone(), attempt, state: TaskState::Running };
        self.worker_view(&info.worker).tasks.insert(job, report);
    }

    /// Makes the next poll due at once after the worker declined a start, so that
    /// the start is repeated under a new lease.
    fn expedite_next_poll(&mut self, info: &WorkerCallInfo) {
        self.worker_view(&info.worker).last_poll_at = None;
    }
}
