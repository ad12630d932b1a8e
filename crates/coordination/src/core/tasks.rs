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
const FAILURES_TO_SET_ASIDE: u32 = 3;
const ASIDE: Millis = Millis(60_000);
/// Longest gap between polls of a worker that is asked all the time.
const ASKED_LATELY: Millis = Millis(5_000);

/// What this daemon knows of one worker.
#[derive(Debug, Clone, Default)]
pub(crate) struct WorkerView {
    first_asked: Option<Moment>,
    answered: Option<Moment>,
    polled: Option<Moment>,
    polling: bool,
    lease: Option<u64>,
    tasks: BTreeMap<JobId, TaskReport>,
    starting: BTreeMap<JobId, u32>,
    failures: u32,
    last_failed: Option<JobId>,
    aside_until: Moment,
}

/// What a call to a worker was for.
#[derive(Debug, Clone)]
pub(crate) struct WorkerCallInfo {
    worker: VmId,
    start: Option<(JobId, u32)>,
}

impl Core {
    fn view(&mut self, worker: &VmId) -> &mut WorkerView {
        self.workers.entry(worker.clone()).or_default()
    }

    /// How long a worker has not answered although it was asked all the time. A
    /// worker that had no task was not asked, so its silence then says nothing.
    pub(super) fn worker_silence(&self, worker: &VmId) -> Millis {
        let Some(view) = self.workers.get(worker) else { return Millis(0) };
        if view.polled.is_none_or(|at| self.now() - at > ASKED_LATELY) {
            return Millis(0);
        }
        let since = view.answered.max(view.first_asked);
        since.map_or(Millis(0), |since| self.now() - since)
    }

    pub(super) fn forget_worker(&mut self, worker: &VmId) {
        if let Some(view) = self.workers.get_mut(worker) {
            view.tasks.clear();
            view.lease = None;
        }
    }

    /// Whether a worker is left out because what it starts fails.
    pub(super) fn is_aside(&self, worker: &VmId) -> bool {
        self.workers.get(worker).is_some_and(|view| self.now() < view.aside_until)
    }

    /// Whether a start is under way on `vm`.
    pub(super) fn has_tasks_on(&self, vm: &VmId) -> bool {
        let starting = self.workers.get(vm).is_some_and(|view| !view.starting.is_empty());
        let placing = self.teams.values().flat_map(|writer| writer.pending());
        let placing = placing.filter_map(|mutation| match mutation {
            crate::mutate::team::TeamMutation::Place { worker, .. } => Some(worker),
            _ => None,
        });
        starting || placing.into_iter().any(|worker| worker == vm)
    }

    pub(super) fn poll_worker(&mut self, worker: &VmId) {
        let now = self.now();
        let view = self.view(worker);
        if view.polled.is_none_or(|at| now - at > ASKED_LATELY) {
            view.first_asked = Some(now);
        }
        let is_due = view.polled.is_none_or(|at| now - at >= WORKER_POLL);
        if view.polling || !is_due {
            return;
        }
        view.polling = true;
        view.polled = Some(now);
        let lease = view.lease;
        self.call_worker(worker, WorkerRequest::Poll { lease }, None);
    }

    fn call_worker(&mut self, worker: &VmId, request: WorkerRequest, start: Option<(JobId, u32)>) {
        let Some(listing) = self.listing.get(worker) else { return };
        let address = listing.address.clone();
        let call = self.next_io();
        let info = WorkerCallInfo { worker: worker.clone(), start };
        self.worker_calls.insert(call, info);
        self.emit(Effect::Worker { call, address, request });
    }

    /// Starts, stops or ends one placed job, by what its worker last said.
    pub(super) fn tend_task(&mut self, placed: &PlacedJob) {
        let Some(view) = self.workers.get(&placed.worker) else { return };
        if view.starting.contains_key(&placed.job) || self.has_pending_change(placed) {
            return;
        }
        let report = view.tasks.get(&placed.job).filter(|task| task.attempt == placed.attempt);
        match report.map(|task| task.state.clone()) {
            Some(TaskState::Running) if placed.cancel => self.stop_task(placed),
            Some(TaskState::Running) => {}
            Some(TaskState::Done) => self.task_done(placed),
            Some(TaskState::Failed { reason }) => self.task_failed(placed, &reason),
            Some(TaskState::Stopped) => self.end_job(placed, AttemptEnd::Lost),
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
        let view = self.view(&placed.worker);
        view.polled = None;
    }

    /// Starts a placed task, unless its pool or data centre was taken out since.
    fn start_task(&mut self, placed: &PlacedJob) {
        if !self.is_usable(&placed.spec.pool, &placed.worker) {
            return self.stop_task(placed);
        }
        let view = self.view(&placed.worker);
        let Some(lease) = view.lease else { return };
        view.starting.insert(placed.job.clone(), placed.attempt);
        let request = WorkerRequest::Start {
            lease,
            job: placed.job.clone(),
            attempt: placed.attempt,
            spec: placed.spec.clone(),
        };
        self.measures.task_starts += 1;
        self.call_worker(&placed.worker, request, Some((placed.job.clone(), placed.attempt)));
    }

    fn task_done(&mut self, placed: &PlacedJob) {
        let view = self.view(&placed.worker);
        view.failures = 0;
        view.last_failed = None;
        self.end_job(placed, AttemptEnd::Done);
    }

    fn task_failed(&mut self, placed: &PlacedJob, reason: &str) {
        let now = self.now();
        let view = self.view(&placed.worker);
        if view.last_failed.as_ref() != Some(&placed.job) {
            view.failures += 1;
            view.last_failed = Some(placed.job.clone());
        }
        if view.failures >= FAILURES_TO_SET_ASIDE {
            view.aside_until = now + ASIDE;
            view.failures = FAILURES_TO_SET_ASIDE - 1;
        }
        self.end_job(placed, AttemptEnd::Failed(reason.into()));
    }

    pub(super) fn worker_answered(&mut self, call: IoCall, answer: WorkerAnswer) {
        let Some(info) = self.worker_calls.remove(&call) else { return };
        let now = self.now();
        let view = self.view(&info.worker);
        if let Some((job, _)) = &info.start {
            view.starting.remove(job);
        }
        match answer {
            WorkerAnswer::Tasks { lease, tasks, .. } => {
                view.polling = false;
                view.answered = Some(now);
                view.lease = Some(lease);
                view.tasks = tasks.into_iter().map(|task| (task.job.clone(), task)).collect();
            }
            WorkerAnswer::Started => self.task_started(&info),
            WorkerAnswer::Declined { .. } => self.start_declined(&info),
            WorkerAnswer::Stopping => {}
            WorkerAnswer::NotSent | WorkerAnswer::Unknown => {
                view.polling = false;
            }
        }
    }

    fn task_started(&mut self, info: &WorkerCallInfo) {
        let Some((job, attempt)) = info.start.clone() else { return };
        let report = TaskReport { job: job.clone(), attempt, state: TaskState::Running };
        self.view(&info.worker).tasks.insert(job, report);
    }

    /// A declined start is asked for again under a new lease; the next poll is
    /// due at once.
    fn start_declined(&mut self, info: &WorkerCallInfo) {
        self.view(&info.worker).polled = None;
    }
}
