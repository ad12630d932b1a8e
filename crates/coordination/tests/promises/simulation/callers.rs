//! Callers and submitters, and what they do when an answer is lost.

use coordination::{CallArrival, ControlRequest, Event, ReplyToken};
use rand::Rng;
use rand::seq::IndexedRandom;
use state::{Cores, IdempotencyKey, JobId, JobSpec, Mebibytes, Millis, PoolId, TeamId, VmId};

use super::scenario::{self, key_of};
use super::{CallerAnswer, ScheduledEvent, Simulation};

/// How long a caller waits for an answer.
const CALLER_TIMEOUT_MS: u64 = 8_000;
const MAX_CALLS_PER_REQUEST: u32 = 4;

/// What one caller wants done.
#[derive(Debug, Clone)]
pub struct LogicalRequest {
    pub team: TeamId,
    pub pool: PoolId,
    pub idempotent: bool,
    pub idempotency_key: Option<IdempotencyKey>,
    call_count: u32,
}

/// One call for an order.
#[derive(Debug, Clone)]
pub struct CallRecord {
    pub request_index: usize,
    pub sent_at: u64,
    pub answer: Option<CallerAnswer>,
    pub starts: u32,
}

impl Simulation {
    /// Plans callers' requests over the scenario, in waves.
    pub fn schedule_calls(&mut self, duration_ms: u64) {
        let mut time_ms = 2_000;
        while time_ms < duration_ms {
            let is_peak = (time_ms / 4_000) % 3 == 1;
            time_ms += self.rng.random_range(5..if is_peak { 40 } else { 160 });
            let call_index = self.create_logical_request();
            self.schedule_at(time_ms, ScheduledEvent::CallerSend { call_index });
        }
    }

    fn create_logical_request(&mut self) -> u64 {
        let teams = scenario::teams();
        let team = teams.choose(&mut self.rng).expect("there are teams").clone();
        let pools = scenario::service_pools();
        let pool = pools.choose(&mut self.rng).expect("there are pools").clone();
        let idempotent = self.rng.random_bool(0.5);
        let number = self.checker.logical_requests.len();
        let keyed = !idempotent && self.rng.random_bool(0.8);
        let key = keyed.then(|| format!("order-{number}").parse().expect("an id"));
        self.checker.logical_requests.push(LogicalRequest {
            team,
            pool,
            idempotent,
            idempotency_key: key,
            call_count: 0,
        });
        self.create_call(number)
    }

    fn create_call(&mut self, request_index: usize) -> u64 {
        let call_index = self.checker.calls.len() as u64;
        self.checker.logical_requests[request_index].call_count += 1;
        self.checker.calls.push(CallRecord { request_index, sent_at: 0, answer: None, starts: 0 });
        call_index
    }

    pub fn send_call(&mut self, call_index: u64) {
        let logical_request = self.checker.logical_requests
            [self.checker.calls[call_index as usize].request_index]
            .clone();
        self.checker.calls[call_index as usize].sent_at = self.now;
        let running_daemons: Vec<usize> =
            (0..self.daemons.len()).filter(|to| self.daemons[*to].core.is_some()).collect();
        let Some(to) = running_daemons.choose(&mut self.rng).copied() else { return };
        let arrival = CallArrival {
            token: ReplyToken(call_index),
            key: Some(key_of(&logical_request.team)),
            pool: logical_request.pool,
            idempotent: logical_request.idempotent,
            idempotency_key: logical_request.idempotency_key,
            deadline: None,
        };
        let incarnation = self.daemons[to].incarnation;
        let delay_ms = self.random_delay_ms();
        let event = Box::new(Event::Call(arrival));
        self.schedule_after(delay_ms, ScheduledEvent::DaemonEvent { to, incarnation, event });
        self.schedule_after(CALLER_TIMEOUT_MS, ScheduledEvent::CallerTimeout { call_index });
    }

