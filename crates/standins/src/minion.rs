//! Stand-in of a minion: answers each request with the request's own body,
//! injects faults on demand, and reports counts of the requests it received.
//!
//! A request runs for the number of milliseconds in the parameter `ms` of its
//! query; a request without this parameter is answered at once.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use eyre::Result;
use protocol::HEADER_REQUEST;
use serde::{Deserialize, Serialize};
use tiny_http::Request;

use crate::http_server::read_body;
use crate::serve::{find_header, query_number, send_json, send_response, serve_requests};

/// Settings of a minion's stand-in.
pub struct MinionSettings {
    /// IP address and port to listen on.
    pub listen: SocketAddr,
    /// Number of slots. Starts beyond the slots are counted in the report, not
    /// refused.
    pub slots: u32,
}

/// Fault that the minion injects into the answer of every request that it runs,
/// until the next call of `/standin/fault`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum MinionFault {
    #[default]
    None,
    /// Runs the request, and closes the connection 10 bytes before the end of
    /// the announced body.
    Truncate,
    /// Runs the request, and answers with the id of another request.
    #[serde(rename = "cross")]
    WrongRequestId,
}

/// Counts since the start of the process, served at `/standin/report`.
#[derive(Debug, Clone, Default, Serialize)]
struct MinionReport {
    starts: u64,
    /// Started requests by the value of their `Order` header.
    #[serde(rename = "orders")]
    starts_by_order: BTreeMap<String, u64>,
    /// Maximum number of concurrent requests.
    #[serde(rename = "most_running")]
    max_running: u32,
    /// Requests that started while all slots were in use.
    #[serde(rename = "over_slots")]
    starts_over_slots: u64,
    /// Requests that were running when a reboot began.
    #[serde(rename = "cut")]
    interrupted_requests: u64,
    reboots: u64,
    /// Requests that arrived, and were refused, during a reboot.
    #[serde(rename = "while_down")]
    requests_while_down: u64,
}

#[derive(Default)]
struct MinionState {
    running_requests: u32,
    /// End of the last reboot.
    down_until: Option<Instant>,
    fault: MinionFault,
    report: MinionReport,
}

struct Minion {
    slots: u32,
    state: Mutex<MinionState>,
}

/// Runs a minion's stand-in until the process is ended.
///
/// # Errors
///
/// Fails if the address cannot be listened on, or if a server thread panics.
pub fn run_minion(settings: &MinionSettings) -> Result<()> {
    let minion =
        Arc::new(Minion { slots: settings.slots, state: Mutex::new(MinionState::default()) });
    serve_requests(settings.listen, move |request| minion.handle_request(request))
}

impl Minion {
    fn lock_state(&self) -> MutexGuard<'_, MinionState> {
        self.state.lock().expect("no thread panics while it holds the state's lock")
    }

    fn handle_request(&self, mut request: Request) {
        let body = read_body(&mut request).unwrap_or_default();
        let url = request.url().to_owned();
        match url.as_str() {
            "/standin/report" => {
                let report = self.lock_state().report.clone();
                send_json(request, 200, &report);
            }
            "/standin/fault" => {
                self.lock_state().fault = serde_json::from_slice(&body).unwrap_or_default();
                send_json(request, 200, &"set");
            }
            "/standin/reboot" => {
                let duration_ms = String::from_utf8_lossy(&body).parse().unwrap_or(0);
                self.begin_reboot(Duration::from_millis(duration_ms));
                send_json(request, 200, &"rebooting");
            }
            _ => self.run_request(request, &url, body),
        }
    }

    /// Counts the running requests as interrupted and refuses requests for
    /// `duration`. The running requests are still answered.
    fn begin_reboot(&self, duration: Duration) {
        let mut state = self.lock_state();
        state.report.reboots += 1;
        state.report.interrupted_requests += u64::from(state.running_requests);
        state.down_until = Some(Instant::now() + duration);
    }

    fn run_request(&self, request: Request, url: &str, body: Vec<u8>) {
        if !self.try_begin_request(&request) {
            return send_json(request, 503, &"rebooting");
        }
        if let Some(run_time_ms) = query_number(url, "ms") {
            thread::sleep(Duration::from_millis(run_time_ms));
        }
        let fault = self.finish_request();
        let id = find_header(&request, HEADER_REQUEST).unwrap_or_default();
        match fault {
            MinionFault::None => send_response(request, 200, &[(HEADER_REQUEST, &id)], body),
            MinionFault::WrongRequestId => {
                send_response(request, 200, &[(HEADER_REQUEST, "another")], body)
            }
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

    /// Counts the request as started; returns `false` during a reboot.
    fn try_begin_request(&self, request: &Request) -> bool {
        let order = find_header(request, "Order");
        let mut state = self.lock_state();
        if state.down_until.is_some_and(|until| Instant::now() < until) {
            state.report.requests_while_down += 1;
            return false;
        }
        state.running_requests += 1;
        state.report.starts += 1;
        state.report.max_running = state.report.max_running.max(state.running_requests);
        state.report.starts_over_slots += u64::from(state.running_requests > self.slots);
        if let Some(order) = order {
            *state.report.starts_by_order.entry(order).or_default() += 1;
        }
        true
    }

    /// Counts the request as finished, and returns the fault to inject into the
    /// answer.
    fn finish_request(&self) -> MinionFault {
        let mut state = self.lock_state();
        state.running_requests -= 1;
        state.fault.clone()
    }
}
