//! Daemons, store, minions, cloud and submitters on one virtual clock.

use std::collections::BTreeMap;

use fleet::io::{
    CloudAnswer, CloudCall, ItemValue, MinionAnswer, MinionCall, MinionTarget, OrderRefusal,
    StoreAnswer, StoreCall,
};
use fleet::model::{FleetConfig, FleetSettings, MinionReport, WaveOrder};
use fleet::{
    CallId, ClientAction, ClientAnswer, ClientCall, Clock, Effect, Event, FleetCore, RequestToken,
    StoreKey,
};
use jobs::{JobSpec, TaskName};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use state::{DataCentreId, Incarnation, JobId, Millis, MinionId, Moment, TeamId, VmId};

use crate::checker::{Breach, RuleChecker, SeenJob};
use crate::cloud::{CloudFact, FakeCloud, FakeVm};
use crate::minion::{FakeMinion, MinionFact};
use crate::store::MemoryStore;

/// Added to the virtual clock for the time of day.
pub const WALL_BASE: u64 = 1_700_000_000_000;
const TICK_MS: u64 = 25;
const STORE_TIMEOUT: u64 = 1_000;
const ORDER_TIMEOUT: u64 = 600;
const PATIENCE: u64 = 3_000;

/// How things misbehave at present.
#[derive(Debug, Default, Clone)]
pub struct Mischief {
    pub store_down: bool,
    pub store_refuses: bool,
    /// Daemons that the store turns away.
    pub turned_away: Vec<usize>,
    /// Share of writes without an answer; half of these are done seconds later.
    pub lost_writes: f64,
    /// Share of orders without an answer that are carried out 2 to 12 s later.
    pub late_orders: f64,
    /// Share of runs that fail.
    pub failing_runs: f64,
    pub cloud_down: bool,
}

pub struct Daemon {
    core: Option<FleetCore>,
    incarnation: u64,
    frozen_until: u64,
}

