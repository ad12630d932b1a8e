//! What a pool requests and retains under different loads, and how the plan follows a forecast.

use policy::{CapacityPlan, PoolLoad, TurnForecast, plan_capacity};
use state::{Millicores, Millis};

const VM_CAPACITY: Millicores = Millicores(16_000);
/// Distance between the starts of two bursts.
const PERIOD_MS: u64 = 18_000;
const BURST_MS: u64 = 4_500;
/// Work that arrives in each millisecond of a burst, in millicores.
const BURST_RATE: u64 = 960_000;
/// Time from the order to move a VM until its pool can start tasks on it.
const ARRIVAL_DELAY: Millis = Millis(2_200);

/// A pool of 40 VMs without work.
fn idle_pool() -> PoolLoad {
    PoolLoad {
        vms: 40,
        capacity: Millicores(40 * VM_CAPACITY.0),
        vm_capacity: VM_CAPACITY,
        initial_vms: 40,
        ..PoolLoad::default()
    }
}

fn describe(name: &str, plan: CapacityPlan) -> String {
    format!("{name}: requests {}, retains {}", plan.requested, plan.retained)
}

/// Guards against a bound on the request that leaves a full pool waiting, against VMs that are given
/// back without a forecast, and against capacity that is retained twice.
#[test]
fn plan_follows_the_load() {
    let idle = idle_pool();
    let busy = PoolLoad { arrival_rate: Millicores(BURST_RATE), ..idle };
    let loads = [
        ("idle", idle),
        ("work arrives at 1.5 times the capacity", busy),
        ("open work of 3 s", PoolLoad { open_work: 3_000 * 40 * VM_CAPACITY.0, ..idle }),
        ("forecast of a pause", PoolLoad { expected_rate: Some(Millicores(0)), ..idle }),
        ("forecast of a burst", PoolLoad { expected_rate: Some(Millicores(BURST_RATE)), ..idle }),
        (
            "forecast of a pause, long-running tasks",
            PoolLoad {
                expected_rate: Some(Millicores(0)),
                long_running: Millicores(20 * VM_CAPACITY.0),
                ..idle
            },
        ),
        (
            "forecast of a pause while work arrives",
            PoolLoad { expected_rate: Some(Millicores(0)), ..busy },
        ),
        ("VMs that are added beyond the initial ones", PoolLoad { vms: 90, ..idle }),
        ("no VM, capacity not known", PoolLoad::default()),
        ("overflow", PoolLoad { open_work: u64::MAX, arrival_rate: Millicores(u64::MAX), ..idle }),
    ];
    let lines = loads.map(|(name, load)| describe(name, plan_capacity(&load)));
    insta::assert_snapshot!(lines.join("\n"));
}

/// Returns the forecast of a pool with `bursts` past bursts of equal work.
fn forecast_after(bursts: u64) -> TurnForecast {
    let mut forecast = TurnForecast::default();
    for burst in 0..bursts {
        for at_ms in (0..BURST_MS).step_by(50) {
            forecast.record_work(burst * PERIOD_MS + at_ms, 50 * BURST_RATE);
        }
        forecast.record_work(burst * PERIOD_MS + BURST_MS + 2_000, 1);
    }
    forecast
}

/// Guards against VMs that are requested only once a burst has begun although its time is known, and
/// against VMs that stay between two bursts.
#[test]
fn plan_is_ahead_of_a_forecast_burst() {
    let forecast = forecast_after(6);
    let begin_ms = 6 * PERIOD_MS - 6_000;
    let to_line = |after_ms: u64| {
        let now_ms = begin_ms + after_ms;
        let turn = forecast.next_turn(now_ms, None);
        let rate = turn.map(|turn| {
            let begins_soon = turn.start_ms <= now_ms + ARRIVAL_DELAY.0;
            Millicores(if begins_soon { turn.rate.0 } else { 0 })
        });
        let plan = plan_capacity(&PoolLoad { expected_rate: rate, ..idle_pool() });
        describe(&format!("{} ms before the burst", 6_000 - after_ms), plan)
    };
    let lines: Vec<String> = (0..=6_000).step_by(1_000).map(to_line).collect();
    insta::assert_snapshot!(lines.join("\n"));
}
