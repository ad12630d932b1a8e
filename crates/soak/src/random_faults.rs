//! Random series of faults that overlap, while jobs arrive.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use eyre::eyre;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use crate::deployment::{DAEMONS, SoakDeployment};
use crate::minion::{LinkState, StandinMinion};
use crate::scripts::{SoakSettings, build_job, set_links};

/// Threads that inject faults of minions at the same time.
const MINION_FAULT_THREADS: usize = 3;
/// Minions that one fault concerns, at most.
const MAX_GROUP: usize = 3;
/// Threads that submit jobs at the same time.
const SUBMITTER_THREADS: usize = 2;
/// Time between two jobs of a thread, in milliseconds.
const JOB_INTERVAL_MS: std::ops::Range<u64> = 200..900;
/// Time between two faults of a thread, in milliseconds.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 500..4_000;
/// Time between two ends of daemons, in milliseconds.
const DAEMON_END_INTERVAL_MS: std::ops::Range<u64> = 2_000..12_000;
/// Time between the signals of one series, and until a daemon is started again, in milliseconds.
const SIGNAL_INTERVAL_MS: std::ops::Range<u64> = 20..400;
const RESTART_PAUSE_MS: std::ops::Range<u64> = 0..3_000;
/// Times of the links' faults, in milliseconds.
const LOSS_MS: std::ops::Range<u64> = 30..2_500;
const SHORT_LOSS_MS: std::ops::Range<u64> = 10..200;
const CUT_MS: std::ops::Range<u64> = 1_000..13_000;
const LATE_MS: std::ops::Range<u64> = 1_000..6_000;
/// Share of the orders that are late.
const LATE_SHARE: std::ops::Range<f64> = 0.1..0.6;

fn draw_millis(rng: &mut StdRng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(range))
}

/// Injects faults for the duration that the settings name.
pub(crate) fn play_random_faults(
    deployment: &SoakDeployment,
    rng: &mut StdRng,
    settings: &SoakSettings,
) -> eyre::Result<()> {
    let until = Instant::now() + settings.duration;
    let mut next_rng = || StdRng::seed_from_u64(rng.random());
    thread::scope(|scope| {
        for mut rng in (0..SUBMITTER_THREADS).map(|_| next_rng()).collect::<Vec<_>>() {
            scope.spawn(move || submit_jobs(deployment, &mut rng, until));
        }
        let has_late_orders = settings.has_late_orders;
        for mut rng in (0..MINION_FAULT_THREADS).map(|_| next_rng()).collect::<Vec<_>>() {
            scope.spawn(move || harm_minions(deployment, &mut rng, until, has_late_orders));
        }
        let mut rng = next_rng();
        let ends = scope.spawn(move || end_daemons(deployment, &mut rng, until));
        ends.join().unwrap_or_else(|_| Err(eyre!("the thread that ends daemons panicked")))
    })
}

fn submit_jobs(deployment: &SoakDeployment, rng: &mut StdRng, until: Instant) {
    while Instant::now() < until {
        let job = build_job(rng.random_range(1..12), rng.random_range(0.5..14.0));
        let result = deployment.submitters.submit(job);
        if !matches!(result, Ok(true)) {
            deployment.log.note(format!("a job was not accepted: {result:?}"));
        }
        thread::sleep(draw_millis(rng, JOB_INTERVAL_MS));
    }
}

fn harm_minions(
    deployment: &SoakDeployment,
    rng: &mut StdRng,
    until: Instant,
    has_late_orders: bool,
) {
    while Instant::now() < until {
        let count = rng.random_range(1..=MAX_GROUP);
        let group: Vec<_> = deployment.minions.choose_multiple(rng, count).cloned().collect();
        harm_group(&group, rng, has_late_orders);
        thread::sleep(draw_millis(rng, FAULT_INTERVAL_MS));
    }
}

/// Injects one fault into all minions of a group.
fn harm_group(group: &[Arc<StandinMinion>], rng: &mut StdRng, has_late_orders: bool) {
    let kinds = if has_late_orders { 6 } else { 5 };
    match rng.random_range(0..kinds) {
        0 => restart_all(group),
        1 => {
            restart_all(group);
            thread::sleep(draw_millis(rng, SHORT_LOSS_MS));
            hold_links(group, LinkState::AnswersLost, draw_millis(rng, SHORT_LOSS_MS));
            hold_links(group, LinkState::Cut, draw_millis(rng, CUT_MS));
        }
        2 => {
            set_links(group, LinkState::AnswersLost);
            restart_all(group);
            hold_links(group, LinkState::AnswersLost, draw_millis(rng, LOSS_MS));
            hold_links(group, LinkState::Cut, draw_millis(rng, CUT_MS));
        }
        3 => hold_links(group, LinkState::AnswersLost, draw_millis(rng, LOSS_MS)),
        4 => hold_links(group, LinkState::Cut, draw_millis(rng, CUT_MS)),
        _ => {
            let (share, duration) = (rng.random_range(LATE_SHARE), draw_millis(rng, LATE_MS));
            group.iter().for_each(|minion| minion.delay_orders(share, duration));
        }
    }
}

fn restart_all(group: &[Arc<StandinMinion>]) {
    group.iter().for_each(|minion| minion.restart());
}

/// Sets the state of the links for `duration`, and opens them then.
fn hold_links(group: &[Arc<StandinMinion>], state: LinkState, duration: Duration) {
    set_links(group, state);
    thread::sleep(duration);
    set_links(group, LinkState::Open);
}

/// Ends one or more daemons in series, and starts each again at once or later.
fn end_daemons(deployment: &SoakDeployment, rng: &mut StdRng, until: Instant) -> eyre::Result<()> {
    loop {
        thread::sleep(draw_millis(rng, DAEMON_END_INTERVAL_MS));
        if Instant::now() >= until {
            return Ok(());
        }
        let (count, is_killed) = (rng.random_range(1..=DAEMONS), rng.random_bool(0.5));
        let first = rng.random_range(0..DAEMONS);
        thread::scope(|scope| {
            let mut ends = Vec::new();
            for offset in 0..count {
                let index = (first + offset) % DAEMONS;
                let is_later = rng.random_bool(0.5);
                let pause = draw_millis(rng, RESTART_PAUSE_MS);
                let pause = if is_later { pause } else { Duration::ZERO };
                ends.push(scope.spawn(move || match is_killed {
                    true => deployment.kill_daemon(index, pause),
                    false => deployment.terminate_daemon(index, pause),
                }));
                thread::sleep(draw_millis(rng, SIGNAL_INTERVAL_MS));
            }
            ends.into_iter().try_for_each(|end| {
                end.join().unwrap_or_else(|_| Err(eyre!("a thread that ends a daemon panicked")))
            })
        })?;
    }
}
