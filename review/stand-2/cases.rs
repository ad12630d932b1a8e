//! The cases; `claim.txt` in the folder of each says what it shows.

use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::system::{Step, System};

type Outcome = (i32, String);

/// Waves that the case `new-machines` orders.
const WAVE_ROUNDS: u64 = 3;

pub fn run(case: &str, folder: &Path, has_trouble: bool) -> Option<Outcome> {
    match case {
        "many-ends" => Some(many_ends(folder, has_trouble)),
        "many-occurrences" => Some(many_occurrences(folder, has_trouble)),
        "stalled-logs" => Some(stalled_logs(folder, has_trouble)),
        "new-machines" => Some(new_machines(folder, has_trouble)),
        "late-orders" => Some(late_orders(folder, has_trouble)),
        "many-attempts" => Some(many_attempts(folder, has_trouble)),
        _ => None,
    }
}

fn could_not_run(reason: &str) -> Outcome {
    (2, format!("could not run: {reason}\n"))
}

fn sleep_until(began: Instant, at_ms: u64) {
    let until = began + Duration::from_millis(at_ms);
    std::thread::sleep(until.saturating_duration_since(Instant::now()));
}

/// Waits until no minion runs anything, for `limit` at most.
fn wait_until_idle(system: &System, limit: Duration) {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if system.minions.iter().all(|minion| minion.counts() == (0, 0)) {
            return;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
}

/// More than 500 runs end on a minion while the store is down.
fn many_ends(folder: &Path, has_trouble: bool) -> Outcome {
    let Some(system) = System::start(folder, 3, 2, 3) else {
        return could_not_run("the daemons did not become ready");
    };
    if !system.warm_up() {
        return could_not_run("the first job was not completed");
    }
    let began = Instant::now();
    let jobs: Vec<String> = (1..=50).map(|number| format!("{number:016x}")).collect();
    for job in &jobs {
        let step = Step { count: 32, cpu: 10, memory: 20, estimate_ms: 3_000, kind: String::new() };
        if !system.submit(job, "ms=3000", &[step], "") {
            return could_not_run("a job was not accepted");
        }
    }
    sleep_until(began, 2_000);
    if has_trouble {
        system.store.go_down();
        system.note("the store is down");
    }
    sleep_until(began, 6_500);
    for minion in &system.minions {
        let (running, ended) = minion.counts();
        system.note(format!("{} runs {running} tasks and lists {ended} ends", minion.id));
    }
    if has_trouble {
        system.store.come_back();
        system.note("the store is back");
    }
    std::thread::sleep(Duration::from_secs(6));
    wait_until_idle(&system, Duration::from_secs(15));
    let doubled = system.find_doubled();
    let incomplete = jobs.iter().filter(|job| system.state(job) != "complete").count();
    let mut result: Vec<String> = doubled.iter().take(20).cloned().collect();
    result.push(format!(
        "TWICE: {} tasks of 1600 ran again; {incomplete} of 50 jobs not complete",
        doubled.len()
    ));
    (i32::from(!doubled.is_empty()), system.record(&result))
}

/// A job whose occurrences are all due at once.
fn many_occurrences(folder: &Path, has_trouble: bool) -> Outcome {
    const MEMORY_LIMIT_MIB: u64 = 260;
    let Some(system) = System::start(folder, 3, 2, 3) else {
        return could_not_run("the daemons did not become ready");
    };
    if !system.warm_up() {
        return could_not_run("the first job was not completed");
    }
    // The platform ends a process that exceeds its memory, and starts it again.
    let (daemons, journal) = (system.daemons.clone(), system.journal.clone());
    let ends = std::sync::Arc::new(std::sync::Mutex::new(Vec::<String>::new()));
    let (found, stop) =
        (ends.clone(), std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false)));
    let stopped = stop.clone();
    let guard = std::thread::spawn(move || {
        let mut most = 0;
        while !stopped.load(std::sync::atomic::Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(20));
            for daemon in daemons.lock().unwrap().iter_mut() {
                let memory = daemon.memory_mib();
                most = most.max(memory);
                let is_over = memory > MEMORY_LIMIT_MIB;
                if is_over || daemon.has_ended() {
                    let cause = if is_over { "over its memory" } else { "ended by itself" };
                    journal.note(format!("{} {cause}: {memory} MiB", daemon.name));
                    daemon.kill();
                    found.lock().unwrap().push(daemon.name.clone());
                    std::thread::sleep(Duration::from_millis(300));
                    daemon.start();
                }
            }
        }
        most
    });
    let began = Instant::now();
    let now_s =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_secs();
    let small = || Step { count: 1, cpu: 500, memory: 200, estimate_ms: 300, kind: String::new() };
    // The client gives the first time in seconds where the queue expects milliseconds.
    let (first_ms, count) = if has_trouble { (now_s, 5_256_000) } else { (now_s * 1_000, 3) };
    let more = format!(r#","RepeatCount":{count},"FirstMs":{first_ms},"IntervalMs":60000"#);
    if !system.submit("00000000000000ff", "ms=300", &[small()], &more) {
        return could_not_run("the timed job was not accepted");
    }
    let mut jobs = Vec::new();
    for number in 1..=20_u64 {
        sleep_until(began, number * 500);
        let job = format!("{number:016x}");
        if system.submit(&job, "ms=300", &[small()], "") {
            jobs.push(job);
        }
    }
    // `finish_s` after the end of the traffic.
    sleep_until(began, 25_000);
    let mut open = Vec::new();
    for job in &jobs {
        let state = system.state_once(job);
        if state != "complete" {
            open.push(format!("{job}: {state}"));
        }
        if began.elapsed() > Duration::from_secs(60) {
            break;
        }
    }
    stop.store(true, std::sync::atomic::Ordering::SeqCst);
    let most = guard.join().unwrap_or(0);
    let ends = ends.lock().unwrap().clone();
    let mut names = ends.clone();
    names.sort();
    names.dedup();
    let is_fault =
        names.iter().filter(|name| ends.iter().filter(|end| end == name).count() >= 3).count() >= 2;
    let mut result =
        open.iter().map(|line| format!("accepted, not complete: {line}")).collect::<Vec<_>>();
    result.push(format!(
        "Fault: {} ends of {} daemons ({}), most memory {most} MiB; LOST: {} of {} accepted ordinary jobs not complete",
        ends.len(),
        names.len(),
        names.join(" "),
        open.len(),
        jobs.len()
    ));
    (i32::from(is_fault || !open.is_empty()), system.record(&result))
}

