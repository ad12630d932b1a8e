//! Stand-in of the platform's list of machines, and of the orders for them.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Reply, Request};
use crate::json::Json;
use crate::minion::{Journal, Minion, Sizes};
use crate::store::Store;
use crate::system::HOLD_MAX_MS;

/// `UpkeepS` of the deployment.
const UPKEEP: Duration = Duration::from_secs(2);

struct Machine {
    name: String,
    kind: String,
    minion: Arc<Minion>,
    /// End of the upkeep that the machine is in.
    upkeep_until: Option<Instant>,
    /// Waves for which the machine has begun its upkeep.
    upkeeps: Vec<u64>,
    lives: u32,
}

pub struct Machines {
    machines: Mutex<Vec<Machine>>,
    store: Arc<Store>,
    journal: Arc<Journal>,
    sizes: Sizes,
}

impl Machines {
    pub fn new(
        minions: &[Arc<Minion>],
        store: &Arc<Store>,
        journal: &Arc<Journal>,
        sizes: &Sizes,
    ) -> Arc<Machines> {
        let machines = Arc::new(Machines {
            machines: Mutex::new(Vec::new()),
            store: store.clone(),
            journal: journal.clone(),
            sizes: sizes.clone(),
        });
        for minion in minions {
            machines.add(minion.clone(), "a");
        }
        machines
    }

    fn add(&self, minion: Arc<Minion>, kind: &str) {
        let name = minion.machine.clone();
        self.journal.note(format!("machine {name} is listed, with minion {}", minion.id));
        let kind = kind.to_owned();
        let machine =
            Machine { name, kind, minion, upkeep_until: None, upkeeps: Vec::new(), lives: 1 };
        self.machines.lock().unwrap().push(machine);
    }

    /// Adds a machine of a kind, with a new minion, to the pool.
    pub fn join(&self, name: &str, kind: &str) {
        let minion = self.start_minion(&format!("{name}-1"), name, kind);
        self.add(minion, kind);
    }

    fn start_minion(&self, id: &str, machine: &str, kind: &str) -> Arc<Minion> {
        let capacity = (16_000, 65_536);
        let (store, journal) = (&self.store, &self.journal);
        let (service, sizes) = ("cutting", &self.sizes);
        Minion::start(id, machine, kind, service, capacity, HOLD_MAX_MS, store, journal, sizes)
    }

    /// Whether the machine has begun its upkeep for the wave.
    pub fn has_begun(&self, name: &str, wave: u64) -> bool {
        let machines = self.machines.lock().unwrap();
        machines.iter().any(|machine| machine.name == name && machine.upkeeps.contains(&wave))
    }

    pub fn handle(self: &Arc<Self>, request: &Request) -> Reply {
        std::thread::sleep(Duration::from_millis(4));
        match request.path.as_str() {
            "/api/machines" => self.list(),
            "/api/machine-upkeep" => self.upkeep(request),
            _ => Reply::Json(400, "{}".into()),
        }
    }

    fn list(&self) -> Reply {
        self.journal.note("a daemon reads the list of machines".into());
        let machines = self.machines.lock().unwrap();
        let rows = machines.iter().map(|machine| {
            let state = if machine.upkeep_until.is_some() { "upkeep" } else { "up" };
            machine.minion.row(state)
        });
        let rows = rows.collect::<Vec<_>>().join(",");
        Reply::Json(200, format!(r#"{{"Machines":[{rows}],"NextToken":""}}"#))
    }

    fn upkeep(self: &Arc<Self>, request: &Request) -> Reply {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let (Some(name), Some(wave)) = (body.text("Machine"), body.whole("Wave")) else {
            return Reply::Json(400, "{}".into());
        };
        let in_wave = self.store.read(&format!("op/wave/{wave}")).is_some_and(|order| {
            order.list("Machines").iter().any(|machine| machine.as_text() == Some(name))
        });
        let mut machines = self.machines.lock().unwrap();
        let Some(machine) = machines.iter_mut().find(|machine| machine.name == name) else {
            return Reply::Json(400, "{}".into());
        };
        if machine.upkeeps.contains(&wave) {
            return Reply::Json(200, "{}".into());
        }
        if !in_wave {
            return Reply::Json(409, r#"{"Reason":"wave"}"#.into());
        }
        if machine.upkeep_until.is_some() {
            return Reply::Json(409, r#"{"Reason":"busy"}"#.into());
        }
        machine.upkeeps.push(wave);
        machine.upkeep_until = Some(Instant::now() + UPKEEP);
        machine.lives += 1;
        let id = format!("{name}-{}", machine.lives);
        let (old, kind) = (machine.minion.clone(), machine.kind.clone());
        drop(machines);
        self.journal.note(format!("machine {name} begins its upkeep for wave {wave}"));
        old.crash();
        self.store.erase(&format!("servers/{}", old.id));
        let (machines, name) = (self.clone(), name.to_owned());
        std::thread::spawn(move || {
            std::thread::sleep(UPKEEP);
            let minion = machines.start_minion(&id, &name, &kind);
            let mut list = machines.machines.lock().unwrap();
            if let Some(machine) = list.iter_mut().find(|machine| machine.name == name) {
                (machine.minion, machine.upkeep_until) = (minion, None);
            }
        });
        Reply::Json(200, "{}".into())
    }
}