#[derive(Debug, Clone)]
enum Message {
    Tick,
    StoreArrives {
        call: CallId,
        request: StoreCall,
        is_lost: bool,
    },
    OrderArrives {
        call: CallId,
        target: MinionTarget,
        token: u64,
        order: MinionCall,
        /// The life to which the connection leads: an order in flight dies with it.
        life: Option<u64>,
        is_late: bool,
    },
    CloudArrives {
        call: CallId,
        request: CloudCall,
    },
    Answer(Box<Event>),
    Submit {
        job: JobId,
    },
    Poll {
        job: JobId,
    },
    Cancel {
        job: JobId,
    },
    Abandon {
        token: RequestToken,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ask {
    Submit,
    Poll,
    Cancel,
}

/// Host, path and key of a job's requests.
type JobPath = (Box<str>, Box<str>, Option<Box<str>>);

struct WaitingWatch {
    daemon: usize,
    incarnation: u64,
    call: CallId,
    request: StoreCall,
    until: u64,
}

struct WaitingHold {
    daemon: usize,
    incarnation: u64,
    call: CallId,
    minion: MinionId,
    born: u64,
    token: u64,
    order: MinionCall,
    until: u64,
}

/// An order on its way.
struct OrderFlight {
    call: CallId,
    token: u64,
    order: MinionCall,
    life: Option<u64>,
    is_late: bool,
}

/// What a submitter is going to do.
pub struct PlannedJob {
    pub team: TeamId,
    pub spec: JobSpec,
    /// The queue's place in the configuration.
    pub queue: usize,
    pub cancel_after: Option<u64>,
}

pub struct World {
    pub now: u64,
    pub rng: StdRng,
    pub store: MemoryStore,
    pub minions: BTreeMap<MinionId, FakeMinion>,
    pub cloud: FakeCloud,
    pub daemons: Vec<Daemon>,
    pub config: FleetConfig,
    pub checker: RuleChecker,
    pub mischief: Mischief,
    pub accepted: u64,
    pub refused: u64,
    queue: BTreeMap<(u64, u64), (usize, u64, Message)>,
    sequence: u64,
    tokens: u64,
    asks: BTreeMap<RequestToken, (JobId, Ask, u64)>,
    watches: Vec<WaitingWatch>,
    holds: Vec<WaitingHold>,
    paths: BTreeMap<JobId, JobPath>,
    reports_at: u64,
    template: Option<MinionReport>,
    trace: bool,
}

impl World {
    pub fn new(seed: u64, daemons: usize, config: FleetConfig) -> Self {
        let mut world = Self {
            now: 1_000,
            rng: StdRng::seed_from_u64(seed),
            store: MemoryStore::default(),
            minions: BTreeMap::new(),
            cloud: FakeCloud::default(),
            daemons: Vec::new(),
            config: config.clone(),
            checker: RuleChecker::default(),
            mischief: Mischief::default(),
            accepted: 0,
            refused: 0,
            queue: BTreeMap::new(),
            sequence: 0,
            tokens: 0,
            asks: BTreeMap::new(),
            watches: Vec::new(),
            holds: Vec::new(),
            paths: BTreeMap::new(),
            reports_at: 0,
            template: None,
            trace: std::env::var_os("TRACE").is_some(),
        };
        world.store.put(StoreKey::Config, ItemValue::Config(config.into()), None);
        for daemon in 0..daemons {
            world.daemons.push(Daemon { core: None, incarnation: 0, frozen_until: 0 });
            world.start_daemon(daemon);
        }
        world
    }

    pub fn start_daemon(&mut self, daemon: usize) {
        let slot = &mut self.daemons[daemon];
        slot.incarnation += 1;
        let settings = FleetSettings {
            daemon: format!("edge-{daemon}").parse().expect("a name"),
            incarnation: Incarnation(slot.incarnation),
            data_centre: "dc-1".parse().expect("a name"),
            longest_hold: Millis(10_000),
            holder_span: Millis(3_000),
        };
        slot.core = Some(FleetCore::new(settings));
        slot.frozen_until = 0;
        let incarnation = slot.incarnation;
        let jitter = self.rng.random_range(0..TICK_MS);
        self.later(jitter, daemon, incarnation, Message::Tick);
    }

    pub fn kill_daemon(&mut self, daemon: usize) {
        self.daemons[daemon].core = None;
    }

    pub fn is_up(&self, daemon: usize) -> bool {
        self.daemons[daemon].core.is_some()
    }

    pub fn freeze_daemon(&mut self, daemon: usize, span: u64) {
        self.daemons[daemon].frozen_until = self.now + span;
    }

    pub fn add_minion(&mut self, report: MinionReport) {
        self.template.get_or_insert(report.clone());
        let rate = self.rng.random_range(980..=1_000);
        if let Some(vm) = report.vm.clone() {
            let fake = FakeVm::new(report.pool.clone(), Some(report.minion.clone()));
            self.cloud.vms.entry(vm).or_insert(fake);
        }
        let minion = FakeMinion::new(report.clone(), self.now, rate);
        self.minions.insert(report.minion.clone(), minion);
    }

    pub fn order_wave(&mut self, wave: u64, vms: Vec<VmId>, most_down: u32) {
        self.cloud.waves.insert(wave, vms.clone());
        let order = WaveOrder { wave, vms, duration: Millis(20_000), most_down };
        self.store.put(StoreKey::WaveOrder(wave), ItemValue::Wave(order), None);
        self.wake_watches();
    }

    pub fn take_out(&mut self, place: &DataCentreId) {
        self.checker.out_since.insert(place.clone(), self.now);
        self.store.put(StoreKey::Evacuation(place.clone()), ItemValue::Evacuation, None);
        self.wake_watches();
    }

    pub fn take_back(&mut self, place: &DataCentreId) {
        self.checker.out_since.remove(place);
        self.store.remove(&StoreKey::Evacuation(place.clone()));
        self.wake_watches();
    }

    pub fn crash_minion(&mut self, minion: &MinionId) {
        let Some(fake) = self.minions.get_mut(minion) else { return };
        let born = fake.report.born;
        fake.crash();
        self.checker.life_over(minion, born);
    }

    pub fn raise_minion(&mut self, minion: &MinionId) {
        let now = self.now;
        if let Some(fake) = self.minions.get_mut(minion)
            && !fake.is_up
        {
            fake.rise(now);
        }
        self.checker.draining_since.remove(minion);
    }

    /// A VM is back: it is a new minion of its pool, unless that is the spare one.
    fn raise_vm(&mut self, name: &VmId) {
        let pool = self.cloud.vms[name].pool.clone();
        if self.config.pools[&pool].is_spare {
            return;
        }
        let template = self.template.clone().expect("minions were added");
        let number = self.minions.len();
        let report = MinionReport {
            minion: format!("i-new-{number}").parse().expect("a name"),
            born: self.now,
            vm: Some(name.clone()),
            pool,
            address: format!("10.9.{}.{}:80", number / 200, number % 200).parse().expect("one"),
            ..template
        };
        self.cloud.vms.get_mut(name).expect("a VM").minion = Some(report.minion.clone());
        self.add_minion(report);
    }

    /// A submitter will hand a job in.
    pub fn plan_job(&mut self, at: u64, job: JobId, planned: PlannedJob) {
        let PlannedJob { team, spec, queue, cancel_after } = planned;
        let queue = self.config.queues[queue].clone();
        let known = self.config.teams.iter().find(|known| known.team == team);
        let key = Some(known.expect("a team").keys[0].clone());
        let seen = SeenJob {
            team,
            spec,
            pool: queue.pool.clone(),
            attempts: queue.attempts,
            is_accepted: false,
            is_rejected_only: true,
            is_cancel_sent: false,
            cancel_acked: None,
            phase: None,
        };
        self.checker.jobs.insert(job.clone(), seen);
        let path = format!("{}{job}", queue.prefix).into();
        self.paths.insert(job.clone(), (queue.host, path, key));
        self.later(at, 0, 0, Message::Submit { job: job.clone() });
        if let Some(after) = cancel_after {
            self.later(at + after, 0, 0, Message::Cancel { job });
        }
    }

    fn later(&mut self, delay: u64, daemon: usize, incarnation: u64, message: Message) {
        self.sequence += 1;
        let at = (self.now + delay, self.sequence);
        self.queue.insert(at, (daemon, incarnation, message));
    }

    /// Lets time pass until `until`.
    pub fn run_until(&mut self, until: u64) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > until {
                break;
            }
            let ((at, _), (daemon, incarnation, message)) = entry.remove_entry();
            self.now = self.now.max(at);
            self.surroundings();
            self.deliver(daemon, incarnation, message);
        }
        self.now = until;
    }

