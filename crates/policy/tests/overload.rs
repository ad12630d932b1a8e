//! Loads of a full pool: how many jobs meet their objective in several orders of placement.

#[path = "load/pool.rs"]
mod pool;

use std::fmt::Write;

use insta::assert_snapshot;
use policy::{JobClass, JobLoad, PoolCapacity, StepLoad, TeamShares, TeamUse, select_jobs};
use pool::{PlacementOrder, PoolLoad, ServiceReport, TimedJob, serve_load};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use state::{Millis, Moment, TeamId};

/// Processor time of the pool, in millicores.
const POOL_MILLICORES: u64 = 320_000;

fn team(number: usize) -> TeamId {
    format!("team-{number}").parse().expect("valid name")
}

fn equal_shares(teams: usize) -> TeamShares {
    let mut shares = TeamShares::default();
    shares.set_weights((0..teams).map(|number| (team(number), 1.0)));
    shares
}

/// How far the runs of a load differ from their declarations.
#[derive(Debug, Clone, Copy)]
struct RunErrors {
    /// Largest relative error of a declared run time.
    declared: f64,
    /// Share of the runs that take seven times as long as the rest.
    stragglers: f64,
}

/// Draws a job of one to three steps, each with one to eight tasks of one to four cores. Declared
/// run times are off by up to `errors.declared`.
fn draw_job(rng: &mut StdRng, at_ms: u64, owner: TeamId, errors: RunErrors) -> TimedJob {
    let error = errors.declared;
    let steps = (0..rng.random_range(1..=3))
        .map(|_| {
            let run_time_ms = rng.random_range(200..=1_200);
            let declared = run_time_ms as f64 * rng.random_range(1.0 - error..=1.0 + error);
            let tasks = rng.random_range(1..=8);
            let straggles =
                |rng: &mut StdRng| if rng.random_bool(errors.stragglers) { 7 } else { 1 };
            pool::TimedStep {
                declared: Millis(declared as u64),
                run_times: (0..tasks).map(|_| Millis(run_time_ms * straggles(rng))).collect(),
                millicores: rng.random_range(1..=4) * 1_000,
            }
        })
        .collect();
    TimedJob { at_ms, team: owner, steps }
}

/// Draws jobs whose work arrives at `permille` of the pool's capacity from `from_ms` to `until_ms`.
fn draw_jobs(
    rng: &mut StdRng,
    times: std::ops::Range<u64>,
    permille: u64,
    errors: RunErrors,
    mut owner: impl FnMut(&mut StdRng) -> TeamId,
) -> Vec<TimedJob> {
    let mut jobs = Vec::new();
    let mut work = 0;
    loop {
        let at_ms = times.start + work * 1_000 / permille / POOL_MILLICORES;
        if at_ms >= times.end {
            return jobs;
        }
        let team = owner(rng);
        let job = draw_job(rng, at_ms, team, errors);
        work += job.work();
        jobs.push(job);
    }
}

/// A burst of 4.5 s at `permille` of the capacity, between calm times.
fn burst(seed: u64, permille: u64, errors: RunErrors) -> PoolLoad {
    let mut rng = StdRng::seed_from_u64(seed);
    let any = |rng: &mut StdRng| team(rng.random_range(0..20));
    let mut jobs = draw_jobs(&mut rng, 0..2_000, 50, errors, any);
    jobs.extend(draw_jobs(&mut rng, 2_000..6_500, permille, errors, any));
    jobs.extend(draw_jobs(&mut rng, 6_500..12_000, 50, errors, any));
    PoolLoad { millicores: POOL_MILLICORES, jobs, shares: equal_shares(20) }
}

/// Teams 1 to 19 ask for 40 % of the pool together, team 0 alone for 160 %.
fn hot_team(seed: u64, errors: RunErrors) -> PoolLoad {
    let mut rng = StdRng::seed_from_u64(seed);
    let other = |rng: &mut StdRng| team(rng.random_range(1..20));
    let mut jobs = draw_jobs(&mut rng, 0..12_000, 400, errors, other);
    jobs.extend(draw_jobs(&mut rng, 0..12_000, 1_600, errors, |_| team(0)));
    jobs.sort_by_key(|job| job.at_ms);
    PoolLoad { millicores: POOL_MILLICORES, jobs, shares: equal_shares(20) }
}

const ORDERS: [PlacementOrder; 4] = [
    PlacementOrder::Unlimited,
    PlacementOrder::FirstIn,
    PlacementOrder::LatestStart,
    PlacementOrder::Selection,
];

