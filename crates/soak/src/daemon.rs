//! Daemon processes: settings, start, signals and end.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use eyre::{WrapErr, eyre};
use rustix::process::{Pid, Signal, kill_process};
use state::Millis;

use crate::minion::DATA_CENTRE;

/// Ports below those that the system gives to outgoing connections, so that none takes the port of
/// a daemon that is down.
const PORTS: std::ops::Range<u16> = 12_000..32_000;
/// Distance between the first ports of two soaks that start after each other.
const PORT_STRIDE: u32 = 97;
/// Time after SIGTERM in which a process must end.
const GRACE: Duration = Duration::from_secs(6);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// Finds a free port that this function has not returned before.
fn find_free_address() -> SocketAddr {
    let first = std::process::id().wrapping_mul(PORT_STRIDE) as u16;
    loop {
        let offset = first.wrapping_add(NEXT_PORT.fetch_add(1, Ordering::SeqCst));
        let port = PORTS.start + offset % (PORTS.end - PORTS.start);
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Addresses of the platform's stand-ins.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PlatformAddresses {
    pub(crate) store: SocketAddr,
    pub(crate) machine_list: SocketAddr,
}

/// Daemon in platform mode; it ends with this value.
pub(crate) struct DaemonProcess {
    pub(crate) name: Box<str>,
    /// Address of the submitters.
    pub(crate) frontend: SocketAddr,
    /// Address of the readiness probes.
    pub(crate) ready: SocketAddr,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl DaemonProcess {
    /// Writes the settings of the daemon with the given number into `folder`.
    pub(crate) fn prepare(
        program: &Path,
        folder: &Path,
        number: usize,
        platform: PlatformAddresses,
        hold_max: Millis,
    ) -> eyre::Result<Self> {
        let name = format!("edge-{DATA_CENTRE}-{number}");
        let (frontend, ready) = (find_free_address(), find_free_address());
        let internal = find_free_address().port();
        let (store, machine_list) = (platform.store, platform.machine_list);
        let text = format!(
            "Node={name}\nZone={DATA_CENTRE}\nListen.Frontend={frontend}\nListen.Ready={ready}\n\
             InternalPorts={internal}\nplatform.Address={store}\nCloudApi.Address={machine_list}\n\
             Bounds.HoldMaxMs={}\nBounds.LeaseMs=3000\nBounds.StopMs=900\n\
             Bounds.ConfigApplyMs=2000\nBounds.RemoteFactor=2\nLimits.CpuShare=0.25\n\
             Limits.Cores=1\nLimits.MemoryMb=260\nLimits.MaxFds=4100\nLimits.LinkMbps=1000\n",
            hold_max.0
        );
        let settings = folder.join(format!("{name}.conf"));
        fs::write(&settings, text).wrap_err("cannot write the settings of a daemon")?;
        let log = folder.join(format!("{name}.log"));
        let (name, program) = (name.into(), program.to_owned());
        Ok(Self { name, frontend, ready, program, settings, log, child: None })
    }

    /// Starts the process; its log is appended to that of its earlier incarnations.
    pub(crate) fn start(&mut self) -> eyre::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.wrap_err("cannot open the log of a daemon")?;
        let errors = log.try_clone().wrap_err("cannot share the log of a daemon")?;
        let child = Command::new(&self.program)
            .arg("--platform")
            .env("POLLENFALL_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log))
            .stderr(Stdio::from(errors))
            .spawn();
        let child = child.wrap_err_with(|| format!("cannot start {}", self.program.display()))?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends SIGKILL and waits for the end of the process.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Both fail only if the process has ended.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends SIGTERM and waits for the end of the process, which is killed after the grace time.
    pub(crate) fn terminate(&mut self) {
        let Some(child) = &mut self.child else { return };
        // It fails only if the process has ended.
        let _ = kill_process(Pid::from_child(child), Signal::TERM);
        let until = Instant::now() + GRACE;
        while Instant::now() < until && child.try_wait().is_ok_and(|status| status.is_none()) {
            thread::sleep(POLL_INTERVAL);
        }
        self.kill();
    }

    /// Returns an error if the process has ended by itself.
    pub(crate) fn check_running(&mut self) -> eyre::Result<()> {
        let Some(child) = &mut self.child else { return Ok(()) };
        match child.try_wait().wrap_err("cannot query a daemon")? {
            Some(status) => Err(eyre!("{} ended by itself: {status}", self.name)),
            None => Ok(()),
        }
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