    /// What happens without any daemon: reports, ends, leases.
    fn surroundings(&mut self) {
        let now = self.now;
        if !self.mischief.store_down {
            self.store.expire(now);
        }
        for vm in self.cloud.advance(now) {
            self.raise_vm(&vm);
        }
        let ids: Vec<MinionId> = self.minions.keys().cloned().collect();
        for id in ids {
            let Some(fake) = self.minions.get_mut(&id).filter(|fake| fake.is_up) else { continue };
            let facts = fake.advance(now);
            self.note_facts(&id, facts, false);
        }
        if now >= self.reports_at {
            self.reports_at = now + 500;
            self.write_reports();
        }
        self.wake_holds();
        self.wake_watches();
    }

    fn write_reports(&mut self) {
        if self.mischief.store_down {
            return;
        }
        for (id, fake) in &self.minions {
            let key = StoreKey::Minion(id.clone());
            if fake.is_up && !fake.is_cut {
                let value = ItemValue::Minion(fake.report.clone());
                if self.store.get(&key).is_none_or(|item| item.value != value) {
                    self.store.put(key, value, None);
                    if fake.report.is_draining {
                        self.checker.draining_since.entry(id.clone()).or_insert(self.now);
                    }
                }
            } else {
                self.store.remove(&key);
            }
        }
    }

