//! Stand-in of a minion, as PROTOCOL.md describes it, and the log of all runs.
//!
//! A task's `Spec` tells what its runs do: `ms=N` is the run time, `fails` makes each run fail.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Handler, Reply, Request, Server};
use crate::json::{Json, quote};
use crate::store::Store;

/// Ends that one answer to a hold lists at most ("500 at a time").
const ENDS_PER_ANSWER: usize = 500;
/// Clock of a minion's first life at the beginning of the test.
const FIRST_CLOCK_MS: u64 = 480_000;
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// One run of a task, as its minion saw it.
#[derive(Debug, Clone)]
pub struct RunLog {
    pub task: String,
    pub run: u64,
    pub minion: String,
    pub life: u32,
    pub began: Instant,
    pub ended: Option<Instant>,
    pub how: &'static str,
    /// When `Observed` reached the end's number in the same life.
    pub noted: Option<Instant>,
    /// Whether the minion's lease lapsed between the end and its being noted.
    pub has_lapsed: bool,
}

/// Log of all runs, and lines for the record.
#[derive(Default)]
pub struct Journal {
    pub runs: Mutex<Vec<RunLog>>,
    pub lines: Mutex<Vec<(Instant, String)>>,
}

impl Journal {
    pub fn note(&self, line: String) {
        self.lines.lock().unwrap().push((Instant::now(), line));
    }
}

struct Running {
    task: String,
    run: u64,
    cpu: u64,
    memory: u64,
    began: Instant,
    length: Duration,
    fails: bool,
    log: usize,
}

struct Ended {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    log: usize,
}

#[derive(Default)]
struct Life {
    number: u32,
    born_ms: u64,
    began: Option<Instant>,
    fence: u64,
    lease_until: u64,
    running: Vec<Running>,
    ended: VecDeque<Ended>,
    last_end: u64,
    /// Highest run that was stopped or ended, by task.
    past: BTreeMap<String, u64>,
}

pub struct Minion {
    pub id: String,
    pub machine: String,
    /// Kind of the machine, which is one of its labels.
    kind: String,
    service: String,
    capacity: (u64, u64),
    hold_max_ms: u64,
    life: Mutex<Life>,
    changed: Condvar,
    server: Mutex<Option<Server>>,
    address: Mutex<String>,
    journal: Arc<Journal>,
    store: Arc<Store>,
    /// Processor time and memory of each job's tasks.
    sizes: Arc<Mutex<BTreeMap<String, (u64, u64)>>>,
    late: Mutex<LateOrders>,
}

/// Orders that get no answer and are carried out late.
#[derive(Default)]
pub struct LateOrders {
    until: Option<Instant>,
    /// Part of the orders, in percent.
    percent: u64,
    random: u64,
    pub count: u32,
}

impl LateOrders {
    fn next(&mut self) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random
    }

    /// Delay of the next order, or `None` if it is carried out at once.
    fn draw(&mut self) -> Option<Duration> {
        if self.until.is_none_or(|until| Instant::now() >= until) {
            return None;
        }
        if self.next() % 100 >= self.percent {
            return None;
        }
        self.count += 1;
        Some(Duration::from_millis(2_000 + self.next() % 10_000))
    }
}

pub type Sizes = Arc<Mutex<BTreeMap<String, (u64, u64)>>>;

