//! Stand-ins of the minions (`PROTOCOL.md`, "Running tasks" and "Service discovery").
//!
//! All minions share one state, since the members of a gang act together.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Reply, Request, serve};
use crate::json::{Json, int, object, text};
use crate::store::Store;

/// Service of most cases.
pub const CUTTING: &str = "cutting";
pub const PACKING: &str = "packing";
pub const ZONE: &str = "oss";
pub const CAPACITY_CPU: i64 = 16_000;
pub const CAPACITY_MEM: i64 = 65_536;
pub const GANG_MS: u64 = 3_000;
pub const HOLD_MAX_MS: i64 = 10_000;
pub const SAVE_MS: u64 = 2_000;
pub const RESTORE_MS: u64 = 600;
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);
const STOP_TIME: Duration = Duration::from_millis(50);
const RACK_SIZE: usize = 4;

/// What the tasks of a job do.
#[derive(Clone)]
pub struct JobWork {
    pub tasks: u32,
    pub cpu: i64,
    pub mem: i64,
    pub gang: bool,
    /// Kind that the minion must have.
    pub kind: Option<&'static str>,
    pub checkpoints: bool,
    /// Whether the tasks run until the job is cancelled.
    pub lasts: bool,
    pub work_ms: u64,
    /// Index of a task that fails after so many milliseconds of each run.
    pub fails: Option<(u32, u64)>,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum How {
    Done,
    Failed,
    Stopped,
    Lapsed,
    Broken,
    Alone,
}

impl How {
    fn name(self) -> &'static str {
        match self {
            How::Done => "done",
            How::Failed => "failed",
            How::Stopped => "stopped",
            How::Lapsed => "lapsed",
            How::Broken => "broken",
            How::Alone => "alone",
        }
    }
}

/// One run of a task, as the minions saw it.
#[derive(Clone)]
pub struct RunRecord {
    pub service: &'static str,
    pub task: String,
    pub run: i64,
    pub minion: usize,
    pub checkpoint: String,
    pub began_ms: u64,
    pub ended_ms: Option<u64>,
    pub how: Option<How>,
    /// Time at which `Observed` reached the end.
    pub noted_ms: Option<u64>,
}

struct Run {
    task: String,
    run: i64,
    job: String,
    index: u32,
    checkpoint: String,
    saved: String,
    arrived: Instant,
    /// Time from which the task works: once all members of a gang are present.
    works_from: Option<Instant>,
    base_ms: u64,
    stop_at: Option<Instant>,
    record: usize,
}

struct End {
    number: i64,
    task: String,
    run: i64,
    how: How,
    saved: String,
    record: usize,
}

pub struct Minion {
    pub id: String,
    pub machine: String,
    service: &'static str,
    kind: &'static str,
    rack: String,
    address: Option<SocketAddr>,
    pub is_up: bool,
    is_listed: bool,
    pub is_draining: bool,
    pub life: u32,
    pub born: i64,
    began: Instant,
    clock_base: i64,
    fence: i64,
    lease_end: Option<i64>,
    running: Vec<Run>,
    ended: Vec<End>,
    last_end: i64,
    observed: i64,
    highest: HashMap<String, i64>,
    sequence: i64,
    silent_since: Option<Instant>,
    next_beat: Instant,
}

impl Minion {
    fn clock(&self, now: Instant) -> i64 {
        self.clock_base + now.saturating_duration_since(self.began).as_millis() as i64
    }
}

#[derive(Default)]
pub struct State {
    pub minions: Vec<Minion>,
    /// Jobs by service and id ([`job_key`]).
    pub jobs: BTreeMap<String, JobWork>,
    pub runs: Vec<RunRecord>,
    lines: Vec<(u64, String)>,
}

pub struct World {
    pub state: Mutex<State>,
    changed: Condvar,
    pub store: Arc<Store>,
    began: Instant,
}

pub fn unix_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as i64)
}

