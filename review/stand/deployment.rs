//! A small deployment on loopback addresses: the store, minions, and the project's daemons as
//! processes of their own, with the command of the deploy file.

use std::fs::{self, File};
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::Client;
use crate::cloud::Cloud;
use crate::http;
use crate::json::{Json, object};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{RunLog, TaskBook, Worker, WorkerSpec};

/// Program and argument of the deploy file's `run`.
const PROGRAM: &str = "target/release/pollenfalld";
const ARGUMENT: &str = "--platform";
const ZONES: [&str; 2] = ["oss", "boxtel"];
/// `Bounds` of the small deployments.
const BOUNDS: &str = "SeedLagS=3 ReuseAfterS=2 ContactMs=3000 AckMs=4000 CatchUpS=4 DrainMs=2000 \
    GraceS=6 LossSlackMs=200 ConfigApplyMs=2000 DowngradeMs=250 MaxStretchMs=5000 \
    StrictRevoke=false RevokeMs=5000 QuotaWindowS=5 QuotaOverage=0.1 QuotaTolerance=20 \
    ColdOverage=1.5 ColdTolerance=5 EvacuateMs=5000 RecoverS=12 HoldMaxMs=10000 StopMs=900 \
    GangMs=3000 cancel_ms=3000 visible_ms=3000 early_ms=250 finish_s=14 status_s=120 \
    RemoteFactor=2 SaveS=2 RestoreMs=600 NoticeMs=4500 MoveS=1.5 UpkeepS=2 Fencing=false \
    LeaseMs=3000 ThawMs=300 PaceMs=100 HarmMs=4000";

/// Queue of the configuration.
#[derive(Debug, Clone)]
pub struct Route {
    pub name: &'static str,
    pub prefix: &'static str,
    pub service: &'static str,
    pub max_attempts: i64,
}

