//! The daemon on the users' platform.
//!
//! One thread makes all calls and turns the clock; whoever has an event steps the
//! one state machine ([`fleet::FleetCore`]) behind its lock. Submitters' requests
//! wait in a table, not in threads. Log lines leave over a bounded ring, and are
//! counted where it is full (`docs/PLATFORM.md`, "Programs").

mod decision_log;
mod host;
mod metrics;
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

use host::FleetHost;

/// Where the settings file lies when no variable names it.
const DEFAULT_SETTINGS_PATH: &str = "/etc/pollenfall/node.conf";
/// How often time-outs are looked at; all else is driven by events.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Where the platform has put the settings.
pub fn settings_path() -> PathBuf {
    std::env::var_os(SETTINGS_VARIABLE).map_or_else(|| DEFAULT_SETTINGS_PATH.into(), PathBuf::from)
}

/// Reads and checks the settings.
///
/// # Errors
///
/// The reason why the file cannot be read, or all its faults.
pub fn read_settings(incarnation: Incarnation) -> Result<PlatformSettings> {
    let path = settings_path();
    let text = std::fs::read_to_string(&path).wrap_err_with(|| path.display().to_string())?;
    parse_settings(&text, incarnation).map_err(|faults| {
        let decision_lines: Vec<String> = faults.iter().map(|fault| format!("  {fault}")).collect();
        eyre!("{} has {} faults:\n{}", path.display(), faults.len(), decision_lines.join("\n"))
    })
}

/// Runs until the daemon was asked to stop and has stopped.
///
/// # Errors
///
/// The reason why the daemon cannot start.
pub fn run() -> Result<()> {
    let incarnation = Incarnation(host::wall_ms());
    let settings = read_settings(incarnation)?;
    let decision_lines = decision_log::start().wrap_err("log thread")?;
    let (exit_sender, end) = bounded(1);
    let (host_sender, host_receiver) = bounded(1);
    let host_settings = settings.clone();
    let call_thread = std::thread::Builder::new().name("calls".into()).spawn(move || {
        let host = std::cell::OnceCell::new();
        transport::run_call_client(
            TICK_INTERVAL,
            || post_tick(&host),
            |call_sender| {
                let new_host = Arc::new(FleetHost::new(
                    host_settings,
                    call_sender,
                    decision_lines,
                    exit_sender,
                ));
                let _ = host_sender.send(Arc::clone(&new_host));
                let _ = host.set(new_host);
            },
        )
    });
    call_thread.wrap_err("calls thread")?;
    let host = host_receiver.recv().wrap_err("the calls thread ended")?;
    tracing::info!(daemon = %settings.fleet.daemon, incarnation = %incarnation,
        submitters = %settings.submitters, store = %settings.store, "started");
    reload::start(&host).wrap_err("signals")?;
    probes::start(&settings, &host)?;
    submitters::start(&settings, &host)?;
    end.recv().wrap_err("every thread ended")?;
    tracing::info!(daemon = %settings.fleet.daemon, "stopped");
    decision_log::flush();
    Ok(())
}

fn post_tick(host: &std::cell::OnceCell<Arc<FleetHost>>) {
    if let Some(host) = host.get() {
        host.post(fleet::Event::Tick);
    }
}
