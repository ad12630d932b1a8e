//! Scenarios in which a daemon falls behind: its processor executes fewer events than arrive,
//! or its process stands still for a while.

use fleet::ShardKey;
use rstest::rstest;
use state::Millicores;

use crate::seeded_runs::{
    DAEMON_COUNT, JobBatch, MINIONS_PER_POOL, POOL_COUNT, build_config, build_report, submit_batch,
};
use crate::simulation::{ProcessorCost, Simulation};

/// Virtual time at which every shard has an owner.
const SETTLED_MS: u64 = 5_000;
/// Virtual time at which a run ends.
const END_MS: u64 = 60_000;

/// Builds a simulation of daemons, pools and minions without jobs, and runs it until every
/// shard has an owner.
fn build_settled_simulation(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(seed, DAEMON_COUNT, build_config());
    for pool in 0..POOL_COUNT {
        for number in 0..MINIONS_PER_POOL {
            simulation.add_minion(build_report(pool, number));
        }
    }
    simulation.run_until(SETTLED_MS);
    simulation
}

fn first_pool() -> ShardKey {
    ShardKey::Pool("pool-0".parse().expect("valid name"))
}

/// Number of owners that the first pool has had.
fn count_owners(simulation: &Simulation) -> u32 {
    simulation.store.ownership_counts[&first_pool()]
}

/// Guards against an owner that loses its lease, and the pool, because its processor cannot
/// execute all events of a long queue in time.
#[rstest]
#[case::short_backlog(ProcessorCost { event: 6, call: 2 })]
#[case::long_backlog(ProcessorCost { event: 10, call: 4 })]
fn overloaded_owner_keeps_its_pool(#[case] cost: ProcessorCost, #[values(1, 2, 3)] seed: u64) {
    let mut simulation = build_settled_simulation(seed);
    simulation.processor_cost = Some(cost);
    let processor = Millicores(100);
    submit_batch(
        &mut simulation,
        &JobBatch { jobs: 30, tasks: 60, processor, first_delay: 100, interval: 0 },
    );
    simulation.run_until(END_MS);
    assert_eq!(count_owners(&simulation), 1, "owners of the pool");
}