/// Orders that were sent before a minion restarts are carried out after it.
fn late_orders(folder: &Path, has_trouble: bool) -> Outcome {
    let Some(system) = System::start(folder, 3, 4, 3) else {
        return could_not_run("the daemons did not become ready");
    };
    if !system.warm_up() {
        return could_not_run("the first job was not completed");
    }
    let began = Instant::now();
    let minion = system.minions[0].clone();
    if has_trouble {
        minion.delay_orders(50, Duration::from_millis(5_500));
        system.note("m1 leaves half of its orders unanswered for 5.5 s");
    }
    let mut number = 0;
    let mut submit = |system: &System| {
        number += 1;
        let step =
            Step { count: 32, cpu: 60, memory: 100, estimate_ms: 4_000, kind: String::new() };
        system.submit(&format!("{number:016x}"), "ms=4000", &[step], "")
    };
    for at_ms in (0..8_100).step_by(300) {
        sleep_until(began, at_ms);
        if !submit(&system) {
            return could_not_run("a job was not accepted");
        }
        if at_ms == 7_200 && has_trouble {
            minion.crash();
            std::thread::sleep(Duration::from_millis(500));
            minion.begin_life();
        }
    }
    sleep_until(began, 16_000);
    wait_until_idle(&system, Duration::from_secs(30));
    let doubled = system.find_doubled();
    let mut result: Vec<String> = doubled.iter().take(20).cloned().collect();
    result.push(format!("TWICE: {} doubled runs", doubled.len()));
    (i32::from(!doubled.is_empty()), system.record(&result))
}

