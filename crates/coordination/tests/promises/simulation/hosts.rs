//! Fake minions and workers.
//!
//! Minions execute requests for a random time. Workers run tasks under leases as
//! the worker protocol requires. Both can be rebooted, go down, or lose answers.

use std::collections::BTreeMap;

use coordination::timing::TASK_LEASE_DURATION;
use coordination::{
    AttemptOutcome, Event, IoCallId, ReplyToken, TaskReport, TaskState, WorkerAnswer, WorkerRequest,
};
use rand::Rng;
use state::{Cores, JobId, Mebibytes, VmId, VmRole};

use super::daemons::DaemonIndex;
use super::scenario;
use super::{CallerAnswer, ScheduledEvent, Simulation};

/// Number of one request execution, unique in a run.
pub type ExecutionId = u64;

/// Age of a lease above which a worker declines to start a task under the lease.
const MAX_START_LEASE_AGE_MS: u64 = 3_000;

/// One execution of a request on a minion.
pub struct RequestExecution {
    /// Daemon that sent the request.
    from: DaemonIndex,
    /// Incarnation of the daemon that sent the request.
    incarnation: u64,
    token: ReplyToken,
    vm: VmId,
    /// Whether the connection breaks before the execution ends. The daemon then receives
    /// [`AttemptOutcome::Broken`] and no answer.
    is_broken: bool,
}

/// A task on a worker.
#[derive(Clone)]
struct WorkerTask {
    attempt: u32,
    ends_at_ms: u64,
    cores: u32,
    state: TaskState,
}

/// Leases and tasks of one worker.
#[derive(Default)]
struct WorkerState {
    last_lease_id: u64,
    /// Time at which each lease was issued, by lease number.
    lease_issue_times: BTreeMap<u64, u64>,
    /// Time at which the lease over all running tasks expires.
    lease_expires_ms: u64,
    tasks: BTreeMap<JobId, WorkerTask>,
}

/// All minions and workers.
pub struct SimulatedHosts {
    last_execution_id: u64,
    pub executions: BTreeMap<ExecutionId, RequestExecution>,
    workers: BTreeMap<VmId, WorkerState>,
    /// Number of the current boot; a host that never rebooted is at boot 1.
    boot_numbers: BTreeMap<VmId, u64>,
    /// Virtual time until which a host does not answer; `u64::MAX` during a reboot, whose end is a
    /// scheduled event.
    pub down_until: BTreeMap<VmId, u64>,
    /// Virtual time until which every task on a worker fails immediately.
    pub failing_until: BTreeMap<VmId, u64>,
}

impl SimulatedHosts {
    pub fn new() -> Self {
        Self {
            last_execution_id: 0,
            executions: BTreeMap::new(),
            workers: BTreeMap::new(),
            boot_numbers: BTreeMap::new(),
            down_until: BTreeMap::new(),
            failing_until: BTreeMap::new(),
        }
    }

    /// Returns the number of requests and tasks that run on a host.
    pub fn count_work_on(&self, vm: &VmId) -> usize {
        let request_count =
            self.executions.values().filter(|execution| execution.vm == *vm).count();
        let task_count = self.workers.get(vm).map_or(0, |worker| worker.running_jobs().count());
        request_count + task_count
    }

    pub fn running_requests(&self) -> impl Iterator<Item = (ReplyToken, &VmId)> {
        self.executions.values().map(|execution| (execution.token, &execution.vm))
    }

    pub fn running_jobs(&self) -> impl Iterator<Item = &JobId> {
        self.workers.values().flat_map(WorkerState::running_jobs)
    }

    /// Ends all work on a host and marks the host as down until the reboot ends.
    pub fn begin_reboot(&mut self, vm: &VmId) {
        self.end_all_work(vm);
        self.down_until.insert(vm.clone(), u64::MAX);
    }

    /// Drops all requests and tasks of a host, and the leases of a worker.
    pub fn end_all_work(&mut self, vm: &VmId) {
        self.executions.retain(|_, execution| execution.vm != *vm);
        self.workers.remove(vm);
    }

    /// Marks a host as up again with a new boot number.
    pub fn finish_reboot(&mut self, vm: &VmId, boot: u64) {
        self.down_until.remove(vm);
        self.boot_numbers.insert(vm.clone(), boot);
    }

    /// Whether a host does not answer at the virtual time `now`.
    fn is_down(&self, vm: &VmId, now: u64) -> bool {
        self.down_until.get(vm).is_some_and(|until| *until > now)
    }
}

