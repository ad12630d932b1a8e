//! How the cost of one daemon grows with the fleet: sizes of documents and
//! frames, time of a tick and of a request. Prints one JSON line a size.
//!
//! The store is a map that answers at once, so the times are those of the
//! decisions alone.

use std::collections::BTreeMap;
use std::time::Instant;

use coordination::{
    AttemptOutcome, CallArrival, CallDirective, Clock, Core, CoreSettings, Effect, Event, Identity,
    PlatformAnswer, PlatformRequest, ReplyToken, StoredValue,
};
use state::{
    ConfigDoc, Cores, DaemonRef, Incarnation, KeyRecord, KeyText, Mebibytes, Millis, Moment,
    PlanGrant, PoolPolicy, Priority, Revision, SlotCount, TeamPlan, VmListing, VmPresence, VmRole,
};

const TICKS: u64 = 400;
const CALLS: u64 = 2_000;
const TICK_MS: u64 = 50;

#[derive(Clone, Copy)]
struct FleetSize {
    vms: usize,
    pools: usize,
    teams: usize,
}

struct Bench {
    core: Core,
    size: FleetSize,
    values: BTreeMap<Box<str>, StoredValue>,
    head: u64,
    now: u64,
    calls: u64,
    sent: Vec<ReplyToken>,
}

fn id<T: std::str::FromStr>(text: String) -> T {
    text.parse().ok().expect("an id")
}

fn key(team: usize) -> KeyText {
    KeyText::new(id(format!("key-{team}")), [7; 32])
}

fn listing(size: FleetSize) -> Vec<VmListing> {
    let entry = |number: usize, role| VmListing {
        vm: id(format!("vm-{number}")),
        address: "127.0.0.1:1".into(),
        role,
        pool: id(format!("pool-{}", number % size.pools)),
        data_centre: id(format!("dc-{}", number % 7)),
        rack: id(format!("rack-{}", number / 4)),
        slots: SlotCount(8),
        cores: Cores(16),
        memory: Mebibytes(65_536),
        accelerators: 2,
        boot: 1,
        presence: VmPresence::Live,
    };
    (0..size.vms).map(|number| entry(number, VmRole::Minion)).collect()
}

fn config(size: FleetSize) -> ConfigDoc {
    let pools = (0..size.pools).map(|pool| id(format!("pool-{pool}")));
    let policy = PoolPolicy { open: false, min_available: 1, deadline: Millis(5_000) };
    let grant = PlanGrant { pools: pools.clone().collect(), priority: Priority::Normal };
    let row = TeamPlan { plan: id("plan".into()), share: 1, limit: 100 };
    let seal = |team: usize| {
        let text = key(team);
        (text.id().clone(), KeyRecord::seal(&text, id(format!("team-{team}")), "salt"))
    };
    ConfigDoc {
        teams: (0..size.teams).map(|team| (id(format!("team-{team}")), row.clone())).collect(),
        plans: [(id("plan".into()), grant)].into(),
        pools: pools.map(|pool| (pool, policy.clone())).collect(),
        keys: (0..size.teams).map(seal).collect(),
        ..ConfigDoc::default()
    }
}

impl Bench {
    fn new(size: FleetSize) -> Self {
        let me = DaemonRef { daemon: id("entry-1".into()), incarnation: Incarnation(1) };
        let identity = Identity {
            me,
            vm: id("vm-0".into()),
            data_centre: id("dc-0".into()),
            peer_address: "127.0.0.1:2".into(),
        };
        let core = Core::new(identity, CoreSettings { queue_limit: 1_000 });
        let values = BTreeMap::new();
        let mut bench = Self { core, size, values, head: 0, now: 0, calls: 0, sent: Vec::new() };
        let config = serde_json::to_string(&config(size)).expect("JSON");
        bench.put("shared/config", config.into());
        bench
    }

    fn put(&mut self, key: &str, value: Box<str>) -> Revision {
        self.head += 1;
        let revision = Revision(self.head);
        self.values.insert(key.into(), StoredValue { key: key.into(), revision, value });
        revision
    }

