//! The runs: one case a kind of trouble, each with several seeds.

use std::collections::BTreeMap;

use fleet::model::{FleetConfig, MinionReport, PoolConfig, QueueConfig, TeamConfig, WavePhase};
use jobs::{JobPhase, JobSpec, Resources, StepSpec};
use rand::Rng;
use rstest::rstest;
use state::{
    AcceleratorCount, DataCentreId, Mebibytes, Millicores, Millis, MinionId, TeamId, VmId,
};

use crate::cloud::FakeVm;
use crate::simulation::{PlannedJob, World};

const DAEMONS: usize = 3;
const POOLS: usize = 2;
const MINIONS_OF_POOL: usize = 4;
const SPARE_VMS: usize = 3;
/// Seeds of each kind; SEEDS plays more, SEED just one.
const SEEDS: u64 = 20;
/// Longer than the lease of what runs on a minion.
const LONG_DOWN_MS: u64 = 8_000;
/// How long a minion takes to come back: longer than an order is on its way.
const RESTART_MS: u64 = 700;
/// Troubles and submissions end here, in milliseconds.
const TROUBLE_END: u64 = 30_000;
/// The calm after them.
const RUN_END: u64 = 75_000;

fn config() -> FleetConfig {
    let mut pools = BTreeMap::new();
    let mut queues = Vec::new();
    for pool in 0..POOLS {
        let name: state::PoolId = format!("pool-{pool}").parse().expect("a name");
        pools.insert(name.clone(), PoolConfig { enforces_capacity: true, is_spare: false });
        queues.push(QueueConfig {
            queue: format!("queue-{pool}").parse().expect("a name"),
            host: "host.example".into(),
            prefix: format!("/q{pool}/").into(),
            pool: name,
            priority: 0,
            max_attempts: 3,
            slack_factor: 1.6,
            latency_objective: Millis(600),
            is_open: false,
            requires_ticket: false,
        });
    }
    let spare = PoolConfig { enforces_capacity: true, is_spare: true };
    pools.insert("pool-spare".parse().expect("a name"), spare);
    let team = |number: usize| TeamConfig {
        team: format!("team-{number}").parse().expect("a name"),
        keys: vec![format!("key-{number}").into()],
        share: 1.0,
        limit: Resources {
            processor: Millicores(20_000),
            memory: Mebibytes(u32::MAX),
            accelerators: AcceleratorCount(u32::MAX),
        },
    };
    FleetConfig { version: 1, queues, pools, teams: vec![team(0), team(1)] }
}

fn report(pool: usize, number: usize) -> MinionReport {
    MinionReport {
        minion: format!("i-{pool}{number}").parse().expect("a name"),
        minion_incarnation: 1 + number as u64,
        vm: Some(format!("vm-{pool}{number}").parse().expect("a name")),
        pool: format!("pool-{pool}").parse().expect("a name"),
        address: format!("10.0.{pool}.{number}:80").parse().expect("an address"),
        data_centre: format!("dc-{}", number % 2).parse().expect("a name"),
        is_draining: false,
        capacity: Resources {
            processor: Millicores(16_000),
            memory: Mebibytes(64_000),
            accelerators: AcceleratorCount(0),
        },
        labels: vec!["a".into()],
    }
}

fn step(world: &mut World, after: Vec<u16>) -> StepSpec {
    StepSpec {
        tasks: world.rng.random_range(1..6),
        demand: Resources {
            processor: Millicores(world.rng.random_range(300..3_000)),
            memory: Mebibytes(500),
            accelerators: AcceleratorCount(0),
        },
        estimate: Millis(1_000),
        after,
        max_per_minion: world.rng.random_bool(0.2).then_some(2),
        ..StepSpec::default()
    }
}

fn job(world: &mut World, is_lasting: bool) -> (TeamId, JobSpec) {
    let team = world.rng.random_range(0..2);
    let mut steps = vec![step(world, Vec::new())];
    if is_lasting {
        steps[0].long_running = true;
        steps[0].may_miss = 1;
        steps[0].tasks = 3;
        steps[0].demand.processor = Millicores(500);
    } else {
        for number in 1..world.rng.random_range(1..4u16) {
            let next = step(world, vec![number - 1]);
            steps.push(next);
        }
    }
    let team = format!("team-{team}").parse().expect("a name");
    (team, JobSpec { payload: "text".into(), steps, timetable: None })
}

