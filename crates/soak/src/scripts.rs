//! Scripts of faults. The seed chooses the minions and varies the times.

use std::path::PathBuf;
use std::str::FromStr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use eyre::eyre;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use state::{Millicores, Millis};

use crate::deployment::{DAEMONS, DeploymentPlan, SoakDeployment};
use crate::incarnation::TaskWork;
use crate::minion::{LinkState, StandinMinion};
use crate::random_faults::play_random_faults;
use crate::report::SoakReport;
use crate::submitter::SoakJob;

/// Minions that restart in a round.
const RESTARTED_MINIONS: usize = 3;
/// Processor demand of a task.
const TASK_CPU: Millicores = Millicores(400);
/// Time between the signals to two daemons.
const SIGNAL_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which the links are open between two rounds.
const ROUND_PAUSE: Duration = Duration::from_secs(2);
/// Time in which everything that runs must end after the last fault.
const SETTLE_LIMIT: Duration = Duration::from_secs(60);

/// Script of faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ScriptKind {
    /// Minions restart, get orders, lose answers, and are cut off.
    RestartCut,
    /// The same, and another minion restarts before the daemons end.
    RestartAnother,
    /// Minions restart and are cut off soon after.
    CutSoon,
    /// Minions restart, lose all answers from then on, and are cut off.
    AnswersLostFirst,
    /// A minion restarts while orders to it are late.
    LateOrders,
    /// A random series of faults that overlap.
    Soak,
}

impl FromStr for ScriptKind {
    type Err = Box<str>;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "restart-cut" => Ok(Self::RestartCut),
            "restart-another" => Ok(Self::RestartAnother),
            "cut-soon" => Ok(Self::CutSoon),
            "answers-lost-first" => Ok(Self::AnswersLostFirst),
            "late-orders" => Ok(Self::LateOrders),
            "soak" => Ok(Self::Soak),
            _ => Err(format!("there is no script {text}").into()),
        }
    }
}

/// What happens to the daemons when minions are cut off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerEnd {
    /// Nothing.
    None,
    /// Each gets SIGTERM and is started again some time after its end.
    Terminate,
    /// Each gets SIGKILL and is started again at once.
    Kill,
}

impl FromStr for OwnerEnd {
    type Err = Box<str>;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "none" => Ok(Self::None),
            "term" => Ok(Self::Terminate),
            "kill" => Ok(Self::Kill),
            _ => Err(format!("daemons cannot be ended by {text}").into()),
        }
    }
}

/// Settings of a soak.
#[derive(Debug, Clone)]
pub struct SoakSettings {
    /// Path of `pollenfalld`.
    pub program: PathBuf,
    /// Folder for the settings and the logs of the daemons.
    pub folder: PathBuf,
    /// Script to play.
    pub script: ScriptKind,
    /// What happens to the daemons in [`ScriptKind::RestartCut`] and [`ScriptKind::RestartAnother`].
    pub owner_end: OwnerEnd,
    /// Longest lease of a minion.
    pub hold_max: Millis,
    /// Rounds of a script that has rounds.
    pub rounds: u32,
    /// Time for which [`ScriptKind::Soak`] injects faults.
    pub duration: Duration,
    /// Whether [`ScriptKind::Soak`] delays orders.
    pub has_late_orders: bool,
    /// Seed of the script.
    pub seed: u64,
}

/// Plays a script on a deployment of its own, and returns what the minions saw.
///
/// # Errors
///
/// Returns the reason why the script could not be played.
pub fn run_script(settings: &SoakSettings) -> eyre::Result<SoakReport> {
    let minions = if settings.script == ScriptKind::LateOrders { 4 } else { 6 };
    let deployment = SoakDeployment::start(&DeploymentPlan {
        program: &settings.program,
        folder: &settings.folder,
        minions,
        hold_max: settings.hold_max,
        seed: settings.seed,
    })?;
    let mut rng = StdRng::seed_from_u64(settings.seed);
    for _ in 0..settings.rounds {
        match settings.script {
            ScriptKind::RestartCut | ScriptKind::RestartAnother => {
                play_restart_cut(&deployment, &mut rng, settings)?;
            }
            ScriptKind::CutSoon => play_cut_soon(&deployment, &mut rng),
            ScriptKind::AnswersLostFirst => play_answers_lost_first(&deployment, &mut rng),
            ScriptKind::LateOrders => play_late_orders(&deployment, &mut rng),
            ScriptKind::Soak => play_random_faults(&deployment, &mut rng, settings)?,
        }
        deployment.check_daemons()?;
    }
    let has_settled = deployment.settle(SETTLE_LIMIT);
    Ok(SoakReport::new(&deployment.log, has_settled))
}

