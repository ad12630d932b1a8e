//! A minion crashes and its machine comes back with another one before the old entry has gone;
//! meanwhile a wave of upkeep is due.

use std::thread;
use std::time::Duration;

use super::wait_for;
use crate::client::Step;
use crate::deployment::{Deployment, Route};
use crate::json::{Json, object};
use crate::worker::Course;
use crate::{Setting, Verdict};

const CUTTING: Route =
    Route { name: "r-cut", prefix: "/puxa400/", service: "huvo11a", max_attempts: 3 };
/// One of them crashes, which is a share of .125.
const MINIONS: usize = 8;
/// Time for which the minion is down.
const DOWN: Duration = Duration::from_millis(1_000);

/// AVAIL: the machine's upkeep ends tasks that last and are at work.
pub fn tasks_are_ended(setting: &Setting) -> Result<Verdict, String> {
    let mut deployment = Deployment::start(&setting.record, 3, &[CUTTING])?;
    for _ in 0..MINIONS {
        deployment.add_worker("huvo11a", 16_000);
    }
    deployment.wait_until_ready()?;
    let client = deployment.client(CUTTING.prefix);
    let machine = deployment.workers[0].clone();
    if setting.has_trouble {
        machine.crash();
        thread::sleep(DOWN);
        machine.restart(&deployment.cloud.new_id());
        thread::sleep(Duration::from_millis(800));
    }
    // A job that lasts: its tasks go to the minions with the most room.
    let step = Step {
        count: 3,
        cpu: 1_300,
        estimate_ms: 1_000,
        after: vec![],
        may_miss: 1,
        course: Course::Lasts,
    };
    if !client.submit("5c0e7a21d94b36f8", &[step]) {
        return Err("the job was not accepted".into());
    }
    let running = || deployment.workers.iter().map(|worker| worker.running()).sum::<usize>();
    if !wait_for(Duration::from_secs(3), || running() == 3) {
        return Err("the tasks were not started".into());
    }
    thread::sleep(Duration::from_millis(700));
    let host = deployment.workers.iter().find(|worker| worker.running() > 0).cloned();
    let host = host.ok_or("no minion has the tasks")?;
    setting.record.note("check", format!("{} has {} tasks", host.spec.machine, host.running()));
    let wave = object(&[
        ("Wave", 1.into()),
        ("Machines", vec![Json::from(machine.spec.machine.as_str())].into()),
        ("DurationS", 20.into()),
        ("Maximum", 1.into()),
    ]);
    deployment.store.put("op/wave/1", &wave);
    setting.record.note("operator", format!("a wave of upkeep: {wave}"));
    thread::sleep(Duration::from_secs(12));
    let upkeeps = deployment.cloud.upkeeps.lock().expect("no panic").clone();
    let Some(upkeep) = upkeeps.first() else {
        return Ok(Verdict::Held("no upkeep has begun".into()));
    };
    // The tasks are all of one step, of which one may be missing.
    if upkeep.ended_at_work > 1 {
        let reason = format!(
            "the upkeep of {} ends {} tasks of a step",
            upkeep.machine, upkeep.ended_at_work
        );
        return Ok(Verdict::Broken(format!("{reason}, of which one may be missing")));
    }
    Ok(Verdict::Held(format!(
        "the upkeep of {} ends {} tasks",
        upkeep.machine, upkeep.ended_at_work
    )))
}
