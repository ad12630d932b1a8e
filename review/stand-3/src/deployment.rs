//! A small deployment: the stand-ins, and the daemons as separate processes with the command of the
//! deploy file.

use std::fs::{self, File};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Reply, call, loopback, serve};
use crate::json::{Json, int, object, text};
use crate::store::Store;
use crate::world::{CUTTING, HOLD_MAX_MS, JobWork, PACKING, World, ZONE, job_key};

const HOST: &str = "pule25.example";

/// Queue, with the tenant that uses it.
pub struct Queue {
    route: &'static str,
    pub prefix: &'static str,
    pub service: &'static str,
    pub tenant: &'static str,
    key: &'static str,
}

pub const CUTTING_QUEUE: Queue = Queue {
    route: "r-iikdrbn",
    prefix: "/puxa400/",
    service: CUTTING,
    tenant: "cugo130",
    key: "sjnbanfqasnmgkcuyj8p",
};
pub const PACKING_QUEUE: Queue = Queue {
    route: "r-f83fgfw",
    prefix: "/defi252/",
    service: PACKING,
    tenant: "bamo77",
    key: "jbvk9m68k7b2ex5wa5xw",
};
const QUEUES: [&Queue; 2] = [&CUTTING_QUEUE, &PACKING_QUEUE];
pub const MAX_ATTEMPTS: i64 = 3;
const DEADLINE: Duration = Duration::from_millis(3_000);

pub struct Daemon {
    pub name: String,
    frontend: SocketAddr,
    ready: SocketAddr,
    child: Child,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // Both fail only if the process has ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub struct Deployment {
    pub world: Arc<World>,
    pub daemons: Vec<Daemon>,
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind((loopback(), 0)).expect("a loopback port");
    listener.local_addr().expect("the address of a listener")
}

fn configuration() -> Json {
    let routes = QUEUES.map(|queue| {
        object(vec![
            ("Name", text(queue.route)),
            ("Host", text(HOST)),
            ("Prefix", text(queue.prefix)),
            ("Kind", text("non_idempotent")),
            ("TimeoutMs", int(3_000)),
            ("TargetLatencyMs", int(600)),
            ("Priority", int(0)),
            ("Service", text(queue.service)),
            ("MaxAttempts", int(MAX_ATTEMPTS)),
            ("Stretch", Json::Float(1.6)),
            ("Public", Json::Bool(false)),
        ])
    });
    let services = QUEUES.map(|queue| {
        object(vec![
            ("Name", text(queue.service)),
            ("HealthPath", text("/healthz")),
            ("MaxConns", int(64)),
            ("RejectsOverload", Json::Bool(true)),
            ("Spare", Json::Bool(false)),
        ])
    });
    let tenants = QUEUES.map(|queue| {
        let maximum = vec![("Cpu", int(711_133)), ("MemMb", int(2_049_638)), ("Gpu", int(0))];
        object(vec![
            ("Name", text(queue.tenant)),
            ("ApiKeys", Json::List(vec![text(queue.key)])),
            ("Weight", int(49)),
            ("Maximum", object(maximum)),
        ])
    });
    object(vec![
        ("Version", int(7)),
        ("Routes", Json::List(routes.into())),
        ("Services", Json::List(services.into())),
        ("Tenants", Json::List(tenants.into())),
    ])
}

fn start_daemon(folder: &Path, number: usize, store: SocketAddr, cloud: SocketAddr) -> Daemon {
    let name = format!("edge-{ZONE}-{number}");
    let (frontend, ready, control) = (free_address(), free_address(), free_address());
    let (internal, advice) = (free_address().port(), free_address());
    let settings = format!(
        "Node={name}\nRole=pollenfalld\nMachineClass=edge\nServes=edge\nIp={}\nZone={ZONE}\nRegion=nl-south\n\
         Zones.{ZONE}=nl-south\nListen.Frontend={frontend}\nListen.Ready={ready}\nListen.Control={control}\n\
         InternalPorts={internal},{internal}\nSeeds=\nBootstrap=true\nFaultCounted=false\nLimits.CpuShare=0.25\n\
         Limits.Cores=1\nLimits.MemoryMb=260\nLimits.MaxFds=4100\nLimits.LinkMbps=1000.0\nLimits.DiskMb=0\n\
         Discovery=platform\nEntry=virtual_ip\nHeartbeatMs=1500\n\
         Contracts=base,drain,config,cost,recover,sched,tenants,quota,places,platform,advice,upkeep,sharing\n\
         FaultTolerance.Machines=2\nFaultTolerance.Zones=1\nFaultTolerance.Regions=0\nBounds.ReuseAfterS=2\n\
         Bounds.ContactMs=3000\nBounds.AckMs=4000\nBounds.DrainMs=2000\nBounds.GraceS=6\nBounds.LossSlackMs=200\n\
         Bounds.ConfigApplyMs=2000\nBounds.DowngradeMs=250\nBounds.MaxStretchMs=5000\nBounds.EvacuateMs=5000\n\
         Bounds.RecoverS=12\nBounds.HoldMaxMs={HOLD_MAX_MS}\nBounds.StopMs=900\nBounds.GangMs=3000\n\
         Bounds.cancel_ms=3000\nBounds.visible_ms=3000\nBounds.early_ms=250\nBounds.finish_s=14\n\
         Bounds.status_s=120\nBounds.RemoteFactor=2\nBounds.SaveS=2\nBounds.RestoreMs=600\nBounds.NoticeMs=4500\n\
         Bounds.MoveS=1.5\nBounds.UpkeepS=2\nBounds.Fencing=false\nBounds.LeaseMs=3000\nBounds.ThawMs=300\n\
         Bounds.PaceMs=100\nBounds.HarmMs=4000\nOrders=invoke\nAdvice={advice}\nplatform.Address={store}\n\
         platform.form=kv\nplatform.WritesPerS=400\nplatform.ReadsPerS=2000\nplatform.HistoryS=20\n\
         platform.ValueBytes=1048576\nplatform.TtlMinMs=1000\nCloudApi.Address={cloud}\nCloudApi.RatePerS=64.0\n\
         CloudApi.Duties=\nCloudApi.DutiesPerS=64.0\n",
        loopback()
    );
    let path = folder.join(format!("{name}.conf"));
    fs::write(&path, settings).expect("the settings of a daemon");
    let log = File::create(folder.join(format!("{name}.log"))).expect("the log of a daemon");
    let errors = log.try_clone().expect("the log of a daemon");
    // The command of deploy/system.toml.
    let child = Command::new("target/release/pollenfalld")
        .arg("--platform")
        .env("POLLENFALL_NODE_FILE", &path)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn()
        .expect("the daemon starts");
    let mut ids =
        File::options().create(true).append(true).open(folder.join("pids")).expect("the ids");
    writeln!(ids, "{}", child.id()).expect("the id of a daemon");
    Daemon { name, frontend, ready, child }
}