fn prepare(seed: u64) -> World {
    let mut world = World::new(seed, DAEMONS, config());
    for pool in 0..POOLS {
        for number in 0..MINIONS_OF_POOL {
            world.add_minion(report(pool, number));
        }
    }
    for number in 0..SPARE_VMS {
        let vm = format!("vm-spare{number}").parse().expect("a name");
        world.cloud.vms.insert(vm, FakeVm::new("pool-spare".parse().expect("a name"), None));
    }
    for number in 0..40u64 {
        let is_lasting = number < 2;
        let (team, spec) = job(&mut world, is_lasting);
        let at = if is_lasting { 2_000 } else { world.rng.random_range(2_000..TROUBLE_END) };
        let queue = world.rng.random_range(0..POOLS);
        let cancel = world.rng.random_bool(0.1).then(|| world.rng.random_range(100..3_000));
        let cancel = cancel.filter(|_| !is_lasting);
        let name = format!("{:016x}", 0x1000 + number).parse().expect("a name");
        world.plan_job(at, name, PlannedJob { team, spec, queue, cancel_after: cancel });
    }
    world
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    None,
    KilledDaemons,
    FrozenDaemons,
    StoreDown,
    StoreRefuses,
    StoreTurnsAway,
    LostWrites,
    Compactions,
    CrashedMinions,
    CutMinions,
    LateOrders,
    FailingRuns,
    /// Runs fail while daemons are killed and minions crash.
    FailuresLost,
    /// Ends pile up while the store is down, and their owner dies while it saves them.
    DiesBetweenSaves,
    DrainedMinions,
    DataCentreOut,
    Wave,
    AllKilled,
    /// Runs fail, and all daemons are down for longer than the minions' leases.
    AllDownLong,
    Mixed,
}

const SINGLE: [Trouble; 14] = [
    Trouble::KilledDaemons,
    Trouble::FrozenDaemons,
    Trouble::StoreDown,
    Trouble::StoreRefuses,
    Trouble::StoreTurnsAway,
    Trouble::LostWrites,
    Trouble::Compactions,
    Trouble::CrashedMinions,
    Trouble::CutMinions,
    Trouble::LateOrders,
    Trouble::FailingRuns,
    Trouble::DrainedMinions,
    Trouble::DataCentreOut,
    Trouble::AllKilled,
];

/// Like jobs of one step for the first queue.
struct JobRow {
    jobs: u64,
    tasks: u32,
    processor: Millicores,
    /// Time from now to the first one.
    after: u64,
    /// Time from each to the next.
    gap: u64,
}

fn hand_in(world: &mut World, row: &JobRow) {
    for number in 0..row.jobs {
        let (team, mut spec) = job(world, false);
        spec.steps.truncate(1);
        spec.steps[0].tasks = row.tasks;
        spec.steps[0].demand.processor = row.processor;
        let name = format!("{:016x}", world.now * 100 + number).parse().expect("a name");
        let planned = PlannedJob { team, spec, queue: 0, cancel_after: None };
        world.plan_job(row.after + number * row.gap, name, planned);
    }
}

/// Jobs enough that their ends need several commits, and done well before the run's
/// end.
fn hand_in_many(world: &mut World) {
    let processor = Millicores(300);
    hand_in(world, &JobRow { jobs: 30, tasks: 2, processor, after: 0, gap: 0 });
}