    fn step(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let clock = Clock { now: Moment(self.now + 1), wall_ms: self.now };
            for effect in self.core.step(clock, event) {
                match effect {
                    Effect::Platform { call, request } => {
                        self.calls += 1;
                        let answer = self.serve(&request);
                        events.extend(answer.map(|answer| Event::Platform { call, answer }));
                    }
                    Effect::Directive { token, directive: CallDirective::Send { .. } } => {
                        self.sent.push(token);
                    }
                    _ => {}
                }
            }
        }
    }

    fn serve(&mut self, request: &PlatformRequest) -> Option<PlatformAnswer> {
        match request {
            PlatformRequest::Get { key } => {
                Some(PlatformAnswer::Value(self.values.get(key).cloned()))
            }
            PlatformRequest::Put { key, expect, value } => {
                let current = self.values.get(key).map_or(Revision(0), |value| value.revision);
                if current != *expect {
                    return Some(PlatformAnswer::Conflict);
                }
                Some(PlatformAnswer::Written(self.put(key, value.clone())))
            }
            PlatformRequest::Watch { after, .. } => {
                let values = self.values.range(Box::from("shared/")..Box::from("shared0"));
                let newer = values.map(|(_, value)| value.clone());
                let values: Vec<StoredValue> =
                    newer.filter(|value| value.revision > *after).collect();
                let head = Revision(self.head);
                (!values.is_empty()).then_some(PlatformAnswer::Changes { head, values })
            }
            PlatformRequest::ListVms => Some(PlatformAnswer::Vms(listing(self.size))),
            PlatformRequest::Reboot { .. } => Some(PlatformAnswer::Accepted),
        }
    }

    fn tick_us(&mut self) -> f64 {
        let started = Instant::now();
        for _ in 0..TICKS {
            self.now += TICK_MS;
            self.step(Event::Tick);
        }
        started.elapsed().as_micros() as f64 / TICKS as f64
    }

    fn request_us(&mut self) -> (f64, u64) {
        let mut done = 0;
        let started = Instant::now();
        for number in 0..CALLS {
            let arrival = CallArrival {
                token: ReplyToken(number),
                key: Some(key(number as usize % self.size.teams)),
                pool: id(format!("pool-{}", number as usize % self.size.pools)),
                idempotent: true,
                idempotency_key: None,
                deadline: None,
            };
            self.step(Event::Call(arrival));
            for token in std::mem::take(&mut self.sent) {
                done += 1;
                let ending = AttemptOutcome::Answered { status: 200, kept: None };
                self.step(Event::CallEnded { token, outcome: ending });
            }
        }
        (started.elapsed().as_micros() as f64 / CALLS as f64, done)
    }

    fn bytes(&self, key: &str) -> usize {
        self.values.get(key).map_or(0, |value| value.value.len())
    }
}

fn main() {
    let sizes = [
        FleetSize { vms: 60, pools: 5, teams: 6 },
        FleetSize { vms: 300, pools: 60, teams: 30 },
        FleetSize { vms: 600, pools: 123, teams: 60 },
        FleetSize { vms: 1_200, pools: 246, teams: 120 },
    ];
    for size in sizes {
        let mut bench = Bench::new(size);
        let warm_up = bench.tick_us();
        let before = bench.calls;
        let tick = bench.tick_us();
        let calls = (bench.calls - before) as f64 / (TICKS * TICK_MS) as f64 * 1_000.0;
        let (request, done) = bench.request_us();
        let line = serde_json::json!({
            "figure": "slopes", "vms": size.vms, "pools": size.pools, "teams": size.teams,
            "config_bytes": bench.bytes("shared/config"),
            "fleet_bytes": bench.bytes("shared/fleet"),
            "team_bytes": bench.bytes("team/team-0"),
            "slots_bytes": bench.bytes("slots/pool-0"),
            "joining_tick_us": warm_up, "tick_us": tick, "request_us": request,
            "requests_done": done, "platform_calls_per_s": calls,
        });
        println!("{line}");
    }
}
