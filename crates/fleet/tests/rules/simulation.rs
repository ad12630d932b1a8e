//! Daemons, store, minions, cloud and submitters on one virtual clock.

mod delivery;
mod environment;
mod submitters;

use std::collections::BTreeMap;

use fleet::io::{
    CloudAnswer, CloudCall, ItemValue, MinionAnswer, MinionCall, MinionTarget, OrderRefusal,
    StoreAnswer, StoreCall,
};
use fleet::model::{FleetConfig, FleetSettings, MinionReport, WaveOrder};
use fleet::{
    CallId, ClientAction, ClientAnswer, ClientCall, ClientTarget, Clock, Effect, Event, FleetCore,
    ReplyToken, StoreKey,
};
use jobs::{JobSpec, TaskName};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use state::{DataCentreId, Incarnation, JobId, Millis, MinionId, Moment, QueueId, TeamId, VmId};

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
    /// A daemon dies with the first commit that saves ends without the roster.
    pub dies_between_saves: bool,
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
        token: ReplyToken,
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
    asks: BTreeMap<ReplyToken, (JobId, Ask, u64)>,
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
            max_run_lease: Millis(10_000),
            controller_lease: Millis(3_000),
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
        let order = WaveOrder { wave, vms, duration: Millis(20_000), max_down: most_down };
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
        self.now = self.now.max(until);
    }

    fn breach(&mut self, rule: &'static str, what: String) {
        self.checker.breaches.push(Breach { at: self.now, rule, what });
    }
}