/// A task that always fails, on a queue with more than nine attempts.
fn many_attempts(folder: &Path, has_trouble: bool) -> Outcome {
    const MAX_ATTEMPTS: u32 = 12;
    let Some(system) = System::start(folder, 3, 4, MAX_ATTEMPTS) else {
        return could_not_run("the daemons did not become ready");
    };
    if !system.warm_up() {
        return could_not_run("the first job was not completed");
    }
    let began = Instant::now();
    let job = "0000000000000001";
    let spec = if has_trouble { "ms=200 fails" } else { "ms=200" };
    let step = || Step { count: 1, cpu: 800, memory: 1_000, estimate_ms: 200, kind: String::new() };
    if !system.submit(job, spec, &[step()], "") {
        return could_not_run("the job was not accepted");
    }
    for number in 0..60_u64 {
        sleep_until(began, number * 500);
        if !system.submit(&format!("{:016x}", number + 100), "ms=300", &[step()], "") {
            return could_not_run("an ordinary job was not accepted");
        }
    }
    let state = system.state(job);
    let runs: Vec<_> = system.runs().into_iter().filter(|run| run.task.starts_with(job)).collect();
    let is_over = |at: &Instant| {
        let noted = runs.iter().filter(|run| run.how == "failed" && run.noted.is_some());
        let before = noted.filter(|run| run.ended.is_some_and(|ended| ended <= *at)).count();
        before >= MAX_ATTEMPTS as usize
    };
    let over = runs.iter().filter(|run| is_over(&run.began)).count();
    let result = [format!(
        "BUDGET: {} runs of the task with MaxAttempts {MAX_ATTEMPTS}, {over} of them after {MAX_ATTEMPTS} had ended failed; the job is shown as {state}",
        runs.len()
    )];
    (i32::from(over > 0), system.record(&result))
}

/// The collector of the daemons' logs stops reading.
fn stalled_logs(folder: &Path, has_trouble: bool) -> Outcome {
    const CLIENTS: u64 = 20;
    const JOBS_PER_CLIENT: u64 = 25;
    const TRAFFIC_MS: u64 = 25_000;
    let Some(system) = System::start(folder, 3, 4, 3) else {
        return could_not_run("the daemons did not become ready");
    };
    if !system.warm_up() {
        return could_not_run("the first job was not completed");
    }
    let began = Instant::now();
    let accepted = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (system, accepted) = (&system, &accepted);
            scope.spawn(move || {
                for number in 0..JOBS_PER_CLIENT {
                    let at_ms = number * TRAFFIC_MS / JOBS_PER_CLIENT + client * 50;
                    sleep_until(began, at_ms);
                    if began.elapsed() > Duration::from_millis(TRAFFIC_MS) {
                        return;
                    }
                    let job = format!("{:016x}", client * 1_000 + number + 1);
                    let step = Step {
                        count: 8,
                        cpu: 400,
                        memory: 500,
                        estimate_ms: 1_000,
                        kind: String::new(),
                    };
                    if system.submit(&job, "ms=1000", &[step], "") {
                        accepted.lock().unwrap().push(job);
                    }
                }
            });
        }
        sleep_until(began, 3_000);
        if has_trouble {
            system.collector_stalls.store(true, Ordering::SeqCst);
            system.note("the collector of the logs stops reading");
        }
    });
    // `finish_s` after the end of the traffic.
    sleep_until(began, TRAFFIC_MS + 14_000);
    let jobs = accepted.into_inner().unwrap();
    let open = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for part in jobs.chunks(jobs.len().div_ceil(150).max(1)) {
            let (system, open) = (&system, &open);
            scope.spawn(move || {
                for job in part {
                    let state = system.state(job);
                    if state != "complete" {
                        let line = format!("accepted, not complete: {job}: {state}");
                        open.lock().unwrap().push(line);
                    }
                    if began.elapsed() > Duration::from_secs(85) {
                        return;
                    }
                }
            });
        }
    });
    let daemons = system.daemons.lock().unwrap();
    let ready = daemons.iter().filter(|daemon| daemon.is_ready(Duration::from_millis(500))).count();
    drop(daemons);
    let mute = system.count_mute("00000000000000aa");
    system.collector_stalls.store(false, Ordering::SeqCst);
    let mut result = open.into_inner().unwrap();
    let open = result.len();
    let without_answer = result.iter().filter(|line| line.ends_with("no answer")).count();
    result.push(format!(
        "LOST: {open} of {} accepted jobs are not complete when asked for, {without_answer} of them got no answer in 5 attempts; {mute} of 3 daemons answer no client, {ready} of 3 say that they are ready",
        jobs.len()
    ));
    (i32::from(open > 0), system.record(&result))
}

