//! Callers and submitters, and what they do when an answer is lost.

use coordination::{CallArrival, ControlRequest, Event, ReplyToken};
use rand::Rng;
use rand::seq::IndexedRandom;
use state::{Cores, IdempotencyKey, JobId, JobSpec, Mebibytes, Millis, PoolId, TeamId, VmId};

use super::scenario::{self, key_of};
use super::{Happening, Heard, World};

/// How long a caller waits for an answer.
const PATIENCE: u64 = 8_000;
const MOST_TRIES: u32 = 4;

/// What one caller wants done.
#[derive(Debug, Clone)]
pub struct Order {
    pub team: TeamId,
    pub pool: PoolId,
    pub idempotent: bool,
    pub key: Option<IdempotencyKey>,
    tries: u32,
}

/// One call for an order.
#[derive(Debug, Clone)]
pub struct Call {
    pub order: usize,
    pub sent_at: u64,
    pub heard: Option<Heard>,
    pub starts: u32,
}

impl World {
    /// Plans callers' requests over the scenario, in waves.
    pub fn plan_calls(&mut self, length: u64) {
        let mut time = 2_000;
        while time < length {
            let peak = (time / 4_000) % 3 == 1;
            time += self.rng.random_range(5..if peak { 40 } else { 160 });
            let call = self.new_order();
            self.at(time, Happening::Caller { call });
        }
    }

    fn new_order(&mut self) -> u64 {
        let teams = scenario::teams();
        let team = teams.choose(&mut self.rng).expect("there are teams").clone();
        let pools = scenario::service_pools();
        let pool = pools.choose(&mut self.rng).expect("there are pools").clone();
        let idempotent = self.rng.random_bool(0.5);
        let number = self.checker.orders.len();
        let keyed = !idempotent && self.rng.random_bool(0.8);
        let key = keyed.then(|| format!("order-{number}").parse().expect("an id"));
        self.checker.orders.push(Order { team, pool, idempotent, key, tries: 0 });
        self.new_call(number)
    }

    fn new_call(&mut self, order: usize) -> u64 {
        let call = self.checker.calls.len() as u64;
        self.checker.orders[order].tries += 1;
        self.checker.calls.push(Call { order, sent_at: 0, heard: None, starts: 0 });
        call
    }

    pub fn caller_sends(&mut self, call: u64) {
        let order = self.checker.orders[self.checker.calls[call as usize].order].clone();
        self.checker.calls[call as usize].sent_at = self.now;
        let alive: Vec<usize> =
            (0..self.daemons.len()).filter(|to| self.daemons[*to].core.is_some()).collect();
        let Some(to) = alive.choose(&mut self.rng).copied() else { return };
        let arrival = CallArrival {
            token: ReplyToken(call),
            key: Some(key_of(&order.team)),
            pool: order.pool,
            idempotent: order.idempotent,
            idempotency_key: order.key,
            deadline: None,
        };
        let run = self.daemons[to].run;
        let delay = self.delay();
        let event = Box::new(Event::Call(arrival));
        self.after(delay, Happening::Event { to, run, event });
        self.after(PATIENCE, Happening::CallerGivesUp { call });
    }

    pub fn caller_hears(&mut self, token: ReplyToken, heard: Heard) {
        let Some(call) = self.checker.calls.get_mut(token.0 as usize) else { return };
        if call.heard.is_some() {
            return;
        }
        call.heard = Some(heard);
        let (order, starts) = (call.order, call.starts);
        self.checker.heard(self.now, token, heard, starts);
        if heard != Heard::Done {
            self.try_again(order);
        }
    }

    pub fn caller_gives_up(&mut self, call: u64) {
        if self.checker.calls[call as usize].heard.is_none() {
            self.checker.count("answer lost");
            self.try_again(self.checker.calls[call as usize].order);
        }
    }

    /// A caller that may not repeat its request does so only under a key.
    fn try_again(&mut self, order: usize) {
        let known = &self.checker.orders[order];
        let may_repeat = known.idempotent || known.key.is_some();
        if may_repeat && known.tries < MOST_TRIES {
            let call = self.new_call(order);
            let wait = self.rng.random_range(1..2_000);
            self.after(wait, Happening::Caller { call });
        }
    }

    pub fn request_started(&mut self, token: ReplyToken, vm: &VmId) {
        let listing = &self.store.vms[vm];
        let data_centre = listing.data_centre.clone();
        self.checker.request_started(self.now, token, vm, &data_centre);
        let running: Vec<(ReplyToken, VmId)> =
            self.hosts.running_requests().map(|(token, vm)| (token, vm.clone())).collect();
        self.checker.check_slots(self.now, vm, &running);
        let team = self.checker.team_of(token);
        self.check_limit(&team);
    }

    pub fn task_started(&mut self, vm: &VmId, job: &JobId) {
        let data_centre = self.store.vms[vm].data_centre.clone();
        self.checker.count("task started");
        self.checker.check_data_centre(self.now, &data_centre, &format!("task {job}"));
        let team = scenario::team_of_job(job);
        self.check_limit(&team);
    }

    fn check_limit(&mut self, team: &TeamId) {
        let requests = self.hosts.running_requests();
        let requests = requests.filter(|(token, _)| self.checker.team_of(*token) == *team).count();
        let tasks = self.hosts.running_jobs().filter(|job| scenario::team_of_job(job) == *team);
        let running = requests + tasks.count();
        self.checker.check_limit(self.now, team, running as u32);
    }

    /// Submitters hand in jobs all the time.
    pub fn submit_jobs(&mut self) {
        let teams = scenario::teams();
        let team = teams.choose(&mut self.rng).expect("there are teams").clone();
        let number = self.checker.next_control();
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
        self.send_control(ReplyToken(number), request, 0);
        if cancel {
            let number = self.checker.next_control();
            let wait = self.rng.random_range(100..6_000);
            self.send_control(ReplyToken(number), ControlRequest::Cancel { key, job }, wait);
        }
        let wait = self.rng.random_range(100..1_500);
        self.after(wait, Happening::Jobs);
    }

    pub fn send_control(&mut self, token: ReplyToken, request: ControlRequest, wait: u64) {
        let alive: Vec<usize> =
            (0..self.daemons.len()).filter(|to| self.daemons[*to].core.is_some()).collect();
        let Some(to) = alive.choose(&mut self.rng).copied() else { return };
        let run = self.daemons[to].run;
        let event = Box::new(Event::Control { token, request });
        self.after(wait + 1, Happening::Event { to, run, event });
    }
}
