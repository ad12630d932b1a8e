//! Minions and workers.

use std::collections::BTreeMap;

use coordination::timing::TASK_LEASE_DURATION;
use coordination::{
    AttemptOutcome, Event, IoCallId, ReplyToken, TaskReport, TaskState, WorkerAnswer, WorkerRequest,
};
use rand::Rng;
use state::{Cores, JobId, Mebibytes, VmId, VmRole};

use super::daemons::DaemonIndex;
use super::scenario;
use super::{Happening, Heard, World};

pub type RunIndex = u64;

const START_LEASE: u64 = 3_000;

pub struct Run {
    from: DaemonIndex,
    run: u64,
    token: ReplyToken,
    vm: VmId,
    /// The daemon was told that the attempt broke, and hears no more of it.
    broken: bool,
}

#[derive(Clone)]
struct Task {
    attempt: u32,
    ends: u64,
    cores: u32,
    state: TaskState,
}

#[derive(Default)]
struct WorkerHost {
    next_lease: u64,
    leases: BTreeMap<u64, u64>,
    lease_until: u64,
    tasks: BTreeMap<JobId, Task>,
}

pub struct Hosts {
    next_run: u64,
    pub runs: BTreeMap<RunIndex, Run>,
    workers: BTreeMap<VmId, WorkerHost>,
    boots: BTreeMap<VmId, u64>,
    /// Hosts that answer nothing until then; u64::MAX for a reboot under way.
    pub down_until: BTreeMap<VmId, u64>,
    /// Workers on which every task fails at once until then.
    pub failing_until: BTreeMap<VmId, u64>,
}

impl Hosts {
    pub fn new() -> Self {
        Self {
            next_run: 0,
            runs: BTreeMap::new(),
            workers: BTreeMap::new(),
            boots: BTreeMap::new(),
            down_until: BTreeMap::new(),
            failing_until: BTreeMap::new(),
        }
    }

    pub fn running_on(&self, vm: &VmId) -> usize {
        let requests = self.runs.values().filter(|run| run.vm == *vm).count();
        let tasks = self.workers.get(vm).map_or(0, |worker| worker.running().count());
        requests + tasks
    }

    pub fn running_requests(&self) -> impl Iterator<Item = (ReplyToken, &VmId)> {
        self.runs.values().map(|run| (run.token, &run.vm))
    }

    pub fn running_jobs(&self) -> impl Iterator<Item = &JobId> {
        self.workers.values().flat_map(WorkerHost::running)
    }

    pub fn reboot(&mut self, vm: &VmId) {
        self.lose(vm);
        self.down_until.insert(vm.clone(), u64::MAX);
    }

    /// Everything on a host ends at once.
    pub fn lose(&mut self, vm: &VmId) {
        self.runs.retain(|_, run| run.vm != *vm);
        self.workers.remove(vm);
    }

    pub fn come_back(&mut self, vm: &VmId, boot: u64) {
        self.down_until.remove(vm);
        self.boots.insert(vm.clone(), boot);
    }

    fn is_down(&self, vm: &VmId, now: u64) -> bool {
        self.down_until.get(vm).is_some_and(|until| *until > now)
    }
}

impl WorkerHost {
    fn running(&self) -> impl Iterator<Item = &JobId> {
        let running = self.tasks.iter().filter(|(_, task)| task.state == TaskState::Running);
        running.map(|(job, _)| job)
    }

    fn advance(&mut self, now: u64, failing: bool) {
        let lapsed = now > self.lease_until;
        for task in self.tasks.values_mut().filter(|task| task.state == TaskState::Running) {
            if failing {
                task.state = TaskState::Failed { reason: "all fails here".into() };
            } else if now >= task.ends {
                task.state = TaskState::Done;
            } else if lapsed {
                task.state = TaskState::Stopped;
            }
        }
    }
}

impl World {
    fn advance_workers(&mut self) {
        let now = self.now;
        let failing = self.hosts.failing_until.clone();
        for (vm, worker) in &mut self.hosts.workers {
            worker.advance(now, failing.get(vm).is_some_and(|until| *until > now));
        }
    }

    /// A request reaches a minion.
    pub fn arrive(&mut self, from: DaemonIndex, run: u64, token: ReplyToken, vm: VmId, left: u64) {
        if self.hosts.is_down(&vm, self.now) || !self.store.vms.contains_key(&vm) {
            let reason = "connection refused".into();
            return self.end_attempt(from, run, token, AttemptOutcome::NotSent { reason });
        }
        let is_long = self.rng.random_bool(0.1);
        let takes = self.rng.random_range(if is_long { 600..3_500 } else { 20..600 });
        let resets = self.rng.random_bool(0.01);
        let broken = resets || takes > left;
        self.hosts.next_run += 1;
        let index = self.hosts.next_run;
        self.hosts.runs.insert(index, Run { from, run, token, vm: vm.clone(), broken });
        self.advance_workers();
        self.request_started(token, &vm);
        self.after(takes, Happening::RunEnds { run: index });
        if broken {
            let reason = "connection reset".into();
            let wait = if resets { self.rng.random_range(0..=left.min(takes)) } else { left };
            let event = Event::CallEnded { token, outcome: AttemptOutcome::Broken { reason } };
            self.after(wait, Happening::Event { to: from, run, event: Box::new(event) });
        }
    }

