//! Scenarios in which a daemon falls behind: its processor executes fewer events than arrive,
//! or its process stands still for a while.

use fleet::ShardKey;
use jobs::JobPhase;
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

fn assert_jobs_complete(simulation: &mut Simulation) {
    simulation.checker.check_final_state(simulation.now);
    assert_eq!(simulation.checker.violations, Vec::new());
    for (name, job) in &simulation.checker.jobs {
        assert_eq!(job.phase, Some(JobPhase::Complete), "{name}");
    }
}

/// Duration for which the daemons stand still: longer than a lease is valid by its daemon's
/// clock, shorter than it lasts in the store.
const SHORT_STANDSTILL_MS: u64 = 2_750;
/// Duration of a standstill in which the leases end in the store.
const LONG_STANDSTILL_MS: u64 = 4_500;

/// Suspends all daemons just after the first pool's owner has renewed its lease, while tasks
/// run, and executes the rest of the run.
fn run_with_standstill(seed: u64, duration: u64) -> Simulation {
    let mut simulation = build_settled_simulation(seed);
    let processor = Millicores(300);
    submit_batch(
        &mut simulation,
        &JobBatch { jobs: 20, tasks: 10, processor, first_delay: 100, interval: 200 },
    );
    simulation.run_until(SETTLED_MS + 500);
    while simulation.store.lease_renewed_at(&first_pool()) + 10 < simulation.now {
        simulation.run_until(simulation.now + 1);
    }
    simulation.run_until(simulation.now + 10);
    for daemon in 0..DAEMON_COUNT {
        simulation.suspend_daemon(daemon, duration);
    }
    simulation.run_until(END_MS);
    simulation
}

/// Guards against an owner that gives its pool up, although its lease has not ended, because it
/// stood still until the lease was no longer valid by its own clock.
#[rstest]
fn owner_resumes_under_the_lease_that_it_had(#[values(1, 2, 3)] seed: u64) {
    let simulation = run_with_standstill(seed, SHORT_STANDSTILL_MS);
    assert_eq!(count_owners(&simulation), 1, "owners of the pool");
    assert_eq!(simulation.orders_without_ownership, 0);
    assert_eq!(simulation.checker.violations, Vec::new());
}

/// Guards against an owner that continues under its fencing token after its lease has ended.
#[rstest]
fn owner_begins_anew_after_its_lease_has_ended(#[values(1, 2, 3)] seed: u64) {
    let simulation = run_with_standstill(seed, LONG_STANDSTILL_MS);
    assert_eq!(count_owners(&simulation), 2, "owners of the pool");
    assert_eq!(simulation.orders_without_ownership, 0);
    assert_eq!(simulation.checker.violations, Vec::new());
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
    assert_jobs_complete(&mut simulation);
}
