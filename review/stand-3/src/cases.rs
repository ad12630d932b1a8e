//! The cases: what happens, and the check of the rule.

use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::deployment::{CUTTING_QUEUE, Deployment, MAX_ATTEMPTS, PACKING_QUEUE, Queue};
use crate::http::{Reply, serve};
use crate::json::{int, object, text};
use crate::world::{
    CUTTING, HEARTBEAT, How, JobWork, PACKING, RunRecord, World, ZONE, split_task, unix_ms,
};

/// Time from the start of the machines to the start of the traffic.
const LEAD: Duration = Duration::from_secs(10);
/// `finish_s`: time from the end of the traffic until jobs are asked for.
const FINISH: Duration = Duration::from_secs(14);
/// Time for which a job with nothing running must have had nothing running.
const IDLE_MS: u64 = 3_000;
/// `ContactMs`.
const CONTACT_MS: u64 = 3_000;

/// Result of a case.
pub struct Verdict {
    pub is_broken: bool,
    pub findings: Vec<String>,
    pub lines: Vec<(u64, String)>,
}

pub fn play(case: &str, folder: &Path, has_trouble: bool) -> Option<Verdict> {
    match case {
        "drained-gang" => drained_gang(folder, has_trouble),
        "hopeless-gang" => hopeless_gang(folder, has_trouble),
        "clock-back" => clock_back(folder, has_trouble),
        "held-back" => held_back(folder, has_trouble),
        "same-id" => same_id(folder, has_trouble),
        "foreign-entry" => foreign_entry(folder, has_trouble),
        _ => None,
    }
}

fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

fn runs_of(world: &World, job: &str) -> Vec<RunRecord> {
    runs_in(world, CUTTING, job)
}

fn runs_in(world: &World, service: &str, job: &str) -> Vec<RunRecord> {
    let state = world.state.lock().unwrap();
    let is_job = |task: &str| split_task(task).is_some_and(|(known, _)| known == job);
    let is_of_job = |run: &&RunRecord| run.service == service && is_job(&run.task);
    state.runs.iter().filter(is_of_job).cloned().collect()
}

fn verdict(deployment: &Deployment, is_broken: bool, findings: Vec<String>) -> Option<Verdict> {
    Some(Verdict { is_broken, findings, lines: deployment.world.lines() })
}

fn plain_work() -> JobWork {
    JobWork {
        tasks: 1,
        cpu: 1_000,
        mem: 1_024,
        gang: false,
        kind: None,
        checkpoints: false,
        lasts: false,
        work_ms: 1_000,
        fails: None,
    }
}

/// A minion that runs one member of a gang drains and leaves.
fn drained_gang(folder: &Path, has_trouble: bool) -> Option<Verdict> {
    const JOB: &str = "5c0e7a21d94b3601";
    let deployment = Deployment::start(folder, 16)?;
    let world = &deployment.world;
    thread::sleep(LEAD);
    let work = JobWork { tasks: 4, gang: true, checkpoints: true, work_ms: 6_000, ..plain_work() };
    if !deployment.submit(&CUTTING_QUEUE, JOB, &work) {
        return None;
    }
    sleep_ms(2_700);
    let mut left_ms = None;
    if has_trouble {
        let minion = runs_of(world, JOB).first()?.minion;
        world.drain(minion);
        // `DrainMs` and a little longer.
        sleep_ms(2_500);
        world.leave(minion);
        left_ms = Some(world.now_ms());
    }
    // The work takes 6 s, and some 5 s more if it begins anew.
    sleep_ms(12_000);
    thread::sleep(FINISH);
    let state = deployment.state_of(&CUTTING_QUEUE, JOB);
    let quiet_ms = left_ms.unwrap_or(0) + 2 * CONTACT_MS;
    let runs = runs_of(world, JOB);
    let is_alone = |run: &&RunRecord| run.how == Some(How::Alone) && run.began_ms > quiet_ms;
    let alone: Vec<&RunRecord> = runs.iter().filter(is_alone).collect();
    let mut findings = vec![format!("job {JOB} is {state}; {} starts of its 4 tasks", runs.len())];
    if let Some(first) = alone.first() {
        findings.push(format!(
            "GANG: {} runs that began over 6 s after the drained minion had left ended alone, first {} run {}",
            alone.len(),
            first.task,
            first.run
        ));
        let members = runs.iter().filter(|run| run.run == first.run);
        let values: Vec<String> =
            members.map(|run| format!("{} {:?}", run.task, run.checkpoint)).collect();
        findings.push(format!(
            "checkpoints of the gang's run {}: {}",
            first.run,
            values.join(", ")
        ));
    }
    verdict(&deployment, !alone.is_empty(), findings)
}