impl WorkerState {
    fn running_jobs(&self) -> impl Iterator<Item = &JobId> {
        let running_tasks = self.tasks.iter().filter(|(_, task)| task.state == TaskState::Running);
        running_tasks.map(|(job, _)| job)
    }

    /// Ends the running tasks that fail, are done, or whose lease has expired.
    fn update_task_states(&mut self, now: u64, is_failing: bool) {
        let is_lease_expired = now > self.lease_expires_ms;
        for task in self.tasks.values_mut().filter(|task| task.state == TaskState::Running) {
            if is_failing {
                task.state = TaskState::Failed { reason: "all fails here".into() };
            } else if now >= task.ends_at_ms {
                task.state = TaskState::Done;
            } else if is_lease_expired {
                task.state = TaskState::Stopped;
            }
        }
    }
}

impl Simulation {
    /// Brings the task states of all workers up to the current time.
    fn update_workers(&mut self) {
        let now = self.now;
        let failing_until = self.hosts.failing_until.clone();
        for (vm, worker) in &mut self.hosts.workers {
            worker.update_task_states(now, failing_until.get(vm).is_some_and(|until| *until > now));
        }
    }

    /// Starts the execution of a request on a minion. One execution in ten is long, and one
    /// connection in 100 is reset. The attempt also breaks if the execution takes longer than
    /// `remaining_ms`.
    pub fn handle_request_arrival(
        &mut self,
        from: DaemonIndex,
        incarnation: u64,
        token: ReplyToken,
        vm: VmId,
        remaining_ms: u64,
    ) {
        if self.hosts.is_down(&vm, self.now) || !self.platform.vms.contains_key(&vm) {
            let reason = "connection refused".into();
            return self.report_attempt_outcome(
                from,
                incarnation,
                token,
                AttemptOutcome::NotSent { reason },
            );
        }
        let is_long = self.rng.random_bool(0.1);
        let execution_ms = self.rng.random_range(if is_long { 600..3_500 } else { 20..600 });
        let is_connection_reset = self.rng.random_bool(0.01);
        let is_broken = is_connection_reset || execution_ms > remaining_ms;
        self.hosts.last_execution_id += 1;
        let execution_id = self.hosts.last_execution_id;
        self.hosts.executions.insert(
            execution_id,
            RequestExecution { from, incarnation, token, vm: vm.clone(), is_broken },
        );
        self.update_workers();
        self.record_request_start(token, &vm);
        self.schedule_after(execution_ms, ScheduledEvent::ExecutionEnd { execution_id });
        if is_broken {
            let reason = "connection reset".into();
            let wait_ms = if is_connection_reset {
                self.rng.random_range(0..=remaining_ms.min(execution_ms))
            } else {
                remaining_ms
            };
            let event = Event::CallEnded { token, outcome: AttemptOutcome::Broken { reason } };
            self.schedule_after(
                wait_ms,
                ScheduledEvent::DaemonEvent { to: from, incarnation, event: Box::new(event) },
            );
        }
    }

    /// Reports the answer of a finished execution to the daemon and to the caller, if the
    /// connection still exists. A suspended daemon passes nothing on to the caller.
    pub fn finish_execution(&mut self, execution_id: ExecutionId) {
        let Some(execution) = self.hosts.executions.remove(&execution_id) else { return };
        let is_connected = self.daemons[execution.from].incarnation == execution.incarnation
            && !execution.is_broken;
        if !is_connected || self.daemons[execution.from].core.is_none() {
            return;
        }
        if self.daemons[execution.from].suspended_until <= self.now {
            self.deliver_caller_answer(execution.token, CallerAnswer::Done);
        }
        let outcome = AttemptOutcome::Answered { status: 200, stored_answer: None };
        self.report_attempt_outcome(
            execution.from,
            execution.incarnation,
            execution.token,
            outcome,
        );
    }

    /// Answers the call of a daemon to a worker. One answer in 50 is lost.
    pub fn handle_worker_call(
        &mut self,
        from: DaemonIndex,
        incarnation: u64,
        call: IoCallId,
        address: &str,
        request: &WorkerRequest,
    ) {
        self.update_workers();
        let vm = self.platform.vms.values().find(|listing| &*listing.address == address);
        let vm =
            vm.filter(|listing| listing.role == VmRole::Worker).map(|listing| listing.vm.clone());
        let (answer, wait_ms) = match vm {
            Some(vm) if !self.hosts.is_down(&vm, self.now) => {
                let answer = self.answer_worker_request(&vm, request);
                let is_lost = self.rng.random_bool(0.02);
                if is_lost { (WorkerAnswer::Unknown, 1_500) } else { (answer, 0) }
            }
            _ => (WorkerAnswer::NotSent, 0),
        };
        let delay_ms = wait_ms + self.draw_delay_ms();
        let event = Box::new(Event::Worker { call, answer });
        self.schedule_after(delay_ms, ScheduledEvent::DaemonEvent { to: from, incarnation, event });
    }

