//! Exports the measures with `cadence`, as counters and gauges over UDP.

use std::io;
use std::net::UdpSocket;
use std::time::{Duration, Instant};

use cadence::prelude::*;
use cadence::{BufferedUdpMetricSink, StatsdClient};
use coordination::DaemonCounters;
use state::DaemonSettings;

/// How often the measures are exported.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// The exporter; it does nothing when the settings name no address.
pub struct Metrics {
    client: Option<StatsdClient>,
    last: DaemonCounters,
    due: Instant,
}

impl Metrics {
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
        Ok(Self { client, last: DaemonCounters::default(), due: Instant::now() })
    }

    /// Exports what changed since the last report, once a period.
    pub fn report(&mut self, measures: &DaemonCounters, open_calls: usize) {
        let Some(client) = &self.client else { return };
        if Instant::now() < self.due {
            return;
        }
        self.due = Instant::now() + REPORT_PERIOD;
        let last = &self.last;
        let counters = [
            ("calls", measures.calls, last.calls),
            ("done", measures.done, last.done),
            ("not_run", measures.not_run, last.not_run),
            ("unknown", measures.unknown, last.unknown),
            ("retries", measures.retries, last.retries),
            ("platform_calls", measures.platform_calls, last.platform_calls),
            ("frames", measures.frames, last.frames),
            ("task_starts", measures.task_starts, last.task_starts),
            ("jobs_done", measures.jobs_done, last.jobs_done),
            ("drains", measures.drains, last.drains),
            ("moves", measures.moves, last.moves),
            ("buffer_ms", measures.buffer_ms, last.buffer_ms),
        ];
        for (name, now, before) in counters {
            let _ = client.count(name, now.saturating_sub(before) as i64);
        }
        for (team, service) in &measures.service_ms {
            let before = last.service_ms.get(team).copied().unwrap_or(0);
            let _ =
                client.count(&format!("service_ms.{team}"), service.saturating_sub(before) as i64);
        }
        let _ = client.gauge("open_calls", open_calls as u64);
        let _ = client.gauge("last_rollout_ms", measures.last_rollout_ms);
        self.last = measures.clone();
    }
}
