//! Fake callers and submitters.
//!
//! Callers send requests to random daemons and retry a request that was not
//! answered as done, provided that the request may be repeated. Submitters submit
//! and cancel jobs. The module also passes the starts of requests and tasks to the
//! checker.

use coordination::{CallArrival, ControlRequest, Event, ReplyToken};
use rand::Rng;
use rand::seq::IndexedRandom;
use state::{Cores, IdempotencyKey, JobId, JobSpec, Mebibytes, Millis, PoolId, TeamId, VmId};

use super::scenario::{self, key_of};
use super::{CallerAnswer, ScheduledEvent, Simulation};

/// Time that a caller waits for an answer before it counts the answer as lost.
const CALLER_TIMEOUT_MS: u64 = 8_000;
/// Maximum number of calls for one logical request, the first one included.
const MAX_CALLS_PER_REQUEST: u32 = 4;

/// A request as its caller sees it; retries of the request are further calls.
#[derive(Debug, Clone)]
pub struct LogicalRequest {
    pub team: TeamId,
    pub pool: PoolId,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    pub idempotency_key: Option<IdempotencyKey>,
    /// Number of calls made for the request so far.
    call_count: u32,
}

/// One call for a logical request. The index of the call is also its reply token.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// Index in [`Checker::logical_requests`](super::checker::Checker::logical_requests).
    pub request_index: usize,
    pub sent_at_ms: u64,
    pub answer: Option<CallerAnswer>,
    /// Number of times that a minion started the request for this call.
    pub start_count: u32,
}

impl Simulation {
    /// Schedules the first calls of all logical requests. The load alternates between 8 s
    /// of normal rate and 4 s of peak rate.
    pub fn schedule_calls(&mut self, duration_ms: u64) {
        let mut time_ms = 2_000;
        while time_ms < duration_ms {
            let is_peak = (time_ms / 4_000) % 3 == 1;
            time_ms += self.rng.random_range(5..if is_peak { 40 } else { 160 });
            let call_index = self.create_logical_request();
            self.schedule_at(time_ms, ScheduledEvent::CallerSend { call_index });
        }
    }

    /// Creates a random logical request and its first call, and returns the index of the call.
    fn create_logical_request(&mut self) -> u64 {
        let teams = scenario::team_ids();
        let team = teams.choose(&mut self.rng).expect("the list of teams is not empty").clone();
        let pools = scenario::service_pool_ids();
        let pool = pools.choose(&mut self.rng).expect("the list of pools is not empty").clone();
        let is_idempotent = self.rng.random_bool(0.5);
        let number = self.checker.logical_requests.len();
        let has_key = !is_idempotent && self.rng.random_bool(0.8);
        let idempotency_key =
            has_key.then(|| format!("order-{number}").parse().expect("the id is valid"));
        self.checker.logical_requests.push(LogicalRequest {
            team,
            pool,
            is_idempotent,
            idempotency_key,
            call_count: 0,
        });
        self.create_call(number)
    }

    /// Adds a call for a logical request and returns the index of the call.
    fn create_call(&mut self, request_index: usize) -> u64 {
        let call_index = self.checker.calls.len() as u64;
        self.checker.logical_requests[request_index].call_count += 1;
        self.checker.calls.push(CallRecord {
            request_index,
            sent_at_ms: 0,
            answer: None,
            start_count: 0,
        });
        call_index
    }

    /// Sends a call to a random running daemon. If no daemon runs, the call is dropped.
    pub fn send_call(&mut self, call_index: u64) {
        let logical_request = self.checker.logical_requests
            [self.checker.calls[call_index as usize].request_index]
            .clone();
        self.checker.calls[call_index as usize].sent_at_ms = self.now;
        let running_daemons: Vec<usize> =
            (0..self.daemons.len()).filter(|index| self.daemons[*index].core.is_some()).collect();
        let Some(to) = running_daemons.choose(&mut self.rng).copied() else { return };
        let arrival = CallArrival {
            token: ReplyToken(call_index),
            key: Some(key_of(&logical_request.team)),
            pool: logical_request.pool,
            idempotent: logical_request.is_idempotent,
            idempotency_key: logical_request.idempotency_key,
            deadline: None,
        };
        let incarnation = self.daemons[to].incarnation;
        let delay_ms = self.draw_delay_ms();
        let event = Box::new(Event::Call(arrival));
        self.schedule_after(delay_ms, ScheduledEvent::DaemonEvent { to, incarnation, event });
        self.schedule_after(CALLER_TIMEOUT_MS, ScheduledEvent::CallerTimeout { call_index });
    }

    /// Delivers the first answer of a call to its caller, who retries unless the request is done.
    pub fn deliver_caller_answer(&mut self, token: ReplyToken, answer: CallerAnswer) {
        let Some(call) = self.checker.calls.get_mut(token.0 as usize) else { return };
        if call.answer.is_some() {
            return;
        }
        call.answer = Some(answer);
        let (request_index, start_count) = (call.request_index, call.start_count);
        self.checker.record_answer(self.now, token, answer, start_count);
        if answer != CallerAnswer::Done {
            self.retry_request(request_index);
        }
    }

