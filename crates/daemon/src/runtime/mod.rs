//! Runs the daemon on the users' platform.
//!
//! One thread posts clock ticks and makes the calls that maintain the daemon's lease; another
//! makes all other calls, so that a renewal never waits behind orders. A thread with an event
//! steps the state machine ([`fleet::FleetCore`]) behind a lock, the first of the two threads
//! before all others. Submitters' requests wait in a table and occupy no thread. Log lines go
//! over a bounded channel; lines are dropped and counted when the channel is full
//! (`docs/PLATFORM.md`, "Programs").

mod decision_log;
mod delay;
mod host;
mod load_report;
mod metrics;
mod priority_lock;
mod probes;
mod queues;
mod reload;
mod submitters;

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::bounded;
use eyre::{Context, Result, eyre};
use platform::{PlatformSettings, SETTINGS_VARIABLE, parse_settings};
use state::Incarnation;
use transport::CallSender;

use delay::TickMonitor;
use host::{CallSenders, FleetHost};
use metrics::MetricsRegistry;

/// Path of the settings file when the environment variable [`SETTINGS_VARIABLE`] is not set.
const DEFAULT_SETTINGS_PATH: &str = "/etc/pollenfall/node.conf";
/// Interval of a tick that nothing uses.
const UNUSED_TICK_INTERVAL: Duration = Duration::from_secs(3_600);
/// How often timeouts are checked; all other work is driven by events.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Returns the path of the settings file that the platform provides.
pub fn settings_path() -> PathBuf {
    std::env::var_os(SETTINGS_VARIABLE).map_or_else(|| DEFAULT_SETTINGS_PATH.into(), PathBuf::from)
}

/// Reads and checks the settings file, for a daemon with this incarnation.
///
/// # Errors
///
/// Returns the reason why the file cannot be read, or every fault in the file.
pub fn read_settings(incarnation: Incarnation) -> Result<PlatformSettings> {
    let path = settings_path();
    let text = std::fs::read_to_string(&path).wrap_err_with(|| path.display().to_string())?;
    parse_settings(&text, incarnation).map_err(|faults| {
        let fault_lines: Vec<String> = faults.iter().map(|fault| format!("  {fault}")).collect();
        eyre!("{} has {} faults:\n{}", path.display(), faults.len(), fault_lines.join("\n"))
    })
}

/// Runs the daemon until a signal stops it gracefully.
///
/// # Errors
///
/// Returns the reason why the daemon cannot start.
pub fn run() -> Result<()> {
    let incarnation = Incarnation(host::read_wall_clock_ms());
    let settings = read_settings(incarnation)?;
    let (decision_lines, log_queue) =
        decision_log::start().wrap_err("cannot start the log threads")?;
    let metrics = MetricsRegistry::new(log_queue.dropped());
    let (exit_sender, exit_receiver) = bounded(1);
    let (host_sender, host_receiver) = bounded(1);
    let host_settings = settings.clone();
    let ordinary_calls = start_call_thread()?;
    let lease_thread = std::thread::Builder::new().name("lease".into()).spawn(move || {
        let host = std::cell::OnceCell::new();
        let mut tick_monitor = TickMonitor::new(TICK_INTERVAL);
        transport::run_call_client(
            TICK_INTERVAL,
            || post_tick(&host, &mut tick_monitor),
            |lease_calls| {
                let new_host = Arc::new(FleetHost::new(
                    host_settings,
                    CallSenders { lease: lease_calls, ordinary: ordinary_calls },
                    decision_lines,
                    exit_sender,
                    metrics,
                ));
                let _ = host_sender.send(Arc::clone(&new_host));
                let _ = host.set(new_host);
            },
        )
    });
    lease_thread.wrap_err("cannot start the lease thread")?;
    let host =
        host_receiver.recv().wrap_err("the lease thread ended before it created the host")?;
    tracing::info!(daemon = %settings.fleet.daemon, incarnation = %incarnation,
        submitters = %settings.submitter_address, store = %settings.store_address, "started");
    reload::start(&host).wrap_err("signals")?;
    probes::start(&settings, &host)?;
    submitters::start(&settings, &host)?;
    exit_receiver.recv().wrap_err("all threads ended before the daemon stopped")?;
    tracing::info!(daemon = %settings.fleet.daemon, "stopped");
    decision_log::wait_for_flush(&log_queue);
    Ok(())
}

/// Starts the thread that makes all outgoing calls but those that maintain the lease.
fn start_call_thread() -> Result<CallSender> {
    let (sender, receiver) = bounded(1);
    let builder = std::thread::Builder::new().name("calls".into());
    let thread = builder.spawn(move || {
        let on_start = |call_sender| drop(sender.send(call_sender));
        transport::run_call_client(UNUSED_TICK_INTERVAL, || {}, on_start)
    });
    thread.wrap_err("cannot start the call thread")?;
    receiver.recv().wrap_err("the call thread ended before it accepted calls")
}

/// Posts a clock tick and records by how much it came late.
fn post_tick(host: &std::cell::OnceCell<Arc<FleetHost>>, tick_monitor: &mut TickMonitor) {
    let Some(host) = host.get() else { return };
    tick_monitor.on_tick(&host.step_totals, &host.metrics);
    host.post_urgent(fleet::Event::Tick);
}
