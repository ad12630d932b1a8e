//! The worker's stand-in: runs tasks as timers, under leases.
//!
//! A task's command says what it does: `run:<ms>` runs that long, `fail:<ms>`
//! fails after that long.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use coordination::timing::TASK_LEASE_DURATION;
use coordination::{TaskReport, TaskState};
use eyre::Result;
use protocol::{PollBody, StartBody, StopBody, TasksBody};
use serde::Serialize;
use state::{Cores, JobId, JobSpec, Mebibytes};
use tiny_http::Request;
use transport::read_body;

use crate::serve::{answer_json, serve};

/// How long a lease is good for starts.
const START_LEASE: Duration = Duration::from_millis(3_000);

/// What a worker is told at its start.
pub struct WorkerSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Cores.
    pub cores: u32,
    /// Memory in MiB.
    pub memory: u32,
}

struct Task {
    attempt: u32,
    spec: Option<JobSpec>,
    ends: Instant,
    fails: bool,
    state: TaskState,
}

#[derive(Debug, Clone, Default, Serialize)]
struct WorkerReport {
    starts: u64,
    starts_by_job: BTreeMap<JobId, u64>,
    lapsed_leases: u64,
    cut: u64,
}

#[derive(Default)]
struct WorkerState {
    boot: u64,
    next_lease: u64,
    leases: BTreeMap<u64, Instant>,
    lease_until: Option<Instant>,
    tasks: BTreeMap<JobId, Task>,
    report: WorkerReport,
}

struct Worker {
    cores: u32,
    memory: u32,
    state: Mutex<WorkerState>,
}

/// Runs a worker's stand-in.
///
/// # Errors
///
/// The reason why it cannot start.
pub fn run_worker(settings: &WorkerSettings) -> Result<()> {
    let worker = Arc::new(Worker {
        cores: settings.cores,
        memory: settings.memory,
        state: Mutex::new(WorkerState { boot: 1, ..WorkerState::default() }),
    });
    serve(settings.listen, move |request| worker.handle(request))
}

