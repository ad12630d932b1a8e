//! The platform's stand-in: key-value service with compare-and-swap and
//! watches, a lagging list of VMs, and reboots.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use coordination::StoredValue;
use eyre::{Context, Result};
use protocol::{ChangesBody, PutBody, RebootBody, VmsBody};
use serde::{Deserialize, Serialize};
use state::{Revision, VmId, VmListing, VmPresence};
use tiny_http::Request;
use transport::{HttpRequest, read_body, send_http};

use crate::serve::{answer_json, query, serve};

/// What the platform is told at its start.
pub struct PlatformSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// File with the list of VMs in JSON.
    pub vms: PathBuf,
    /// How far the list lags, in milliseconds.
    pub lag_ms: u64,
    /// How long a reboot takes, in milliseconds.
    pub reboot_ms: u64,
}

/// How the platform misbehaves, until told otherwise.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct PlatformFault {
    /// Answers 503 and does nothing.
    #[serde(default)]
    down: bool,
    /// Writes, and then answers 500.
    #[serde(default)]
    lose_answers: bool,
    /// Waits this long before each call.
    #[serde(default)]
    slow_ms: u64,
}

/// What the platform has seen.
#[derive(Debug, Clone, Default, Serialize)]
struct PlatformReport {
    reads: u64,
    writes: u64,
    conflicts: u64,
    watches: u64,
    listings: u64,
    reboots: u64,
}

#[derive(Default)]
struct PlatformState {
    head: u64,
    values: BTreeMap<String, StoredValue>,
    vms: BTreeMap<VmId, VmListing>,
    epochs: BTreeMap<VmId, u64>,
    lagging: Vec<VmListing>,
    lagging_at: Option<Instant>,
    fault: PlatformFault,
    report: PlatformReport,
}

struct Platform {
    state: Mutex<PlatformState>,
    changed: Condvar,
    lag: Duration,
    reboot: Duration,
}

/// Runs the platform's stand-in.
///
/// # Errors
///
/// The reason why it cannot start.
pub fn run_platform(settings: &PlatformSettings) -> Result<()> {
    let text = std::fs::read_to_string(&settings.vms).wrap_err("the list of VMs")?;
    let vms: Vec<VmListing> = serde_json::from_str(&text).wrap_err("the list of VMs")?;
    let vms = vms.into_iter().map(|listing| (listing.vm.clone(), listing)).collect();
    let platform: &'static Platform = Box::leak(Box::new(Platform {
        state: Mutex::new(PlatformState { vms, ..PlatformState::default() }),
        changed: Condvar::new(),
        lag: Duration::from_millis(settings.lag_ms),
        reboot: Duration::from_millis(settings.reboot_ms),
    }));
    serve(settings.listen, move |request| platform.handle(request))
}

