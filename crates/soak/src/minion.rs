//! Stand-in of a minion: its link, its late orders, its heartbeats and its incarnations.

use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use state::{Millis, MinionId};

use crate::http_server::{ServedRequest, ServerReply, start_server};
use crate::incarnation::{CAPACITY_CPU, MinionClock, MinionIncarnation, MinionOrder};
use crate::run_log::RunLog;
use crate::store::StandinStore;

/// Pool of all minions.
pub(crate) const POOL: &str = "cutting";
/// Data centre of all processes.
pub(crate) const DATA_CENTRE: &str = "oss";
/// Interval at which a minion reports itself to the store.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Interval at which a minion looks for runs whose time has come.
const ADVANCE_INTERVAL: Duration = Duration::from_millis(5);
/// Reading of the clock at the beginning of a minion's first incarnation.
const FIRST_READING: Millis = Millis(480_000);
/// Reading of the clock at the beginning of a later incarnation.
const RESTART_READING: Millis = Millis(1);
/// Largest part by which a minion's clock is slow.
const MAX_SLOWNESS: f64 = 0.02;
/// Time after which a late order is carried out, in milliseconds.
const LATE_MS: std::ops::RangeInclusive<u64> = 2_000..=12_000;
/// Longest time for which a hold waits, in milliseconds.
const MAX_WAIT_MS: u64 = 2_000;
/// Memory of a minion, in MiB.
const MEMORY_MIB: u64 = 65_536;

/// What the link of a minion lets through.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LinkState {
    /// Everything.
    Open,
    /// Orders and heartbeats, but no answer.
    AnswersLost,
    /// Nothing.
    Cut,
}

/// Orders that get no answer and are carried out late.
struct LateOrders {
    until: Option<Instant>,
    /// Share of the orders, from 0 to 1.
    share: f64,
    rng: StdRng,
}

impl LateOrders {
    /// Draws the delay of the next order; `None` if it is carried out at once.
    fn draw_delay(&mut self) -> Option<Duration> {
        let is_active = self.until.is_some_and(|until| Instant::now() < until);
        let is_late = is_active && self.rng.random_bool(self.share);
        is_late.then(|| Duration::from_millis(self.rng.random_range(LATE_MS)))
    }
}