    fn note_facts(&mut self, id: &MinionId, facts: Vec<MinionFact>, is_late: bool) {
        let report = self.minions[id].report.clone();
        for fact in facts {
            if self.trace {
                println!("{} {id} {fact:?}", self.now);
            }
            match fact {
                MinionFact::Started { task, run } => {
                    self.checker.started(self.now, &self.config, &report, &task, run, is_late);
                }
                MinionFact::Ended { task, run, kind, number } => {
                    self.checker.ended(id, report.born, &task, run, kind, number);
                }
                MinionFact::Lapsed => self.checker.lapsed(id, report.born),
                MinionFact::Noted { upto } => {
                    self.checker.noted(self.now, id, report.born, upto);
                }
            }
        }
    }

    fn wake_watches(&mut self) {
        if self.watches.is_empty() {
            return;
        }
        let waiting = std::mem::take(&mut self.watches);
        for watch in waiting {
            let answer = if self.is_turned_away(watch.daemon) {
                Some(StoreAnswer::Unknown)
            } else {
                self.store.call(self.now, &watch.request)
            };
            let answer = match answer {
                None if self.now >= watch.until => {
                    let StoreCall::Watch { after, .. } = watch.request else { continue };
                    Some(StoreAnswer::Events { events: Vec::new(), at: after })
                }
                other => other,
            };
            match answer {
                Some(answer) => {
                    let event = Event::Store(watch.call, answer);
                    self.answer(watch.daemon, watch.incarnation, 2, event);
                }
                None => self.watches.push(watch),
            }
        }
    }

    fn wake_holds(&mut self) {
        let waiting = std::mem::take(&mut self.holds);
        for hold in waiting {
            let Some(fake) = self.minions.get_mut(&hold.minion) else { continue };
            if !fake.is_up || fake.is_cut || fake.report.born != hold.born {
                let event = Event::Minion(hold.call, MinionAnswer::Unknown);
                self.answer(hold.daemon, hold.incarnation, ORDER_TIMEOUT, event);
                continue;
            }
            if self.now < hold.until && !fake.has_ends() {
                self.holds.push(hold);
                continue;
            }
            let order = match hold.order {
                MinionCall::Hold { noted, wait, .. } => {
                    MinionCall::Hold { until_clock: None, noted, wait }
                }
                other => other,
            };
            let (answer, facts) = fake.order(self.now, hold.token, &order, None, (0, false));
            self.note_facts(&hold.minion, facts, false);
            self.answer(hold.daemon, hold.incarnation, 1, Event::Minion(hold.call, answer));
        }
    }

    fn answer(&mut self, daemon: usize, incarnation: u64, delay: u64, event: Event) {
        self.later(delay, daemon, incarnation, Message::Answer(Box::new(event)));
    }

    fn is_turned_away(&self, daemon: usize) -> bool {
        self.mischief.store_down || self.mischief.turned_away.contains(&daemon)
    }

