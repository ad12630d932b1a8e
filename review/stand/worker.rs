//! Stand-in of a minion: it runs tasks on orders, under leases, as `PROTOCOL.md` says.

use std::collections::{BTreeMap, VecDeque};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Reply, Request};
use crate::json::{self, Json, object};
use crate::record::Record;
use crate::store::Store;

/// `HeartbeatMs` of the settings.
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// `Bounds.HoldMaxMs` of the settings.
const MAX_LEASE_MS: i64 = 10_000;
/// Time that a stop takes; `Bounds.StopMs` is 900.
const STOP_TIME: Duration = Duration::from_millis(100);
/// Time after which a task that lasts is at work.
const STARTUP: Duration = Duration::from_millis(500);
/// Maximum number of ended runs in an answer.
const MAX_LISTED_ENDS: usize = 500;

/// How a run of a task goes on a sound minion.
#[derive(Debug, Clone, Copy)]
pub enum Course {
    /// Ends `done` after this time.
    Done(Duration),
    /// Ends `failed` after this time.
    Fails(Duration),
    /// Is at work until it is stopped.
    Lasts,
}

/// Task as its submitter specified it.
#[derive(Debug, Clone, Copy)]
pub struct TaskKind {
    pub cpu: i64,
    pub mem_mb: i64,
    pub course: Course,
}

/// What the jobs' tasks need and how they go, by job and step.
#[derive(Default)]
pub struct TaskBook {
    kinds: Mutex<BTreeMap<(String, usize), TaskKind>>,
}

impl TaskBook {
    pub fn add(&self, job: &str, step: usize, kind: TaskKind) {
        self.kinds.lock().expect("no panic").insert((job.to_owned(), step), kind);
    }

    fn find(&self, task: &str) -> Option<TaskKind> {
        let mut words = task.split('.');
        let job = words.next()?.to_owned();
        let step = words.nth(1)?.parse().ok()?;
        self.kinds.lock().expect("no panic").get(&(job, step)).copied()
    }
}

/// Start or end of a run, as the minion saw it.
#[derive(Debug, Clone)]
pub struct RunNote {
    pub at: Duration,
    pub worker: String,
    pub task: String,
    pub run: i64,
    /// `None` for a start, else how the run ended: a word of `Ended`, `lost` when the minion
    /// crashed, or `machine` when an order for its machine ended it.
    pub end: Option<&'static str>,
}

/// End that `Observed` has reached.
#[derive(Debug, Clone)]
pub struct ObservedEnd {
    pub at: Duration,
    pub task: String,
    pub end: &'static str,
}

/// What all minions have seen.
#[derive(Default)]
pub struct RunLog {
    pub notes: Mutex<Vec<RunNote>>,
    pub observed: Mutex<Vec<ObservedEnd>>,
}

/// State of the network between the daemons and a minion.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Link {
    Sound,
    /// Orders to start a task get no answer and are delivered after this time.
    LateStarts(Duration),
}

struct Run {
    cpu: i64,
    mem_mb: i64,
    course: Course,
    started: Instant,
    /// Time at which a stop takes effect.
    stops_at: Option<Instant>,
}

struct End {
    number: i64,
    task: String,
    run: i64,
    how: &'static str,
}

/// One life of a minion.
struct Life {
    id: String,
    born: i64,
    started: Instant,
    is_up: bool,
    fencing_token: i64,
    until_ms: i64,
    runs: BTreeMap<(String, i64), Run>,
    ended: VecDeque<End>,
    ends: i64,
    /// Highest run of each task that was stopped or has ended here.
    highest_ended: BTreeMap<String, i64>,
    sequence: i64,
    last_beat: Option<Instant>,
    /// Earlier lives that have an entry in the store, with the time of their last heartbeat.
    departed: Vec<(String, Instant)>,
}

