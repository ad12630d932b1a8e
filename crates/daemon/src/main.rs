//! `pollenfalld`: the daemon of an entry VM.
//!
//! One state machine ([`coordination::Core`]) behind a lock makes all decisions. Each thread
//! either posts events to the state machine, or carries out effects that it receives over a
//! bounded channel (`docs/DESIGN.md`, "Threads").

mod channels;
mod core_host;
mod line_budget;
mod log_queue;
mod logs;
mod metrics;
mod request_threads;
mod runtime;
mod signals;
mod threads;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use bpaf::Bpaf;
use crossbeam::channel::bounded;
use eyre::{Context, Result, eyre};
use state::{ClientAddress, DaemonSettings, Incarnation, parse_daemon_settings};
use transport::{ClientCounters, HttpServer, PeerSettings, start_peer_thread};

use core_host::CoreHost;
use metrics::MetricsExporter;

/// Time for the reason of a failure to be written before the process ends.
const FAILURE_WRITE_DELAY: Duration = Duration::from_millis(100);
/// Time for the last lines to be written after a graceful stop.
const LAST_LINES_TIMEOUT: Duration = Duration::from_millis(200);

/// Routes a fleet's requests, runs its jobs, enforces its limits and does its maintenance.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// Settings file: JSON with comments.
    #[bpaf(long, argument("FILE"), optional)]
    settings: Option<PathBuf>,
    /// Run on the users' platform, with the settings file that the platform provides.
    #[bpaf(long)]
    platform: bool,
    /// Check the settings, list every fault and exit.
    #[bpaf(long)]
    check_settings: bool,
}

fn main() -> ExitCode {
    let arguments = arguments().run();
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            report_failure(&error);
            ExitCode::FAILURE
        }
    }
}

/// Says why the daemon ends: in the log once it is set up, which waits for no reader, else on standard
/// error.
fn report_failure(error: &eyre::Report) {
    if tracing::dispatcher::has_been_set() {
        tracing::error!("pollenfalld: {error:#}");
        std::thread::sleep(FAILURE_WRITE_DELAY);
    } else {
        eprintln!("pollenfalld: {error:#}");
    }
}

fn run(arguments: &Arguments) -> Result<()> {
    if arguments.platform {
        return run_on_platform(arguments);
    }
    let path = arguments
        .settings
        .as_deref()
        .ok_or_else(|| eyre!("--settings FILE or --platform is missing"))?;
    let settings = read_settings(path)?;
    if arguments.check_settings {
        println!("{}: no faults", path.display());
        return Ok(());
    }
    let log_queue = logs::start(&settings).map_err(|reason| eyre!("{reason}"))?;
    serve(settings)?;
    log_queue.wait_until_written(LAST_LINES_TIMEOUT);
    Ok(())
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
    let limits = settings.client_limits.of(ClientAddress::Requests);
    let write_refusal = request_threads::build_server_refusal;
    let server =
        HttpServer::listen(settings.listen, ClientAddress::Requests, limits, write_refusal);
    let server = Arc::new(server.map_err(|reason| eyre!("{reason}"))?);
    let peer_counters = Arc::new(ClientCounters::new(ClientAddress::Peers));
    let (frame_sender, frame_receiver) = channels::open_frame_channel();
    let peer_settings = PeerSettings {
        listen_address: settings.peer_listen,
        incoming_frames: frame_sender,
        limits: settings.client_limits.of(ClientAddress::Peers),
        counters: Arc::clone(&peer_counters),
    };
    let peers = start_peer_thread(peer_settings).map_err(|reason| eyre!("{reason}"))?;
    let exporter = MetricsExporter::new(&settings, [Arc::clone(server.counters()), peer_counters])
        .wrap_err("metrics")?;
    let (senders, receivers) = channels::open_channels(settings.request_threads);
    let (exit_sender, exit_receiver) = bounded(1);
    let host = Arc::new(CoreHost::new(&settings, senders, peers, exit_sender));
    signals::start(Arc::clone(&host)).wrap_err("signals")?;
    threads::start_call_threads(&settings, &host, &receivers)?;
    threads::start_log_thread(&receivers)?;
    threads::start_frame_thread(&host, frame_receiver)?;
    threads::start_clock_thread(&host, exporter)?;
    request_threads::start(&settings, &server, &host, &receivers)?;
    tracing::info!(daemon = %settings.daemon, listen = %settings.listen, "started");
    let exit_result =
        exit_receiver.recv().wrap_err("all threads ended before the daemon stopped")?;
    exit_result
        .map_err(|violations| eyre!("a broken invariant stopped this daemon:\n{violations}"))?;
    tracing::info!(daemon = %settings.daemon, "stopped");
    Ok(())
}
