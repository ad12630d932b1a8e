//! Handles signals, and reloads the settings file when its contents change.
//!
//! SIGHUP and a changed file reload the settings; SIGINT and SIGTERM start a graceful stop.

use std::sync::Arc;
use std::time::Duration;

use eyre::Result;
use fleet::Event;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use super::host::FleetHost;
use super::{read_settings, settings_path};

/// How often the settings file is read, since the file may change without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Starts the signal thread and the thread that polls the settings file.
///
/// # Errors
///
/// Returns the reason why the signals cannot be handled or a thread cannot be started.
pub fn start(host: &Arc<FleetHost>) -> Result<()> {
    let mut signals = Signals::new([SIGHUP, SIGINT, SIGTERM])?;
    let signal_host = Arc::clone(host);
    std::thread::Builder::new().name("signals".into()).spawn(move || {
        for signal in signals.forever() {
            if signal == SIGHUP {
                reload_settings(&signal_host, "signal");
            } else {
                tracing::info!(signal, "stopping");
                signal_host.post(Event::Stop);
            }
        }
    })?;
    let poll_host = Arc::clone(host);
    std::thread::Builder::new().name("settings".into()).spawn(move || {
        let mut last_contents = std::fs::read(settings_path()).ok();
        loop {
            std::thread::sleep(POLL_INTERVAL);
            let contents = std::fs::read(settings_path()).ok();
            if contents.is_some() && contents != last_contents {
                last_contents = contents;
                reload_settings(&poll_host, "file");
            }
        }
    })?;
    Ok(())
}

/// Reads the settings file and replaces the settings. Faults are logged, and the current settings
/// stay in force.
fn reload_settings(host: &FleetHost, cause: &str) {
    let current = host.settings();
    match read_settings(current.fleet.incarnation) {
        Ok(settings) => {
            let is_changed = settings != *current;
            let needs_restart = settings.submitter_address != current.submitter_address
                || settings.readiness_address != current.readiness_address
                || settings.client_limits != current.client_limits
                || settings.fleet != current.fleet;
            tracing::info!(cause, is_changed, needs_restart, "reloaded");
            host.replace_settings(settings);
        }
        Err(error) => tracing::error!(cause, error = format!("{error:#}"), "reload refused"),
    }
}