/// Number of seeds that each row of a table sums up.
const SEEDS: u64 = 5;

fn describe(label: &str, report: &ServiceReport) -> String {
    let ServiceReport { jobs, in_time, late, expired } = report;
    format!(
        "{label:<24} {jobs:>4} jobs: {in_time:>4} in time, {late:>4} late, {expired:>4} expired\n"
    )
}

/// Guards against an order that lets the jobs of a burst miss their objective.
#[rstest]
#[case::exact(RunErrors { declared: 0.0, stragglers: 0.0 })]
#[case::usual(RunErrors { declared: 0.3, stragglers: 0.03 })]
#[case::inexact(RunErrors { declared: 0.9, stragglers: 0.03 })]
fn burst_over_capacity(#[case] errors: RunErrors, #[values(1_450, 2_000)] permille: u64) {
    let mut table = String::new();
    for order in ORDERS {
        let mut sum = ServiceReport::default();
        for seed in 0..SEEDS {
            sum.add(&serve_load(&burst(seed, permille, errors), order).total());
        }
        table.push_str(&describe(&format!("{order:?}"), &sum));
    }
    let name = format!("burst_{permille}_error_{}", errors.declared);
    assert_snapshot!(name, table);
}

/// Guards against a team that starves the others.
#[rstest]
#[case::exact(RunErrors { declared: 0.0, stragglers: 0.0 })]
#[case::usual(RunErrors { declared: 0.3, stragglers: 0.03 })]
fn hot_team_against_nineteen_others(#[case] errors: RunErrors) {
    let mut table = String::new();
    for order in ORDERS {
        let (mut hot, mut others) = (ServiceReport::default(), ServiceReport::default());
        for seed in 0..SEEDS {
            let outcome = serve_load(&hot_team(seed, errors), order);
            hot.add(&outcome.of_team(&team(0)));
            (1..20).for_each(|number| others.add(&outcome.of_team(&team(number))));
        }
        table.push_str(&describe(&format!("{order:?}, hot team"), &hot));
        table.push_str(&describe(&format!("{order:?}, others"), &others));
    }
    let name = format!("hot_team_error_{}", errors.declared);
    assert_snapshot!(name, table);
}

/// Builds a job of one step that is due `due_ms` after its run time.
fn load_of(team: Option<TeamId>, work: u64, due_ms: u64) -> JobLoad {
    let run_time = Millis(1_000);
    let step = StepLoad { run_time, remaining_path: run_time, work };
    let objective_ms = due_ms + run_time.0;
    JobLoad {
        team,
        priority: 0,
        has_started: false,
        objective_ms,
        expiry_ms: 3 * objective_ms,
        steps: [step].into(),
    }
}

fn count_in_time(jobs: &[JobLoad], classes: &[JobClass], team: Option<&TeamId>) -> usize {
    let of_team = jobs.iter().zip(classes).filter(|(job, _)| job.team.as_ref() == team);
    of_team.filter(|(_, class)| **class <= JobClass::InTime).count()
}

/// Guards against a share of 0, an unknown team or a missing one that gets everything or nothing.
#[rstest]
#[case::share_of_zero("share_of_zero", &[0.0, 2.0, 4.0])]
#[case::no_positive_share("no_positive_share", &[0.0, 0.0, 0.0])]
#[case::negative_and_infinite("negative_and_infinite", &[-1.0, f64::INFINITY, f64::NAN])]
#[case::unknown_teams("unknown_teams", &[])]
#[case::one_team_only("one_team_only", &[1.0])]
fn unusual_shares(#[case] name: &str, #[case] weights: &[f64]) {
    let mut shares = TeamShares::default();
    shares.set_weights(weights.iter().enumerate().map(|(number, share)| (team(number), *share)));
    let capacity = PoolCapacity { millicores: 100_000, ..PoolCapacity::default() };
    let owners = [Some(team(0)), Some(team(1)), Some(team(2)), None];
    let owners = if weights.len() == 1 { &owners[..1] } else { &owners[..] };
    let jobs: Vec<JobLoad> = (0..80)
        .map(|number| load_of(owners[number % owners.len()].clone(), 10_000_000, 2_000))
        .collect();
    let borrowed: Vec<&JobLoad> = jobs.iter().collect();
    let classes = select_jobs(&borrowed, &capacity, &shares, 0);
    let mut text = String::new();
    for owner in owners {
        let count = count_in_time(&jobs, &classes, owner.as_ref());
        let _ =
            writeln!(text, "{owner:?}: weight {}, {count} in time", shares.weight(owner.as_ref()));
    }
    assert_snapshot!(format!("shares_{name}"), text);
}

