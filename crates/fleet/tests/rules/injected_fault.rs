//! Kinds of faults that the seeded runs inject.

use std::collections::BTreeSet;

use rand::Rng;
use state::{DataCentreId, JobId, MinionId};

use crate::accepted_jobs::find_owner as find_pool_owner;
use crate::replaced_minions::{
    restart_at_once, set_answers_lost, set_partitioned, submit_timed_job,
};
use crate::seeded_runs::{DAEMON_COUNT, submit_many_jobs};
use crate::simulation::Simulation;

/// Time for which all daemons are down; longer than the leases of runs on a minion.
const LONG_DOWNTIME_MS: u64 = 8_000;
/// Minimum time until a minion restarts after an outage; longer than the delivery of an order takes.
const RESTART_DELAY_MS: u64 = 700;
/// Maximum duration of a silence of the store; longer than a watch waits for an answer.
const MAX_SILENCE_MS: u64 = 9_000;
/// Time for which restarted minions are cut off; longer than the longest lease.
const LONG_CUT_MS: u64 = 13_000;
/// Time until minions restart for the first time; their clocks are then further ahead of those of the
/// next incarnations than the longest lease.
const MIN_UPTIME_MS: u64 = 14_000;
/// Time in which jobs are submitted and minions restart.
const RESTART_SPAN_MS: u64 = 500;
/// Maximum time from the restart of minions until they are cut off, if their answers arrive.
const MAX_CUT_DELAY_MS: u64 = 400;
/// Maximum time from the restart of minions until they are cut off, if their answers are lost.
const MAX_UNANSWERED_CUT_DELAY_MS: u64 = 2_000;
/// Minimum run time of a task that starts around the restart of minions; most are longer than the
/// longest lease.
const MIN_LONG_RUN_MS: u64 = 9_000;
/// Number of jobs that are submitted around the restart of minions.
const RESTART_JOBS: u64 = 3;
/// Kind of fault that a run injects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InjectedFault {
    None,
    KilledDaemons,
    /// A daemon's process is suspended.
    FrozenDaemons,
    StoreDown,
    /// The store answers nothing that is sent or waits meanwhile, also after its return.
    StoreSilent,
    /// The connection over which a daemon waits for changes goes silent.
    SilentWatches,
    StoreRefuses,
    /// The store answers all daemons but one.
    StoreTurnsAway,
    /// A share of the writes gets no answer; half of these writes are carried out late.
    LostWrites,
    /// The store compacts its history once.
    Compactions,
    CrashedMinions,
    /// A minion is partitioned from store and daemons.
    CutMinions,
    /// A share of the orders gets no answer and reaches the minions late.
    LateOrders,
    FailingRuns,
    /// Runs fail while a daemon is killed and a minion crashes.
    FailuresLost,
    /// Finished runs accumulate while the store is down, and their owner is killed between
    /// the commits that save them.
    DiesBetweenSaves,
    /// A minion drains for a while, then crashes and restarts.
    DrainedMinions,
    /// The operator evacuates a data centre.
    DataCentreOut,
    /// The operator orders a maintenance wave.
    Wave,
    /// All daemons are killed at once.
    AllKilled,
    /// Runs fail, and all daemons are down for longer than the minions' leases.
    AllDownLong,
    /// A daemon joins, on a VM that was not there before.
    AddedDaemons,
    /// A daemon that owns a shard is gone for good, and another one joins later.
    ReplacedDaemons,
    /// Minions restart at once, while orders are on their way and jobs with long runs start. They are
    /// cut off soon after, and the owner of their pool may end.
    RestartedMinions,
    /// The same, but minions ignore a saved end that they have not reached.
    RestartedMinionsUntold,
    /// A maintenance wave, and single faults drawn at random.
    Mixed,
}

impl InjectedFault {
    /// Whether minions restart at once, while orders to them are on their way.
    pub fn restarts_at_once(self) -> bool {
        matches!(self, Self::RestartedMinions | Self::RestartedMinionsUntold)
    }
}

/// Faults that [`InjectedFault::Mixed`] draws from.
pub const SINGLE_FAULTS: [InjectedFault; 14] = [
    InjectedFault::KilledDaemons,
    InjectedFault::FrozenDaemons,
    InjectedFault::StoreDown,
    InjectedFault::StoreRefuses,
    InjectedFault::StoreTurnsAway,
    InjectedFault::LostWrites,
    InjectedFault::Compactions,
    InjectedFault::CrashedMinions,
    InjectedFault::CutMinions,
    InjectedFault::LateOrders,
    InjectedFault::FailingRuns,
    InjectedFault::DrainedMinions,
    InjectedFault::DataCentreOut,
    InjectedFault::AllKilled,
];

