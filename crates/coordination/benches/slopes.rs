//! Measures how the cost of one daemon grows with the fleet: the sizes of its
//! documents, the time of a tick and the time of a request. Prints one line of
//! JSON for each fleet size.
//!
//! An in-memory map replaces the store and answers at once, so the measured times
//! include only the state machine.

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

/// Number of ticks in one measurement.
const MEASURED_TICKS: u64 = 400;
/// Number of requests in one measurement.
const MEASURED_REQUESTS: u64 = 2_000;
const TICK_INTERVAL_MS: u64 = 50;

/// Number of VMs, pools and teams of a fleet.
#[derive(Clone, Copy)]
struct FleetSize {
    vms: usize,
    pools: usize,
    teams: usize,
}

/// State machine of one daemon with an in-memory platform.
struct FleetBench {
    core: Core,
    size: FleetSize,
    values: BTreeMap<Box<str>, StoredValue>,
    head_revision: u64,
    now_ms: u64,
    /// Number of platform calls so far.
    platform_calls: u64,
    /// Requests that the state machine has sent to minions.
    sent_requests: Vec<ReplyToken>,
}

fn parse_id<T: std::str::FromStr>(text: String) -> T {
    text.parse().ok().expect("the text is a valid id")
}

fn client_key(team: usize) -> KeyText {
    KeyText::new(parse_id(format!("key-{team}")), [7; 32])
}

fn list_vms(size: FleetSize) -> Vec<VmListing> {
    let list_vm = |number: usize, role| VmListing {
        vm: parse_id(format!("vm-{number}")),
        address: "127.0.0.1:1".into(),
        role,
        pool: parse_id(format!("pool-{}", number % size.pools)),
        data_centre: parse_id(format!("dc-{}", number % 7)),
        rack: parse_id(format!("rack-{}", number / 4)),
        slots: SlotCount(8),
        cores: Cores(16),
        memory: Mebibytes(65_536),
        accelerators: 2,
        boot: 1,
        presence: VmPresence::Live,
    };
    (0..size.vms).map(|number| list_vm(number, VmRole::Minion)).collect()
}

fn build_config(size: FleetSize) -> ConfigDoc {
    let pools = (0..size.pools).map(|pool| parse_id(format!("pool-{pool}")));
    let policy = PoolPolicy { open: false, min_available: 1, deadline: Millis(5_000) };
    let grant = PlanGrant { pools: pools.clone().collect(), priority: Priority::Normal };
    let team_plan = TeamPlan { plan: parse_id("plan".into()), share: 1, limit: 100 };
    let key_entry = |team: usize| {
        let text = client_key(team);
        (
            text.id().clone(),
            KeyRecord::from_key_text(&text, parse_id(format!("team-{team}")), "salt"),
        )
    };
    ConfigDoc {
        teams: (0..size.teams)
            .map(|team| (parse_id(format!("team-{team}")), team_plan.clone()))
            .collect(),
        plans: [(parse_id("plan".into()), grant)].into(),
        pools: pools.map(|pool| (pool, policy.clone())).collect(),
        keys: (0..size.teams).map(key_entry).collect(),
        ..ConfigDoc::default()
    }
}

impl FleetBench {
    fn new(size: FleetSize) -> Self {
        let daemon_ref =
            DaemonRef { daemon: parse_id("entry-1".into()), incarnation: Incarnation(1) };
        let identity = Identity {
            daemon_ref,
            vm: parse_id("vm-0".into()),
            data_centre: parse_id("dc-0".into()),
            peer_address: "127.0.0.1:2".into(),
        };
        let core = Core::new(identity, CoreSettings { queue_limit: 1_000 });
        let values = BTreeMap::new();
        let mut bench = Self {
            core,
            size,
            values,
            head_revision: 0,
            now_ms: 0,
            platform_calls: 0,
            sent_requests: Vec::new(),
        };
        let config = serde_json::to_string(&build_config(size)).expect("JSON");
        bench.write_value("shared/config", config.into());
        bench
    }

    fn write_value(&mut self, key: &str, value: Box<str>) -> Revision {
        self.head_revision += 1;
        let revision = Revision(self.head_revision);
        self.values.insert(key.into(), StoredValue { key: key.into(), revision, value });
        revision
    }