    fn answer_worker_request(&mut self, vm: &VmId, request: &WorkerRequest) -> WorkerAnswer {
        match request {
            WorkerRequest::Poll { lease } => self.poll_worker(vm, *lease),
            WorkerRequest::Start { lease, job, attempt, spec } => {
                let ends_at_ms = self.now + spec.run_time.0;
                let task = WorkerTask {
                    attempt: *attempt,
                    ends_at_ms,
                    cores: spec.cores.0,
                    state: TaskState::Running,
                };
                self.start_task(vm, *lease, job, task)
            }
            WorkerRequest::Stop { job, attempt } => {
                let worker = self.hosts.workers.entry(vm.clone()).or_default();
                let stopped_task = WorkerTask {
                    attempt: *attempt,
                    ends_at_ms: 0,
                    cores: 0,
                    state: TaskState::Stopped,
                };
                let task = worker.tasks.entry(job.clone()).or_insert(stopped_task);
                if task.attempt <= *attempt {
                    task.attempt = *attempt;
                    task.state = TaskState::Stopped;
                }
                WorkerAnswer::Stopping
            }
        }
    }

    /// Lists the tasks of a worker under a new lease. The lease that the daemon returns extends
    /// the lease over the tasks, counted from the time at which the returned lease was issued.
    fn poll_worker(&mut self, vm: &VmId, lease: Option<u64>) -> WorkerAnswer {
        let now = self.now;
        let boot = self.hosts.boot_numbers.get(vm).copied().unwrap_or(1);
        let worker = self.hosts.workers.entry(vm.clone()).or_default();
        if let Some(issued_ms) =
            lease.and_then(|lease| worker.lease_issue_times.get(&lease).copied())
        {
            worker.lease_expires_ms =
                worker.lease_expires_ms.max(issued_ms + TASK_LEASE_DURATION.0);
        }
        worker.last_lease_id += 1;
        worker.lease_issue_times.insert(worker.last_lease_id, now);
        let report = |(job, task): (&JobId, &WorkerTask)| TaskReport {
            job: job.clone(),
            attempt: task.attempt,
            state: task.state.clone(),
        };
        WorkerAnswer::Tasks {
            boot,
            lease: worker.last_lease_id,
            free_cores: Cores(0),
            free_memory: Mebibytes(0),
            tasks: worker.tasks.iter().map(report).collect(),
        }
    }

    /// Starts a task unless the lease is too old, a later attempt is known, or cores are short. A
    /// repeated start of the same attempt succeeds.
    fn start_task(&mut self, vm: &VmId, lease: u64, job: &JobId, task: WorkerTask) -> WorkerAnswer {
        let now = self.now;
        let worker = self.hosts.workers.entry(vm.clone()).or_default();
        let issued_ms = worker.lease_issue_times.get(&lease).copied();
        if issued_ms.is_none_or(|issued_ms| now - issued_ms > MAX_START_LEASE_AGE_MS) {
            self.checker.increment_counter("start refused: lapsed lease");
            return WorkerAnswer::Declined { reason: "the lease has lapsed".into() };
        }
        if let Some(known_task) = worker.tasks.get(job) {
            if known_task.attempt == task.attempt && known_task.state != TaskState::Stopped {
                return WorkerAnswer::Started;
            }
            if known_task.attempt >= task.attempt {
                return WorkerAnswer::Declined { reason: "a later attempt was seen".into() };
            }
        }
        let used_cores: u32 = worker
            .tasks
            .values()
            .filter(|task| task.state == TaskState::Running)
            .map(|task| task.cores)
            .sum();
        if used_cores + task.cores > scenario::CORES_PER_WORKER {
            return WorkerAnswer::Declined { reason: "not enough free cores".into() };
        }
        worker.lease_expires_ms = worker.lease_expires_ms.max(now + TASK_LEASE_DURATION.0);
        worker.tasks.insert(job.clone(), task);
        self.record_task_start(vm, job);
        WorkerAnswer::Started
    }
}
