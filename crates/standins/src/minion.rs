//! The minion's stand-in: answers requests, and counts what it saw.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use eyre::Result;
use protocol::HEADER_REQUEST;
use serde::{Deserialize, Serialize};
use tiny_http::Request;
use transport::read_body;

use crate::serve::{answer, answer_json, header, query, serve};

/// What a minion is told at its start.
pub struct MinionSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Requests that it may run at one time.
    pub slots: u32,
}

/// How the minion misbehaves, until told otherwise.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum MinionFault {
    /// Not at all.
    #[default]
    None,
    /// Runs the request and sends half of the answer.
    Truncate,
    /// Runs the request and answers another one.
    Cross,
}

/// What the minion has seen.
#[derive(Debug, Clone, Default, Serialize)]
struct MinionReport {
    /// Requests started.
    starts: u64,
    /// Requests started, by the caller's order.
    orders: BTreeMap<String, u64>,
    /// Most requests at one time.
    most_running: u32,
    /// Starts beyond the slots.
    over_slots: u64,
    /// Requests that a reboot cut.
    cut: u64,
    /// Reboots.
    reboots: u64,
    /// Requests that came while it was down.
    while_down: u64,
}

#[derive(Default)]
struct MinionState {
    running: u32,
    down_until: Option<Instant>,
    fault: MinionFault,
    report: MinionReport,
}

struct Minion {
    slots: u32,
    state: Mutex<MinionState>,
}

/// Runs a minion's stand-in.
///
/// # Errors
///
/// The reason why it cannot start.
pub fn run_minion(settings: &MinionSettings) -> Result<()> {
    let minion =
        Arc::new(Minion { slots: settings.slots, state: Mutex::new(MinionState::default()) });
    serve(settings.listen, move |request| minion.handle(request))
}

impl Minion {
    fn lock(&self) -> MutexGuard<'_, MinionState> {
        self.state.lock().expect("no thread ends while it holds the state")
    }

    fn handle(&self, mut request: Request) {
        let body = read_body(&mut request).unwrap_or_default();
        let url = request.url().to_owned();
        match url.as_str() {
            "/standin/report" => {
                let report = self.lock().report.clone();
                answer_json(request, 200, &report);
            }
            "/standin/fault" => {
                self.lock().fault = serde_json::from_slice(&body).unwrap_or_default();
                answer_json(request, 200, &"set");
            }
            "/standin/reboot" => {
                let span = String::from_utf8_lossy(&body).parse().unwrap_or(0);
                self.reboot(Duration::from_millis(span));
                answer_json(request, 200, &"rebooting");
            }
            _ => self.work(request, &url, body),
        }
    }

    fn reboot(&self, span: Duration) {
        let mut state = self.lock();
        state.report.reboots += 1;
        state.report.cut += u64::from(state.running);
        state.down_until = Some(Instant::now() + span);
    }

    fn work(&self, request: Request, url: &str, body: Vec<u8>) {
        if !self.begin(&request) {
            return answer_json(request, 503, &"rebooting");
        }
        if let Some(span) = query(url, "ms") {
            thread::sleep(Duration::from_millis(span));
        }
        let fault = self.end();
        let id = header(&request, HEADER_REQUEST).unwrap_or_default();
        match fault {
            MinionFault::None => answer(request, 200, &[(HEADER_REQUEST, &id)], body),
            MinionFault::Cross => answer(request, 200, &[(HEADER_REQUEST, "another")], body),
            MinionFault::Truncate => {
                let mut writer = request.into_writer();
                let head = format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
                    body.len() + 10
                );
                let _ = writer.write_all(head.as_bytes());
                let _ = writer.write_all(&body);
            }
        }
    }

    fn begin(&self, request: &Request) -> bool {
        let order = header(request, "Order");
        let mut state = self.lock();
        if state.down_until.is_some_and(|until| Instant::now() < until) {
            state.report.while_down += 1;
            return false;
        }
        state.running += 1;
        state.report.starts += 1;
        state.report.most_running = state.report.most_running.max(state.running);
        state.report.over_slots += u64::from(state.running > self.slots);
        if let Some(order) = order {
            *state.report.orders.entry(order).or_default() += 1;
        }
        true
    }

    fn end(&self) -> MinionFault {
        let mut state = self.lock();
        state.running -= 1;
        state.fault.clone()
    }
}
