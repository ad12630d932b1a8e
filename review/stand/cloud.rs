//! Stand-in of the platform's list of machines, with moves and upkeep.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{self, Reply, Request};
use crate::json::{self, Json, object};
use crate::record::Record;
use crate::worker::Worker;

/// `Bounds.UpkeepS` of the settings.
const UPKEEP: Duration = Duration::from_secs(2);

/// Upkeep that was carried out.
#[derive(Debug, Clone)]
pub struct UpkeepNote {
    pub machine: String,
    /// Number of runs of tasks that last and were at work, which it ended.
    pub ended_at_work: usize,
}

pub struct Cloud {
    workers: Mutex<Vec<Arc<Worker>>>,
    /// Machines that are in upkeep now, and those whose upkeep is done, by wave.
    in_upkeep: Mutex<Vec<String>>,
    done: Mutex<Vec<(i64, String)>>,
    lives: Mutex<u64>,
    pub upkeeps: Mutex<Vec<UpkeepNote>>,
    record: Arc<Record>,
    pub address: SocketAddr,
}

impl Cloud {
    pub fn start(record: &Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let cloud = Arc::new(Self {
            workers: Mutex::default(),
            in_upkeep: Mutex::default(),
            done: Mutex::default(),
            lives: Mutex::default(),
            upkeeps: Mutex::default(),
            record: Arc::clone(record),
            address: listener.local_addr().expect("a bound address"),
        });
        let served = Arc::clone(&cloud);
        http::serve(listener, || true, move |request| served.handle(&request));
        cloud
    }

    pub fn add(&self, worker: &Arc<Worker>) {
        self.workers.lock().expect("no panic").push(Arc::clone(worker));
    }

    /// Returns an id that no minion has had.
    pub fn new_id(&self) -> String {
        let mut lives = self.lives.lock().expect("no panic");
        *lives += 1;
        format!("i-0{:08x}", *lives)
    }

    fn handle(self: &Arc<Self>, request: &Request) -> Reply {
        thread::sleep(Duration::from_millis(4));
        let body = json::parse(&request.body).unwrap_or(Json::Null);
        let token = request.header("Fencing-Token").unwrap_or("-").to_owned();
        let (status, answer) = match request.path.as_str() {
            "/api/machines" => (200, self.list()),
            "/api/machine-upkeep" => self.upkeep(&body, &token),
            // The settings of these scripts have no spare pool, so nothing is to be moved.
            "/api/machine-move" => (400, object(&[])),
            _ => (404, object(&[])),
        };
        Reply::Answer(status, answer)
    }

    fn list(&self) -> Json {
        let workers = self.workers.lock().expect("no panic");
        let rows: Vec<Json> = workers.iter().map(|worker| self.row(worker)).collect();
        object(&[("Machines", rows.into()), ("NextToken", Json::Null)])
    }

    fn row(&self, worker: &Worker) -> Json {
        let spec = &worker.spec;
        let is_in_upkeep = self.in_upkeep.lock().expect("no panic").contains(&spec.machine);
        let state = if is_in_upkeep {
            "upkeep"
        } else if worker.is_up() {
            "up"
        } else {
            "down"
        };
        let capacity =
            object(&[("Cpu", spec.cpu.into()), ("MemMb", spec.mem_mb.into()), ("Gpu", 0.into())]);
        object(&[
            ("Machine", spec.machine.as_str().into()),
            ("Pool", spec.service.as_str().into()),
            ("State", state.into()),
            ("Zone", spec.zone.as_str().into()),
            ("Labels", vec![Json::from("a"), Json::from(spec.rack.as_str())].into()),
            ("Capacity", capacity),
            ("Id", worker.id().as_str().into()),
        ])
    }

    fn upkeep(self: &Arc<Self>, body: &Json, token: &str) -> (u16, Json) {
        let machine = body.get("Machine").as_text().unwrap_or_default().to_owned();
        let wave = body.get("Wave").as_int().unwrap_or(0);
        let workers = self.workers.lock().expect("no panic");
        let Some(worker) = workers.iter().find(|worker| worker.spec.machine == machine).cloned()
        else {
            return (400, object(&[]));
        };
        drop(workers);
        let mut done = self.done.lock().expect("no panic");
        if done.contains(&(wave, machine.clone())) {
            return (200, object(&[]));
        }
        if !worker.is_up() {
            return (409, object(&[("Reason", "busy".into())]));
        }
        done.push((wave, machine.clone()));
        drop(done);
        let ended_at_work = worker.at_work();
        let what = format!(
            "upkeep of {machine} for wave {wave}, fencing token {token}, ends {} runs, {ended_at_work} at work",
            worker.running()
        );
        self.record.note("cloud", what);
        let note = UpkeepNote { machine: machine.clone(), ended_at_work };
        self.upkeeps.lock().expect("no panic").push(note);
        self.in_upkeep.lock().expect("no panic").push(machine.clone());
        worker.end_for_machine();
        let cloud = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(UPKEEP);
            worker.restart(&cloud.new_id());
            cloud.in_upkeep.lock().expect("no panic").retain(|known| *known != machine);
        });
        (200, object(&[]))
    }
}
