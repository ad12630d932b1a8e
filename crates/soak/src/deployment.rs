//! Deployment of a soak: stand-ins of the platform, minions, three daemons and submitters.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use eyre::{WrapErr, ensure};
use http_body_util::Full;
use hyper::Request;
use state::{Millicores, Millis};

use crate::daemon::{DaemonProcess, PlatformAddresses};
use crate::http_client::HttpClient;
use crate::http_server::start_server;
use crate::incarnation::TaskWork;
use crate::machine_list::handle_machine_call;
use crate::minion::{LinkState, StandinMinion};
use crate::run_log::{RunEnd, RunLog};
use crate::store::StandinStore;
use crate::submitter::{SoakJob, SubmitterPool, build_configuration};

/// Number of daemons.
pub(crate) const DAEMONS: usize = 3;
/// Time in which all daemons must become ready, and the first job must be done.
const START_LIMIT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Job that shows that the pool has an owner and minions.
const FIRST_JOB: SoakJob = SoakJob {
    tasks: 2,
    work: TaskWork { duration: Duration::from_millis(100), cpu: Millicores(100) },
};

/// Running deployment; its daemons end with this value.
pub(crate) struct SoakDeployment {
    pub(crate) minions: Vec<Arc<StandinMinion>>,
    pub(crate) log: Arc<RunLog>,
    pub(crate) submitters: SubmitterPool,
    daemons: Vec<Mutex<DaemonProcess>>,
}

/// What a deployment consists of.
pub(crate) struct DeploymentPlan<'a> {
    pub(crate) program: &'a Path,
    pub(crate) folder: &'a Path,
    pub(crate) minions: u64,
    pub(crate) hold_max: Millis,
    pub(crate) seed: u64,
}

impl SoakDeployment {
    /// Starts a deployment and waits until its first job is done.
    pub(crate) fn start(plan: &DeploymentPlan<'_>) -> eyre::Result<Self> {
        fs::create_dir_all(plan.folder).wrap_err("cannot create the folder of the logs")?;
        let (store, log) = (StandinStore::start(), Arc::new(RunLog::default()));
        store.write("op/config", &build_configuration());
        let minions = (1..=plan.minions).map(|number| {
            let seed = plan.seed.wrapping_mul(plan.minions).wrapping_add(number);
            StandinMinion::start(format!("m{number}").parse()?, plan.hold_max, seed, &store, &log)
        });
        let minions: Vec<Arc<StandinMinion>> = minions.collect::<eyre::Result<_>>()?;
        let listed_minions = minions.clone();
        let list_server = start_server(move |call| handle_machine_call(&listed_minions, call))?;
        let store_server = start_server(move |call| store.handle(call))?;
        let platform = PlatformAddresses { store: store_server, machine_list: list_server };
        let (mut daemons, mut frontends) = (Vec::new(), Vec::new());
        for number in 1..=DAEMONS {
            let (program, folder) = (plan.program, plan.folder);
            let mut daemon =
                DaemonProcess::prepare(program, folder, number, platform, plan.hold_max)?;
            daemon.start()?;
            frontends.push(daemon.frontend);
            daemons.push(Mutex::new(daemon));
        }
        let submitters = SubmitterPool::new(frontends);
        let deployment = Self { minions, log, submitters, daemons };
        deployment.wait_until_ready()?;
        deployment.finish_first_job()?;
        Ok(deployment)
    }

    fn wait_until_ready(&self) -> eyre::Result<()> {
        let mut client = HttpClient::new()?;
        let until = Instant::now() + START_LIMIT;
        for index in 0..DAEMONS {
            let ready = self.lock_daemon(index).ready;
            while !is_ready(&mut client, ready)? {
                self.lock_daemon(index).check_running()?;
                ensure!(Instant::now() < until, "the daemons did not become ready");
                thread::sleep(POLL_INTERVAL);
            }
        }
        Ok(())
    }

    fn finish_first_job(&self) -> eyre::Result<()> {
        ensure!(self.submitters.submit(FIRST_JOB)?, "the first job was not accepted");
        let until = Instant::now() + START_LIMIT;
        let is_done = || {
            let runs = self.log.runs();
            let done = runs.iter().filter(|run| run.end == RunEnd::Done).count();
            done >= FIRST_JOB.tasks as usize
        };
        while !is_done() {
            ensure!(Instant::now() < until, "the first job was not done");
            thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    fn lock_daemon(&self, index: usize) -> MutexGuard<'_, DaemonProcess> {
        self.daemons[index].lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends a daemon by SIGKILL and starts it again after `pause`.
    pub(crate) fn kill_daemon(&self, index: usize, pause: Duration) -> eyre::Result<()> {
        let mut daemon = self.lock_daemon(index);
        self.log.note(format!("{}: SIGKILL", daemon.name));
        daemon.kill();
        self.start_daemon(&mut daemon, pause)
    }

    /// Ends a daemon by SIGTERM and starts it again after its end and `pause`.
    pub(crate) fn terminate_daemon(&self, index: usize, pause: Duration) -> eyre::Result<()> {
        let mut daemon = self.lock_daemon(index);
        self.log.note(format!("{}: SIGTERM", daemon.name));
        daemon.terminate();
        self.log.note(format!("{}: the process has ended", daemon.name));
        self.start_daemon(&mut daemon, pause)
    }

    fn start_daemon(&self, daemon: &mut DaemonProcess, pause: Duration) -> eyre::Result<()> {
        thread::sleep(pause);
        daemon.start()?;
        self.log.note(format!("{}: started again", daemon.name));
        Ok(())
    }

    /// Returns an error if a daemon has ended by itself.
    pub(crate) fn check_daemons(&self) -> eyre::Result<()> {
        (0..DAEMONS).try_for_each(|index| self.lock_daemon(index).check_running())
    }

    /// Opens all links, and waits until no minion runs anything, for `limit` at most. Returns
    /// whether that came.
    pub(crate) fn settle(&self, limit: Duration) -> bool {
        for minion in &self.minions {
            minion.set_link(LinkState::Open);
        }
        let until = Instant::now() + limit;
        let is_idle = || self.minions.iter().all(|minion| minion.is_idle());
        while Instant::now() < until && !is_idle() {
            thread::sleep(POLL_INTERVAL);
        }
        is_idle()
    }
}

fn is_ready(client: &mut HttpClient, address: SocketAddr) -> eyre::Result<bool> {
    let request = Request::get("/api/readyz").header("Host", "readiness.example");
    let request = request.body(Full::default())?;
    Ok(client.call(address, request, PROBE_TIMEOUT) == Some(200))
}
