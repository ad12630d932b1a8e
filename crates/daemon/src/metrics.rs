//! Exports the daemon's counters with `cadence`, as StatsD counters and gauges over UDP.

use std::io;
use std::net::UdpSocket;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cadence::prelude::*;
use cadence::{BufferedUdpMetricSink, StatsdClient};
use coordination::DaemonCounters;
use state::DaemonSettings;
use transport::{ClientCause, ClientCounters};

const EXPORT_INTERVAL: Duration = Duration::from_secs(1);

/// StatsD exporter; without an address in the settings nothing is exported.
pub struct MetricsExporter {
    client: Option<StatsdClient>,
    previous: DaemonCounters,
    next_export: Instant,
    clients: [ClientExport; 2],
}

/// Counters of a listening address, and the counts of the last export.
struct ClientExport {
    counters: Arc<ClientCounters>,
    previous: [u64; ClientCause::ALL.len()],
}

impl MetricsExporter {
    /// Creates an exporter to the `metrics` address of the settings, with the prefix
    /// `pollenfall.<daemon>`.
    pub fn new(settings: &DaemonSettings, clients: [Arc<ClientCounters>; 2]) -> io::Result<Self> {
        let clients = clients
            .map(|counters| ClientExport { counters, previous: [0; ClientCause::ALL.len()] });
        let client = match settings.metrics {
            None => None,
            Some(address) => {
                let socket = UdpSocket::bind("0.0.0.0:0")?;
                socket.set_nonblocking(true)?;
                let sink = BufferedUdpMetricSink::from(address, socket)
                    .map_err(|error| io::Error::other(error.to_string()))?;
                Some(StatsdClient::from_sink(&format!("pollenfall.{}", settings.daemon), sink))
            }
        };
        let (previous, next_export) = (DaemonCounters::default(), Instant::now());
        Ok(Self { client, previous, next_export, clients })
    }

    /// Exports the changes since the last export, at most once per [`EXPORT_INTERVAL`].
    pub fn export(&mut self, current: &DaemonCounters, open_calls: usize) {
        let Some(client) = &self.client else { return };
        if Instant::now() < self.next_export {
            return;
        }
        self.next_export = Instant::now() + EXPORT_INTERVAL;
        let previous = &self.previous;
        let counters = [
            ("calls", current.calls, previous.calls),
            ("done", current.done, previous.done),
            ("not_run", current.not_run, previous.not_run),
            ("unknown", current.unknown, previous.unknown),
            ("retries", current.retries, previous.retries),
            ("platform_calls", current.platform_calls, previous.platform_calls),
            ("frames", current.frames, previous.frames),
            ("task_starts", current.task_starts, previous.task_starts),
            ("jobs_done", current.jobs_done, previous.jobs_done),
            ("drains", current.drains, previous.drains),
            ("moves", current.moves, previous.moves),
            ("buffer_ms", current.buffer_ms, previous.buffer_ms),
        ];
        for (name, now, before) in counters {
            let _ = client.count(name, now.saturating_sub(before) as i64);
        }
        for (team, service_ms) in &current.service_ms {
            let before = previous.service_ms.get(team).copied().unwrap_or(0);
            let _ = client
                .count(&format!("service_ms.{team}"), service_ms.saturating_sub(before) as i64);
        }
        for export in &mut self.clients {
            export.send(client);
        }
        let _ = client.gauge("open_calls", open_calls as u64);
        let _ = client.gauge("last_rollout_ms", current.last_rollout_ms);
        self.previous = current.clone();
    }
}

impl ClientExport {
    /// Exports the refusals since the last export by cause, and what the connections hold.
    fn send(&mut self, client: &StatsdClient) {
        let address = self.counters.address().label();
        for (cause, previous) in ClientCause::ALL.into_iter().zip(&mut self.previous) {
            let count = self.counters.count(cause);
            let name = format!("refused_clients.{address}.{}", cause.label());
            let _ = client.count(&name, count.saturating_sub(*previous) as i64);
            *previous = count;
        }
        let _ = client.gauge(&format!("client_connections.{address}"), self.counters.connections());
        let _ = client.gauge(&format!("client_bytes.{address}"), self.counters.memory_bytes());
    }
}