impl Life {
    fn new(id: &str) -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            id: id.to_owned(),
            born: unix.as_millis() as i64,
            started: Instant::now(),
            is_up: true,
            fencing_token: 0,
            until_ms: 0,
            runs: BTreeMap::new(),
            ended: VecDeque::new(),
            ends: 0,
            highest_ended: BTreeMap::new(),
            sequence: 0,
            last_beat: None,
            departed: Vec::new(),
        }
    }

    /// Reading of the minion's steady clock.
    fn clock_ms(&self) -> i64 {
        self.started.elapsed().as_millis() as i64
    }

    fn extend_lease(&mut self, body: &Json) {
        if let Some(until_ms) = body.get("UntilMs").as_int() {
            self.until_ms = self.until_ms.max(until_ms.min(self.clock_ms() + MAX_LEASE_MS));
        }
    }

    fn end_run(&mut self, key: &(String, i64), how: &'static str) -> Option<i64> {
        self.runs.remove(key)?;
        self.ends += 1;
        self.ended.push_back(End { number: self.ends, task: key.0.clone(), run: key.1, how });
        self.note_ended(&key.0, key.1);
        Some(self.ends)
    }

    fn note_ended(&mut self, task: &str, run: i64) {
        let highest = self.highest_ended.entry(task.to_owned()).or_insert(run);
        *highest = (*highest).max(run);
    }
}

/// Machine of a minion: what stays with it over its lives.
pub struct WorkerSpec {
    pub id: String,
    pub machine: String,
    pub service: String,
    pub zone: String,
    pub rack: String,
    pub cpu: i64,
    pub mem_mb: i64,
}

pub struct Worker {
    pub spec: WorkerSpec,
    pub address: SocketAddr,
    life: Mutex<Life>,
    changed: Condvar,
    link: Mutex<Link>,
    /// Whether the minion is unhealthy: it answers 503 to every start and does nothing.
    sheds: Mutex<bool>,
    /// Number of the listener in use; an earlier one is closed.
    listener: Mutex<u64>,
    store: Arc<Store>,
    book: Arc<TaskBook>,
    record: Arc<Record>,
    log: Arc<RunLog>,
}