/// Returns a job whose tasks take `seconds`.
pub(crate) fn build_job(tasks: u32, seconds: f64) -> SoakJob {
    let duration = Duration::from_secs_f64(seconds);
    SoakJob { tasks, work: TaskWork { duration, cpu: TASK_CPU } }
}

/// Sleeps for `duration`, varied by the seed by a fifth at most.
fn sleep_about(rng: &mut StdRng, duration: Duration) {
    thread::sleep(duration.mul_f64(rng.random_range(0.8..=1.2)));
}

fn millis_between(rng: &mut StdRng, shortest: u64, longest: u64) -> Duration {
    Duration::from_millis(rng.random_range(shortest..=longest))
}

fn choose_minions(
    deployment: &SoakDeployment,
    rng: &mut StdRng,
    count: usize,
) -> Vec<Arc<StandinMinion>> {
    deployment.minions.choose_multiple(rng, count).cloned().collect()
}

/// Sets the state of the links of several minions.
pub(crate) fn set_links(minions: &[Arc<StandinMinion>], state: LinkState) {
    minions.iter().for_each(|minion| minion.set_link(state));
}

/// Jobs that are submitted while a script goes on.
struct BackgroundJobs<'scope, 'env> {
    scope: &'scope thread::Scope<'scope, 'env>,
    deployment: &'env SoakDeployment,
}

impl BackgroundJobs<'_, '_> {
    fn submit(&self, tasks: u32, seconds: f64) {
        self.submit_job(build_job(tasks, seconds));
    }

    fn submit_job(&self, job: SoakJob) {
        let deployment = self.deployment;
        self.scope.spawn(move || {
            let result = deployment.submitters.submit(job);
            if !matches!(result, Ok(true)) {
                deployment.log.note(format!("a job was not accepted: {result:?}"));
            }
        });
    }
}

fn play_restart_cut(
    deployment: &SoakDeployment,
    rng: &mut StdRng,
    settings: &SoakSettings,
) -> eyre::Result<()> {
    const TASK_SECONDS: f64 = 14.0;
    const CUT: Duration = Duration::from_secs(13);
    const ANOTHER_RESTART_DELAY: Duration = Duration::from_millis(500);
    const OWNER_END_DELAY: Duration = Duration::from_millis(1_200);
    let mut minions = choose_minions(deployment, rng, RESTARTED_MINIONS + 1);
    let another = minions.pop().expect("a minion was chosen");
    let pauses: Vec<Duration> = (0..DAEMONS).map(|_| millis_between(rng, 300, 1_300)).collect();
    thread::scope(|scope| {
        let jobs = BackgroundJobs { scope, deployment };
        minions.iter().for_each(|minion| minion.restart());
        sleep_about(rng, Duration::from_millis(20));
        jobs.submit(24, TASK_SECONDS);
        thread::sleep(millis_between(rng, 60, 180));
        jobs.submit(12, TASK_SECONDS);
        set_links(&minions, LinkState::AnswersLost);
        sleep_about(rng, Duration::from_millis(40));
        jobs.submit(12, TASK_SECONDS);
        sleep_about(rng, Duration::from_millis(40));
        set_links(&minions, LinkState::Cut);
        let cut_end = Instant::now() + CUT;
        if settings.script == ScriptKind::RestartAnother {
            sleep_about(rng, ANOTHER_RESTART_DELAY);
            another.restart();
            sleep_about(rng, OWNER_END_DELAY);
        }
        end_daemons(deployment, settings.owner_end, &pauses)?;
        thread::sleep(cut_end.saturating_duration_since(Instant::now()));
        set_links(&minions, LinkState::Open);
        sleep_about(rng, ROUND_PAUSE);
        Ok(())
    })
}

