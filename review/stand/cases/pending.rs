//! An unhealthy minion rejects all starts, while the others have no room.

use std::thread;
use std::time::Duration;

use super::wait_for;
use crate::client::Step;
use crate::deployment::{Deployment, Route};
use crate::worker::Course;
use crate::{Setting, Verdict};

const CUTTING: Route =
    Route { name: "r-cut", prefix: "/puxa400/", service: "huvo11a", max_attempts: 3 };
const MINIONS: usize = 8;
/// `Bounds.visible_ms` of the settings and the two seconds that the rule adds.
const VISIBLE: Duration = Duration::from_secs(5);
/// Time for which the minion is unhealthy.
const UNHEALTHY: Duration = Duration::from_millis(6_500);

fn step(count: i64, cpu: i64, work: Duration) -> Step {
    let estimate_ms = work.as_millis() as i64;
    Step { count, cpu, estimate_ms, after: vec![], may_miss: 0, course: Course::Done(work) }
}

/// MIXED: `Pending` is less than half of the jobs of which no task has started.
pub fn figure_is_too_low(setting: &Setting) -> Result<Verdict, String> {
    let mut deployment = Deployment::start(&setting.record, 3, &[CUTTING])?;
    for _ in 0..MINIONS {
        deployment.add_worker("huvo11a", 8_000);
    }
    deployment.wait_until_ready()?;
    let client = deployment.client(CUTTING.prefix);
    // One task a minion, with nearly all of its room.
    let long = Duration::from_secs(30);
    if !client.submit("aaaaaaaaaaaaaaaa", &[step(MINIONS as i64 - 1, 7_500, long)]) {
        return Err("the job was not accepted".into());
    }
    if !wait_for(Duration::from_secs(3), || {
        deployment.workers.iter().filter(|worker| worker.running() > 0).count() == MINIONS - 1
    }) {
        return Err("the minions are not full".into());
    }
    let idle = deployment.workers.iter().find(|worker| worker.running() == 0).cloned();
    let idle = idle.ok_or("no minion is left")?;
    if setting.has_trouble {
        idle.set_sheds(true);
    } else if !client.submit("bbbbbbbbbbbbbbbb", &[step(1, 7_500, long)]) {
        return Err("the job was not accepted".into());
    }
    thread::sleep(Duration::from_millis(200));
    let jobs: Vec<String> = (0..4).map(|number| format!("5c0e7a21d94b36f{number}")).collect();
    for job in &jobs {
        if !client.submit(job, &[step(1, 2_000, Duration::from_secs(1))]) {
            return Err(format!("{job} was not accepted"));
        }
    }
    thread::sleep(VISIBLE + Duration::from_millis(300));
    let begun = |job: &String| {
        let notes = deployment.log.notes.lock().expect("no panic");
        notes.iter().any(|note| note.task.starts_with(job.as_str()) && note.end.is_none())
    };
    let waiting = jobs.iter().filter(|job| !begun(job)).count() as i64;
    let told: Vec<Option<i64>> = (0..3).map(|_| client.pending()).collect();
    let still_waiting = jobs.iter().filter(|job| !begun(job)).count() as i64;
    setting.record.note("check", format!("{waiting} jobs have not begun, told {told:?}"));
    for job in &jobs {
        client.state(job);
    }
    thread::sleep(UNHEALTHY.saturating_sub(VISIBLE + Duration::from_millis(500)));
    idle.set_sheds(false);
    if waiting == 0 || waiting != still_waiting {
        return Err("the jobs have begun".into());
    }
    let is_too_low = told.iter().flatten().any(|pending| 2 * pending < waiting);
    let reason = format!("{waiting} jobs have not begun, Pending is {told:?}");
    Ok(if is_too_low { Verdict::Broken(reason) } else { Verdict::Held(reason) })
}