/// Names a job of the queue of a service: clients of two queues may choose one id.
pub fn job_key(service: &str, id: &str) -> String {
    format!("{service}/{id}")
}

/// Splits the name of a task into its job and its index.
pub fn split_task(task: &str) -> Option<(&str, u32)> {
    let mut parts = task.split('.');
    let (job, index) = (parts.next()?, parts.nth(2)?);
    Some((job, index.parse().ok()?))
}

fn progress(run: &Run, now: Instant) -> u64 {
    let Some(from) = run.works_from else { return run.base_ms };
    run.base_ms + now.saturating_duration_since(from).as_millis() as u64
}

/// A checkpoint says how far the work is. That of a gang is the same for all members.
fn checkpoint_at(ms: u64) -> String {
    format!("{ms:016x}")
}

impl World {
    pub fn start(store: &Arc<Store>) -> Arc<Self> {
        let world = Arc::new(Self {
            state: Mutex::new(State::default()),
            changed: Condvar::new(),
            store: Arc::clone(store),
            began: Instant::now(),
        });
        let ticking = Arc::clone(&world);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(5));
                ticking.advance();
                ticking.beat();
            }
        });
        world
    }

    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn note(&self, line: impl Into<String>) {
        let at = self.now_ms();
        self.state.lock().unwrap().lines.push((at, line.into()));
    }

    pub fn lines(&self) -> Vec<(u64, String)> {
        self.state.lock().unwrap().lines.clone()
    }

    /// Starts a minion on a new machine. Its time of day is ahead by `ahead_ms`.
    pub fn add_minion(
        self: &Arc<Self>,
        service: &'static str,
        kind: &'static str,
        ahead_ms: i64,
    ) -> usize {
        let mut state = self.state.lock().unwrap();
        let number = state.minions.len();
        let now = Instant::now();
        state.minions.push(Minion {
            id: format!("i-{:08x}", 0x7f3a_9100 + number),
            machine: format!("m-{number:05x}"),
            service,
            kind,
            rack: format!("r1-{}", number / RACK_SIZE + 1),
            address: None,
            is_up: true,
            is_listed: false,
            is_draining: false,
            life: 1,
            born: unix_ms() + ahead_ms,
            began: now,
            clock_base: 1_000,
            fence: 0,
            lease_end: None,
            running: Vec::new(),
            ended: Vec::new(),
            last_end: 0,
            observed: 0,
            highest: HashMap::new(),
            sequence: 0,
            silent_since: None,
            next_beat: now,
        });
        let (id, born) = (state.minions[number].id.clone(), state.minions[number].born);
        drop(state);
        let world = Arc::clone(self);
        let address = serve(move |request| world.handle(number, request));
        self.state.lock().unwrap().minions[number].address = Some(address);
        self.note(format!("minion {id} starts, born {born}, time of day ahead by {ahead_ms} ms"));
        number
    }

    /// The minion crashes: what runs on it terminates, and it answers nothing.
    pub fn crash(&self, number: usize) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let at = self.now_ms();
        let minion = &mut state.minions[number];
        minion.is_up = false;
        minion.silent_since = Some(now);
        let lost = std::mem::take(&mut minion.running);
        minion.ended.clear();
        let id = minion.id.clone();
        state.lines.push((at, format!("minion {id} is down, {} runs terminate", lost.len())));
        for run in lost {
            state.runs[run.record].ended_ms = Some(at);
            state.lines.push((
                at,
                format!("{id}: {} run {} terminated with its minion", run.task, run.run),
            ));
            self.break_gang(&mut state, &run, now);
        }
        self.changed.notify_all();
    }

    /// The minion starts again under the id that it had, and knows nothing of before.
    pub fn restart(&self, number: usize, ahead_ms: i64) {
        let mut state = self.state.lock().unwrap();
        let (now, at) = (Instant::now(), self.now_ms());
        let minion = &mut state.minions[number];
        minion.life += 1;
        minion.born = unix_ms() + ahead_ms;
        minion.began = now;
        minion.is_up = true;
        minion.silent_since = None;
        minion.fence = 0;
        minion.lease_end = None;
        minion.last_end = 0;
        minion.observed = 0;
        minion.highest.clear();
        minion.sequence = 0;
        minion.next_beat = now;
        let line = format!("minion {} starts again, born {}", minion.id, minion.born);
        state.lines.push((at, line));
        self.changed.notify_all();
    }

    /// The minion reports that it drains.
    pub fn drain(&self, number: usize) {
        let mut state = self.state.lock().unwrap();
        let at = self.now_ms();
        let minion = &mut state.minions[number];
        minion.is_draining = true;
        minion.next_beat = Instant::now();
        let line = format!("minion {} reports that it drains", minion.id);
        state.lines.push((at, line));
    }

    /// The minion leaves for good; its entry goes with it.
    pub fn leave(&self, number: usize) {
        self.crash(number);
        let id = {
            let mut state = self.state.lock().unwrap();
            state.minions[number].is_listed = false;
            state.minions[number].silent_since = None;
            state.minions[number].id.clone()
        };
        self.store.erase(&format!("servers/{id}"));
        self.note(format!("minion {id} has left"));
    }

    fn beat(&self) {
        let now = Instant::now();
        let mut writes = Vec::new();
        let mut erased = Vec::new();
        let mut state = self.state.lock().unwrap();
        for minion in &mut state.minions {
            if let Some(since) = minion.silent_since
                && minion.is_listed
                && now >= since + HEARTBEAT * 3
            {
                minion.is_listed = false;
                erased.push(format!("servers/{}", minion.id));
            }
            let Some(address) = minion.address.filter(|_| minion.is_up && now >= minion.next_beat)
            else {
                continue;
            };
            minion.next_beat = now + HEARTBEAT;
            minion.sequence += 1;
            minion.is_listed = true;
            let mut fields = vec![
                ("Service", text(minion.service)),
                ("Address", text(address.to_string())),
                ("Zone", text(ZONE)),
                ("Version", text("v1")),
                ("Slots", int(8)),
                ("State", text(if minion.is_draining { "draining" } else { "ready" })),
                ("ColdLeftMs", int(0)),
                ("Capacity", capacity()),
                ("Labels", Json::List(vec![text(minion.kind), text(&*minion.rack)])),
                ("ClockMs", int(minion.clock(now))),
                ("Sequence", int(minion.sequence)),
                ("Machine", text(&*minion.machine)),
                ("born", int(minion.born)),
            ];
            if minion.is_draining {
                fields.push(("RemainingMs", int(2_000)));
            }
            writes.push((format!("servers/{}", minion.id), object(fields)));
        }
        drop(state);
        writes.iter().for_each(|(key, value)| self.store.write(key, value));
        erased.iter().for_each(|key| self.store.erase(key));
    }

    /// Lists the machines as the platform does.
    pub fn list_machines(&self) -> Json {
        let state = self.state.lock().unwrap();
        let rows = state.minions.iter().map(|minion| {
            object(vec![
                ("Machine", text(&*minion.machine)),
                ("Pool", text(minion.service)),
                ("State", text(if minion.is_up { "up" } else { "down" })),
                ("Zone", text(ZONE)),
                ("Labels", Json::List(vec![text(minion.kind), text(&*minion.rack)])),
                ("Capacity", capacity()),
                ("Id", text(&*minion.id)),
            ])
        });
        object(vec![("Machines", Json::List(rows.collect())), ("NextToken", Json::Null)])
    }

    /// Ends what has come to its end.
    fn advance(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        self.form_gangs(&mut state, now);
        for number in 0..state.minions.len() {
            let is_lapsed = {
                let minion = &state.minions[number];
                minion.is_up && minion.lease_end.is_some_and(|end| minion.clock(now) > end)
            };
            if is_lapsed {
                state.minions[number].lease_end = None;
                while let Some(run) = state.minions[number].running.pop() {
                    self.end(&mut state, number, run, How::Lapsed, now);
                }
            }
            let mut index = 0;
            while index < state.minions[number].running.len() {
                let how = Self::due(&mut state, number, index, now);
                match how {
                    Some(how) => {
                        let run = state.minions[number].running.remove(index);
                        self.end(&mut state, number, run, how, now);
                        index = 0;
                    }
                    None => index += 1,
                }
            }
        }
    }

    /// Returns how a run ends now, if it does.
    fn due(state: &mut State, number: usize, index: usize, now: Instant) -> Option<How> {
        let State { minions, jobs, .. } = state;
        let run = &mut minions[number].running[index];
        let work = jobs.get(&run.job)?;
        if run.stop_at.is_some_and(|at| now >= at) {
            if work.checkpoints && run.works_from.is_some() {
                run.saved = checkpoint_at(progress(run, now));
            }
            return Some(How::Stopped);
        }
        let Some(from) = run.works_from else {
            let has_waited = now >= run.arrived + Duration::from_millis(GANG_MS);
            return (work.gang && has_waited).then_some(How::Alone);
        };
        let worked = now.saturating_duration_since(from).as_millis() as u64;
        if work.fails.is_some_and(|(task, after)| task == run.index && worked >= after) {
            return Some(How::Failed);
        }
        let progress = run.base_ms + worked;
        if work.checkpoints && worked >= SAVE_MS {
            run.saved = checkpoint_at(run.base_ms + worked / SAVE_MS * SAVE_MS);
        }
        (!work.lasts && progress >= work.work_ms).then_some(How::Done)
    }

    /// Lets the gangs work of which all tasks of one run are present, all with the same checkpoint.
    fn form_gangs(&self, state: &mut State, now: Instant) {
        let mut present: BTreeMap<(String, i64), Vec<(usize, usize)>> = BTreeMap::new();
        for (number, minion) in state.minions.iter().enumerate() {
            for (index, run) in minion.running.iter().enumerate() {
                if run.works_from.is_none() && run.stop_at.is_none() {
                    present.entry((run.job.clone(), run.run)).or_default().push((number, index));
                }
            }
        }
        for ((job, run), members) in present {
            let tasks = state.jobs.get(&job).map_or(0, |work| work.tasks as usize);
            let checkpoint = |(number, index): &(usize, usize)| {
                state.minions[*number].running[*index].checkpoint.clone()
            };
            let first = checkpoint(&members[0]);
            if members.len() < tasks || members.iter().any(|member| checkpoint(member) != first) {
                continue;
            }
            for (number, index) in members {
                let run = &mut state.minions[number].running[index];
                let restore = if run.checkpoint.is_empty() { 0 } else { RESTORE_MS };
                run.works_from = Some(now + Duration::from_millis(restore));
            }
            state.lines.push((
                self.now_ms(),
                format!("gang {job} run {run}: all {tasks} tasks are present and work"),
            ));
        }
    }

    fn end(&self, state: &mut State, number: usize, run: Run, how: How, now: Instant) {
        let at = self.now_ms();
        let minion = &mut state.minions[number];
        minion.last_end += 1;
        let highest = minion.highest.entry(run.task.clone()).or_default();
        *highest = run.run.max(*highest);
        let line = format!(
            "{}: {} run {} ends {}, saved {:?}, end {}",
            minion.id,
            run.task,
            run.run,
            how.name(),
            run.saved,
            minion.last_end
        );
        let record = &mut state.runs[run.record];
        (record.ended_ms, record.how) = (Some(at), Some(how));
        if minion.last_end <= minion.observed {
            record.noted_ms = Some(at);
        } else {
            minion.ended.push(End {
                number: minion.last_end,
                task: run.task.clone(),
                run: run.run,
                how,
                saved: run.saved.clone(),
                record: run.record,
            });
        }
        state.lines.push((at, line));
        self.break_gang(state, &run, now);
        self.changed.notify_all();
    }

    /// Ends the other members of a gang, of which one has ended.
    fn break_gang(&self, state: &mut State, ended: &Run, now: Instant) {
        let is_gang = state.jobs.get(&ended.job).is_some_and(|work| work.gang);
        let is_done = state.runs[ended.record].how == Some(How::Done);
        if !is_gang {
            return;
        }
        for number in 0..state.minions.len() {
            let is_other = |run: &Run| run.job == ended.job && run.run == ended.run;
            while let Some(index) = state.minions[number].running.iter().position(is_other) {
                let run = state.minions[number].running.remove(index);
                self.end(state, number, run, if is_done { How::Done } else { How::Broken }, now);
            }
        }
    }

    fn handle(&self, number: usize, request: &Request) -> Reply {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let minion = &mut state.minions[number];
        if !minion.is_up {
            return Reply::Closed;
        }
        if request.path == "/healthz" {
            return Reply::Json(200, object(vec![]));
        }
        if request.header("Expect-Instance").is_some_and(|id| id != minion.id) {
            return Reply::Json(421, object(vec![("ClockMs", int(minion.clock(now)))]));
        }
        let clock = int(minion.clock(now));
        let refuse = |status, reason: &str| {
            Reply::Json(status, object(vec![("ClockMs", clock.clone()), ("Reason", text(reason))]))
        };
        let Some(body) = &request.body else { return refuse(400, "body") };
        let fence = body.int("FencingToken").unwrap_or(0);
        if fence < minion.fence {
            return refuse(409, "fence");
        }
        minion.fence = fence;
        let life = minion.life;
        match &*request.path {
            "/api/run-start" => match self.start_run(&mut state, number, body, now) {
                Ok(()) => Reply::Json(200, object(vec![("ClockMs", clock)])),
                Err("body") => refuse(400, "body"),
                Err(reason) => refuse(409, reason),
            },
            "/api/run-stop" => {
                let (Some(task), Some(run)) = (body.text("Task"), body.int("Run")) else {
                    return refuse(400, "body");
                };
                match minion.running.iter_mut().find(|known| known.task == task && known.run == run)
                {
                    Some(known) => {
                        known.stop_at.get_or_insert(now + STOP_TIME);
                    }
                    None => {
                        let highest = minion.highest.entry(task.to_owned()).or_default();
                        *highest = run.max(*highest);
                    }
                }
                let line = format!("{}: told to stop {task} run {run}", state.minions[number].id);
                let at = self.now_ms();
                state.lines.push((at, line));
                Reply::Json(200, object(vec![("ClockMs", clock)]))
            }
            "/api/pace" => Reply::Json(200, object(vec![("ClockMs", clock)])),
            "/api/hold" => {
                extend_lease(minion, body, now);
                let observed = body.int("Observed").unwrap_or(0);
                minion.observed = minion.observed.max(observed);
                let at = self.now_ms();
                let (noted, kept): (Vec<End>, Vec<End>) = std::mem::take(&mut minion.ended)
                    .into_iter()
                    .partition(|end| end.number <= observed);
                minion.ended = kept;
                for end in noted {
                    state.runs[end.record].noted_ms = Some(at);
                }
                let wait = body.int("WaitMs").unwrap_or(0).clamp(0, 2_000) as u64;
                let until = now + Duration::from_millis(wait);
                loop {
                    let now = Instant::now();
                    let minion = &state.minions[number];
                    if !minion.is_up || minion.life != life {
                        return Reply::Closed;
                    }
                    if !minion.ended.is_empty() || now >= until {
                        return Reply::Json(200, list_runs(minion, &state.jobs, now));
                    }
                    state = self.changed.wait_timeout(state, until - now).unwrap().0;
                }
            }
            _ => refuse(400, "path"),
        }
    }

    fn start_run(
        &self,
        state: &mut State,
        number: usize,
        body: &Json,
        now: Instant,
    ) -> Result<(), &'static str> {
        let (Some(task), Some(run)) = (body.text("Task"), body.int("Run")) else {
            return Err("body");
        };
        let (job, index) = split_task(task).ok_or("body")?;
        let State { minions, jobs, runs, lines } = state;
        let minion = &mut minions[number];
        let checkpoint = body.text("Checkpoint").unwrap_or_default().to_owned();
        let at = self.now_ms();
        if minion.running.iter().any(|known| known.task == task && known.run == run) {
            extend_lease(minion, body, now);
            return Ok(());
        }
        if body.int("UntilMs").is_some_and(|until| minion.clock(now) > until) {
            return Err("late");
        }
        extend_lease(minion, body, now);
        if minion.highest.get(task).is_some_and(|highest| run <= *highest) {
            return Err("old");
        }
        let key = job_key(minion.service, job);
        let Some(work) = jobs.get(&key) else {
            lines.push((at, format!("{}: told to start {task}, which no client sent", minion.id)));
            return Err("body");
        };
        let sum = |amount: fn(&JobWork) -> i64| -> i64 {
            minion.running.iter().filter_map(|run| jobs.get(&run.job)).map(amount).sum()
        };
        if sum(|work| work.cpu) + work.cpu > CAPACITY_CPU
            || sum(|work| work.mem) + work.mem > CAPACITY_MEM
        {
            return Err("room");
        }
        runs.push(RunRecord {
            service: minion.service,
            task: task.to_owned(),
            run,
            minion: number,
            checkpoint: checkpoint.clone(),
            began_ms: at,
            ended_ms: None,
            how: None,
            noted_ms: None,
        });
        lines.push((
            at,
            format!("{}: starts {task} run {run}, checkpoint {checkpoint:?}", minion.id),
        ));
        let restore = if checkpoint.is_empty() { 0 } else { RESTORE_MS };
        minion.running.push(Run {
            task: task.to_owned(),
            run,
            job: key,
            index,
            base_ms: u64::from_str_radix(&checkpoint, 16).unwrap_or(0),
            saved: checkpoint.clone(),
            checkpoint,
            arrived: now,
            works_from: (!work.gang).then_some(now + Duration::from_millis(restore)),
            stop_at: None,
            record: runs.len() - 1,
        });
        Ok(())
    }
}