impl Worker {
    fn lock(&self) -> MutexGuard<'_, WorkerState> {
        let mut state = self.state.lock().expect("no thread ends while it holds the state");
        state.advance(Instant::now());
        state
    }

    fn handle(&self, mut request: Request) {
        let body = read_body(&mut request).unwrap_or_default();
        match request.url() {
            "/poll" => match serde_json::from_slice(&body) {
                Ok(body) => self.poll(request, &body),
                Err(error) => answer_json(request, 400, &error.to_string()),
            },
            "/start" => match serde_json::from_slice(&body) {
                Ok(body) => self.start(request, body),
                Err(error) => answer_json(request, 400, &error.to_string()),
            },
            "/stop" => match serde_json::from_slice(&body) {
                Ok(body) => self.stop(request, body),
                Err(error) => answer_json(request, 400, &error.to_string()),
            },
            "/standin/report" => {
                let report = self.lock().report.clone();
                answer_json(request, 200, &report);
            }
            "/standin/reboot" => {
                self.lock().reboot();
                answer_json(request, 200, &"rebooting");
            }
            _ => answer_json(request, 404, &"no such path"),
        }
    }

    fn poll(&self, request: Request, body: &PollBody) {
        let mut state = self.lock();
        let now = Instant::now();
        let renewed = body.lease.and_then(|lease| state.leases.get(&lease).copied());
        if let Some(issued) = renewed {
            let until = issued + Duration::from_millis(TASK_LEASE_DURATION.0);
            state.lease_until = state.lease_until.max(Some(until));
        }
        state.next_lease += 1;
        let lease = state.next_lease;
        state.leases.insert(lease, now);
        let oldest = now - Duration::from_millis(TASK_LEASE_DURATION.0);
        state.leases.retain(|_, issued| *issued >= oldest);
        let answer = TasksBody {
            boot: state.boot,
            lease,
            free_cores: Cores(self.cores - state.used_cores()),
            free_memory: Mebibytes(self.memory - state.used_memory()),
            tasks: state.reports(),
        };
        drop(state);
        answer_json(request, 200, &answer);
    }

    fn start(&self, request: Request, body: StartBody) {
        let mut state = self.lock();
        let outcome = self.try_start(&mut state, body);
        drop(state);
        match outcome {
            Ok(()) => answer_json(request, 200, &"started"),
            Err(reason) => answer_json(request, 409, &reason),
        }
    }

    fn try_start(&self, state: &mut WorkerState, body: StartBody) -> Result<(), &'static str> {
        let now = Instant::now();
        let issued = state.leases.get(&body.lease).copied();
        if issued.is_none_or(|issued| now - issued > START_LEASE) {
            state.report.lapsed_leases += 1;
            return Err("the lease has lapsed");
        }
        if let Some(known) = state.tasks.get(&body.job) {
            if known.attempt == body.attempt && known.state != TaskState::Stopped {
                return Ok(());
            }
            if known.attempt >= body.attempt {
                return Err("a later attempt was seen");
            }
        }
        let (kind, span) = body.spec.command.split_once(':').unwrap_or((&body.spec.command, "0"));
        if state.used_cores() + body.spec.cores.0 > self.cores {
            return Err("not enough free cores");
        }
        if state.used_memory() + body.spec.memory.0 > self.memory {
            return Err("not enough free memory");
        }
        state.report.starts += 1;
        *state.report.starts_by_job.entry(body.job.clone()).or_default() += 1;
        let ends = now + Duration::from_millis(span.parse().unwrap_or(0));
        state.lease_until =
            state.lease_until.max(Some(now + Duration::from_millis(TASK_LEASE_DURATION.0)));
        let fails = kind == "fail";
        let (attempt, spec) = (body.attempt, Some(body.spec));
        state
            .tasks
            .insert(body.job, Task { attempt, spec, ends, fails, state: TaskState::Running });
        Ok(())
    }

    fn stop(&self, request: Request, body: StopBody) {
        let mut state = self.lock();
        let now = Instant::now();
        let task = state.tasks.entry(body.job).or_insert(Task {
            attempt: 0,
            spec: None,
            ends: now,
            fails: false,
            state: TaskState::Stopped,
        });
        if task.attempt <= body.attempt {
            task.attempt = body.attempt;
            task.state = TaskState::Stopped;
        }
        drop(state);
        answer_json(request, 200, &"stopping");
    }
}

impl WorkerState {
    /// Ends tasks whose time has come or whose lease has lapsed.
    fn advance(&mut self, now: Instant) {
        let lapsed = self.lease_until.is_some_and(|until| now > until);
        for task in self.tasks.values_mut().filter(|task| task.state == TaskState::Running) {
            if now >= task.ends {
                task.state = match task.fails {
                    true => TaskState::Failed { reason: "the command failed".into() },
                    false => TaskState::Done,
                };
            } else if lapsed {
                task.state = TaskState::Stopped;
            }
        }
    }

    fn running(&self) -> impl Iterator<Item = &JobSpec> {
        let running = self.tasks.values().filter(|task| task.state == TaskState::Running);
        running.filter_map(|task| task.spec.as_ref())
    }

    fn used_cores(&self) -> u32 {
        self.running().map(|spec| spec.cores.0).sum()
    }

    fn used_memory(&self) -> u32 {
        self.running().map(|spec| spec.memory.0).sum()
    }

    fn reports(&self) -> Vec<TaskReport> {
        let report = |(job, task): (&JobId, &Task)| TaskReport {
            job: job.clone(),
            attempt: task.attempt,
            state: task.state.clone(),
        };
        self.tasks.iter().map(report).collect()
    }

    fn reboot(&mut self) {
        self.boot += 1;
        self.report.cut += self.running().count() as u64;
        self.tasks.clear();
        self.leases.clear();
    }
}