pub struct Daemon {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

pub struct Deployment {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub cloud: Arc<Cloud>,
    pub book: Arc<TaskBook>,
    pub log: Arc<RunLog>,
    pub workers: Vec<Arc<Worker>>,
    pub daemons: Vec<Daemon>,
    services: Vec<&'static str>,
    version: i64,
    /// `Cpu` of the tenant's `Maximum`, from the next configuration on.
    pub limit_cpu: i64,
    folder: PathBuf,
}

/// Host of all queues, and key of the only tenant.
pub const HOST: &str = "pule25.example";
pub const KEY: &str = "sjnbanfqasnmgkcuyj8p";

impl Deployment {
    /// Starts the store, the list of machines and `daemons` daemons, and puts the first
    /// configuration. Minions are added with [`Self::add_worker`] before [`Self::wait_until_ready`].
    pub fn start(record: &Arc<Record>, daemons: usize, routes: &[Route]) -> Result<Self, String> {
        let folder = std::env::temp_dir().join(format!("pollenfall-review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let mut services: Vec<&'static str> = routes.iter().map(|route| route.service).collect();
        services.sort_unstable();
        services.dedup();
        let mut deployment = Self {
            record: Arc::clone(record),
            store: Store::start(),
            cloud: Cloud::start(record),
            book: Arc::default(),
            log: Arc::default(),
            workers: Vec::new(),
            daemons: Vec::new(),
            services,
            version: 2,
            limit_cpu: 400_000,
            folder,
        };
        deployment.configure(routes, 3_000);
        for index in 0..daemons {
            let daemon = deployment.prepare_daemon(index)?;
            deployment.daemons.push(daemon);
        }
        for index in 0..daemons {
            deployment.start_daemon(index)?;
        }
        Ok(deployment)
    }

    fn prepare_daemon(&self, index: usize) -> Result<Daemon, String> {
        let ip = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 21 + index as u8));
        let zone = ZONES[index % ZONES.len()];
        let name = format!("edge-{zone}-{}", index / ZONES.len() + 1);
        let listeners: Vec<TcpListener> = (0..3)
            .map(|_| TcpListener::bind((ip, 0)))
            .collect::<Result<_, _>>()
            .map_err(|error| format!("no free port on {ip}: {error}"))?;
        let port = |index: usize| listeners[index].local_addr().map_or(0, |address| address.port());
        let (front, ready, internal) = (port(0), port(1), port(2));
        let mut text = format!(
            "Node={name}\nRole=pollenfalld\nMachineClass=edge\nServes=edge\nIp={ip}\nZone={zone}\n\
             Region=nl-south\nZones.oss=nl-south\nZones.boxtel=nl-south\n\
             Listen.Frontend={ip}:{front}\nListen.Ready={ip}:{ready}\n\
             InternalPorts={internal},{internal}\nSeeds=\nBootstrap=true\nFaultCounted=false\n\
             Limits.CpuShare=0.25\nLimits.Cores=1\nLimits.MemoryMb=260\nLimits.MaxFds=4100\n\
             Limits.LinkMbps=1000.0\nLimits.DiskMb=0\nDiscovery=platform\nEntry=virtual_ip\n\
             HeartbeatMs=1500\nContracts=base,drain,config,cost,recover,sched,tenants,quota,places,\
             platform,advice,upkeep,sharing\nFaultTolerance.Machines=2\nFaultTolerance.Zones=1\n\
             FaultTolerance.Regions=0\nOrders=invoke\nplatform.Address={}\nplatform.form=kv\n\
             platform.WritesPerS=400\nplatform.ReadsPerS=2000\nplatform.HistoryS=20\n\
             platform.ValueBytes=1048576\nplatform.TtlMinMs=1000\nCloudApi.Address={}\n\
             CloudApi.RatePerS=64.0\nCloudApi.Duties=\nCloudApi.DutiesPerS=64.0\n",
            self.store.address, self.cloud.address
        );
        for bound in BOUNDS.split_whitespace() {
            text.push_str(&format!("Bounds.{bound}\n"));
        }
        let settings = self.folder.join(format!("{name}.conf"));
        fs::write(&settings, text).map_err(|error| error.to_string())?;
        let log = self.folder.join(format!("{name}.log"));
        Ok(Daemon {
            name,
            front: SocketAddr::new(ip, front),
            ready: SocketAddr::new(ip, ready),
            settings,
            log,
            child: None,
        })
    }

    /// Starts the process of a daemon.
    pub fn start_daemon(&mut self, index: usize) -> Result<(), String> {
        let daemon = &mut self.daemons[index];
        let log = File::options().create(true).append(true).open(&daemon.log);
        let log = log.map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let mut command = Command::new(PROGRAM);
        command.arg(ARGUMENT).env_clear().env("POLLENFALL_NODE_FILE", &daemon.settings);
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        let child = command.stdin(Stdio::null()).stdout(log).stderr(errors).spawn();
        let child = child.map_err(|error| format!("{PROGRAM} cannot be started: {error}"))?;
        self.record.note("deployment", format!("{} starts, process {}", daemon.name, child.id()));
        note_process(child.id());
        daemon.child = Some(child);
        Ok(())
    }

    /// Kills the process of a daemon.
    pub fn kill_daemon(&mut self, index: usize) {
        if let Some(mut child) = self.daemons[index].child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.note("deployment", format!("{} is killed", self.daemons[index].name));
        }
    }

    /// Starts a minion of `service` on a machine of its own, and returns its number.
    pub fn add_worker(&mut self, service: &str, cpu: i64) -> usize {
        let number = self.workers.len();
        let spec = WorkerSpec {
            id: format!("i-a{number:08x}"),
            machine: format!("m-{number:05x}"),
            service: service.to_owned(),
            zone: ZONES[number % ZONES.len()].to_owned(),
            rack: format!("r1-{}", number / 4),
            cpu,
            mem_mb: 65_536,
        };
        let worker = Worker::start(spec, &self.store, &self.book, &self.record, &self.log);
        self.cloud.add(&worker);
        self.workers.push(worker);
        number
    }