    /// Retries a request whose call has no answer after [`CALLER_TIMEOUT_MS`].
    pub fn handle_caller_timeout(&mut self, call_index: u64) {
        if self.checker.calls[call_index as usize].answer.is_none() {
            self.checker.increment_counter("answer lost");
            self.retry_request(self.checker.calls[call_index as usize].request_index);
        }
    }

    /// Schedules another call after a random delay. A request that is not idempotent is
    /// retried only if it has an idempotency key.
    fn retry_request(&mut self, request_index: usize) {
        let logical_request = &self.checker.logical_requests[request_index];
        let may_repeat = logical_request.is_idempotent || logical_request.idempotency_key.is_some();
        if may_repeat && logical_request.call_count < MAX_CALLS_PER_REQUEST {
            let call_index = self.create_call(request_index);
            let wait_ms = self.rng.random_range(1..2_000);
            self.schedule_after(wait_ms, ScheduledEvent::CallerSend { call_index });
        }
    }

    /// Checks the invariants that apply when a minion starts a request.
    pub fn record_request_start(&mut self, token: ReplyToken, vm: &VmId) {
        let listing = &self.platform.vms[vm];
        let data_centre = listing.data_centre.clone();
        self.checker.record_request_start(self.now, token, vm, &data_centre);
        let running_requests: Vec<(ReplyToken, VmId)> =
            self.hosts.running_requests().map(|(token, vm)| (token, vm.clone())).collect();
        self.checker.check_slots(self.now, vm, &running_requests);
        let team = self.checker.team_of_call(token);
        self.check_team_limit(&team);
    }

    /// Checks the invariants that apply when a worker starts a task.
    pub fn record_task_start(&mut self, vm: &VmId, job: &JobId) {
        let data_centre = self.platform.vms[vm].data_centre.clone();
        self.checker.increment_counter("task started");
        self.checker.check_data_centre(self.now, &data_centre, &format!("task {job}"));
        let team = scenario::team_of_job(job);
        self.check_team_limit(&team);
    }

    /// Passes the number of running requests and tasks of a team to the checker.
    fn check_team_limit(&mut self, team: &TeamId) {
        let running_requests = self.hosts.running_requests();
        let request_count = running_requests
            .filter(|(token, _)| self.checker.team_of_call(*token) == *team)
            .count();
        let team_jobs = self.hosts.running_jobs().filter(|job| scenario::team_of_job(job) == *team);
        let running_count = request_count + team_jobs.count();
        self.checker.check_limit(self.now, team, running_count as u32);
    }

    /// Submits a random job, cancels one job in five after a random delay, and schedules the
    /// next submission.
    pub fn submit_job(&mut self) {
        let teams = scenario::team_ids();
        let team = teams.choose(&mut self.rng).expect("the list of teams is not empty").clone();
        let number = self.checker.next_control_number();
        let job: JobId = format!("{team}.{number}").parse().expect("the id is valid");
        let spec = JobSpec {
            pool: scenario::job_pool_id(),
            cores: Cores(self.rng.random_range(1..6)),
            memory: Mebibytes(1),
            accelerators: 0,
            run_time: Millis(self.rng.random_range(100..6_000)),
            command: "run".into(),
        };
        let is_cancelled = self.rng.random_bool(0.2);
        let key = Some(key_of(&team));
        let request = ControlRequest::Submit { key: key.clone(), job: job.clone(), spec };
        self.send_control_request(ReplyToken(number), request, 0);
        if is_cancelled {
            let number = self.checker.next_control_number();
            let wait_ms = self.rng.random_range(100..6_000);
            self.send_control_request(
                ReplyToken(number),
                ControlRequest::Cancel { key, job },
                wait_ms,
            );
        }
        let interval_ms = self.rng.random_range(100..1_500);
        self.schedule_after(interval_ms, ScheduledEvent::JobSubmission);
    }

    /// Sends a control request to a random running daemon `wait_ms` + 1 ms from now. If no daemon
    /// runs, the request is dropped.
    pub fn send_control_request(
        &mut self,
        token: ReplyToken,
        request: ControlRequest,
        wait_ms: u64,
    ) {
        let running_daemons: Vec<usize> =
            (0..self.daemons.len()).filter(|index| self.daemons[*index].core.is_some()).collect();
        let Some(to) = running_daemons.choose(&mut self.rng).copied() else { return };
        let incarnation = self.daemons[to].incarnation;
        let event = Box::new(Event::Control { token, request });
        self.schedule_after(wait_ms + 1, ScheduledEvent::DaemonEvent { to, incarnation, event });
    }
}