fn capacity() -> Json {
    object(vec![("Cpu", int(CAPACITY_CPU)), ("MemMb", int(CAPACITY_MEM)), ("Gpu", int(0))])
}

/// A lease never shortens, and lasts `HoldMaxMs` at most.
fn extend_lease(minion: &mut Minion, body: &Json, now: Instant) {
    let Some(until) = body.int("UntilMs") else { return };
    let clock = minion.clock(now);
    let until = until.min(clock + HOLD_MAX_MS);
    if until >= clock {
        minion.lease_end = Some(minion.lease_end.map_or(until, |known| known.max(until)));
    }
}

fn list_runs(minion: &Minion, jobs: &BTreeMap<String, JobWork>, now: Instant) -> Json {
    let running = minion.running.iter().map(|run| {
        let work = jobs.get(&run.job);
        let percent_of = |work: &JobWork| (progress(run, now) * 100 / work.work_ms.max(1)).min(99);
        let percent = work.map_or(0, |work| if work.lasts { 100 } else { percent_of(work) });
        Json::List(vec![
            text(&*run.task),
            int(run.run),
            text(&*run.saved),
            int(percent),
            int(work.map_or(0, |work| work.cpu)),
        ])
    });
    let ended = minion.ended.iter().take(500).map(|end| {
        Json::List(vec![
            int(end.number),
            text(&*end.task),
            int(end.run),
            text(end.how.name()),
            text(&*end.saved),
        ])
    });
    object(vec![
        ("ClockMs", int(minion.clock(now))),
        ("born", int(minion.born)),
        ("Running", Json::List(running.collect())),
        ("Ended", Json::List(ended.collect())),
    ])
}
