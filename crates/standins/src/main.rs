//! `standin`: runs one stand-in process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use standins::{
    LoadSettings, MinionSettings, PlatformSettings, WorkerSettings, run_load, run_minion,
    run_platform, run_relay, run_worker,
};

/// Runs one stand-in.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
enum Role {
    /// The platform: key-value service, list of VMs, reboots.
    #[bpaf(command)]
    Platform {
        /// Address to listen on.
        #[bpaf(long)]
        listen: SocketAddr,
        /// File with the list of VMs in JSON.
        #[bpaf(long)]
        vms: PathBuf,
        /// How far the list lags, in milliseconds.
        #[bpaf(long, fallback(200))]
        lag_ms: u64,
        /// How long a reboot takes, in milliseconds.
        #[bpaf(long, fallback(500))]
        reboot_ms: u64,
    },
    /// A minion that answers requests.
    #[bpaf(command)]
    Minion {
        /// Address to listen on.
        #[bpaf(long)]
        listen: SocketAddr,
        /// Requests that it may run at one time.
        #[bpaf(long, fallback(8))]
        slots: u32,
    },
    /// A worker that runs tasks.
    #[bpaf(command)]
    Worker {
        /// Address to listen on.
        #[bpaf(long)]
        listen: SocketAddr,
        /// Cores.
        #[bpaf(long, fallback(16))]
        cores: u32,
        /// Memory in MiB.
        #[bpaf(long, fallback(65536))]
        memory: u32,
    },
    /// A relay that decides nothing, to measure against.
    #[bpaf(command)]
    Relay {
        /// Address to listen on.
        #[bpaf(long)]
        listen: SocketAddr,
        /// The one minion.
        #[bpaf(long)]
        minion: String,
    },
    /// Sends requests and prints one JSON line of figures.
    #[bpaf(command)]
    Load {
        /// What the figures are of.
        #[bpaf(long)]
        name: String,
        /// IP address and port.
        #[bpaf(long)]
        target: String,
        /// Path of the requests.
        #[bpaf(long)]
        path: String,
        /// Key to show.
        #[bpaf(long)]
        key: Option<String>,
        /// Callers at one time.
        #[bpaf(long, fallback(1))]
        callers: u32,
        /// Requests in all.
        #[bpaf(long, fallback(1000))]
        requests: u32,
    },
}

fn main() -> ExitCode {
    let outcome = match role().run() {
        Role::Platform { listen, vms, lag_ms, reboot_ms } => {
            run_platform(&PlatformSettings { listen, vms, lag_ms, reboot_ms })
        }
        Role::Minion { listen, slots } => run_minion(&MinionSettings { listen, slots }),
        Role::Worker { listen, cores, memory } => {
            run_worker(&WorkerSettings { listen, cores, memory })
        }
        Role::Relay { listen, minion } => run_relay(listen, &minion),
        Role::Load { name, target, path, key, callers, requests } => {
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