    fn deliver(&mut self, daemon: usize, incarnation: u64, message: Message) {
        match message {
            Message::Tick => {
                self.step(daemon, incarnation, Event::Tick, &Message::Tick);
                if self.daemons[daemon].incarnation == incarnation && self.is_up(daemon) {
                    let frozen = self.daemons[daemon].frozen_until.saturating_sub(self.now);
                    self.later(TICK_MS.max(frozen), daemon, incarnation, Message::Tick);
                }
            }
            Message::Answer(event) => {
                let again = Message::Answer(event.clone());
                self.step(daemon, incarnation, *event, &again);
            }
            Message::StoreArrives { call, request, is_lost } => {
                self.at_store(daemon, incarnation, call, request, is_lost);
            }
            Message::OrderArrives { call, target, token, order, life, is_late } => {
                let flight = OrderFlight { call, token, order, life, is_late };
                self.at_minion(daemon, incarnation, &target, flight);
            }
            Message::CloudArrives { call, request } => {
                self.at_cloud(daemon, incarnation, call, &request);
            }
            Message::Submit { job } => self.ask(&job, Ask::Submit),
            Message::Poll { job } => self.ask(&job, Ask::Poll),
            Message::Cancel { job } => self.ask(&job, Ask::Cancel),
            Message::Abandon { token } => {
                if let Some((job, ask, _)) = self.asks.remove(&token) {
                    self.on_no_answer(&job, ask);
                }
            }
        }
    }

    fn step(&mut self, daemon: usize, incarnation: u64, event: Event, again: &Message) {
        let slot = &mut self.daemons[daemon];
        if slot.incarnation != incarnation {
            return;
        }
        if slot.frozen_until > self.now {
            let delay = slot.frozen_until - self.now;
            if !matches!(again, Message::Tick) {
                self.later(delay, daemon, incarnation, again.clone());
            }
            return;
        }
        let Some(core) = slot.core.as_mut() else { return };
        let clock = Clock { now: Moment(self.now), wall_ms: WALL_BASE + self.now };
        for effect in core.step(clock, event) {
            self.carry_out(daemon, incarnation, effect);
        }
    }

    fn carry_out(&mut self, daemon: usize, incarnation: u64, effect: Effect) {
        let delay = self.rng.random_range(1..4);
        match effect {
            Effect::Reply(token, answer) => self.on_reply(token, answer),
            Effect::Store(call, request) => {
                let is_write = matches!(request, StoreCall::Commit(_));
                let is_lost = is_write && self.rng.random_bool(self.mischief.lost_writes);
                let late = is_lost && self.rng.random_bool(0.5);
                let delay = if late { self.rng.random_range(1_000..6_000) } else { delay };
                if is_lost {
                    let event = Event::Store(call, StoreAnswer::Unknown);
                    self.answer(daemon, incarnation, STORE_TIMEOUT, event);
                }
                let message = Message::StoreArrives { call, request, is_lost };
                self.later(delay, daemon, incarnation, message);
            }
            Effect::Minion { call, target, token, order } => {
                let is_late = self.rng.random_bool(self.mischief.late_orders);
                let delay = if is_late { self.rng.random_range(2_000..12_000) } else { delay };
                if is_late {
                    let event = Event::Minion(call, MinionAnswer::Unknown);
                    self.answer(daemon, incarnation, ORDER_TIMEOUT, event);
                }
                let life = self.minions.get(&target.minion).map(|fake| fake.report.born);
                let message = Message::OrderArrives { call, target, token, order, life, is_late };
                self.later(delay, daemon, incarnation, message);
            }
            Effect::Cloud(call, request) => {
                self.later(delay, daemon, incarnation, Message::CloudArrives { call, request });
            }
            Effect::Log(line) => {
                if self.trace {
                    println!("{} edge-{daemon} {line:?}", self.now);
                }
            }
            Effect::Stopped => self.kill_daemon(daemon),
        }
    }

    fn at_store(
        &mut self,
        daemon: usize,
        incarnation: u64,
        call: CallId,
        request: StoreCall,
        is_lost: bool,
    ) {
        if self.is_turned_away(daemon) {
            if !is_lost {
                let event = Event::Store(call, StoreAnswer::Unknown);
                self.answer(daemon, incarnation, STORE_TIMEOUT, event);
            }
            return;
        }
        if self.mischief.store_refuses {
            return self.answer(daemon, incarnation, 2, Event::Store(call, StoreAnswer::Refused));
        }
        if self.trace && matches!(request, StoreCall::Commit(_)) {
            println!("{} edge-{daemon} {call:?} {request:?}", self.now);
        }
        match self.store.call(self.now, &request) {
            Some(_) if is_lost => {}
            Some(answer) => {
                let delay = self.rng.random_range(2..5);
                self.answer(daemon, incarnation, delay, Event::Store(call, answer));
            }
            None => {
                let StoreCall::Watch { wait, .. } = request else { return };
                let until = self.now + wait.0;
                self.watches.push(WaitingWatch { daemon, incarnation, call, request, until });
            }
        }
        self.wake_watches();
    }