    fn handle_event(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let clock = Clock { now: Moment(self.now_ms + 1), wall_ms: self.now_ms };
            for effect in self.core.step(clock, event) {
                match effect {
                    Effect::Platform { call, request } => {
                        self.platform_calls += 1;
                        let answer = self.answer_request(&request);
                        events.extend(answer.map(|answer| Event::Platform { call, answer }));
                    }
                    Effect::Directive { token, directive: CallDirective::Send { .. } } => {
                        self.sent_requests.push(token);
                    }
                    _ => {}
                }
            }
        }
    }

    fn answer_request(&mut self, request: &PlatformRequest) -> Option<PlatformAnswer> {
        match request {
            PlatformRequest::Get { key } => {
                Some(PlatformAnswer::Value(self.values.get(key).cloned()))
            }
            PlatformRequest::Put { key, expect, value } => {
                let current = self.values.get(key).map_or(Revision(0), |value| value.revision);
                if current != *expect {
                    return Some(PlatformAnswer::Conflict);
                }
                Some(PlatformAnswer::Written(self.write_value(key, value.clone())))
            }
            PlatformRequest::Watch { after, .. } => {
                let values = self.values.range(Box::from("shared/")..Box::from("shared0"));
                let newer = values.map(|(_, value)| value.clone());
                let values: Vec<StoredValue> =
                    newer.filter(|value| value.revision > *after).collect();
                let head = Revision(self.head_revision);
                (!values.is_empty()).then_some(PlatformAnswer::Changes { head, values })
            }
            PlatformRequest::ListVms => Some(PlatformAnswer::Vms(list_vms(self.size))),
            PlatformRequest::Reboot { .. } => Some(PlatformAnswer::Accepted),
        }
    }

    /// Mean time of a tick, in microseconds.
    fn measure_tick_us(&mut self) -> f64 {
        let started = Instant::now();
        for _ in 0..MEASURED_TICKS {
            self.now_ms += TICK_INTERVAL_MS;
            self.handle_event(Event::Tick);
        }
        started.elapsed().as_micros() as f64 / MEASURED_TICKS as f64
    }

    /// Mean time of a request, in microseconds, and the number of requests that
    /// reached a minion.
    fn measure_request_us(&mut self) -> (f64, u64) {
        let mut done = 0;
        let started = Instant::now();
        for number in 0..MEASURED_REQUESTS {
            let arrival = CallArrival {
                token: ReplyToken(number),
                key: Some(client_key(number as usize % self.size.teams)),
                pool: parse_id(format!("pool-{}", number as usize % self.size.pools)),
                idempotent: true,
                idempotency_key: None,
                deadline: None,
            };
            self.handle_event(Event::Call(arrival));
            for token in std::mem::take(&mut self.sent_requests) {
                done += 1;
                let outcome = AttemptOutcome::Answered { status: 200, stored_answer: None };
                self.handle_event(Event::CallEnded { token, outcome });
            }
        }
        (started.elapsed().as_micros() as f64 / MEASURED_REQUESTS as f64, done)
    }

    fn stored_bytes(&self, key: &str) -> usize {
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
        let mut bench = FleetBench::new(size);
        let joining_tick_us = bench.measure_tick_us();
        let calls_before = bench.platform_calls;
        let tick_us = bench.measure_tick_us();
        let calls_per_second = (bench.platform_calls - calls_before) as f64
            / (MEASURED_TICKS * TICK_INTERVAL_MS) as f64
            * 1_000.0;
        let (request_us, done) = bench.measure_request_us();
        let line = serde_json::json!({
            "figure": "slopes", "vms": size.vms, "pools": size.pools, "teams": size.teams,
            "config_bytes": bench.stored_bytes("shared/config"),
            "fleet_bytes": bench.stored_bytes("shared/fleet"),
            "team_bytes": bench.stored_bytes("team/team-0"),
            "slots_bytes": bench.stored_bytes("slots/pool-0"),
            "joining_tick_us": joining_tick_us, "tick_us": tick_us, "request_us": request_us,
            "requests_done": done, "platform_calls_per_s": calls_per_second,
        });
        println!("{line}");
    }
}