/// Returns the daemon that was the last to begin the ownership of a pool and is still up.
fn find_owner(simulation: &Simulation) -> Option<usize> {
    let mut decisions = simulation.pool_decisions.iter().rev();
    let owned =
        decisions.find(|(_, daemon, line)| line.outcome == "owned" && simulation.is_up(*daemon));
    owned.map(|(_, daemon, _)| *daemon)
}

/// Submits jobs whose runs may be longer than the longest lease, around the restart of minions.
fn submit_long_jobs(simulation: &mut Simulation) {
    for number in 0..RESTART_JOBS {
        let name = format!("{:016x}", 0x1_0000_0000 + simulation.now * RESTART_JOBS + number);
        let job: JobId = name.parse().expect("valid name");
        let delay = simulation.rng.random_range(0..RESTART_SPAN_MS);
        let run_ms = simulation.rng.random_range(MIN_LONG_RUN_MS..LONG_CUT_MS);
        submit_timed_job(simulation, job, delay, 4, run_ms);
    }
}

/// Draws a minion of the first pool.
fn draw_minion(simulation: &mut Simulation) -> MinionId {
    let minions = simulation.minions.iter();
    let of_pool = minions.filter(|(_, fake)| fake.is_up && fake.report.pool.as_str() == "pool-0");
    let minions: Vec<MinionId> = of_pool.map(|(minion, _)| minion.clone()).collect();
    minions[simulation.rng.random_range(0..minions.len())].clone()
}

/// Restarts minions while orders to them are on their way, cuts them off, and may end the owner of
/// their pool.
fn restart_and_cut(simulation: &mut Simulation) {
    simulation.run_until(simulation.now.max(MIN_UPTIME_MS));
    let minions = BTreeSet::from([draw_minion(simulation), draw_minion(simulation)]);
    simulation.faults.orders_outlive_incarnations = true;
    simulation.faults.connections_outlive_incarnations = simulation.rng.random_bool(0.5);
    simulation.faults.keeps_reports = true;
    submit_long_jobs(simulation);
    let restart_delay = simulation.rng.random_range(0..RESTART_SPAN_MS);
    simulation.run_until(simulation.now + restart_delay);
    let loses_answers = simulation.rng.random_bool(0.5);
    for minion in &minions {
        restart_at_once(simulation, minion);
        set_answers_lost(simulation, minion, loses_answers);
    }
    let max_delay = if loses_answers { MAX_UNANSWERED_CUT_DELAY_MS } else { MAX_CUT_DELAY_MS };
    let cut_delay = simulation.rng.random_range(0..max_delay);
    simulation.run_until(simulation.now + cut_delay);
    minions.iter().for_each(|minion| set_partitioned(simulation, minion, true));
    let owner = find_pool_owner(simulation, "pool-0");
    match simulation.rng.random_range(0..3) {
        0 => simulation.kill_daemon(owner),
        1 => simulation.stop_daemon(owner),
        _ => {}
    }
    simulation.run_until(simulation.now + LONG_CUT_MS);
    for minion in &minions {
        set_answers_lost(simulation, minion, false);
        set_partitioned(simulation, minion, false);
    }
    if !simulation.is_up(owner) {
        simulation.start_daemon(owner);
    }
}

