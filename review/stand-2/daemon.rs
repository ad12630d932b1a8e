//! Starts the daemons under test with the command of the deploy file.

use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU16, Ordering};
use std::time::{Duration, Instant};

use crate::http;

/// Program and argument of `run` in `deploy/system.toml`.
const PROGRAM: &str = "target/release/pollenfalld";
const ARGUMENT: &str = "--platform";

pub struct Daemon {
    pub name: String,
    pub frontend: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    pub starts: u32,
    /// While it is set, the collector of the daemons' logs reads nothing.
    collector_stalls: Arc<AtomicBool>,
}

/// Loopback ports below those that the system gives to outgoing connections.
const PORTS: std::ops::Range<u16> = 12_000..32_000;

/// Next port to try; 0 at first.
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// Finds a free loopback port that this function has not returned before.
fn free_port() -> u16 {
    let count = PORTS.end - PORTS.start;
    let first = std::process::id().wrapping_mul(97) as u16;
    loop {
        let next = NEXT_PORT.fetch_add(1, Ordering::SeqCst);
        let port = PORTS.start + first.wrapping_add(next) % count;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

impl Daemon {
    /// Writes the settings of a daemon, as those of the small deployment in DEPLOY.md.
    pub fn new(
        folder: &Path,
        number: usize,
        (store, cloud): (SocketAddr, SocketAddr),
        collector_stalls: &Arc<AtomicBool>,
    ) -> Daemon {
        let (frontend, ready) = (free_port(), free_port());
        let (control, internal) = (free_port(), free_port());
        let name = format!("edge-oss-{number}");
        let text = format!(
            "Node={name}\nRole=pollenfalld\nMachineClass=edge\nServes=edge\nIp=127.0.0.1\n\
             Zone=oss\nRegion=nl-south\nZones.oss=nl-south\n\
             Listen.Frontend=127.0.0.1:{frontend}\nListen.Ready=127.0.0.1:{ready}\n\
             Listen.Control=127.0.0.1:{control}\nInternalPorts={internal},{internal}\n\
             Seeds=\nBootstrap=true\nFaultCounted=false\nLimits.CpuShare=0.25\nLimits.Cores=1\n\
             Limits.MemoryMb=260\nLimits.MaxFds=4100\nLimits.LinkMbps=1000.0\nLimits.DiskMb=0\n\
             Discovery=platform\nEntry=virtual_ip\nHeartbeatMs=1500\n\
             Contracts=base,drain,config,cost,recover,sched,tenants,quota,places,platform,advice,upkeep,sharing\n\
             FaultTolerance.Machines=2\nFaultTolerance.Zones=1\nFaultTolerance.Regions=0\n\
             Bounds.SeedLagS=3\nBounds.ReuseAfterS=2\nBounds.ContactMs=3000\nBounds.AckMs=4000\n\
             Bounds.CatchUpS=4\nBounds.DrainMs=2000\nBounds.GraceS=6\nBounds.LossSlackMs=200\n\
             Bounds.ConfigApplyMs=2000\nBounds.DowngradeMs=250\nBounds.MaxStretchMs=5000\n\
             Bounds.StrictRevoke=false\nBounds.RevokeMs=5000\nBounds.EvacuateMs=5000\n\
             Bounds.RecoverS=12\nBounds.HoldMaxMs=10000\nBounds.StopMs=900\nBounds.GangMs=3000\n\
             Bounds.cancel_ms=3000\nBounds.visible_ms=3000\nBounds.early_ms=250\n\
             Bounds.finish_s=14\nBounds.status_s=120\nBounds.RemoteFactor=2\nBounds.SaveS=2\n\
             Bounds.RestoreMs=600\nBounds.NoticeMs=4500\nBounds.MoveS=1.5\nBounds.UpkeepS=2\n\
             Bounds.Fencing=false\nBounds.LeaseMs=3000\nBounds.ThawMs=300\nBounds.PaceMs=100\n\
             Bounds.HarmMs=4000\nOrders=invoke\nplatform.Address={store}\nplatform.form=kv\n\
             platform.WritesPerS=400\nplatform.ReadsPerS=2000\nplatform.HistoryS=20\n\
             platform.ValueBytes=1048576\nplatform.TtlMinMs=1000\nCloudApi.Address={cloud}\n\
             CloudApi.RatePerS=64.0\nCloudApi.Duties=\nCloudApi.DutiesPerS=64.0\n"
        );
        let settings = folder.join(format!("{name}.conf"));
        fs::write(&settings, text).expect("the settings file");
        let log = folder.join(format!("{name}.log"));
        let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        Daemon {
            name,
            frontend: address(frontend),
            ready: address(ready),
            settings,
            log,
            child: None,
            starts: 0,
            collector_stalls: collector_stalls.clone(),
        }
    }

    pub fn start(&mut self) {
        self.starts += 1;
        let open = |path: &Path| File::options().create(true).append(true).open(path);
        let log = open(&self.log).expect("the log file");
        let mut command = Command::new(PROGRAM);
        command.arg(ARGUMENT).env_clear().env("POLLENFALL_NODE_FILE", &self.settings);
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::null());
        let mut child = command.spawn().expect("pollenfalld starts");
        if let Some(output) = child.stdout.take() {
            let stalls = self.collector_stalls.clone();
            std::thread::spawn(move || collect(output, log, &stalls));
        }
        // run.sh ends what this program could not end.
        let line = format!("{}\n", child.id());
        let pids = self.settings.with_file_name("pids");
        let mut text = fs::read_to_string(&pids).unwrap_or_default();
        text.push_str(&line);
        let _ = fs::write(&pids, text);
        self.child = Some(child);
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| child.try_wait().is_ok_and(|end| end.is_some()))
    }

    /// Resident memory of the process, in MiB.
    pub fn memory_mib(&self) -> u64 {
        let Some(child) = &self.child else { return 0 };
        let text = fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with("VmRSS:"));
        let value = line.and_then(|line| line.split_whitespace().nth(1));
        value.and_then(|text| text.parse::<u64>().ok()).unwrap_or(0) / 1_024
    }

    /// Whether the daemon says that it is ready.
    pub fn is_ready(&self, timeout: Duration) -> bool {
        let answer = http::call(self.ready, "GET", "/api/readyz", &[("Host", "x")], "", timeout);
        answer.is_some_and(|(status, _)| status == 200)
    }

    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready(Duration::from_millis(500)) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

/// Copies a daemon's log lines to a file, as a collector of logs does.
fn collect(mut output: impl Read, mut log: File, stalls: &AtomicBool) {
    let mut buffer = [0; 16_384];
    loop {
        while stalls.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(20));
        }
        match output.read(&mut buffer) {
            Ok(length) if length > 0 => {
                let _ = log.write_all(&buffer[..length]);
            }
            _ => return,
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}