    fn at_minion(
        &mut self,
        daemon: usize,
        incarnation: u64,
        target: &MinionTarget,
        flight: OrderFlight,
    ) {
        let OrderFlight { call, token, order, life, is_late } = flight;
        let fails = self.rng.random_bool(self.mischief.failing_runs);
        let works = self.rng.random_range(200..2_500);
        let is_reachable = self.minions.get(&target.minion).is_some_and(|fake| {
            let is_same_life = life == Some(fake.report.born);
            fake.is_up && !fake.is_cut && is_same_life
        });
        if !is_reachable {
            if !is_late {
                let event = Event::Minion(call, MinionAnswer::Unknown);
                self.answer(daemon, incarnation, ORDER_TIMEOUT, event);
            }
            return;
        }
        let step = match &order {
            MinionCall::Start { task, .. } => self.step_of(task),
            _ => None,
        };
        let fake = self.minions.get_mut(&target.minion).expect("it is reachable");
        let (answer, facts) = fake.order(self.now, token, &order, step.as_ref(), (works, fails));
        let waits = match (&order, &answer) {
            (MinionCall::Hold { wait, .. }, MinionAnswer::Held { .. })
                if wait.0 > 0 && !fake.has_ends() =>
            {
                Some(wait.0)
            }
            _ => None,
        };
        if self.trace && matches!(answer, MinionAnswer::Refused(_)) {
            let minion = &target.minion;
            println!("{} {minion} refuses edge-{daemon} token {token}: {answer:?}", self.now);
        }
        if let MinionAnswer::Refused(OrderRefusal::Malformed) = answer {
            panic!("a malformed order");
        }
        self.note_facts(&target.minion, facts, is_late);
        if is_late {
            return;
        }
        let born = self.minions[&target.minion].report.born;
        match waits {
            Some(wait) => self.holds.push(WaitingHold {
                daemon,
                incarnation,
                call,
                minion: target.minion.clone(),
                born,
                token,
                order,
                until: self.now + wait,
            }),
            None => self.answer(daemon, incarnation, 1, Event::Minion(call, answer)),
        }
    }

    fn step_of(&self, task: &TaskName) -> Option<jobs::StepSpec> {
        let job = self.checker.jobs.get(&task.job)?;
        job.spec.steps.get(usize::from(task.step)).cloned()
    }

    fn at_cloud(&mut self, daemon: usize, incarnation: u64, call: CallId, request: &CloudCall) {
        if self.mischief.cloud_down {
            let event = Event::Cloud(call, CloudAnswer::Unknown);
            return self.answer(daemon, incarnation, STORE_TIMEOUT, event);
        }
        let (answer, fact) = self.cloud.call(self.now, daemon, request);
        match fact {
            CloudFact::Nothing => {}
            CloudFact::Broken(what) => self.breach("ONE", what),
            CloudFact::MoveBegan { minion } => {
                minion.iter().for_each(|minion| self.crash_minion(minion));
            }
            CloudFact::UpkeepBegan { minion, wave } => {
                let most = match self.store.get(&StoreKey::WaveOrder(wave)).map(|item| &item.value)
                {
                    Some(ItemValue::Wave(order)) => order.most_down as usize,
                    _ => 0,
                };
                let down = self.cloud.down_of(wave);
                if down > most {
                    self.breach("LIMIT", format!("{down} VMs of wave {wave} are down"));
                }
                minion.iter().for_each(|minion| self.crash_minion(minion));
            }
        }
        self.answer(daemon, incarnation, 3, Event::Cloud(call, answer));
    }