/// A machine of a new kind joins the pool shortly before a wave that names it and others.
fn new_machines(folder: &Path, has_trouble: bool) -> Outcome {
    let Some(system) = System::start(folder, 3, 4, 3) else {
        return could_not_run("the daemons did not become ready");
    };
    if !system.warm_up() {
        return could_not_run("the first job was not completed");
    }
    let (mut result, mut missed, mut jobs) = (Vec::new(), 0, Vec::new());
    let is_over = AtomicBool::new(false);
    let failure = std::thread::scope(|scope| {
        // Work for the machines that the pool had at first.
        scope.spawn(|| {
            let mut number = 1_000;
            while !is_over.load(Ordering::SeqCst) {
                number += 1;
                let kind = "a".to_owned();
                let step = Step { count: 8, cpu: 1_000, memory: 500, estimate_ms: 1_200, kind };
                system.submit(&format!("{number:016x}"), "ms=1200", &[step], "");
                std::thread::sleep(Duration::from_millis(400));
            }
        });
        let failure = run_waves(&system, has_trouble, &mut result, &mut missed, &mut jobs);
        is_over.store(true, Ordering::SeqCst);
        failure
    });
    if failure {
        return could_not_run("a job was not accepted");
    }
    // `finish_s` after the end of the traffic.
    std::thread::sleep(Duration::from_secs(14));
    let mut open = 0;
    for job in &jobs {
        let state = system.state(job);
        if state != "complete" {
            open += 1;
            result.push(format!("accepted, not complete: {job}: {state}"));
        }
    }
    result.push(format!(
        "LOST: {open} of {WAVE_ROUNDS} jobs for the machine of a wave never ran; MIXED: {missed} of {WAVE_ROUNDS} waves were said to be complete while that machine had not begun its upkeep"
    ));
    (i32::from(open > 0 || missed > 0), system.record(&result))
}

/// Adds a machine and orders a wave, in each round; returns whether a job was not accepted.
fn run_waves(
    system: &System,
    has_trouble: bool,
    result: &mut Vec<String>,
    missed: &mut u32,
    jobs: &mut Vec<String>,
) -> bool {
    const WAVE_LIMIT: Duration = Duration::from_secs(18);
    for wave in 1..=WAVE_ROUNDS {
        let (name, kind) = (format!("machine-new-{wave}"), format!("k{wave}"));
        system.machines.join(&name, &kind);
        std::thread::sleep(Duration::from_millis(if has_trouble { 500 } else { 5_000 }));
        let order = format!(
            r#"{{"Wave":{wave},"Machines":["{name}","machine-1"],"DurationS":20,"Maximum":1}}"#
        );
        system.note(format!("operator: op/wave/{wave} {order}"));
        system.store.write(&format!("op/wave/{wave}"), &order);
        let sent = Instant::now();
        let is_complete = || {
            let status = system.store.read(&format!("status/wave/{wave}"));
            status.is_some_and(|status| status.text("State") == Some("complete"))
        };
        while !is_complete() && sent.elapsed() < WAVE_LIMIT {
            std::thread::sleep(Duration::from_millis(50));
        }
        let (complete, begun) = (is_complete(), system.machines.has_begun(&name, wave));
        let line = format!("wave {wave}: complete {complete}, {name} has begun its upkeep {begun}");
        system.note(line.clone());
        result.push(line);
        *missed += u32::from(complete && !begun);
        let job = format!("{wave:016x}");
        let step = Step { count: 2, cpu: 1_000, memory: 1_000, estimate_ms: 500, kind };
        if !system.submit(&job, "ms=500", &[step], "") {
            return true;
        }
        jobs.push(job);
        std::thread::sleep(Duration::from_millis(1_500));
    }
    false
}
