//! Exports the measures with `cadence`, as counters and gauges over UDP.

use std::io;
use std::net::UdpSocket;
use std::time::{Duration, Instant};

use cadence::prelude::*;
use cadence::{BufferedUdpMetricSink, StatsdClient};
use coordination::DaemonCounters;
use state::DaemonSettings;

/// How often the measures are exported.
const EXPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The exporter; it does nothing when the settings name no address.
pub struct MetricsExporter {
    client: Option<StatsdClient>,
    last: DaemonCounters,
    next_export: Instant,
}

impl MetricsExporter {
    /// An exporter to the address in the settings.
    pub fn new(settings: &DaemonSettings) -> io::Result<Self> {
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
        Ok(Self { client, last: DaemonCounters::default(), next_export: Instant::now() })
    }

    /// Exports what changed since the last report, once a period.
    pub fn export(&mut self, current: &DaemonCounters, open_calls: usize) {
        let Some(client) = &self.client else { return };
        if Instant::now() < self.next_export {
            return;
        }
        self.next_export = Instant::now() + EXPORT_INTERVAL;
        let last = &self.last;
        let counters = [
            ("calls", current.calls, last.calls),
            ("done", current.done, last.done),
            ("not_run", current.not_run, last.not_run),
            ("unknown", current.unknown, last.unknown),
            ("retries", current.retries, last.retries),
            ("platform_calls", current.platform_calls, last.platform_calls),
            ("frames", current.frames, last.frames),
            ("task_starts", current.task_starts, last.task_starts),
            ("jobs_done", current.jobs_done, last.jobs_done),
            ("drains", current.drains, last.drains),
            ("moves", current.moves, last.moves),
            ("buffer_ms", current.buffer_ms, last.buffer_ms),
        ];
        for (name, now, before) in counters {
            let _ = client.count(name, now.saturating_sub(before) as i64);
        }
        for (team, service) in &current.service_ms {
            let before = last.service_ms.get(team).copied().unwrap_or(0);
            let _ =
                client.count(&format!("service_ms.{team}"), service.saturating_sub(before) as i64);
        }
        let _ = client.gauge("open_calls", open_calls as u64);
        let _ = client.gauge("last_rollout_ms", current.last_rollout_ms);
        self.last = current.clone();
    }
}