    fn breach(&mut self, rule: &'static str, what: String) {
        self.checker.breaches.push(Breach { at: self.now, rule, what });
    }

    fn ask(&mut self, job: &JobId, ask: Ask) {
        let (host, path, key) = self.paths[job].clone();
        let up: Vec<usize> = (0..self.daemons.len()).filter(|daemon| self.is_up(*daemon)).collect();
        if up.is_empty() {
            return self.ask_again(job, ask, 500);
        }
        let daemon = up[self.rng.random_range(0..up.len())];
        self.tokens += 1;
        let token = RequestToken(self.tokens);
        let spec = self.checker.jobs[job].spec.clone();
        let action = match ask {
            Ask::Submit => ClientAction::Submit(Ok(spec)),
            Ask::Poll => ClientAction::Show,
            Ask::Cancel => ClientAction::Cancel,
        };
        let patience = Millis(PATIENCE);
        let call = ClientCall { token, host, path, key, patience, action };
        self.asks.insert(token, (job.clone(), ask, self.now));
        if ask == Ask::Submit {
            // Until the answer says otherwise it may have been accepted.
            self.checker.jobs.get_mut(job).expect("a job").is_rejected_only = false;
        }
        if ask == Ask::Cancel {
            self.checker.jobs.get_mut(job).expect("a job").is_cancel_sent = true;
        }
        self.later(PATIENCE + 500, 0, 0, Message::Abandon { token });
        let incarnation = self.daemons[daemon].incarnation;
        self.answer(daemon, incarnation, 1, Event::Client(call));
    }

    fn ask_again(&mut self, job: &JobId, ask: Ask, delay: u64) {
        let job = job.clone();
        let message = match ask {
            Ask::Submit => Message::Submit { job },
            Ask::Poll => Message::Poll { job },
            Ask::Cancel => Message::Cancel { job },
        };
        self.later(delay, 0, 0, message);
    }

    fn on_no_answer(&mut self, job: &JobId, ask: Ask) {
        self.ask_again(job, ask, 200);
    }

    fn on_reply(&mut self, token: RequestToken, answer: ClientAnswer) {
        let Some((job, ask, _)) = self.asks.remove(&token) else { return };
        if self.trace {
            println!("{} submitter of {job} {ask:?}: {answer:?}", self.now);
        }
        match (ask, answer) {
            (Ask::Submit, ClientAnswer::Accepted) => {
                let seen = self.checker.jobs.get_mut(&job).expect("a job");
                seen.is_accepted = true;
                self.accepted += 1;
                self.ask_again(&job, Ask::Poll, 300);
            }
            (Ask::Submit, ClientAnswer::NotDone { retry_after }) => {
                self.refused += 1;
                self.ask_again(&job, Ask::Submit, retry_after.0);
            }
            (Ask::Poll, ClientAnswer::Phase(phase)) => {
                self.checker.shown(self.now, &job, phase);
                if !phase.is_final() {
                    self.ask_again(&job, Ask::Poll, 700);
                }
            }
            (Ask::Poll, ClientAnswer::NoJob) => self.checker.missing(self.now, &job),
            // It came before its job.
            (Ask::Cancel, ClientAnswer::NoJob) => self.ask_again(&job, Ask::Cancel, 500),
            (Ask::Cancel, ClientAnswer::Cancelled) => {
                let seen = self.checker.jobs.get_mut(&job).expect("a job");
                if seen.is_accepted {
                    seen.cancel_acked = Some(self.now);
                } else {
                    self.ask_again(&job, Ask::Cancel, 500);
                }
            }
            (ask, ClientAnswer::Unknown | ClientAnswer::NotDone { .. }) => {
                self.ask_again(&job, ask, 300);
            }
            (_, other) => panic!("{job} {ask:?}: {other:?}"),
        }
    }
}