/// One of twenty gangs can never be done.
fn hopeless_gang(folder: &Path, has_trouble: bool) -> Option<Verdict> {
    const HOPELESS: &str = "5c0e7a21d94b3605";
    let deployment = Deployment::start(folder, 8)?;
    let world = &deployment.world;
    thread::sleep(LEAD);
    for number in 1..=20 {
        let id = format!("5c0e7a21d94b36{number:02x}");
        let fails = (has_trouble && id == HOPELESS).then_some((0, 300));
        let work = JobWork { tasks: 3, gang: true, fails, ..plain_work() };
        if !deployment.submit(&CUTTING_QUEUE, &id, &work) {
            return None;
        }
        sleep_ms(300);
    }
    thread::sleep(FINISH);
    let state = deployment.state_of(&CUTTING_QUEUE, HOPELESS);
    let mut runs = runs_of(world, HOPELESS);
    runs.retain(|run| split_task(&run.task).is_some_and(|(_, index)| index == 0));
    runs.sort_by_key(|run| run.began_ms);
    let failed: Vec<&RunRecord> = runs.iter().filter(|run| run.how == Some(How::Failed)).collect();
    let mut findings = vec![format!(
        "job {HOPELESS} is {state}; its task 0 was started {} times and failed {} times",
        runs.len(),
        failed.len()
    )];
    let last = failed.get(MAX_ATTEMPTS as usize - 1).and_then(|run| run.ended_ms);
    let are_noted = failed.iter().take(MAX_ATTEMPTS as usize).all(|run| run.noted_ms.is_some());
    let late = runs.iter().filter(|run| last.is_some_and(|last| run.began_ms > last)).count();
    let is_broken = late > 0 && are_noted;
    if is_broken {
        findings.push(format!(
            "BUDGET: {late} starts of task 0 after {MAX_ATTEMPTS} runs of it had ended failed, all of which are taken note of"
        ));
    }
    verdict(&deployment, is_broken, findings)
}

/// Returns whether a job has nothing running, and has had nothing running for three seconds.
fn is_idle(world: &World, job: &str) -> bool {
    let now = world.now_ms();
    runs_of(world, job).iter().all(|run| run.ended_ms.is_some_and(|end| end + IDLE_MS <= now))
}

/// Describes the jobs that are not done and have nothing running.
fn find_lost_jobs(deployment: &Deployment, jobs: &[String]) -> Vec<String> {
    let world = &deployment.world;
    let mut lost = Vec::new();
    for job in jobs {
        let state = deployment.state_of(&CUTTING_QUEUE, job);
        let runs = runs_of(world, job);
        let is_done = runs.iter().any(|run| run.how == Some(How::Done));
        if state != "complete" && !is_done && is_idle(world, job) {
            lost.push(format!(
                "LOST: job {job} is {state} and has nothing running; its task was started {} times",
                runs.len()
            ));
        }
    }
    lost
}

/// The time of day of a machine is ahead when its minion starts, and jumps back before the minion crashes
/// and starts again.
fn clock_back(folder: &Path, has_trouble: bool) -> Option<Verdict> {
    let deployment = Deployment::start(folder, 7)?;
    let world = &deployment.world;
    thread::sleep(LEAD);
    // An eighth machine joins; with the disruption its time of day is ahead by 2 s.
    let ahead = if has_trouble { 2_000 } else { 0 };
    let minion = world.add_minion(CUTTING, "b", ahead);
    let mut jobs = Vec::new();
    let mut submit = |count: u32| -> bool {
        (0..count).all(|_| {
            let id = format!("5c0e7a21d94b37{:02x}", jobs.len());
            jobs.push(id.clone());
            deployment.submit(
                &CUTTING_QUEUE,
                &id,
                &JobWork { work_ms: 3_000, kind: Some("b"), ..plain_work() },
            )
        })
    };
    if !submit(3) {
        return None;
    }
    // The minion gets its first tasks, and crashes 1.3 s after its start.
    sleep_ms(1_150);
    world.crash(minion);
    sleep_ms(300);
    if has_trouble {
        world.note("the time of day has jumped back by 2000 ms");
    }
    world.restart(minion, 0);
    sleep_ms(2_000);
    if !submit(3) {
        return None;
    }
    thread::sleep(Duration::from_secs(12));
    thread::sleep(FINISH);
    let findings = find_lost_jobs(&deployment, &jobs);
    verdict(&deployment, !findings.is_empty(), findings)
}

/// An entry of another writer, with fields missing, names a machine on which a minion runs.
fn foreign_entry(folder: &Path, has_trouble: bool) -> Option<Verdict> {
    let deployment = Deployment::start(folder, 7)?;
    let world = &deployment.world;
    let minion = world.add_minion(CUTTING, "b", 0);
    thread::sleep(LEAD);
    if has_trouble {
        let machine = world.state.lock().unwrap().minions[minion].machine.clone();
        write_foreign_entries(world, &machine);
    }
    sleep_ms(3_000);
    let jobs: Vec<String> = (1..=5).map(|number| format!("5c0e7a21d94b38{number:02x}")).collect();
    for id in &jobs {
        if !deployment.submit(&CUTTING_QUEUE, id, &JobWork { kind: Some("b"), ..plain_work() }) {
            return None;
        }
        sleep_ms(300);
    }
    thread::sleep(FINISH);
    let findings = find_lost_jobs(&deployment, &jobs);
    verdict(&deployment, !findings.is_empty(), findings)
}

