//! Stand-in of the platform: a key-value service with compare-and-swap and
//! watches, a list of VMs that lags behind their state, and reboots of VMs.
//!
//! Reboots are simulated: the platform asks the VM's stand-in to go down,
//! marks the VM as rebooting, and marks it as live with a higher boot count
//! once the duration of a reboot has passed.

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
use transport::{HttpRequest, send_http};

use crate::http_server::read_body;
use crate::serve::{query_number, send_json, serve_requests};

/// Settings of the platform's stand-in.
pub struct PlatformSettings {
    /// IP address and port to listen on.
    pub listen: SocketAddr,
    /// JSON file with the list of VMs.
    pub vms: PathBuf,
    /// Maximum age of the served list of VMs, in milliseconds.
    pub lag_ms: u64,
    /// Duration of a VM's reboot, in milliseconds.
    pub reboot_ms: u64,
}

/// Faults that the platform injects into every request to its interface, until
/// the next call of `/standin/fault`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct PlatformFault {
    /// Answers 503 without handling the request.
    #[serde(default, rename = "down")]
    is_down: bool,
    /// Applies each write, and then answers 500, as if the answer were lost.
    #[serde(default, rename = "lose_answers")]
    loses_write_answers: bool,
    /// Delay before each request is handled, in milliseconds.
    #[serde(default, rename = "slow_ms")]
    delay_ms: u64,
}

/// Counts since the start of the process, served at `/standin/report`.
#[derive(Debug, Clone, Default, Serialize)]
struct PlatformReport {
    reads: u64,
    /// Attempted writes, including those that conflicted.
    writes: u64,
    /// Writes refused because the key was at another revision.
    conflicts: u64,
    watches: u64,
    listings: u64,
    reboots: u64,
}

#[derive(Default)]
struct PlatformState {
    /// Revision of the last write, over all keys.
    head_revision: u64,
    values: BTreeMap<String, StoredValue>,
    /// Current state of the VMs.
    vms: BTreeMap<VmId, VmListing>,
    /// Epoch of the last accepted reboot of each VM.
    reboot_epochs: BTreeMap<VmId, u64>,
    /// Copy of `vms` that is served as the list.
    listed_vms: Vec<VmListing>,
    /// Time of the copy in `listed_vms`.
    listed_at: Option<Instant>,
    fault: PlatformFault,
    report: PlatformReport,
}

struct Platform {
    state: Mutex<PlatformState>,
    /// Notified after each write.
    value_written: Condvar,
    /// Maximum age of the served list of VMs.
    list_lag: Duration,
    reboot_duration: Duration,
}

/// Runs the platform's stand-in until the process is ended.
///
/// # Errors
///
/// Fails if the file with the list of VMs cannot be read or parsed, if the
/// address cannot be listened on, or if a server thread panics.
pub fn run_platform(settings: &PlatformSettings) -> Result<()> {
    let text = std::fs::read_to_string(&settings.vms).wrap_err("cannot read the list of VMs")?;
    let vms: Vec<VmListing> =
        serde_json::from_str(&text).wrap_err("cannot parse the list of VMs")?;
    let vms = vms.into_iter().map(|listing| (listing.vm.clone(), listing)).collect();
    let platform: &'static Platform = Box::leak(Box::new(Platform {
        state: Mutex::new(PlatformState { vms, ..PlatformState::default() }),
        value_written: Condvar::new(),
        list_lag: Duration::from_millis(settings.lag_ms),
        reboot_duration: Duration::from_millis(settings.reboot_ms),
    }));
    serve_requests(settings.listen, move |request| platform.handle_request(request))
}

impl Platform {
    fn lock_state(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().expect("no thread panics while it holds the state's lock")
    }

    fn handle_request(&'static self, mut request: Request) {
        let body = read_body(&mut request).unwrap_or_default();
        let url = request.url().to_owned();
        let path = url.split('?').next().unwrap_or(&url).to_owned();
        if path == "/standin/fault" {
            let fault = serde_json::from_slice(&body).unwrap_or_default();
            self.lock_state().fault = fault;
            return send_json(request, 200, &"set");
        }
        if path == "/standin/report" {
            let report = self.lock_state().report.clone();
            return send_json(request, 200, &report);
        }
        let fault = self.lock_state().fault.clone();
        thread::sleep(Duration::from_millis(fault.delay_ms));
        if fault.is_down {
            return send_json(request, 503, &"down");
        }
        let method = request.method().as_str().to_owned();
        if let Some(key) = path.strip_prefix("/kv/") {
            self.handle_key_request(request, &method, key, &body, fault.loses_write_answers);
        } else if let Some(prefix) = path.strip_prefix("/watch/") {
            self.handle_watch(request, prefix, &url);
        } else if path == "/vms" {
            self.list_vms(request);
        } else if let Some(vm) =
            path.strip_prefix("/vms/").and_then(|rest| rest.strip_suffix("/reboot"))
        {
            self.start_reboot(request, vm, &body);
        } else {
            send_json(request, 404, &"no such path");
        }
    }

