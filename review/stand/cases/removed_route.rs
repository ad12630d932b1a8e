//! The operator removes a route while jobs that were accepted through it are not done.

use std::thread;
use std::time::{Duration, Instant};

use super::wait_for;
use crate::client::Step;
use crate::deployment::{Deployment, Route};
use crate::worker::Course;
use crate::{Setting, Verdict};

const CUTTING: Route =
    Route { name: "r-cut", prefix: "/puxa400/", service: "huvo11a", max_attempts: 3 };
const CUTTING_OTHER: Route =
    Route { name: "r-cut-2", prefix: "/wuhu344/", service: "huvo11a", max_attempts: 3 };
const INTAKE: Route =
    Route { name: "r-int", prefix: "/tije37/", service: "lovo22d", max_attempts: 4 };
/// `Bounds.finish_s` of the settings.
const FINISH: Duration = Duration::from_secs(14);
/// Time without a running task after which the rule is broken.
const IDLE: Duration = Duration::from_secs(3);

fn step(count: i64, after: Vec<i64>, course: Course) -> Step {
    Step { count, cpu: 1_000, estimate_ms: 2_000, after, may_miss: 0, course }
}

/// LOST: the second steps of accepted jobs never start once no route leads to the service.
pub fn job_is_lost(setting: &Setting) -> Result<Verdict, String> {
    let mut deployment = Deployment::start(&setting.record, 3, &[CUTTING, INTAKE])?;
    for service in ["huvo11a", "huvo11a", "huvo11a", "lovo22d", "lovo22d"] {
        deployment.add_worker(service, 16_000);
    }
    deployment.wait_until_ready()?;
    let client = deployment.client(CUTTING.prefix);
    let jobs: Vec<String> = (0..4).map(|number| format!("5c0e7a21d94b36f{number}")).collect();
    let work = Course::Done(Duration::from_secs(2));
    for job in &jobs {
        if !client.submit(job, &[step(3, vec![], work), step(3, vec![0], work)]) {
            return Err(format!("{job} was not accepted"));
        }
    }
    // The only traffic ends here; each first step has a second to go.
    thread::sleep(Duration::from_secs(1));
    if setting.has_trouble {
        deployment.configure(&[INTAKE], 3_000);
    } else {
        deployment.configure(&[CUTTING, INTAKE], 2_900);
    }
    thread::sleep(FINISH);
    let idle_since = Instant::now();
    let is_busy = wait_for(IDLE, || deployment.workers.iter().any(|worker| worker.running() > 0));
    let waited = idle_since.elapsed();
    let open: Vec<&String> =
        jobs.iter().filter(|job| !is_done(&deployment, job, &[3, 3])).collect();
    setting.record.note("check", format!("jobs that are not done: {open:?}"));
    // The route comes back, so that clients can ask for the jobs again.
    if setting.has_trouble {
        deployment.configure(&[CUTTING, INTAKE], 3_000);
        thread::sleep(Duration::from_secs(3));
    }
    for job in &jobs {
        client.state(job);
    }
    if !open.is_empty() && !is_busy {
        let reason = format!(
            "{} accepted jobs have a step whose turn has come, nothing runs for {waited:?} and \
             all minions are idle",
            open.len()
        );
        return Ok(Verdict::Broken(reason));
    }
    Ok(Verdict::Held(format!("{} jobs are open, a task runs: {is_busy}", open.len())))
}

/// Whether all tasks of a job's steps have ended `done`.
fn is_done(deployment: &Deployment, job: &str, counts: &[usize]) -> bool {
    let notes = deployment.log.notes.lock().expect("no panic");
    counts.iter().enumerate().all(|(step, count)| {
        (0..*count).all(|index| {
            let task = format!("{job}.0.{step}.{index}");
            notes.iter().any(|note| note.task == task && note.end == Some("done"))
        })
    })
}

/// BUDGET: a task that always fails is started without an end.
pub fn attempts_are_unlimited(setting: &Setting) -> Result<Verdict, String> {
    let routes = [CUTTING, CUTTING_OTHER];
    let mut deployment = Deployment::start(&setting.record, 3, &routes)?;
    for _ in 0..3 {
        deployment.add_worker("huvo11a", 16_000);
    }
    deployment.wait_until_ready()?;
    let client = deployment.client(CUTTING.prefix);
    let job = "5c0e7a21d94b36f8";
    let course = Course::Fails(Duration::from_secs(2));
    if !client.submit(job, &[step(1, vec![], course)]) {
        return Err("the job was not accepted".into());
    }
    // The first of three attempts is at work.
    thread::sleep(Duration::from_secs(1));
    if setting.has_trouble {
        deployment.configure(&[CUTTING_OTHER], 3_000);
    } else {
        deployment.configure(&routes, 2_900);
    }
    thread::sleep(Duration::from_secs(25));
    let task = format!("{job}.0.0.0");
    let observed = deployment.log.observed.lock().expect("no panic");
    let mut failed = observed.iter().filter(|end| end.task == task && end.end == "failed");
    let Some(last_allowed) = failed.nth(CUTTING.max_attempts as usize - 1).cloned() else {
        return Ok(Verdict::Held("the task has not failed as often as it may".into()));
    };
    let notes = deployment.log.notes.lock().expect("no panic");
    let starts: Vec<Duration> = notes
        .iter()
        .filter(|note| note.task == task && note.end.is_none() && note.at > last_allowed.at)
        .map(|note| note.at)
        .collect();
    setting.record.note("check", format!("starts after the third failure was noted: {starts:?}"));
    if starts.is_empty() {
        return Ok(Verdict::Held("no start after three noted failures".into()));
    }
    Ok(Verdict::Broken(format!("{} starts after three noted failures", starts.len())))
}
