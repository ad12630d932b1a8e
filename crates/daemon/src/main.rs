//! `pollenfalld`: the daemon of an entry VM.
//!
//! All decisions are those of one state machine ([`coordination::Core`]) behind a
//! lock. Every thread has one duty: it brings events to the machine, or carries
//! effects out that it takes from a bounded ring (`docs/DESIGN.md`, "Threads").

mod front;
mod logs;
mod machine;
mod metrics;
mod pools;
mod ring;
mod runtime;
mod signals;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use bpaf::Bpaf;
use crossbeam::channel::bounded;
use eyre::{Context, Result, eyre};
use state::{DaemonSettings, Incarnation, parse_daemon_settings};
use transport::{HttpServer, PeerSettings, start_peer_thread};

use machine::Machine;
use metrics::Metrics;

/// Carries a fleet's requests and jobs, and keeps its limits and maintenance.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// Settings file: JSON with comments.
    #[bpaf(long, argument("FILE"), optional)]
    settings: Option<PathBuf>,
    /// Run on the users' platform, with the settings file that it has put in place.
    #[bpaf(long)]
    platform: bool,
    /// Only check the settings, and list every fault.
    #[bpaf(long)]
    check_settings: bool,
}

fn main() -> ExitCode {
    let arguments = arguments().run();
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pollenfalld: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: &Arguments) -> Result<()> {
    if arguments.platform {
        return run_on_platform(arguments);
    }
    let path = arguments.settings.as_deref().ok_or_else(|| eyre!("--settings is missing"))?;
    let settings = read_settings(path)?;
    if arguments.check_settings {
        println!("{}: no faults", path.display());
        return Ok(());
    }
    logs::start(&settings).map_err(|reason| eyre!("log_filter: {reason}"))?;
    serve(settings)
}

fn run_on_platform(arguments: &Arguments) -> Result<()> {
    if arguments.check_settings {
        runtime::read_settings(Incarnation(0))?;
        println!("{}: no faults", runtime::settings_path().display());
        return Ok(());
    }
    runtime::run()
}

fn read_settings(path: &Path) -> Result<DaemonSettings> {
    let text = std::fs::read_to_string(path).wrap_err_with(|| path.display().to_string())?;
    parse_daemon_settings(&text).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(|fault| format!("  {fault}")).collect();
        eyre!("{} has {} faults:\n{}", path.display(), faults.len(), lines.join("\n"))
    })
}

fn serve(settings: DaemonSettings) -> Result<()> {
    let server = HttpServer::listen(settings.listen).map_err(|reason| eyre!("{reason}"))?;
    let server = Arc::new(server);
    let (frames_in, frames) = ring::frame_ring();
    let peers = PeerSettings { listen_address: settings.peer_listen, incoming_frames: frames_in };
    let peers = start_peer_thread(peers).map_err(|reason| eyre!("{reason}"))?;
    let metrics = Metrics::new(&settings).wrap_err("metrics")?;
    let (inlets, outlets) = ring::rings(settings.request_threads);
    let (ended, end) = bounded(1);
    let machine = Arc::new(Machine::new(&settings, inlets, peers, ended));
    signals::start(Arc::clone(&machine)).wrap_err("signals")?;
    pools::start_calls(&settings, &machine, &outlets)?;
    pools::start_log(&outlets)?;
    pools::start_frames(&machine, frames)?;
    pools::start_clock(&machine, metrics)?;
    front::start(&settings, &server, &machine, &outlets)?;
    tracing::info!(daemon = %settings.daemon, listen = %settings.listen, "started");
    let ending = end.recv().wrap_err("every thread ended")?;
    ending.map_err(|violations| eyre!("a broken invariant stopped this daemon:\n{violations}"))?;
    tracing::info!(daemon = %settings.daemon, "stopped");
    Ok(())
}