/// Plays one trouble from `at` on, for some seconds; the world is calm after it.
fn trouble(world: &mut World, kind: Trouble, at: u64) {
    world.run_until(at);
    let span = world.rng.random_range(RESTART_MS..6_000);
    let daemon = world.rng.random_range(0..DAEMONS);
    let minions: Vec<MinionId> = world.minions.keys().cloned().collect();
    let minion = minions[world.rng.random_range(0..minions.len())].clone();
    let place: DataCentreId = "dc-1".parse().expect("a name");
    match kind {
        Trouble::None | Trouble::Mixed | Trouble::Wave => {}
        Trouble::KilledDaemons => world.kill_daemon(daemon),
        Trouble::FrozenDaemons => world.freeze_daemon(daemon, span),
        Trouble::StoreDown => world.mischief.store_down = true,
        Trouble::StoreRefuses => world.mischief.store_refuses = true,
        Trouble::StoreTurnsAway => world.mischief.turned_away = vec![daemon],
        Trouble::LostWrites => world.mischief.lost_writes = 0.4,
        Trouble::Compactions => world.store.compact(),
        Trouble::CrashedMinions => world.crash_minion(&minion),
        Trouble::CutMinions => {
            world.minions.get_mut(&minion).expect("a minion").is_cut = true;
        }
        Trouble::LateOrders => world.mischief.late_orders = 0.3,
        Trouble::FailingRuns => world.mischief.failing_runs = 0.4,
        Trouble::FailuresLost => {
            world.mischief.failing_runs = 0.7;
            world.run_until(at + span / 2);
            world.kill_daemon(daemon);
            world.run_until(at + span / 2 + 40);
            world.crash_minion(&minion);
        }
        Trouble::DiesBetweenSaves => {
            world.mischief.failing_runs = 0.7;
            hand_in_many(world);
            world.run_until(at + 800);
            world.mischief.store_down = true;
            world.run_until(at + 2_200);
            world.mischief.store_down = false;
            world.mischief.dies_between_saves = true;
            world.run_until(at + 6_500);
        }
        Trouble::DrainedMinions => {
            world.minions.get_mut(&minion).expect("a minion").report.is_draining = true;
        }
        Trouble::DataCentreOut => world.take_out(&place),
        Trouble::AllKilled => (0..DAEMONS).for_each(|daemon| world.kill_daemon(daemon)),
        Trouble::AllDownLong => {
            world.mischief.failing_runs = 0.7;
            hand_in_many(world);
            world.run_until(at + span);
            (0..DAEMONS).for_each(|daemon| world.kill_daemon(daemon));
            world.run_until(at + span + LONG_DOWN_MS);
        }
    }
    world.run_until(at + span);
    world.mischief = Default::default();
    match kind {
        Trouble::KilledDaemons => world.start_daemon(daemon),
        Trouble::DiesBetweenSaves => {
            let down: Vec<usize> = (0..DAEMONS).filter(|daemon| !world.is_up(*daemon)).collect();
            down.into_iter().for_each(|daemon| world.start_daemon(daemon));
        }
        Trouble::FailuresLost => {
            world.start_daemon(daemon);
            world.raise_minion(&minion);
        }
        Trouble::AllKilled | Trouble::AllDownLong => {
            (0..DAEMONS).for_each(|daemon| world.start_daemon(daemon));
        }
        Trouble::CutMinions => {
            world.minions.get_mut(&minion).expect("a minion").is_cut = false;
        }
        Trouble::CrashedMinions => world.raise_minion(&minion),
        Trouble::DrainedMinions => {
            world.crash_minion(&minion);
            world.run_until(world.now + RESTART_MS);
            world.raise_minion(&minion);
        }
        Trouble::DataCentreOut => world.take_back(&place),
        _ => {}
    }
}

fn play(seed: u64, kind: Trouble) -> World {
    let mut world = prepare(seed);
    if matches!(kind, Trouble::Wave | Trouble::Mixed) {
        let vms: Vec<VmId> = world.cloud.vms.keys().step_by(2).cloned().collect();
        world.order_wave(1, vms, 2);
    }
    let mut at = 5_000;
    while at < TROUBLE_END {
        let next = match kind {
            Trouble::Mixed => SINGLE[world.rng.random_range(0..SINGLE.len())],
            other => other,
        };
        trouble(&mut world, next, at);
        at = world.now + world.rng.random_range(200..4_000);
    }
    world.run_until(RUN_END);
    world.checker.at_end(world.now);
    world
}