    pub fn run_ends(&mut self, run: RunIndex) {
        let Some(ended) = self.hosts.runs.remove(&run) else { return };
        let is_carried = self.daemons[ended.from].run == ended.run && !ended.broken;
        if !is_carried || self.daemons[ended.from].core.is_none() {
            return;
        }
        if self.daemons[ended.from].frozen_until <= self.now {
            self.caller_hears(ended.token, Heard::Done);
        }
        let ending = AttemptOutcome::Answered { status: 200, kept: None };
        self.end_attempt(ended.from, ended.run, ended.token, ending);
    }

    pub fn worker_called(
        &mut self,
        from: DaemonIndex,
        run: u64,
        call: IoCallId,
        address: &str,
        request: &WorkerRequest,
    ) {
        self.advance_workers();
        let vm = self.store.vms.values().find(|listing| &*listing.address == address);
        let vm = vm.filter(|listing| listing.role == VmRole::Worker).map(|row| row.vm.clone());
        let (answer, wait) = match vm {
            Some(vm) if !self.hosts.is_down(&vm, self.now) => {
                let answer = self.serve_worker(&vm, request);
                let lost = self.rng.random_bool(0.02);
                if lost { (WorkerAnswer::Unknown, 1_500) } else { (answer, 0) }
            }
            _ => (WorkerAnswer::NotSent, 0),
        };
        let delay = wait + self.delay();
        let event = Box::new(Event::Worker { call, answer });
        self.after(delay, Happening::Event { to: from, run, event });
    }

    fn serve_worker(&mut self, vm: &VmId, request: &WorkerRequest) -> WorkerAnswer {
        match request {
            WorkerRequest::Poll { lease } => self.poll(vm, *lease),
            WorkerRequest::Start { lease, job, attempt, spec } => {
                let ends = self.now + spec.run_time.0;
                let task = Task {
                    attempt: *attempt,
                    ends,
                    cores: spec.cores.0,
                    state: TaskState::Running,
                };
                self.start_task(vm, *lease, job, task)
            }
            WorkerRequest::Stop { job, attempt } => {
                let worker = self.hosts.workers.entry(vm.clone()).or_default();
                let stopped =
                    Task { attempt: *attempt, ends: 0, cores: 0, state: TaskState::Stopped };
                let task = worker.tasks.entry(job.clone()).or_insert(stopped);
                if task.attempt <= *attempt {
                    task.attempt = *attempt;
                    task.state = TaskState::Stopped;
                }
                WorkerAnswer::Stopping
            }
        }
    }

    fn poll(&mut self, vm: &VmId, lease: Option<u64>) -> WorkerAnswer {
        let now = self.now;
        let boot = self.hosts.boots.get(vm).copied().unwrap_or(1);
        let worker = self.hosts.workers.entry(vm.clone()).or_default();
        if let Some(issued) = lease.and_then(|lease| worker.leases.get(&lease).copied()) {
            worker.lease_until = worker.lease_until.max(issued + TASK_LEASE_DURATION.0);
        }
        worker.next_lease += 1;
        worker.leases.insert(worker.next_lease, now);
        let report = |(job, task): (&JobId, &Task)| TaskReport {
            job: job.clone(),
            attempt: task.attempt,
            state: task.state.clone(),
        };
        WorkerAnswer::Tasks {
            boot,
            lease: worker.next_lease,
            free_cores: Cores(0),
            free_memory: Mebibytes(0),
            tasks: worker.tasks.iter().map(report).collect(),
        }
    }

    fn start_task(&mut self, vm: &VmId, lease: u64, job: &JobId, task: Task) -> WorkerAnswer {
        let now = self.now;
        let worker = self.hosts.workers.entry(vm.clone()).or_default();
        let issued = worker.leases.get(&lease).copied();
        if issued.is_none_or(|issued| now - issued > START_LEASE) {
            self.checker.count("start refused: lapsed lease");
            return WorkerAnswer::Declined { reason: "the lease has lapsed".into() };
        }
        if let Some(known) = worker.tasks.get(job) {
            if known.attempt == task.attempt && known.state != TaskState::Stopped {
                return WorkerAnswer::Started;
            }
            if known.attempt >= task.attempt {
                return WorkerAnswer::Declined { reason: "a later attempt was seen".into() };
            }
        }
        let used: u32 = worker
            .tasks
            .values()
            .filter(|task| task.state == TaskState::Running)
            .map(|task| task.cores)
            .sum();
        if used + task.cores > scenario::WORKER_CORES {
            return WorkerAnswer::Declined { reason: "not enough free cores".into() };
        }
        worker.lease_until = worker.lease_until.max(now + TASK_LEASE_DURATION.0);
        worker.tasks.insert(job.clone(), task);
        self.task_started(vm, job);
        WorkerAnswer::Started
    }
}
