//! Orders for VMs whose fencing token the cloud refuses.

use state::VmId;

use crate::seeded_runs::{MINIONS_PER_POOL, build_config, build_report};
use crate::simulation::Simulation;

/// Virtual time at which every shard has an owner, which may give orders.
const SETTLED_MS: u64 = 9_000;
/// Time for which the orders are watched, in milliseconds.
const WATCHED_MS: u64 = 15_000;

fn build_settled_simulation() -> Simulation {
    let mut simulation = Simulation::new(3, 1, build_config());
    for number in 0..MINIONS_PER_POOL {
        simulation.add_minion(build_report(0, number));
    }
    simulation.run_until(SETTLED_MS);
    simulation
}

/// Guards against a VM controller that repeats an order under a token that the cloud refused, since
/// another controller has used a higher one.
#[test]
fn refused_order_for_a_vm_is_not_repeated_under_its_token() {
    let mut simulation = build_settled_simulation();
    let vm: VmId = "vm-00".parse().expect("valid name");
    simulation.cloud.raise_fence(&vm, u64::MAX);
    simulation.order_wave(1, vec![vm], 1);
    simulation.run_until(SETTLED_MS + WATCHED_MS);
    assert!(simulation.fence_rule.has_refusals(), "no order was refused");
    let repeated = simulation.fence_rule.repeated_orders;
    assert!(!simulation.fence_rule.is_broken(), "{repeated} orders under a refused token");
}