/// Stand-in of a minion, whose threads run until the process ends.
pub(crate) struct StandinMinion {
    /// Id of the minion, which all of its incarnations share.
    pub(crate) id: MinionId,
    hold_max: Millis,
    clock_rate: f64,
    address: OnceLock<SocketAddr>,
    incarnation: Mutex<MinionIncarnation>,
    changed: Condvar,
    link: Mutex<LinkState>,
    late_orders: Mutex<LateOrders>,
    sequence: Mutex<u64>,
    store: Arc<StandinStore>,
    log: Arc<RunLog>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl StandinMinion {
    /// Starts a minion whose clock and late orders follow from `seed`.
    pub(crate) fn start(
        id: MinionId,
        hold_max: Millis,
        seed: u64,
        store: &Arc<StandinStore>,
        log: &Arc<RunLog>,
    ) -> eyre::Result<Arc<Self>> {
        let mut rng = StdRng::seed_from_u64(seed);
        let clock_rate = 1.0 - rng.random_range(0.0..=MAX_SLOWNESS);
        let clock =
            MinionClock { began: Instant::now(), first_reading: FIRST_READING, rate: clock_rate };
        let incarnation = MinionIncarnation::new(id.clone(), 1, clock, hold_max, Arc::clone(log));
        let minion = Arc::new(Self {
            id,
            hold_max,
            clock_rate,
            address: OnceLock::new(),
            incarnation: Mutex::new(incarnation),
            changed: Condvar::new(),
            link: Mutex::new(LinkState::Open),
            late_orders: Mutex::new(LateOrders { until: None, share: 0.0, rng }),
            sequence: Mutex::new(0),
            store: Arc::clone(store),
            log: Arc::clone(log),
        });
        let receiver = Arc::clone(&minion);
        let address = start_server(move |request| receiver.receive(request))?;
        minion.address.get_or_init(|| address);
        minion.send_heartbeat();
        minion.start_threads();
        Ok(minion)
    }

    fn start_threads(self: &Arc<Self>) {
        let minion = Arc::clone(self);
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT_INTERVAL);
                minion.send_heartbeat();
            }
        });
        let minion = Arc::clone(self);
        thread::spawn(move || {
            loop {
                thread::sleep(ADVANCE_INTERVAL);
                lock(&minion.incarnation).advance(Instant::now());
                minion.changed.notify_all();
            }
        });
    }

    fn link(&self) -> LinkState {
        *lock(&self.link)
    }

    /// Changes what the link lets through.
    pub(crate) fn set_link(&self, state: LinkState) {
        *lock(&self.link) = state;
        self.log.note(format!("{}: the link is {state:?}", self.id));
    }

    /// Carries out a share of the orders late, and without an answer, for `duration`.
    pub(crate) fn delay_orders(&self, share: f64, duration: Duration) {
        let mut late = lock(&self.late_orders);
        (late.until, late.share) = (Some(Instant::now() + duration), share);
        let percent = (share * 100.0).round();
        self.log.note(format!("{}: {percent} % of the orders are late for {duration:?}", self.id));
    }

    /// Begins a new incarnation under the same id, while all connections stay open.
    pub(crate) fn restart(&self) {
        let mut incarnation = lock(&self.incarnation);
        let now = Instant::now();
        incarnation.crash(now);
        let number = incarnation.number + 1;
        let clock =
            MinionClock { began: now, first_reading: RESTART_READING, rate: self.clock_rate };
        let log = Arc::clone(&self.log);
        *incarnation = MinionIncarnation::new(self.id.clone(), number, clock, self.hold_max, log);
        drop(incarnation);
        *lock(&self.sequence) = 0;
        self.log.note(format!("{}: incarnation {number} begins", self.id));
        self.changed.notify_all();
        self.send_heartbeat();
    }

    /// Returns whether nothing runs and no end waits to be observed.
    pub(crate) fn is_idle(&self) -> bool {
        lock(&self.incarnation).is_idle()
    }

    /// Returns the entry of the list of machines.
    pub(crate) fn machine_entry(&self) -> Value {
        json!({
            "Machine": format!("machine-{}", self.id), "Pool": POOL, "State": "up",
            "Zone": DATA_CENTRE, "Labels": ["a", "r1"], "Id": self.id,
            "Capacity": { "Cpu": CAPACITY_CPU, "MemMb": MEMORY_MIB },
        })
    }

    fn send_heartbeat(&self) {
        if self.link() == LinkState::Cut {
            return;
        }
        let mut sequence = lock(&self.sequence);
        *sequence += 1;
        let entry = json!({
            "Service": POOL, "Address": self.address.get().map(SocketAddr::to_string),
            "Zone": DATA_CENTRE, "Version": "1", "Slots": 8, "State": "ready", "ColdLeftMs": 0,
            "Sequence": *sequence, "born": lock(&self.incarnation).born,
            "Machine": format!("machine-{}", self.id), "Labels": ["a", "r1"],
            "Capacity": { "Cpu": CAPACITY_CPU, "MemMb": MEMORY_MIB, "Gpu": 0 },
        });
        self.store.write(&format!("servers/{}", self.id), &entry);
    }

    fn receive(self: &Arc<Self>, request: &ServedRequest) -> ServerReply {
        if self.link() == LinkState::Cut {
            return ServerReply::Silence;
        }
        let Some(delay) = lock(&self.late_orders).draw_delay() else {
            let reply = self.carry_out(request);
            return if self.link() == LinkState::Open { reply } else { ServerReply::Silence };
        };
        let (minion, request) = (Arc::clone(self), request.clone());
        thread::spawn(move || {
            thread::sleep(delay);
            minion.carry_out(&request);
        });
        ServerReply::Silence
    }

    fn carry_out(&self, request: &ServedRequest) -> ServerReply {
        if request.expected_instance.as_deref().is_some_and(|id| id != self.id.as_str()) {
            return ServerReply::empty(421);
        }
        let Some(order) = request.decode_body::<MinionOrder>() else {
            return ServerReply::empty(400);
        };
        let mut incarnation = lock(&self.incarnation);
        let now = Instant::now();
        let result = incarnation.carry_out(&request.path, &order, now);
        let (status, body) = incarnation.answer(result, now);
        if &*request.path == "/api/hold" && status == 200 {
            return self.wait_for_end(incarnation, order.wait_ms);
        }
        drop(incarnation);
        self.changed.notify_all();
        ServerReply::json(status, &body)
    }

    /// Answers a hold once an end is listed or its time is over. The incarnation that has got the
    /// hold gives the answer, or nobody.
    fn wait_for_end(
        &self,
        mut incarnation: MutexGuard<'_, MinionIncarnation>,
        wait_ms: u64,
    ) -> ServerReply {
        let until = Instant::now() + Duration::from_millis(wait_ms.min(MAX_WAIT_MS));
        let number = incarnation.number;
        loop {
            let now = Instant::now();
            if incarnation.number != number {
                return ServerReply::Silence;
            }
            incarnation.advance(now);
            if incarnation.has_ends() || now >= until {
                return ServerReply::json(200, &incarnation.list_runs(now));
            }
            let waiting = self.changed.wait_timeout(incarnation, until - now);
            (incarnation, _) = waiting.unwrap_or_else(PoisonError::into_inner);
        }
    }
}