/// Writes an entry of another writer at each heartbeat. Its address is that of a server that is no minion.
fn write_foreign_entries(world: &std::sync::Arc<World>, machine: &str) {
    let noting = std::sync::Arc::clone(world);
    let address = serve(move |request| {
        noting.note(format!(
            "the server of the foreign entry got {} {}",
            request.method, request.path
        ));
        Reply::Json(404, object(vec![]))
    });
    let (world, machine, born) = (std::sync::Arc::clone(world), machine.to_owned(), unix_ms());
    thread::spawn(move || {
        for sequence in 1.. {
            let entry = object(vec![
                ("Service", text(CUTTING)),
                ("Address", text(address.to_string())),
                ("Zone", text(ZONE)),
                ("State", text("ready")),
                ("Machine", text(&*machine)),
                ("born", int(born)),
                ("Sequence", int(sequence)),
            ]);
            if sequence == 1 {
                world.note(format!("another writer writes servers/agent-1: {entry}"));
            }
            world.store.write("servers/agent-1", &entry);
            thread::sleep(HEARTBEAT);
        }
    });
}

/// Two of the jobs that need the only machine of its kind can never be done; a task that lasts runs there too.
fn held_back(folder: &Path, has_trouble: bool) -> Option<Verdict> {
    const LASTING: &str = "5c0e7a21d94b3900";
    let deployment = Deployment::start(folder, 7)?;
    let world = &deployment.world;
    world.add_minion(CUTTING, "b", 0);
    thread::sleep(LEAD);
    if !deployment.submit(
        &CUTTING_QUEUE,
        LASTING,
        &JobWork { kind: Some("b"), lasts: true, ..plain_work() },
    ) {
        return None;
    }
    sleep_ms(1_000);
    let mut jobs = Vec::new();
    for number in 1..=50 {
        let id = format!("5c0e7a21d94b39{number:02x}");
        // One job in ten needs the machine of kind b; two of the first jobs that do are hopeless.
        let kind = (number % 10 == 0).then_some("b");
        let is_hopeless = has_trouble && matches!(number, 10 | 20);
        let fails = is_hopeless.then_some((0, 200));
        if !deployment.submit(&CUTTING_QUEUE, &id, &JobWork { kind, fails, ..plain_work() }) {
            return None;
        }
        if !is_hopeless {
            jobs.push(id);
        }
        sleep_ms(250);
    }
    thread::sleep(FINISH);
    let findings = find_lost_jobs(&deployment, &jobs);
    verdict(&deployment, !findings.is_empty(), findings)
}

/// Two tenants hand in their jobs on queues of their own, and number them alike.
fn same_id(folder: &Path, has_trouble: bool) -> Option<Verdict> {
    let deployment = Deployment::start(folder, 4)?;
    let world = &deployment.world;
    for _ in 0..4 {
        world.add_minion(PACKING, "a", 0);
    }
    thread::sleep(LEAD);
    let id = |number: u64| format!("{number:016x}");
    // Without the disruption the second tenant's numbers are others.
    let other_id = |number: u64| id(if has_trouble { number } else { number + 1_000 });
    // The first three jobs are short; the fourth is still at work when the second tenant cancels its own.
    let work =
        |number: u64| JobWork { work_ms: if number == 4 { 20_000 } else { 1_000 }, ..plain_work() };
    let submit = |queue: &Queue, id: &str, number: u64| deployment.submit(queue, id, &work(number));
    if !(1..=4).all(|number| submit(&CUTTING_QUEUE, &id(number), number)) {
        return None;
    }
    sleep_ms(4_000);
    if !(1..=4).all(|number| submit(&PACKING_QUEUE, &other_id(number), number)) {
        return None;
    }
    sleep_ms(2_000);
    if !deployment.cancel(&PACKING_QUEUE, &other_id(4)) {
        return None;
    }
    thread::sleep(Duration::from_secs(10));
    thread::sleep(FINISH);
    let mut findings = Vec::new();
    for number in 1..=3 {
        let id = other_id(number);
        let state = deployment.state_of(&PACKING_QUEUE, &id);
        if runs_in(world, PACKING, &id).is_empty() {
            findings.push(format!(
                "LOST: job {}{id} was accepted, and its task was never started; it is shown as {state}",
                PACKING_QUEUE.prefix
            ));
        }
    }
    let state = deployment.state_of(&CUTTING_QUEUE, &id(4));
    if state == "canceled" {
        let (prefix, id) = (CUTTING_QUEUE.prefix, id(4));
        findings.push(format!(
            "LOST: job {prefix}{id} is shown as canceled, and nobody has cancelled it"
        ));
    }
    verdict(&deployment, !findings.is_empty(), findings)
}