    /// Waits until every daemon is ready, and some time more, so that pools have owners and the
    /// minions are known.
    pub fn wait_until_ready(&self) -> Result<(), String> {
        let deadline = Instant::now() + Duration::from_secs(15);
        for daemon in &self.daemons {
            loop {
                let timeout = Duration::from_millis(500);
                let answer =
                    http::call(daemon.ready, "GET", "/api/readyz", &[("Host", "x")], "", timeout);
                if answer.is_some_and(|(status, _)| status == 200) {
                    break;
                }
                if Instant::now() > deadline {
                    return Err(format!("{} does not become ready", daemon.name));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        // Traffic starts ten seconds after the machines do.
        thread::sleep(Duration::from_secs(6));
        self.record.note("deployment", "all daemons are ready");
        Ok(())
    }

    /// Writes a new version of the configuration.
    pub fn configure(&mut self, routes: &[Route], timeout_ms: i64) {
        self.version += 1;
        let to_route = |route: &Route| {
            object(&[
                ("Name", route.name.into()),
                ("Host", HOST.into()),
                ("Prefix", route.prefix.into()),
                ("Kind", "non_idempotent".into()),
                ("TimeoutMs", timeout_ms.into()),
                ("TargetLatencyMs", 600.into()),
                ("Priority", 0.into()),
                ("Service", route.service.into()),
                ("MaxAttempts", route.max_attempts.into()),
                ("Stretch", 2.into()),
                ("Public", false.into()),
            ])
        };
        let to_service = |service: &&'static str| {
            object(&[
                ("Name", (*service).into()),
                ("HealthPath", "/healthz".into()),
                ("MaxConns", 64.into()),
                ("Protocol", "h1".into()),
                ("Tls", false.into()),
                ("ColdStartS", 0.into()),
                ("ColdPerS", 0.into()),
                ("RejectsOverload", true.into()),
                ("Spare", false.into()),
            ])
        };
        let limit = object(&[
            ("Cpu", self.limit_cpu.into()),
            ("MemMb", 2_000_000.into()),
            ("Gpu", 0.into()),
        ]);
        let tenant = object(&[
            ("Name", "cugo130".into()),
            ("ApiKeys", vec![Json::from(KEY)].into()),
            ("Priority", 1.into()),
            ("Weight", 49.into()),
            ("Maximum", limit),
        ]);
        let config = object(&[
            ("Version", self.version.into()),
            ("Routes", routes.iter().map(to_route).collect::<Vec<_>>().into()),
            ("Services", self.services.iter().map(to_service).collect::<Vec<_>>().into()),
            ("Tenants", vec![tenant].into()),
        ]);
        self.store.put("op/config", &config);
        let names: Vec<&str> = routes.iter().map(|route| route.name).collect();
        let what = format!("version {} is acknowledged, routes {}", self.version, names.join(" "));
        self.record.note("operator", what);
    }

    /// Returns a client of the queue with this prefix.
    pub fn client(&self, prefix: &'static str) -> Client {
        let fronts = self.daemons.iter().map(|daemon| daemon.front).collect();
        Client::new(prefix, fronts, &self.record, &self.book)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for index in 0..self.daemons.len() {
            self.kill_daemon(index);
        }
        if let Ok(folder) = std::env::var("KEEP_LOGS") {
            copy_logs(&self.daemons, Path::new(&folder));
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Adds a process to the file that the script names, so that the script can end it if this program
/// is ended from outside.
fn note_process(process: u32) {
    if let Ok(path) = std::env::var("PROCESS_FILE")
        && let Ok(mut file) = File::options().create(true).append(true).open(path)
    {
        let _ = writeln!(file, "{process}");
    }
}

fn copy_logs(daemons: &[Daemon], folder: &Path) {
    for daemon in daemons {
        let _ = fs::copy(&daemon.log, folder.join(format!("{}.log", daemon.name)));
    }
}
