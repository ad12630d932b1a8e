//! Stand-in of a worker: simulates tasks with timers, under leases that the
//! daemon's polls extend.
//!
//! The command of a task selects its outcome: `run:<ms>` succeeds and
//! `fail:<ms>` fails, each after the given milliseconds.

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

use crate::http_server::read_body;
use crate::serve::{send_json, serve_requests};

/// Maximum age of a lease at the start of a task.
const START_LEASE_VALIDITY: Duration = Duration::from_millis(3_000);

/// Settings of a worker's stand-in.
pub struct WorkerSettings {
    /// IP address and port to listen on.
    pub listen: SocketAddr,
    /// Number of cores for tasks.
    pub cores: u32,
    /// Memory for tasks, in MiB.
    pub memory: u32,
}

struct Task {
    attempt: u32,
    /// `None` if the job was stopped before it was started.
    spec: Option<JobSpec>,
    ends_at: Instant,
    /// Whether the task is reported as failed, not as done, at `ends_at`.
    ends_in_failure: bool,
    state: TaskState,
}

/// Counts since the start of the process, served at `/standin/report`.
#[derive(Debug, Clone, Default, Serialize)]
struct WorkerReport {
    starts: u64,
    starts_by_job: BTreeMap<JobId, u64>,
    /// Starts refused because their lease was unknown or too old.
    #[serde(rename = "lapsed_leases")]
    expired_lease_starts: u64,
    /// Tasks that were running when a reboot began.
    #[serde(rename = "cut")]
    interrupted_tasks: u64,
}

#[derive(Default)]
struct WorkerState {
    /// Number of boots, from 1.
    boot: u64,
    /// Number of the last issued lease.
    last_lease: u64,
    /// Issued leases by number, with their time of issue.
    leases: BTreeMap<u64, Instant>,
    /// Time after which the running tasks are stopped unless a poll or a start
    /// extends the lease.
    lease_until: Option<Instant>,
    tasks: BTreeMap<JobId, Task>,
    report: WorkerReport,
}

struct Worker {
    cores: u32,
    memory: u32,
    state: Mutex<WorkerState>,
}

/// Runs a worker's stand-in until the process is ended.
///
/// # Errors
///
/// Fails if the address cannot be listened on, or if a server thread panics.
pub fn run_worker(settings: &WorkerSettings) -> Result<()> {
    let worker = Arc::new(Worker {
        cores: settings.cores,
        memory: settings.memory,
        state: Mutex::new(WorkerState { boot: 1, ..WorkerState::default() }),
    });
    serve_requests(settings.listen, move |request| worker.handle_request(request))
}