impl Platform {
    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().expect("no thread ends while it holds the state")
    }

    fn handle(&'static self, mut request: Request) {
        let body = read_body(&mut request).unwrap_or_default();
        let url = request.url().to_owned();
        let path = url.split('?').next().unwrap_or(&url).to_owned();
        if path == "/standin/fault" {
            let fault = serde_json::from_slice(&body).unwrap_or_default();
            self.lock().fault = fault;
            return answer_json(request, 200, &"set");
        }
        if path == "/standin/report" {
            let report = self.lock().report.clone();
            return answer_json(request, 200, &report);
        }
        let fault = self.lock().fault.clone();
        thread::sleep(Duration::from_millis(fault.slow_ms));
        if fault.down {
            return answer_json(request, 503, &"down");
        }
        let method = request.method().as_str().to_owned();
        if let Some(key) = path.strip_prefix("/kv/") {
            self.key(request, &method, key, &body, fault.lose_answers);
        } else if let Some(prefix) = path.strip_prefix("/watch/") {
            self.watch(request, prefix, &url);
        } else if path == "/vms" {
            self.list(request);
        } else if let Some(vm) =
            path.strip_prefix("/vms/").and_then(|rest| rest.strip_suffix("/reboot"))
        {
            self.reboot(request, vm, &body);
        } else {
            answer_json(request, 404, &"no such path");
        }
    }

    fn key(&self, request: Request, method: &str, key: &str, body: &[u8], lose: bool) {
        let mut state = self.lock();
        if method == "GET" {
            state.report.reads += 1;
            let value = state.values.get(key).cloned();
            drop(state);
            return match value {
                Some(value) => answer_json(request, 200, &value),
                None => answer_json(request, 404, &"absent"),
            };
        }
        let Ok(put) = serde_json::from_slice::<PutBody>(body) else {
            return answer_json(request, 400, &"not a write");
        };
        state.report.writes += 1;
        let current = state.values.get(key).map_or(Revision(0), |value| value.revision);
        if current != put.expect {
            state.report.conflicts += 1;
            drop(state);
            return answer_json(request, 409, &"another revision");
        }
        state.head += 1;
        let revision = Revision(state.head);
        let value = StoredValue { key: key.into(), revision, value: put.value };
        state.values.insert(key.to_owned(), value);
        drop(state);
        self.changed.notify_all();
        match lose {
            true => answer_json(request, 500, &"lost"),
            false => answer_json(request, 200, &revision),
        }
    }

    fn watch(&self, request: Request, prefix: &str, url: &str) {
        let after = Revision(query(url, "after").unwrap_or(0));
        let until = Instant::now() + Duration::from_millis(query(url, "wait_ms").unwrap_or(0));
        let mut state = self.lock();
        state.report.watches += 1;
        loop {
            let values = state.values.range(prefix.to_owned()..);
            let values = values.take_while(|(key, _)| key.starts_with(prefix));
            let values: Vec<StoredValue> = values
                .map(|(_, value)| value.clone())
                .filter(|value| value.revision > after)
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !values.is_empty() || left.is_zero() {
                let head = Revision(state.head);
                drop(state);
                return answer_json(request, 200, &ChangesBody { head, values });
            }
            state = self.changed.wait_timeout(state, left).expect("the state is not poisoned").0;
        }
    }

    fn list(&self, request: Request) {
        let mut state = self.lock();
        state.report.listings += 1;
        let is_due = state.lagging_at.is_none_or(|at| at.elapsed() >= self.lag);
        if is_due {
            state.lagging = state.vms.values().cloned().collect();
            state.lagging_at = Some(Instant::now());
        }
        let body = VmsBody { vms: state.lagging.clone() };
        drop(state);
        answer_json(request, 200, &body);
    }

    fn reboot(&'static self, request: Request, vm: &str, body: &[u8]) {
        let (Ok(vm), Ok(body)) = (vm.parse::<VmId>(), serde_json::from_slice::<RebootBody>(body))
        else {
            return answer_json(request, 400, &"not a reboot");
        };
        let mut state = self.lock();
        let seen = state.epochs.get(&vm).copied().unwrap_or(0);
        let Some(listing) = state.vms.get_mut(&vm) else {
            drop(state);
            return answer_json(request, 404, &"no such VM");
        };
        if body.epoch <= seen {
            drop(state);
            return answer_json(request, 409, &"an epoch as high was seen");
        }
        listing.presence = VmPresence::Rebooting;
        let address = listing.address.clone();
        state.epochs.insert(vm.clone(), body.epoch);
        state.report.reboots += 1;
        drop(state);
        answer_json(request, 202, &"rebooting");
        thread::spawn(move || self.carry_out_reboot(&vm, &address));
    }

    fn carry_out_reboot(&self, vm: &VmId, address: &str) {
        let _ = send_http(&HttpRequest {
            method: "POST",
            address,
            path: "/standin/reboot",
            headers: &[],
            body: self.reboot.as_millis().to_string().as_bytes(),
            timeout: Duration::from_secs(1),
        });
        thread::sleep(self.reboot);
        let mut state = self.lock();
        if let Some(listing) = state.vms.get_mut(vm) {
            listing.presence = VmPresence::Live;
            listing.boot += 1;
        }
    }
}
