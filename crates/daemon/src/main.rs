//! `pollenfalld`: the daemon of an entry VM.
//!
//! One thread owns the state machine ([`coordination::Core`]); every other
//! thread has one duty and carries events to it and effects from it over
//! bounded rings (`docs/DESIGN.md`, "Threads").

mod core_loop;
mod front;
mod logs;
mod metrics;
mod pools;
mod ring;
mod signals;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use bpaf::Bpaf;
use eyre::{Context, Result, eyre};
use state::{DaemonSettings, parse_daemon_settings};
use transport::{HttpServer, PeerSettings, start_peer_link};

/// Carries a fleet's requests and jobs, and keeps its limits and maintenance.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// Settings file: JSON with comments.
    #[bpaf(long, argument("FILE"))]
    settings: PathBuf,
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
    let settings = read_settings(arguments)?;
    if arguments.check_settings {
        println!("{}: no faults", arguments.settings.display());
        return Ok(());
    }
    logs::start(&settings).map_err(|reason| eyre!("log_filter: {reason}"))?;
    serve(settings)
}

fn read_settings(arguments: &Arguments) -> Result<DaemonSettings> {
    let path = &arguments.settings;
    let text = std::fs::read_to_string(path).wrap_err_with(|| path.display().to_string())?;
    parse_daemon_settings(&text).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(|fault| format!("  {fault}")).collect();
        eyre!("{} has {} faults:\n{}", path.display(), faults.len(), lines.join("\n"))
    })
}

fn serve(settings: DaemonSettings) -> Result<()> {
    let server = HttpServer::listen(settings.listen).map_err(|reason| eyre!("{reason}"))?;
    let server = Arc::new(server);
    let rings = ring::rings(settings.request_threads);
    let incoming = rings.frames_in.clone();
    let peers = PeerSettings { listen: settings.peer_listen, incoming };
    let peers = start_peer_link(peers).map_err(|reason| eyre!("{reason}"))?;
    let metrics = metrics::Metrics::new(&settings).map_err(|reason| eyre!("metrics: {reason}"))?;
    signals::start(rings.events_in.clone()).wrap_err("signals")?;
    pools::start(&settings, &rings)?;
    front::start(&settings, &server, &rings)?;
    tracing::info!(daemon = %settings.daemon, listen = %settings.listen, "started");
    let outcome = core_loop::run(&settings, rings, &peers, metrics);
    outcome.map_err(|violations| eyre!("a broken invariant stopped this daemon:\n{violations}"))?;
    tracing::info!(daemon = %settings.daemon, "stopped");
    Ok(())
}