impl Worker {
    pub fn start(
        spec: WorkerSpec,
        store: &Arc<Store>,
        book: &Arc<TaskBook>,
        record: &Arc<Record>,
        log: &Arc<RunLog>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let worker = Arc::new(Self {
            address: listener.local_addr().expect("a bound address"),
            life: Mutex::new(Life::new(&spec.id)),
            spec,
            changed: Condvar::new(),
            link: Mutex::new(Link::Sound),
            sheds: Mutex::new(false),
            listener: Mutex::new(0),
            store: Arc::clone(store),
            book: Arc::clone(book),
            record: Arc::clone(record),
            log: Arc::clone(log),
        });
        worker.serve(listener);
        let ticking = Arc::clone(&worker);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(5));
                ticking.tick();
            }
        });
        worker
    }

    fn serve(self: &Arc<Self>, listener: TcpListener) {
        let number = {
            let mut number = self.listener.lock().expect("no panic");
            *number += 1;
            *number
        };
        let (open, served) = (Arc::clone(self), Arc::clone(self));
        let is_open = move || *open.listener.lock().expect("no panic") == number;
        http::serve(listener, is_open, move |request| served.receive(request));
    }

    fn lock(&self) -> MutexGuard<'_, Life> {
        self.life.lock().expect("no thread panics with a minion's life")
    }

    pub fn id(&self) -> String {
        self.lock().id.clone()
    }

    pub fn is_up(&self) -> bool {
        self.lock().is_up
    }

    /// Number of runs.
    pub fn running(&self) -> usize {
        self.lock().runs.len()
    }

    /// Number of runs of tasks that last and are at work.
    pub fn at_work(&self) -> usize {
        let is_at_work =
            |run: &&Run| matches!(run.course, Course::Lasts) && run.started.elapsed() >= STARTUP;
        self.lock().runs.values().filter(is_at_work).count()
    }

    pub fn set_link(&self, link: Link) {
        self.record.note(&self.id(), format!("network: {link:?}"));
        *self.link.lock().expect("no panic") = link;
    }

    pub fn set_sheds(&self, sheds: bool) {
        self.record.note(&self.id(), if sheds { "sheds all starts" } else { "healthy" });
        *self.sheds.lock().expect("no panic") = sheds;
    }

    /// Ends the minion's process: all runs are lost, and its port is closed.
    pub fn crash(&self) {
        self.end_life("lost");
        *self.listener.lock().expect("no panic") += 1;
    }

    /// Starts a new life, under the same id or another one.
    pub fn restart(self: &Arc<Self>, id: &str) {
        let listener = (0..200).find_map(|_| {
            thread::sleep(Duration::from_millis(5));
            TcpListener::bind(self.address).ok()
        });
        {
            let mut life = self.lock();
            let mut departed = std::mem::take(&mut life.departed);
            departed.extend(life.last_beat.map(|beat| (life.id.clone(), beat)));
            // A life with the same id goes on with its entry.
            departed.retain(|(known, _)| known != id);
            *life = Life { departed, ..Life::new(id) };
        }
        self.record.note(id, format!("a new life begins on machine {}", self.spec.machine));
        self.serve(listener.expect("the minion's port is free again"));
    }

    /// Ends all that runs, for an order that concerns the machine. The minion has left, so its entry
    /// goes too.
    pub fn end_for_machine(&self) {
        self.end_life("machine");
        *self.listener.lock().expect("no panic") += 1;
        let mut life = self.lock();
        life.last_beat = None;
        self.store.remove(&format!("servers/{}", life.id));
    }

    fn end_life(&self, end: &'static str) {
        let mut life = self.lock();
        life.is_up = false;
        self.record.note(&life.id, format!("down ({end}), {} runs end", life.runs.len()));
        for (task, run) in life.runs.keys() {
            self.note(&life.id, task, *run, Some(end), 0);
        }
        life.runs.clear();
        self.changed.notify_all();
    }

    fn note(&self, id: &str, task: &str, run: i64, end: Option<&'static str>, number: i64) {
        let what = match end {
            None => "starts".to_owned(),
            Some(end) if number > 0 => format!("ends {end}, number {number}"),
            Some(end) => format!("ends {end}"),
        };
        self.record.note(id, format!("task {task} run {run} {what}"));
        let note = RunNote {
            at: self.record.elapsed(),
            worker: id.to_owned(),
            task: task.to_owned(),
            run,
            end,
        };
        self.log.notes.lock().expect("no panic").push(note);
    }

    /// Ends runs that are due, and writes heartbeats.
    fn tick(&self) {
        let mut life = self.lock();
        let is_silent = |beat: &Instant| beat.elapsed() > 3 * HEARTBEAT;
        let mut silent: Vec<String> = Vec::new();
        if life.last_beat.take_if(|beat| is_silent(beat)).is_some() {
            silent.push(life.id.clone());
        }
        let gone = life.departed.extract_if(.., |(_, beat)| is_silent(beat));
        silent.extend(gone.map(|(id, _)| id));
        for id in silent {
            self.store.remove(&format!("servers/{id}"));
            self.record.note("platform", format!("the entry of {id} is removed"));
        }
        if !life.is_up {
            return;
        }
        if life.last_beat.is_none_or(|beat| beat.elapsed() >= HEARTBEAT) {
            self.beat(&mut life);
        }
        let is_lapsed = life.clock_ms() > life.until_ms;
        let now = Instant::now();
        let how = |run: &Run| match run.course {
            _ if is_lapsed => Some("lapsed"),
            _ if run.stops_at.is_some_and(|at| now >= at) => Some("stopped"),
            Course::Done(time) if run.started.elapsed() >= time => Some("done"),
            Course::Fails(time) if run.started.elapsed() >= time => Some("failed"),
            _ => None,
        };
        let due: Vec<((String, i64), &'static str)> =
            life.runs.iter().filter_map(|(key, run)| Some((key.clone(), how(run)?))).collect();
        for (key, how) in due {
            if let Some(number) = life.end_run(&key, how) {
                self.note(&life.id, &key.0, key.1, Some(how), number);
            }
            self.changed.notify_all();
        }
    }

    fn beat(&self, life: &mut Life) {
        life.sequence += 1;
        life.last_beat = Some(Instant::now());
        let spec = &self.spec;
        let capacity =
            object(&[("Cpu", spec.cpu.into()), ("MemMb", spec.mem_mb.into()), ("Gpu", 0.into())]);
        let entry = object(&[
            ("Service", spec.service.as_str().into()),
            ("Address", self.address.to_string().as_str().into()),
            ("Zone", spec.zone.as_str().into()),
            ("Version", "v1".into()),
            ("Slots", 8.into()),
            ("State", "ready".into()),
            ("ColdLeftMs", 0.into()),
            ("Machine", spec.machine.as_str().into()),
            ("Capacity", capacity),
            ("Labels", vec![Json::from("a"), Json::from(spec.rack.as_str())].into()),
            ("ClockMs", life.clock_ms().into()),
            ("Sequence", life.sequence.into()),
            ("born", life.born.into()),
        ]);
        self.store.put(&format!("servers/{}", life.id), &entry);
    }

    /// Takes a request from the network.
    fn receive(self: &Arc<Self>, request: Request) -> Reply {
        let link = *self.link.lock().expect("no panic");
        match link {
            Link::LateStarts(delay) if request.path == "/api/run-start" => {
                let worker = Arc::clone(self);
                let order = String::from_utf8_lossy(&request.body).into_owned();
                self.record.note("network", format!("holds an order for {}: {order}", self.id()));
                thread::spawn(move || {
                    thread::sleep(delay);
                    let id = worker.id();
                    worker.record.note("network", format!("delivers to {id}: {order}"));
                    if let Reply::Answer(status, body) = worker.handle(&request) {
                        worker.record.note(&id, format!("answers {status} {body}, to nobody"));
                    }
                });
                Reply::Silence
            }
            _ => self.handle(&request),
        }
    }

    fn handle(&self, request: &Request) -> Reply {
        let body = json::parse(&request.body).unwrap_or(Json::Null);
        let mut life = self.lock();
        if !life.is_up {
            return Reply::Close;
        }
        if request.path == "/healthz" {
            return Reply::Answer(200, object(&[]));
        }
        if request.header("Expect-Instance").is_some_and(|id| id != life.id) {
            return Reply::Answer(421, object(&[("ClockMs", life.clock_ms().into())]));
        }
        if request.path == "/api/run-start" && *self.sheds.lock().expect("no panic") {
            let task = body.get("Task").as_text().unwrap_or_default();
            self.record.note(&life.id, format!("answers 503 to the start of {task}"));
            return Reply::Answer(503, object(&[]));
        }
        let token = body.get("FencingToken").as_int().unwrap_or(0);
        if token < life.fencing_token {
            return refuse(&life, "fence");
        }
        life.fencing_token = token;
        match request.path.as_str() {
            "/api/run-start" => self.start_run(&mut life, &body),
            "/api/run-stop" => self.stop_run(&mut life, &body),
            "/api/hold" => self.hold(life, &body),
            "/api/pace" => Reply::Answer(200, object(&[("ClockMs", life.clock_ms().into())])),
            _ => Reply::Answer(400, object(&[])),
        }
    }

    fn start_run(&self, life: &mut Life, body: &Json) -> Reply {
        let (Some(task), Some(run)) = (body.get("Task").as_text(), body.get("Run").as_int()) else {
            return Reply::Answer(400, object(&[]));
        };
        let key = (task.to_owned(), run);
        if body.get("UntilMs").as_int().is_none_or(|until_ms| until_ms < life.clock_ms()) {
            return refuse(life, "late");
        }
        life.extend_lease(body);
        if life.runs.contains_key(&key) {
            return Reply::Answer(200, object(&[("ClockMs", life.clock_ms().into())]));
        }
        if life.highest_ended.get(task).is_some_and(|highest| *highest >= run) {
            return refuse(life, "old");
        }
        let Some(kind) = self.book.find(task) else { return Reply::Answer(400, object(&[])) };
        let used = |part: fn(&Run) -> i64| life.runs.values().map(part).sum::<i64>();
        if used(|run| run.cpu) + kind.cpu > self.spec.cpu
            || used(|run| run.mem_mb) + kind.mem_mb > self.spec.mem_mb
        {
            return refuse(life, "room");
        }
        let run_state = Run {
            cpu: kind.cpu,
            mem_mb: kind.mem_mb,
            course: kind.course,
            started: Instant::now(),
            stops_at: None,
        };
        life.runs.insert(key, run_state);
        self.note(&life.id, task, run, None, 0);
        Reply::Answer(200, object(&[("ClockMs", life.clock_ms().into())]))
    }

    fn stop_run(&self, life: &mut Life, body: &Json) -> Reply {
        let task = body.get("Task").as_text().unwrap_or_default().to_owned();
        let run = body.get("Run").as_int().unwrap_or(0);
        match life.runs.get_mut(&(task.clone(), run)) {
            Some(known) => {
                known.stops_at.get_or_insert(Instant::now() + STOP_TIME);
            }
            None => life.note_ended(&task, run),
        }
        Reply::Answer(200, object(&[("ClockMs", life.clock_ms().into())]))
    }

    fn hold(&self, mut life: MutexGuard<'_, Life>, body: &Json) -> Reply {
        life.extend_lease(body);
        let observed = body.get("Observed").as_int().unwrap_or(0);
        while life.ended.front().is_some_and(|end| end.number <= observed) {
            let Some(end) = life.ended.pop_front() else { break };
            self.record.note(&life.id, format!("end {} of {} is observed", end.number, end.task));
            let observed_end =
                ObservedEnd { at: self.record.elapsed(), task: end.task, end: end.how };
            self.log.observed.lock().expect("no panic").push(observed_end);
        }
        let born = life.born;
        let wait_ms = body.get("WaitMs").as_int().unwrap_or(0).clamp(0, 2_000) as u64;
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        while life.ended.is_empty() && Instant::now() < deadline {
            let remaining = deadline.saturating_duration_since(Instant::now());
            life = self.changed.wait_timeout(life, remaining).expect("no panic").0;
            if life.born != born || !life.is_up {
                return Reply::Close;
            }
        }
        let running = life.runs.iter().map(|((task, run), state)| running_row(task, *run, state));
        let running: Vec<Json> = running.collect();
        let ended = life.ended.iter().take(MAX_LISTED_ENDS).map(|end| {
            let row: Vec<Json> = vec![
                end.number.into(),
                end.task.as_str().into(),
                end.run.into(),
                end.how.into(),
                "".into(),
            ];
            Json::from(row)
        });
        let ended: Vec<Json> = ended.collect();
        let answer = object(&[
            ("ClockMs", life.clock_ms().into()),
            ("Running", running.into()),
            ("Ended", ended.into()),
            ("born", life.born.into()),
        ]);
        Reply::Answer(200, answer)
    }
}

fn running_row(task: &str, run: i64, state: &Run) -> Json {
    let elapsed = state.started.elapsed();
    let percent = match state.course {
        Course::Lasts => {
            if elapsed >= STARTUP {
                100
            } else {
                0
            }
        }
        Course::Done(time) | Course::Fails(time) => {
            (elapsed.as_millis() * 100 / time.as_millis().max(1)).min(99) as i64
        }
    };
    let row: Vec<Json> = vec![task.into(), run.into(), "".into(), percent.into(), state.cpu.into()];
    row.into()
}

fn refuse(life: &Life, reason: &str) -> Reply {
    Reply::Answer(409, object(&[("ClockMs", life.clock_ms().into()), ("Reason", reason.into())]))
}