/// Guards against past use that counts against a team for long.
#[test]
fn recorded_use_decays() {
    let mut shares = equal_shares(2);
    let busy = TeamUse { here: [(team(0), 100_000)].into(), ..TeamUse::default() };
    shares.record_use(Moment(0), busy.clone());
    let mut text = String::new();
    for at in [1_000, 3_000, 6_000, 12_000] {
        shares.record_use(Moment(at), busy.clone());
        let _ = writeln!(text, "{at} ms busy: {:.0}", shares.used_work(Some(&team(0))));
    }
    for at in [15_000, 18_000, 30_000, 100_000] {
        shares.record_use(Moment(at), TeamUse::default());
        let _ = writeln!(text, "{at} ms idle: {:.0}", shares.used_work(Some(&team(0))));
    }
    assert_snapshot!(text);
}

/// Guards against a job of an urgent queue that is left out for one of another queue.
#[test]
fn urgent_jobs_are_left_out_last() {
    let capacity = PoolCapacity { millicores: 100_000, ..PoolCapacity::default() };
    let mut jobs: Vec<JobLoad> =
        (0..40).map(|_| load_of(Some(team(0)), 10_000_000, 2_000)).collect();
    jobs.iter_mut().step_by(4).for_each(|job| job.priority = 1);
    let borrowed: Vec<&JobLoad> = jobs.iter().collect();
    let classes = select_jobs(&borrowed, &capacity, &equal_shares(1), 0);
    let is_urgent_left_out =
        |(job, class): (&JobLoad, &JobClass)| job.priority == 0 && *class > JobClass::InTime;
    let is_other_in_time =
        |(job, class): (&JobLoad, &JobClass)| job.priority == 1 && *class <= JobClass::InTime;
    assert!(jobs.iter().zip(&classes).any(is_urgent_left_out));
    assert!(!jobs.iter().zip(&classes).any(is_other_in_time));
}

/// Guards against a job that has begun and is left out for one that has not.
#[test]
fn begun_jobs_are_preferred() {
    let capacity = PoolCapacity { millicores: 100_000, ..PoolCapacity::default() };
    let mut jobs: Vec<JobLoad> =
        (0..30).map(|_| load_of(Some(team(0)), 10_000_000, 2_000)).collect();
    jobs.iter_mut().take(10).for_each(|job| job.has_started = true);
    let borrowed: Vec<&JobLoad> = jobs.iter().collect();
    let classes = select_jobs(&borrowed, &capacity, &equal_shares(1), 0);
    assert!(classes[..10].iter().all(|class| *class == JobClass::InTime), "{classes:?}");
    assert!(classes[10..].contains(&JobClass::Late), "{classes:?}");
}

/// Guards against a team whose limit binds, and whose jobs displace those of others.
#[test]
fn work_over_a_team_limit_displaces_nothing() {
    let capacity = PoolCapacity { millicores: 100_000, ..PoolCapacity::default() };
    let mut shares = TeamShares::default();
    shares.set_weights([(team(0), 100.0), (team(1), 1.0)]);
    shares.set_limits([(team(0), 20_000)]);
    let jobs: Vec<JobLoad> =
        (0..20).map(|number| load_of(Some(team(number % 2)), 6_000_000, 2_000)).collect();
    let borrowed: Vec<&JobLoad> = jobs.iter().collect();
    let classes = select_jobs(&borrowed, &capacity, &shares, 0);
    assert_eq!(count_in_time(&jobs, &classes, Some(&team(1))), 10);
}

/// Guards against overflow and division by zero by declared values.
#[rstest]
#[case::zero(StepLoad { run_time: Millis(0), remaining_path: Millis(0), work: 0 }, 0)]
#[case::largest(
    StepLoad { run_time: Millis(u64::MAX), remaining_path: Millis(u64::MAX), work: u64::MAX },
    u64::MAX
)]
fn extreme_values(#[case] step: StepLoad, #[case] objective_ms: u64) {
    let job = JobLoad {
        team: None,
        priority: u32::MAX,
        has_started: false,
        objective_ms,
        expiry_ms: objective_ms,
        steps: vec![step; 64].into(),
    };
    let jobs = vec![&job; 3];
    let capacity = PoolCapacity {
        millicores: u64::MAX >> 8,
        free_millicores: u64::MAX >> 8,
        ..PoolCapacity::default()
    };
    for capacity in [PoolCapacity::default(), capacity] {
        assert_eq!(select_jobs(&jobs, &capacity, &TeamShares::default(), 1_000).len(), 3);
    }
}