    pub fn deliver_caller_answer(&mut self, token: ReplyToken, answer: CallerAnswer) {
        let Some(call) = self.checker.calls.get_mut(token.0 as usize) else { return };
        if call.answer.is_some() {
            return;
        }
        call.answer = Some(answer);
        let (request_index, starts) = (call.request_index, call.starts);
        self.checker.record_answer(self.now, token, answer, starts);
        if answer != CallerAnswer::Done {
            self.retry_request(request_index);
        }
    }

    pub fn handle_caller_timeout(&mut self, call_index: u64) {
        if self.checker.calls[call_index as usize].answer.is_none() {
            self.checker.increment_counter("answer lost");
            self.retry_request(self.checker.calls[call_index as usize].request_index);
        }
    }

    /// A caller that may not repeat its request does so only under a key.
    fn retry_request(&mut self, request_index: usize) {
        let logical_request = &self.checker.logical_requests[request_index];
        let may_repeat = logical_request.idempotent || logical_request.idempotency_key.is_some();
        if may_repeat && logical_request.call_count < MAX_CALLS_PER_REQUEST {
            let call_index = self.create_call(request_index);
            let wait_ms = self.rng.random_range(1..2_000);
            self.schedule_after(wait_ms, ScheduledEvent::CallerSend { call_index });
        }
    }

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

    pub fn record_task_start(&mut self, vm: &VmId, job: &JobId) {
        let data_centre = self.platform.vms[vm].data_centre.clone();
        self.checker.increment_counter("task started");
        self.checker.check_data_centre(self.now, &data_centre, &format!("task {job}"));
        let team = scenario::team_of_job(job);
        self.check_team_limit(&team);
    }

    fn check_team_limit(&mut self, team: &TeamId) {
        let requests = self.hosts.running_requests();
        let requests =
            requests.filter(|(token, _)| self.checker.team_of_call(*token) == *team).count();
        let tasks = self.hosts.running_jobs().filter(|job| scenario::team_of_job(job) == *team);
        let running = requests + tasks.count();
        self.checker.check_limit(self.now, team, running as u32);
    }

    /// Submitters hand in jobs all the time.
    pub fn submit_job(&mut self) {
        let teams = scenario::teams();
        let team = teams.choose(&mut self.rng).expect("there are teams").clone();
        let number = self.checker.next_control_number();
        let job: JobId = format!("{team}.{number}").parse().expect("an id");
        let spec = JobSpec {
            pool: scenario::job_pool(),
            cores: Cores(self.rng.random_range(1..6)),
            memory: Mebibytes(1),
            accelerators: 0,
            run_time: Millis(self.rng.random_range(100..6_000)),
            command: "run".into(),
        };
        let cancel = self.rng.random_bool(0.2);
        let key = Some(key_of(&team));
        let request = ControlRequest::Submit { key: key.clone(), job: job.clone(), spec };
        self.send_control_request(ReplyToken(number), request, 0);
        if cancel {
            let number = self.checker.next_control_number();
            let wait_ms = self.rng.random_range(100..6_000);
            self.send_control_request(
                ReplyToken(number),
                ControlRequest::Cancel { key, job },
                wait_ms,
            );
        }
        let wait_ms = self.rng.random_range(100..1_500);
        self.schedule_after(wait_ms, ScheduledEvent::JobSubmission);
    }

    pub fn send_control_request(
        &mut self,
        token: ReplyToken,
        request: ControlRequest,
        wait_ms: u64,
    ) {
        let running_daemons: Vec<usize> =
            (0..self.daemons.len()).filter(|to| self.daemons[*to].core.is_some()).collect();
        let Some(to) = running_daemons.choose(&mut self.rng).copied() else { return };
        let incarnation = self.daemons[to].incarnation;
        let event = Box::new(Event::Control { token, request });
        self.schedule_after(wait_ms + 1, ScheduledEvent::DaemonEvent { to, incarnation, event });
    }
}
