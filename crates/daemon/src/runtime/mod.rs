//! The daemon on the users' platform.
//!
//! One thread makes all calls and turns the clock; whoever has an event steps the
//! one state machine ([`fleet::FleetCore`]) behind its lock. Submitters' requests
//! wait in a table, not in threads. Log lines leave over a bounded ring, and are
//! counted where it is full (`docs/PLATFORM.md`, "Programs").

mod front;
mod host;
mod lines;
mod meters;
mod own;
mod probes;
mod reload;

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::bounded;
use eyre::{Context, Result, eyre};
use platform::{PlatformSettings, SETTINGS_VARIABLE, parse_settings};
use state::Incarnation;

use host::FleetHost;

/// Where the settings file lies when no variable names it.
const USUAL_SETTINGS: &str = "/etc/pollenfall/node.conf";
/// How often time-outs are looked at; all else is driven by events.
const TICK: Duration = Duration::from_millis(25);

/// Where the platform has put the settings.
pub fn settings_path() -> PathBuf {
    std::env::var_os(SETTINGS_VARIABLE).map_or_else(|| USUAL_SETTINGS.into(), PathBuf::from)
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
        let lines: Vec<String> = faults.iter().map(|fault| format!("  {fault}")).collect();
        eyre!("{} has {} faults:\n{}", path.display(), faults.len(), lines.join("\n"))
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
    let lines = lines::start().wrap_err("log thread")?;
    let (ended, end) = bounded(1);
    let (ready_host, hosts) = bounded(1);
    let host_settings = settings.clone();
    let calls = std::thread::Builder::new().name("calls".into()).spawn(move || {
        let host = std::cell::OnceCell::new();
        transport::run_call_client(
            TICK,
            || tick(&host),
            |ring| {
                let made = Arc::new(FleetHost::new(host_settings, ring, lines, ended));
                let _ = ready_host.send(Arc::clone(&made));
                let _ = host.set(made);
            },
        )
    });
    calls.wrap_err("calls thread")?;
    let host = hosts.recv().wrap_err("the calls thread ended")?;
    tracing::info!(daemon = %settings.fleet.daemon, incarnation = %incarnation,
        submitters = %settings.submitters, store = %settings.store, "started");
    reload::start(&host).wrap_err("signals")?;
    probes::start(&settings, &host)?;
    front::start(&settings, &host)?;
    end.recv().wrap_err("every thread ended")?;
    tracing::info!(daemon = %settings.fleet.daemon, "stopped");
    lines::flush();
    Ok(())
}

fn tick(host: &std::cell::OnceCell<Arc<FleetHost>>) {
    if let Some(host) = host.get() {
        host.post(fleet::Event::Tick);
    }
}