/// Injects one fault at the virtual time `at`, for some seconds, and then removes it.
pub fn inject_fault(simulation: &mut Simulation, fault: InjectedFault, at: u64) {
    simulation.run_until(at);
    let max_duration = if fault == InjectedFault::StoreSilent { MAX_SILENCE_MS } else { 6_000 };
    let fault_duration = simulation.rng.random_range(RESTART_DELAY_MS..max_duration);
    let daemon = simulation.rng.random_range(0..DAEMON_COUNT);
    let minions: Vec<MinionId> = simulation.minions.keys().cloned().collect();
    let minion = minions[simulation.rng.random_range(0..minions.len())].clone();
    let data_centre: DataCentreId = "dc-1".parse().expect("valid name");
    match fault {
        InjectedFault::None | InjectedFault::Mixed | InjectedFault::Wave => {}
        InjectedFault::KilledDaemons => simulation.kill_daemon(daemon),
        InjectedFault::AddedDaemons => simulation.add_daemon(),
        InjectedFault::ReplacedDaemons => {
            let owner = find_owner(simulation).unwrap_or(daemon);
            simulation.kill_daemon(owner);
        }
        InjectedFault::FrozenDaemons => simulation.suspend_daemon(daemon, fault_duration),
        InjectedFault::StoreDown => simulation.faults.is_store_down = true,
        InjectedFault::StoreSilent => simulation.faults.is_store_silent = true,
        InjectedFault::SilentWatches => simulation.silence_watches_of(daemon),
        InjectedFault::StoreRefuses => simulation.faults.store_refuses = true,
        InjectedFault::StoreTurnsAway => simulation.faults.disconnected_daemons = vec![daemon],
        InjectedFault::LostWrites => simulation.faults.lost_write_probability = 0.4,
        InjectedFault::Compactions => simulation.store.compact(),
        InjectedFault::CrashedMinions => simulation.crash_minion(&minion),
        InjectedFault::CutMinions => {
            simulation.minions.get_mut(&minion).expect("known minion").is_partitioned = true;
        }
        InjectedFault::LateOrders => simulation.faults.late_order_probability = 0.3,
        InjectedFault::FailingRuns => simulation.faults.run_failure_probability = 0.4,
        InjectedFault::FailuresLost => {
            simulation.faults.run_failure_probability = 0.7;
            simulation.run_until(at + fault_duration / 2);
            simulation.kill_daemon(daemon);
            simulation.run_until(at + fault_duration / 2 + 40);
            simulation.crash_minion(&minion);
        }
        InjectedFault::DiesBetweenSaves => {
            simulation.faults.run_failure_probability = 0.7;
            submit_many_jobs(simulation);
            simulation.run_until(at + 800);
            simulation.faults.is_store_down = true;
            simulation.run_until(at + 2_200);
            simulation.faults.is_store_down = false;
            simulation.faults.kills_between_saves = true;
            simulation.run_until(at + 6_500);
        }
        InjectedFault::RestartedMinions => restart_and_cut(simulation),
        InjectedFault::RestartedMinionsUntold => {
            simulation.faults.ignores_unknown_saved_ends = true;
            restart_and_cut(simulation);
        }
        InjectedFault::DrainedMinions => {
            simulation.minions.get_mut(&minion).expect("known minion").report.is_draining = true;
        }
        InjectedFault::DataCentreOut => simulation.begin_evacuation(&data_centre),
        InjectedFault::AllKilled => {
            (0..DAEMON_COUNT).for_each(|daemon| simulation.kill_daemon(daemon))
        }
        InjectedFault::AllDownLong => {
            simulation.faults.run_failure_probability = 0.7;
            submit_many_jobs(simulation);
            simulation.run_until(at + fault_duration);
            (0..DAEMON_COUNT).for_each(|daemon| simulation.kill_daemon(daemon));
            simulation.run_until(at + fault_duration + LONG_DOWNTIME_MS);
        }
    }
    simulation.run_until(at + fault_duration);
    simulation.faults = Default::default();
    match fault {
        InjectedFault::KilledDaemons => simulation.start_daemon(daemon),
        InjectedFault::ReplacedDaemons => simulation.add_daemon(),
        InjectedFault::DiesBetweenSaves => {
            let daemons_down: Vec<usize> =
                (0..DAEMON_COUNT).filter(|daemon| !simulation.is_up(*daemon)).collect();
            daemons_down.into_iter().for_each(|daemon| simulation.start_daemon(daemon));
        }
        InjectedFault::FailuresLost => {
            simulation.start_daemon(daemon);
            simulation.restart_minion(&minion);
        }
        InjectedFault::AllKilled | InjectedFault::AllDownLong => {
            (0..DAEMON_COUNT).for_each(|daemon| simulation.start_daemon(daemon));
        }
        InjectedFault::CutMinions => {
            simulation.minions.get_mut(&minion).expect("known minion").is_partitioned = false;
        }
        InjectedFault::CrashedMinions => simulation.restart_minion(&minion),
        InjectedFault::DrainedMinions => {
            simulation.crash_minion(&minion);
            simulation.run_until(simulation.now + RESTART_DELAY_MS);
            simulation.restart_minion(&minion);
        }
        InjectedFault::DataCentreOut => simulation.end_evacuation(&data_centre),
        _ => {}
    }
}