impl Minion {
    #[allow(clippy::too_many_arguments)]
    pub fn start(
        id: &str,
        machine: &str,
        kind: &str,
        service: &str,
        capacity: (u64, u64),
        hold_max_ms: u64,
        store: &Arc<Store>,
        journal: &Arc<Journal>,
        sizes: &Sizes,
    ) -> Arc<Minion> {
        let minion = Arc::new(Minion {
            id: id.to_owned(),
            machine: machine.to_owned(),
            kind: kind.to_owned(),
            service: service.to_owned(),
            capacity,
            hold_max_ms,
            life: Mutex::new(Life::default()),
            changed: Condvar::new(),
            server: Mutex::new(None),
            address: Mutex::new("127.0.0.1:0".into()),
            journal: journal.clone(),
            store: store.clone(),
            sizes: sizes.clone(),
            late: Mutex::new(LateOrders { random: 88_172_645_463_325_252, ..Default::default() }),
        });
        minion.begin_life();
        let (beating, expiring) = (minion.clone(), minion.clone());
        std::thread::spawn(move || {
            let mut sequence = 1;
            loop {
                std::thread::sleep(HEARTBEAT);
                sequence += 1;
                beating.register(sequence);
            }
        });
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(5));
                expiring.advance(&mut expiring.life.lock().unwrap());
                expiring.changed.notify_all();
            }
        });
        minion
    }

    pub fn row(&self, state: &str) -> String {
        format!(
            r#"{{"Machine":"{}","Pool":"{}","State":"{state}","Zone":"oss","Labels":["{}","r1"],"Capacity":{{"Cpu":{},"MemMb":{}}},"Id":"{}"}}"#,
            self.machine, self.service, self.kind, self.capacity.0, self.capacity.1, self.id
        )
    }

    fn register(&self, sequence: u64) {
        let life = self.life.lock().unwrap();
        if life.began.is_none() {
            return;
        }
        let text = format!(
            r#"{{"Service":"{}","Address":"{}","Zone":"oss","Version":"1","Slots":8,"State":"ready","ColdLeftMs":0,"Sequence":{sequence},"born":{},"Machine":"{}","Capacity":{{"Cpu":{},"MemMb":{},"Gpu":0}},"Labels":["{}","r1"]}}"#,
            self.service,
            self.address.lock().unwrap(),
            life.born_ms,
            self.machine,
            self.capacity.0,
            self.capacity.1,
            self.kind
        );
        drop(life);
        self.store.write(&format!("servers/{}", self.id), &text);
    }

    /// Begins a new life under the same id, at the same address.
    pub fn begin_life(self: &Arc<Self>) {
        let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        {
            let mut life = self.life.lock().unwrap();
            let number = life.number + 1;
            let (born_ms, began) = (since_1970.as_millis() as u64, Some(Instant::now()));
            *life = Life { number, born_ms, began, ..Life::default() };
        }
        let minion = self.clone();
        let handler: Handler = Arc::new(move |request| minion.receive(request));
        let address = self.address.lock().unwrap().clone();
        let mut server = Server::start(&address, handler.clone());
        for _ in 0..100 {
            if server.is_ok() {
                break;
            }
            std::thread::sleep(Duration::from_millis(20));
            server = Server::start(&address, handler.clone());
        }
        let server = server.expect("the minion's address");
        *self.address.lock().unwrap() = server.address.to_string();
        *self.server.lock().unwrap() = Some(server);
        self.register(1);
        let life = self.life.lock().unwrap().number;
        self.journal.note(format!("minion {} begins life {life}", self.id));
    }

    /// Ends the life as a crash does: all runs are gone, and nothing is known any more.
    pub fn crash(&self) {
        let mut life = self.life.lock().unwrap();
        let now = Instant::now();
        let mut runs = self.journal.runs.lock().unwrap();
        for running in &life.running {
            runs[running.log].ended = Some(now);
            runs[running.log].how = "crashed";
        }
        drop(runs);
        *life = Life { number: life.number, ..Life::default() };
        drop(life);
        if let Some(server) = self.server.lock().unwrap().take() {
            server.kill();
        }
        self.journal.note(format!("minion {} crashes", self.id));
    }

    /// For `duration`, `percent` of the orders get no answer and are carried out 2 to 12 s later.
    pub fn delay_orders(&self, percent: u64, duration: Duration) {
        let mut late = self.late.lock().unwrap();
        (late.until, late.percent) = (Some(Instant::now() + duration), percent);
    }

    fn receive(self: &Arc<Self>, request: &Request) -> Reply {
        let delay = self.late.lock().unwrap().draw();
        let Some(delay) = delay else { return self.carry_out(request) };
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let line = format!("{} gets no answer to {} {body}", self.id, request.path);
        self.journal.note(format!("{line}; carried out {} ms later", delay.as_millis()));
        let (minion, request) = (self.clone(), request.clone());
        std::thread::spawn(move || {
            std::thread::sleep(delay);
            let answer = match minion.carry_out(&request) {
                Reply::Json(status, _) => status.to_string(),
                Reply::Silent => "down".into(),
            };
            let life = minion.life.lock().unwrap().number;
            let line = format!("{} in life {life} carries out late", minion.id);
            minion.journal.note(format!("{line} {} {body}: {answer}", request.path));
        });
        Reply::Silent
    }

    /// The steady clock of a life. It begins anew with each life; the first one has lasted for some
    /// minutes when the test begins.
    fn clock(life: &Life) -> u64 {
        let earlier = if life.number == 1 { FIRST_CLOCK_MS } else { 1 };
        life.began.map_or(0, |began| began.elapsed().as_millis() as u64 + earlier)
    }

    /// Ends the runs whose time has come, and all if the lease has lapsed.
    fn advance(&self, life: &mut Life) {
        if life.began.is_none() {
            return;
        }
        let now = Instant::now();
        let has_lapsed = !life.running.is_empty() && Self::clock(life) > life.lease_until;
        let mut over: Vec<Running> = Vec::new();
        let mut at = 0;
        while at < life.running.len() {
            let running = &life.running[at];
            if has_lapsed || now >= running.began + running.length {
                over.push(life.running.swap_remove(at));
            } else {
                at += 1;
            }
        }
        over.sort_by_key(|running| running.began + running.length);
        if has_lapsed {
            self.journal.note(format!("the lease lapses on {}", self.id));
            let mut runs = self.journal.runs.lock().unwrap();
            for end in &life.ended {
                runs[end.log].has_lapsed = true;
            }
        }
        for running in over {
            let is_over = now >= running.began + running.length;
            let how = match (is_over, running.fails) {
                (true, true) => "failed",
                (true, false) => "done",
                _ => "lapsed",
            };
            self.end(life, running, how);
        }
    }

    fn end(&self, life: &mut Life, running: Running, how: &'static str) {
        life.last_end += 1;
        let mut runs = self.journal.runs.lock().unwrap();
        runs[running.log].ended = Some(Instant::now());
        runs[running.log].how = how;
        drop(runs);
        let past = life.past.entry(running.task.clone()).or_default();
        *past = (*past).max(running.run);
        let Running { task, run, log, .. } = running;
        life.ended.push_back(Ended { number: life.last_end, task, run, how, log });
    }

    fn carry_out(&self, request: &Request) -> Reply {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let mut life = self.life.lock().unwrap();
        if life.began.is_none() {
            return Reply::Silent;
        }
        if request.header("Expect-Instance").is_some_and(|id| id != self.id) {
            return Reply::Json(421, "{}".into());
        }
        self.advance(&mut life);
        let fence = body.whole("FencingToken").unwrap_or(0);
        if fence < life.fence {
            return refuse(&life, "fence");
        }
        life.fence = fence;
        let reply = match request.path.as_str() {
            "/api/run-start" => self.start_run(&mut life, &body),
            "/api/run-stop" => self.stop_run(&mut life, &body),
            "/api/hold" => return self.hold(life, &body),
            "/api/pace" => ok(&life),
            _ => Reply::Json(404, "{}".into()),
        };
        drop(life);
        self.changed.notify_all();
        reply
    }

    fn extend(&self, life: &mut Life, until: Option<u64>) {
        if let Some(until) = until {
            let until = until.min(Self::clock(life) + self.hold_max_ms);
            life.lease_until = life.lease_until.max(until);
        }
    }

    fn start_run(&self, life: &mut Life, body: &Json) -> Reply {
        let (Some(task), Some(run)) = (body.text("Task"), body.whole("Run")) else {
            return Reply::Json(400, "{}".into());
        };
        let until = body.whole("UntilMs");
        if life.running.iter().any(|running| running.task == task && running.run == run) {
            return ok(life);
        }
        if until.is_some_and(|until| Self::clock(life) > until) {
            return refuse(life, "late");
        }
        let is_old = life.past.get(task).is_some_and(|past| run <= *past);
        let job = task.split('.').next().unwrap_or_default();
        let (cpu, memory) = self.sizes.lock().unwrap().get(job).copied().unwrap_or_default();
        let used = life
            .running
            .iter()
            .fold((cpu, memory), |sum, running| (sum.0 + running.cpu, sum.1 + running.memory));
        self.extend(life, until);
        if is_old {
            return refuse(life, "old");
        }
        if used.0 > self.capacity.0 || used.1 > self.capacity.1 {
            return refuse(life, "room");
        }
        let spec = body.text("Spec").unwrap_or_default();
        let length = spec.split(' ').find_map(|word| word.strip_prefix("ms="));
        let length = length.and_then(|text| text.parse().ok()).unwrap_or(1_000);
        let mut runs = self.journal.runs.lock().unwrap();
        let log = runs.len();
        runs.push(RunLog {
            task: task.to_owned(),
            run,
            minion: self.id.clone(),
            life: life.number,
            began: Instant::now(),
            ended: None,
            how: "running",
            noted: None,
            has_lapsed: false,
        });
        drop(runs);
        life.running.push(Running {
            task: task.to_owned(),
            run,
            cpu,
            memory,
            began: Instant::now(),
            length: Duration::from_millis(length),
            fails: spec.contains("fails"),
            log,
        });
        ok(life)
    }

    fn stop_run(&self, life: &mut Life, body: &Json) -> Reply {
        let (Some(task), Some(run)) = (body.text("Task"), body.whole("Run")) else {
            return Reply::Json(400, "{}".into());
        };
        let past = life.past.entry(task.to_owned()).or_default();
        *past = (*past).max(run);
        let is_it = |running: &Running| running.task == task && running.run == run;
        if let Some(at) = life.running.iter().position(is_it) {
            let running = life.running.swap_remove(at);
            self.end(life, running, "stopped");
        }
        ok(life)
    }

    fn hold(&self, mut life: std::sync::MutexGuard<'_, Life>, body: &Json) -> Reply {
        self.extend(&mut life, body.whole("UntilMs"));
        let observed = body.whole("Observed").unwrap_or(0);
        let now = Instant::now();
        while life.ended.front().is_some_and(|end| end.number <= observed) {
            let end = life.ended.pop_front().expect("the front");
            self.journal.runs.lock().unwrap()[end.log].noted = Some(now);
        }
        let wait = Duration::from_millis(body.whole("WaitMs").unwrap_or(0).min(2_000));
        let (until, number) = (now + wait, life.number);
        loop {
            self.advance(&mut life);
            if life.began.is_none() || life.number != number {
                return Reply::Silent;
            }
            let now = Instant::now();
            if !life.ended.is_empty() || now >= until {
                break;
            }
            life = self.changed.wait_timeout(life, until - now).unwrap().0;
        }
        let running = life.running.iter().map(|running| {
            let share = running.began.elapsed().as_millis() * 100;
            let percent = share / running.length.as_millis().max(1);
            format!(
                r#"[{},{},"",{},{}]"#,
                quote(&running.task),
                running.run,
                percent.min(99),
                running.cpu
            )
        });
        let running = running.collect::<Vec<_>>().join(",");
        let ended = life.ended.iter().take(ENDS_PER_ANSWER).map(|end| {
            format!(r#"[{},{},{},"{}",""]"#, end.number, quote(&end.task), end.run, end.how)
        });
        let ended = ended.collect::<Vec<_>>().join(",");
        let (clock, born) = (Self::clock(&life), life.born_ms);
        let text = format!(
            r#"{{"ClockMs":{clock},"born":{born},"Running":[{running}],"Ended":[{ended}]}}"#
        );
        Reply::Json(200, text)
    }

    /// Number of runs and of listed ends.
    pub fn counts(&self) -> (usize, usize) {
        let life = self.life.lock().unwrap();
        (life.running.len(), life.ended.len())
    }
}

fn ok(life: &Life) -> Reply {
    Reply::Json(200, format!(r#"{{"ClockMs":{}}}"#, Minion::clock(life)))
}

fn refuse(life: &Life, reason: &str) -> Reply {
    Reply::Json(409, format!(r#"{{"ClockMs":{},"Reason":"{reason}"}}"#, Minion::clock(life)))
}
