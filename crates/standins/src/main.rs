//! Command line of `standin`, which runs one stand-in process, one relay or one
//! load.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use standins::{
    LoadSettings, MinionSettings, PlatformSettings, WorkerSettings, run_load, run_minion,
    run_platform, run_relay, run_worker,
};

/// Runs one stand-in process, one relay or one load.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
enum StandinCommand {
    /// Runs a platform: key-value service, list of VMs, reboots of VMs.
    #[bpaf(command)]
    Platform {
        /// IP address and port to listen on.
        #[bpaf(long)]
        listen: SocketAddr,
        /// JSON file with the list of VMs.
        #[bpaf(long)]
        vms: PathBuf,
        /// Maximum age of the served list of VMs, in milliseconds.
        #[bpaf(long, fallback(200))]
        lag_ms: u64,
        /// Duration of a VM's reboot, in milliseconds.
        #[bpaf(long, fallback(500))]
        reboot_ms: u64,
    },
    /// Runs a minion that answers requests with their own body.
    #[bpaf(command)]
    Minion {
        /// IP address and port to listen on.
        #[bpaf(long)]
        listen: SocketAddr,
        /// Number of slots; starts beyond the slots are counted in the report, not refused.
        #[bpaf(long, fallback(8))]
        slots: u32,
    },
    /// Runs a worker that simulates tasks with timers.
    #[bpaf(command)]
    Worker {
        /// IP address and port to listen on.
        #[bpaf(long)]
        listen: SocketAddr,
        /// Number of cores for tasks.
        #[bpaf(long, fallback(16))]
        cores: u32,
        /// Memory for tasks, in MiB.
        #[bpaf(long, fallback(65536))]
        memory: u32,
    },
    /// Runs a relay that makes no decision, as the baseline of latency measurements.
    #[bpaf(command)]
    Relay {
        /// IP address and port to listen on.
        #[bpaf(long)]
        listen: SocketAddr,
        /// IP address and port of the minion that receives every request.
        #[bpaf(long)]
        minion: String,
    },
    /// Sends a fixed number of requests and prints the measurements as one JSON line.
    #[bpaf(command)]
    Load {
        /// Name of the measurement in the JSON line.
        #[bpaf(long)]
        name: String,
        /// IP address and port that receive the requests.
        #[bpaf(long)]
        target: String,
        /// Path of the requests, with the leading slash.
        #[bpaf(long)]
        path: String,
        /// API key sent with each request.
        #[bpaf(long)]
        key: Option<String>,
        /// Number of concurrent callers.
        #[bpaf(long, fallback(1))]
        callers: u32,
        /// Number of measured requests over all callers.
        #[bpaf(long, fallback(1000))]
        requests: u32,
    },
}

fn main() -> ExitCode {
    let outcome = match standin_command().run() {
        StandinCommand::Platform { listen, vms, lag_ms, reboot_ms } => {
            run_platform(&PlatformSettings { listen, vms, lag_ms, reboot_ms })
        }
        StandinCommand::Minion { listen, slots } => run_minion(&MinionSettings { listen, slots }),
        StandinCommand::Worker { listen, cores, memory } => {
            run_worker(&WorkerSettings { listen, cores, memory })
        }
        StandinCommand::Relay { listen, minion } => run_relay(listen, &minion),
        StandinCommand::Load { name, target, path, key, callers, requests } => {
            run_load(&LoadSettings { name, target, path, key, callers, requests })
        }
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin: {error:#}");
            ExitCode::FAILURE
        }
    }
}