    /// Reads a key for the method `GET`, and writes the key for any other method.
    fn handle_key_request(
        &self,
        request: Request,
        method: &str,
        key: &str,
        body: &[u8],
        loses_answer: bool,
    ) {
        let mut state = self.lock_state();
        if method == "GET" {
            state.report.reads += 1;
            let value = state.values.get(key).cloned();
            drop(state);
            return match value {
                Some(value) => send_json(request, 200, &value),
                None => send_json(request, 404, &"absent"),
            };
        }
        let Ok(put) = serde_json::from_slice::<PutBody>(body) else {
            return send_json(request, 400, &"not a write");
        };
        state.report.writes += 1;
        let current = state.values.get(key).map_or(Revision(0), |value| value.revision);
        if current != put.expect {
            state.report.conflicts += 1;
            drop(state);
            return send_json(request, 409, &"another revision");
        }
        state.head_revision += 1;
        let revision = Revision(state.head_revision);
        let value = StoredValue { key: key.into(), revision, value: put.value };
        state.values.insert(key.to_owned(), value);
        drop(state);
        self.value_written.notify_all();
        match loses_answer {
            true => send_json(request, 500, &"lost"),
            false => send_json(request, 200, &revision),
        }
    }

    /// Answers with the values under `prefix` that were written after the revision
    /// in the parameter `after`. Waits for a value at most the milliseconds in the
    /// parameter `wait_ms`, and then answers with no values.
    fn handle_watch(&self, request: Request, prefix: &str, url: &str) {
        let after_revision = Revision(query_number(url, "after").unwrap_or(0));
        let deadline =
            Instant::now() + Duration::from_millis(query_number(url, "wait_ms").unwrap_or(0));
        let mut state = self.lock_state();
        state.report.watches += 1;
        loop {
            let values = state.values.range(prefix.to_owned()..);
            let values = values.take_while(|(key, _)| key.starts_with(prefix));
            let values: Vec<StoredValue> = values
                .map(|(_, value)| value.clone())
                .filter(|value| value.revision > after_revision)
                .collect();
            let remaining_wait = deadline.saturating_duration_since(Instant::now());
            if !values.is_empty() || remaining_wait.is_zero() {
                let head = Revision(state.head_revision);
                drop(state);
                return send_json(request, 200, &ChangesBody { head, values });
            }
            state = self
                .value_written
                .wait_timeout(state, remaining_wait)
                .expect("no thread panics while it holds the state's lock")
                .0;
        }
    }

    /// Answers with the copy of the VMs' state, and renews the copy first if it is
    /// as old as `list_lag`.
    fn list_vms(&self, request: Request) {
        let mut state = self.lock_state();
        state.report.listings += 1;
        let must_refresh = state.listed_at.is_none_or(|at| at.elapsed() >= self.list_lag);
        if must_refresh {
            state.listed_vms = state.vms.values().cloned().collect();
            state.listed_at = Some(Instant::now());
        }
        let body = VmsBody { vms: state.listed_vms.clone() };
        drop(state);
        send_json(request, 200, &body);
    }

    /// Accepts a reboot whose epoch is higher than that of the VM's last reboot.
    fn start_reboot(&'static self, request: Request, vm: &str, body: &[u8]) {
        let (Ok(vm), Ok(body)) = (vm.parse::<VmId>(), serde_json::from_slice::<RebootBody>(body))
        else {
            return send_json(request, 400, &"not a reboot");
        };
        let mut state = self.lock_state();
        let last_epoch = state.reboot_epochs.get(&vm).copied().unwrap_or(0);
        let Some(listing) = state.vms.get_mut(&vm) else {
            drop(state);
            return send_json(request, 404, &"no such VM");
        };
        if body.epoch <= last_epoch {
            drop(state);
            return send_json(request, 409, &"an epoch as high was seen");
        }
        listing.presence = VmPresence::Rebooting;
        let address = listing.address.clone();
        state.reboot_epochs.insert(vm.clone(), body.epoch);
        state.report.reboots += 1;
        drop(state);
        send_json(request, 202, &"rebooting");
        thread::spawn(move || self.simulate_reboot(&vm, &address));
    }

    /// Sends the duration of the reboot to the VM's stand-in, and marks the VM as
    /// live after that duration.
    fn simulate_reboot(&self, vm: &VmId, address: &str) {
        let _ = send_http(&HttpRequest {
            method: "POST",
            address,
            path: "/standin/reboot",
            headers: &[],
            body: self.reboot_duration.as_millis().to_string().as_bytes(),
            timeout: Duration::from_secs(1),
        });
        thread::sleep(self.reboot_duration);
        let mut state = self.lock_state();
        if let Some(listing) = state.vms.get_mut(vm) {
            listing.presence = VmPresence::Live;
            listing.boot += 1;
        }
    }
}
