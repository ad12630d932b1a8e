//! The operator replaces a route by one with the same host and prefix and another service.

use std::thread;
use std::time::Duration;

use super::wait_for;
use crate::client::Step;
use crate::deployment::{Deployment, Route};
use crate::worker::Course;
use crate::{Setting, Verdict};

const CUTTING: Route =
    Route { name: "r-cut", prefix: "/puxa400/", service: "huvo11a", max_attempts: 3 };
const CUTTING_MOVED: Route =
    Route { name: "r-cut-2", prefix: "/puxa400/", service: "lovo22d", max_attempts: 3 };
const INTAKE: Route =
    Route { name: "r-int", prefix: "/tije37/", service: "lovo22d", max_attempts: 4 };
/// `Bounds.ConfigApplyMs` and `Bounds.visible_ms` of the settings, one after the other.
const SETTLED: Duration = Duration::from_secs(5);

/// LOST: an accepted job is answered with 410; a copy of its submission that arrives late runs it
/// again.
pub fn job_is_unknown(setting: &Setting) -> Result<Verdict, String> {
    let mut deployment = Deployment::start(&setting.record, 3, &[CUTTING, INTAKE])?;
    for service in ["huvo11a", "huvo11a", "lovo22d", "lovo22d"] {
        deployment.add_worker(service, 16_000);
    }
    deployment.wait_until_ready()?;
    let client = deployment.client(CUTTING.prefix);
    let job = "5c0e7a21d94b36f8";
    let work = Course::Done(Duration::from_secs(1));
    let steps = [Step {
        count: 2,
        cpu: 1_000,
        estimate_ms: 1_000,
        after: vec![],
        may_miss: 0,
        course: work,
    }];
    if !client.submit(job, &steps) {
        return Err("the job was not accepted".into());
    }
    if !wait_for(Duration::from_secs(10), || {
        thread::sleep(Duration::from_millis(200));
        client.state(job).as_deref() == Some("complete")
    }) {
        return Err("the job was not completed".into());
    }
    if setting.has_trouble {
        deployment.configure(&[CUTTING_MOVED, INTAKE], 3_000);
    } else {
        deployment.configure(&[CUTTING, INTAKE], 2_900);
    }
    thread::sleep(SETTLED);
    let statuses: Vec<Option<u16>> = (0..3).map(|_| client.status(job)).collect();
    // A copy of the submission arrives seconds after its 2xx answer.
    client.submit(job, &steps);
    thread::sleep(Duration::from_secs(4));
    let notes = deployment.log.notes.lock().expect("no panic");
    let starts = notes.iter().filter(|note| note.end.is_none()).count();
    let reason =
        format!("the job is answered with {statuses:?}; its 2 tasks were started {starts} times");
    let is_lost = statuses.contains(&Some(410));
    Ok(if is_lost { Verdict::Broken(reason) } else { Verdict::Held(reason) })
}