#[rstest]
#[case(Trouble::None)]
#[case(Trouble::KilledDaemons)]
#[case(Trouble::FrozenDaemons)]
#[case(Trouble::StoreDown)]
#[case(Trouble::StoreRefuses)]
#[case(Trouble::StoreTurnsAway)]
#[case(Trouble::LostWrites)]
#[case(Trouble::Compactions)]
#[case(Trouble::CrashedMinions)]
#[case(Trouble::CutMinions)]
#[case(Trouble::LateOrders)]
#[case(Trouble::FailingRuns)]
#[case(Trouble::DrainedMinions)]
#[case(Trouble::DataCentreOut)]
#[case(Trouble::Wave)]
#[case(Trouble::AllKilled)]
#[case(Trouble::Mixed)]
#[case(Trouble::FailuresLost)]
#[case(Trouble::DiesBetweenSaves)]
#[case(Trouble::AllDownLong)]
fn rules_hold_under(#[case] kind: Trouble) {
    let number = |name: &str| std::env::var(name).ok()?.parse::<u64>().ok();
    let seeds = match number("SEED") {
        Some(seed) => seed..seed + 1,
        None => 0..number("SEEDS").unwrap_or(SEEDS),
    };
    for seed in seeds {
        let world = play(seed, kind);
        let first = world.checker.breaches.first();
        assert!(
            first.is_none(),
            "{kind:?} seed {seed}: {} breaches, the first: {first:?}",
            world.checker.breaches.len()
        );
        assert!(world.checker.starts > 0, "{kind:?} seed {seed}: nothing was started");
    }
}

#[rstest]
fn a_calm_run_does_all_work() {
    let world = play(1, Trouble::None);
    for (name, job) in &world.checker.jobs {
        let is_owed = job.cancel_acked.is_none() && !job.spec.is_long_running();
        assert!(!is_owed || job.phase == Some(JobPhase::Complete), "{name}: {:?}", job.phase);
    }
    assert_eq!(world.refused, 0);
}

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn a_wave_is_done_whole(#[case] seed: u64) {
    let world = play(seed, Trouble::Wave);
    let vms = world.cloud.waves[&1].clone();
    let begun = vms.iter().filter(|vm| world.cloud.has_begun(1, vm)).count();
    assert_eq!(begun, vms.len());
    assert_eq!(world.store.statuses.last(), Some(&(1, WavePhase::Complete)));
}

/// Time after which nothing of an ended job is left, with some room.
const FORGOTTEN_MS: u64 = 400_000;

#[test]
fn ended_jobs_are_forgotten() {
    let mut world = play(1, Trouble::None);
    let lasting = world.checker.jobs.values().filter(|job| job.spec.is_long_running()).count();
    world.run_until(RUN_END + FORGOTTEN_MS);
    // A lasting job has its specification and its outcome.
    assert_eq!(world.store.job_records(), 2 * lasting);
}

#[test]
fn spare_vms_come_for_a_turn_and_go_back() {
    let mut world = prepare(1);
    let processor = Millicores(2_000);
    hand_in(&mut world, &JobRow { jobs: 40, tasks: 8, processor, after: 6_000, gap: 0 });
    world.run_until(12_000);
    assert!(world.cloud.moves >= SPARE_VMS as u64, "{} moves", world.cloud.moves);
    world.run_until(RUN_END);
    let spare: state::PoolId = "pool-spare".parse().expect("a name");
    let back = world.cloud.vms.values().filter(|vm| vm.pool == spare).count();
    assert_eq!(back, SPARE_VMS);
    assert_eq!(world.checker.breaches, Vec::new());
}

#[test]
fn spare_vms_come_before_work_piles_up() {
    let mut world = prepare(1);
    // 85 cores of work a second, of which 64 can be done.
    let processor = Millicores(2_000);
    hand_in(&mut world, &JobRow { jobs: 24, tasks: 5, processor, after: 5_000, gap: 118 });
    // The first came at 6 s; by the work that waits a VM was moved after 755 ms.
    world.run_until(6_000 + 700);
    assert!(world.cloud.moves >= 1, "no VM was moved");
}