impl Deployment {
    /// Starts the stand-ins, `minions` minions and three daemons, and waits until all daemons are ready.
    pub fn start(folder: &Path, minions: usize) -> Option<Self> {
        let store = Store::start();
        let world = World::start(&store);
        store.write("op/config", &configuration());
        for _ in 0..minions {
            world.add_minion(CUTTING, "a", 0);
        }
        let serving = Arc::clone(&store);
        let store_address = serve(move |request| serving.handle(request));
        let listing = Arc::clone(&world);
        let cloud_address = serve(move |request| match &*request.path {
            "/api/machines" => Reply::Json(200, listing.list_machines()),
            _ => Reply::Json(400, object(vec![])),
        });
        let daemons = (1..=3)
            .map(|number| start_daemon(folder, number, store_address, cloud_address))
            .collect();
        let deployment = Self { world, daemons };
        let until = Instant::now() + Duration::from_secs(15);
        while !deployment.daemons.iter().all(is_ready) {
            if Instant::now() > until {
                return None;
            }
            thread::sleep(Duration::from_millis(100));
        }
        deployment.world.note("all daemons are ready");
        Some(deployment)
    }

    /// Hands a job in, at one daemon after the other, until it is accepted.
    pub fn submit(&self, queue: &Queue, id: &str, work: &JobWork) -> bool {
        let key = job_key(queue.service, id);
        self.world.state.lock().unwrap().jobs.insert(key, work.clone());
        let mut step = vec![
            ("Count", int(work.tasks)),
            ("Cpu", int(work.cpu)),
            ("MemMb", int(work.mem)),
            ("EstimateMs", int(work.work_ms as i64)),
        ];
        if let Some(kind) = work.kind {
            step.push(("Constraints", text(kind)));
        }
        if work.lasts {
            step.push(("LongRunning", Json::Bool(true)));
        }
        if work.gang {
            step.push(("Gang", Json::Bool(true)));
        }
        if work.checkpoints {
            step.push(("Checkpointing", Json::Bool(true)));
        }
        let body = object(vec![
            ("Spec", text(format!("work of {}{id}", queue.prefix))),
            ("Steps", Json::List(vec![object(step)])),
        ]);
        let body = body.to_string();
        for attempt in 0..5 {
            let daemon = &self.daemons[attempt % self.daemons.len()];
            let answer = self.ask(daemon, queue, "POST", id, Some(&body));
            let status = answer.map(|(status, _)| status);
            self.world.note(format!(
                "client of {}: POST {}{id} at {}: {status:?}, {body}",
                queue.tenant, queue.prefix, daemon.name
            ));
            match status {
                Some(200..=299) => return true,
                Some(429 | 503) => thread::sleep(Duration::from_secs(1)),
                _ => {}
            }
        }
        false
    }

    fn ask(
        &self,
        daemon: &Daemon,
        queue: &Queue,
        method: &str,
        id: &str,
        body: Option<&str>,
    ) -> Option<(u16, String)> {
        let headers = [("Host", HOST), ("Key", queue.key), ("Deadline-Ms", "3000")];
        call(daemon.frontend, method, &format!("{}{id}", queue.prefix), &headers, body, DEADLINE)
    }

    /// Sends a request without a body to each daemon in turn, until one answers.
    fn ask_in_turn(&self, queue: &Queue, method: &str, id: &str) -> Option<(u16, String)> {
        for daemon in &self.daemons {
            let Some((status, body)) = self.ask(daemon, queue, method, id, None) else { continue };
            let path = format!("{}{id}", queue.prefix);
            let asker = queue.tenant;
            self.world.note(format!(
                "client of {asker}: {method} {path} at {}: {status} {body}",
                daemon.name
            ));
            return Some((status, body));
        }
        None
    }

    /// Asks for a job's state.
    pub fn state_of(&self, queue: &Queue, id: &str) -> String {
        let Some((status, body)) = self.ask_in_turn(queue, "GET", id) else {
            return "no answer".to_owned();
        };
        let state = Json::parse(&body).and_then(|body| body.text("State").map(str::to_owned));
        state.unwrap_or(status.to_string())
    }

    /// Cancels a job.
    pub fn cancel(&self, queue: &Queue, id: &str) -> bool {
        self.ask_in_turn(queue, "DELETE", id).is_some_and(|(status, _)| status == 200)
    }
}

fn is_ready(daemon: &Daemon) -> bool {
    let answer = call(
        daemon.ready,
        "GET",
        "/api/readyz",
        &[("Host", "ready")],
        None,
        Duration::from_millis(500),
    );
    answer.is_some_and(|(status, _)| status == 200)
}
