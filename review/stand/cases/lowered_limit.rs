//! The operator lowers a tenant's limit while its tasks wait.

use std::collections::BTreeSet;
use std::thread;
use std::time::Duration;

use crate::client::Step;
use crate::deployment::{Deployment, Route};
use crate::worker::Course;
use crate::{Setting, Verdict};

const CUTTING: Route =
    Route { name: "r-cut", prefix: "/puxa400/", service: "huvo11a", max_attempts: 3 };
const LOWERED_CPU: i64 = 8_000;
const TASK_CPU: i64 = 1_000;
/// `Bounds.ConfigApplyMs` of the settings.
const APPLIED: Duration = Duration::from_secs(2);

/// QUOTA: the tenant has several times its new limit running, for as long as tasks wait.
pub fn limit_is_ignored(setting: &Setting) -> Result<Verdict, String> {
    let mut deployment = Deployment::start(&setting.record, 3, &[CUTTING])?;
    for _ in 0..4 {
        deployment.add_worker("huvo11a", 16_000);
    }
    deployment.wait_until_ready()?;
    let client = deployment.client(CUTTING.prefix);
    for number in 0..20 {
        let step = Step {
            count: 20,
            cpu: TASK_CPU,
            estimate_ms: 1_500,
            after: vec![],
            may_miss: 0,
            course: Course::Done(Duration::from_millis(1_500)),
        };
        if !client.submit(&format!("5c0e7a21d94b3{number:03x}"), &[step]) {
            return Err("a job was not accepted".into());
        }
    }
    thread::sleep(Duration::from_secs(2));
    if setting.has_trouble {
        deployment.limit_cpu = LOWERED_CPU;
    }
    deployment.configure(&[CUTTING], 2_900);
    let applied_at = setting.record.elapsed() + APPLIED;
    thread::sleep(Duration::from_secs(12));
    let allowed = deployment.limit_cpu * 11 / 10 + TASK_CPU;
    let notes = deployment.log.notes.lock().expect("no panic");
    let mut running = BTreeSet::new();
    let (mut excess_starts, mut most) = (0, 0);
    for note in notes.iter() {
        let run = (note.task.as_str(), note.run);
        if note.end.is_some() {
            running.remove(&run);
            continue;
        }
        running.insert(run);
        let cpu = running.len() as i64 * TASK_CPU;
        if note.at > applied_at {
            most = most.max(cpu);
            excess_starts += usize::from(cpu > allowed);
        }
    }
    let reason = format!(
        "{excess_starts} starts above {allowed}, {most} running at most, the limit is {}",
        deployment.limit_cpu
    );
    Ok(if excess_starts > 0 { Verdict::Broken(reason) } else { Verdict::Held(reason) })
}
