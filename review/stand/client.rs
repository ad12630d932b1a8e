//! Stand-in of a client: hands jobs in, cancels them and asks for their state.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crate::deployment::{HOST, KEY};
use crate::http;
use crate::json::{self, Json, object};
use crate::record::Record;
use crate::worker::{Course, TaskBook, TaskKind};

/// `Deadline-Ms` of the calls.
const DEADLINE: Duration = Duration::from_millis(3_000);
/// How often a client sends a job again.
const RETRIES: usize = 4;

/// Step of a job.
#[derive(Debug, Clone)]
pub struct Step {
    pub count: i64,
    pub cpu: i64,
    pub estimate_ms: i64,
    pub after: Vec<i64>,
    /// Number of tasks that may be missing, for a step that lasts.
    pub may_miss: i64,
    pub course: Course,
}

pub struct Client {
    prefix: &'static str,
    fronts: Vec<SocketAddr>,
    next_front: AtomicU64,
    record: Arc<Record>,
    book: Arc<TaskBook>,
}

impl Client {
    pub fn new(
        prefix: &'static str,
        fronts: Vec<SocketAddr>,
        record: &Arc<Record>,
        book: &Arc<TaskBook>,
    ) -> Self {
        let (record, book) = (Arc::clone(record), Arc::clone(book));
        Self { prefix, fronts, next_front: AtomicU64::new(0), record, book }
    }

    fn call(&self, method: &str, id: &str, body: &str) -> Option<(u16, Json)> {
        let number = self.next_front.fetch_add(1, Ordering::Relaxed) as usize;
        let front = self.fronts[number % self.fronts.len()];
        let path = format!("{}{id}", self.prefix);
        let deadline = DEADLINE.as_millis().to_string();
        let headers = [("Host", HOST), ("Key", KEY), ("Deadline-Ms", deadline.as_str())];
        let answer = http::call(front, method, &path, &headers, body, DEADLINE);
        let answer =
            answer.map(|(status, body)| (status, json::parse(&body).unwrap_or(Json::Null)));
        let told = answer
            .as_ref()
            .map_or("no answer".to_owned(), |(status, body)| format!("{status} {body}"));
        self.record.note("client", format!("{method} {path} at {front}: {told}"));
        answer
    }

    /// Hands a job in; after no answer, or one that tells nothing, it is sent again. Returns
    /// whether it was accepted.
    pub fn submit(&self, id: &str, steps: &[Step]) -> bool {
        for (number, step) in steps.iter().enumerate() {
            let kind = TaskKind { cpu: step.cpu, mem_mb: 1_000, course: step.course };
            self.book.add(id, number, kind);
        }
        let steps: Vec<Json> = steps.iter().map(step_json).collect();
        let body = object(&[("Spec", "review".into()), ("Steps", steps.into())]).to_string();
        for _ in 0..=RETRIES {
            match self.call("POST", id, &body) {
                Some((200..=299, _)) => return true,
                None | Some((502 | 503 | 504, _)) => thread::sleep(Duration::from_millis(300)),
                Some(_) => return false,
            }
        }
        false
    }

    /// Asks for a job's state; `None` if there is no answer with a state.
    pub fn state(&self, id: &str) -> Option<String> {
        let (status, body) = self.call("GET", id, "")?;
        (status == 200).then(|| body.get("State").as_text().unwrap_or_default().to_owned())
    }

    /// Asks for a job's state, and returns the status of the answer.
    pub fn status(&self, id: &str) -> Option<u16> {
        self.call("GET", id, "").map(|(status, _)| status)
    }

    /// Asks for the number of accepted jobs of which no task has started.
    pub fn pending(&self) -> Option<i64> {
        let (status, body) = self.call("GET", "", "")?;
        if status == 200 { body.get("Pending").as_int() } else { None }
    }
}

fn step_json(step: &Step) -> Json {
    let mut members = vec![
        ("Count", step.count.into()),
        ("Cpu", step.cpu.into()),
        ("MemMb", 1_000.into()),
        ("EstimateMs", step.estimate_ms.into()),
    ];
    if !step.after.is_empty() {
        let after: Vec<Json> = step.after.iter().map(|number| (*number).into()).collect();
        members.push(("After", after.into()));
    }
    if matches!(step.course, Course::Lasts) {
        members.push(("LongRunning", true.into()));
        members.push(("Image", "im-1".into()));
    }
    if step.may_miss > 0 {
        members.push(("MayMiss", step.may_miss.into()));
    }
    object(&members)
}