/// Ends all daemons one shortly after the other, and starts each again.
fn end_daemons(
    deployment: &SoakDeployment,
    owner_end: OwnerEnd,
    pauses: &[Duration],
) -> eyre::Result<()> {
    thread::scope(|scope| {
        let mut ends = Vec::new();
        for (index, pause) in pauses.iter().enumerate() {
            ends.push(scope.spawn(move || match owner_end {
                OwnerEnd::None => Ok(()),
                OwnerEnd::Terminate => deployment.terminate_daemon(index, *pause),
                OwnerEnd::Kill => deployment.kill_daemon(index, Duration::ZERO),
            }));
            thread::sleep(SIGNAL_INTERVAL);
        }
        ends.into_iter().try_for_each(|end| {
            end.join().unwrap_or_else(|_| Err(eyre!("the thread that ends a daemon panicked")))
        })
    })
}

fn play_cut_soon(deployment: &SoakDeployment, rng: &mut StdRng) {
    const TASK_SECONDS: f64 = 11.0;
    const CUT: Duration = Duration::from_secs(11);
    let minions = choose_minions(deployment, rng, RESTARTED_MINIONS);
    thread::scope(|scope| {
        let jobs = BackgroundJobs { scope, deployment };
        jobs.submit(12, TASK_SECONDS);
        sleep_about(rng, Duration::from_millis(1_500));
        minions.iter().for_each(|minion| minion.restart());
        jobs.submit(24, TASK_SECONDS);
        thread::sleep(millis_between(rng, 4, 150));
        set_links(&minions, LinkState::Cut);
        thread::sleep(CUT);
        set_links(&minions, LinkState::Open);
        sleep_about(rng, ROUND_PAUSE);
    });
}

fn play_answers_lost_first(deployment: &SoakDeployment, rng: &mut StdRng) {
    const TASK_SECONDS: f64 = 11.0;
    const CUT: Duration = Duration::from_secs(11);
    const LATER_JOBS: u32 = 8;
    const LATER_JOB_INTERVAL: Duration = Duration::from_millis(250);
    let minions = choose_minions(deployment, rng, RESTARTED_MINIONS);
    thread::scope(|scope| {
        let jobs = BackgroundJobs { scope, deployment };
        jobs.submit(12, TASK_SECONDS);
        sleep_about(rng, Duration::from_millis(1_500));
        minions.iter().for_each(|minion| minion.restart());
        set_links(&minions, LinkState::AnswersLost);
        jobs.submit(24, TASK_SECONDS);
        for _ in 0..LATER_JOBS {
            sleep_about(rng, LATER_JOB_INTERVAL);
            jobs.submit(6, TASK_SECONDS);
        }
        set_links(&minions, LinkState::Cut);
        thread::sleep(CUT);
        set_links(&minions, LinkState::Open);
        sleep_about(rng, ROUND_PAUSE);
    });
}

fn play_late_orders(deployment: &SoakDeployment, rng: &mut StdRng) {
    const JOBS: u32 = 28;
    const JOBS_BEFORE_RESTART: u32 = 25;
    const JOB_INTERVAL: Duration = Duration::from_millis(300);
    const LATE_SHARE: f64 = 0.5;
    const LATE_TIME: Duration = Duration::from_millis(5_500);
    const JOB: SoakJob = SoakJob {
        tasks: 32,
        work: TaskWork { duration: Duration::from_secs(4), cpu: Millicores(60) },
    };
    const LAST_DELAY: Duration = Duration::from_secs(8);
    let minion = &choose_minions(deployment, rng, 1)[0];
    minion.delay_orders(LATE_SHARE, LATE_TIME);
    thread::scope(|scope| {
        let jobs = BackgroundJobs { scope, deployment };
        for number in 1..=JOBS {
            jobs.submit_job(JOB);
            if number == JOBS_BEFORE_RESTART {
                minion.restart();
            }
            sleep_about(rng, JOB_INTERVAL);
        }
        thread::sleep(LAST_DELAY);
    });
}