impl Worker {
    /// Locks the state and ends the tasks that are due.
    fn lock_state(&self) -> MutexGuard<'_, WorkerState> {
        let mut state =
            self.state.lock().expect("no thread panics while it holds the state's lock");
        state.end_due_tasks(Instant::now());
        state
    }

    fn handle_request(&self, mut request: Request) {
        let body = read_body(&mut request).unwrap_or_default();
        match request.url() {
            "/poll" => match serde_json::from_slice(&body) {
                Ok(body) => self.handle_poll(request, &body),
                Err(error) => send_json(request, 400, &error.to_string()),
            },
            "/start" => match serde_json::from_slice(&body) {
                Ok(body) => self.handle_start(request, body),
                Err(error) => send_json(request, 400, &error.to_string()),
            },
            "/stop" => match serde_json::from_slice(&body) {
                Ok(body) => self.handle_stop(request, body),
                Err(error) => send_json(request, 400, &error.to_string()),
            },
            "/standin/report" => {
                let report = self.lock_state().report.clone();
                send_json(request, 200, &report);
            }
            "/standin/reboot" => {
                self.lock_state().reboot();
                send_json(request, 200, &"rebooting");
            }
            _ => send_json(request, 404, &"no such path"),
        }
    }

    /// Extends the lease of the running tasks to [`TASK_LEASE_DURATION`] after the
    /// issue of the lease that the poll confirms, issues a new lease, and reports all
    /// known tasks.
    fn handle_poll(&self, request: Request, body: &PollBody) {
        let mut state = self.lock_state();
        let now = Instant::now();
        let confirmed_lease = body.lease.and_then(|lease| state.leases.get(&lease).copied());
        if let Some(issued_at) = confirmed_lease {
            let until = issued_at + Duration::from_millis(TASK_LEASE_DURATION.0);
            state.lease_until = state.lease_until.max(Some(until));
        }
        state.last_lease += 1;
        let lease = state.last_lease;
        state.leases.insert(lease, now);
        let oldest_valid = now - Duration::from_millis(TASK_LEASE_DURATION.0);
        state.leases.retain(|_, issued_at| *issued_at >= oldest_valid);
        let answer = TasksBody {
            boot: state.boot,
            lease,
            free_cores: Cores(self.cores - state.used_cores()),
            free_memory: Mebibytes(self.memory - state.used_memory()),
            tasks: state.task_reports(),
        };
        drop(state);
        send_json(request, 200, &answer);
    }

    fn handle_start(&self, request: Request, body: StartBody) {
        let mut state = self.lock_state();
        let outcome = self.start_task(&mut state, body);
        drop(state);
        match outcome {
            Ok(()) => send_json(request, 200, &"started"),
            Err(reason) => send_json(request, 409, &reason),
        }
    }

    /// Starts a task, or returns the reason for the refusal. A repeated start of an
    /// attempt that was not stopped succeeds without effect.
    fn start_task(&self, state: &mut WorkerState, body: StartBody) -> Result<(), &'static str> {
        let now = Instant::now();
        let issued_at = state.leases.get(&body.lease).copied();
        if issued_at.is_none_or(|issued_at| now - issued_at > START_LEASE_VALIDITY) {
            state.report.expired_lease_starts += 1;
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
        let (action, duration_ms) =
            body.spec.command.split_once(':').unwrap_or((&body.spec.command, "0"));
        if state.used_cores() + body.spec.cores.0 > self.cores {
            return Err("not enough free cores");
        }
        if state.used_memory() + body.spec.memory.0 > self.memory {
            return Err("not enough free memory");
        }
        state.report.starts += 1;
        *state.report.starts_by_job.entry(body.job.clone()).or_default() += 1;
        let ends_at = now + Duration::from_millis(duration_ms.parse().unwrap_or(0));
        state.lease_until =
            state.lease_until.max(Some(now + Duration::from_millis(TASK_LEASE_DURATION.0)));
        let ends_in_failure = action == "fail";
        let (attempt, spec) = (body.attempt, Some(body.spec));
        state.tasks.insert(
            body.job,
            Task { attempt, spec, ends_at, ends_in_failure, state: TaskState::Running },
        );
        Ok(())
    }

    /// Stops the job unless a later attempt is known. A stop that arrives before the
    /// start of its attempt is recorded, so that the start is refused.
    fn handle_stop(&self, request: Request, body: StopBody) {
        let mut state = self.lock_state();
        let now = Instant::now();
        let task = state.tasks.entry(body.job).or_insert(Task {
            attempt: 0,
            spec: None,
            ends_at: now,
            ends_in_failure: false,
            state: TaskState::Stopped,
        });
        if task.attempt <= body.attempt {
            task.attempt = body.attempt;
            task.state = TaskState::Stopped;
        }
        drop(state);
        send_json(request, 200, &"stopping");
    }
}

impl WorkerState {
    /// Ends the running tasks whose run time has passed, and stops the others if
    /// the lease has expired.
    fn end_due_tasks(&mut self, now: Instant) {
        let is_lease_expired = self.lease_until.is_some_and(|until| now > until);
        for task in self.tasks.values_mut().filter(|task| task.state == TaskState::Running) {
            if now >= task.ends_at {
                task.state = match task.ends_in_failure {
                    true => TaskState::Failed { reason: "the command failed".into() },
                    false => TaskState::Done,
                };
            } else if is_lease_expired {
                task.state = TaskState::Stopped;
            }
        }
    }

    fn running_specs(&self) -> impl Iterator<Item = &JobSpec> {
        let running = self.tasks.values().filter(|task| task.state == TaskState::Running);
        running.filter_map(|task| task.spec.as_ref())
    }

    fn used_cores(&self) -> u32 {
        self.running_specs().map(|spec| spec.cores.0).sum()
    }

    fn used_memory(&self) -> u32 {
        self.running_specs().map(|spec| spec.memory.0).sum()
    }

    fn task_reports(&self) -> Vec<TaskReport> {
        let report_task = |(job, task): (&JobId, &Task)| TaskReport {
            job: job.clone(),
            attempt: task.attempt,
            state: task.state.clone(),
        };
        self.tasks.iter().map(report_task).collect()
    }

    /// Discards all tasks and leases, and counts the running tasks as interrupted.
    fn reboot(&mut self) {
        self.boot += 1;
        self.report.interrupted_tasks += self.running_specs().count() as u64;
        self.tasks.clear();
        self.leases.clear();
    }
}
