//! A daemon's settings file, checked in one place.

use std::net::SocketAddr;
use std::str::FromStr;

use crate::{DaemonId, DataCentreId, ObjectReader, OperatorKey, SettingFault, VmId, parse_value};

/// How log lines are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// One line of text an event.
    Plain,
    /// One JSON object an event.
    Json,
}

impl FromStr for LogFormat {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "plain" => Ok(Self::Plain),
            "json" => Ok(Self::Json),
            _ => Err("expected one of: plain, json"),
        }
    }
}

/// What a daemon is told at its start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DaemonSettings {
    /// Its name.
    pub daemon: DaemonId,
    /// The entry VM it runs on, as the platform's list names it.
    pub vm: VmId,
    /// Where it runs.
    pub data_centre: DataCentreId,
    /// Address for callers, submitters and operators.
    pub listen: SocketAddr,
    /// Address for other daemons.
    pub peer_listen: SocketAddr,
    /// Address of the platform's service.
    pub platform: SocketAddr,
    /// Salted hash of the operators' key, as `pollenfall key hash` prints it.
    pub operator_key: OperatorKey,
    /// Threads that carry callers' requests.
    pub request_threads: u32,
    /// Most requests that wait for a slot, over all pools.
    pub queue_limit: u32,
    /// Where metrics go, over UDP, in the statsd form.
    pub metrics: Option<SocketAddr>,
    /// How log lines are written.
    pub log_format: LogFormat,
    /// Directives for what is logged, such as `info` or `coordination=debug`.
    pub log_filter: Box<str>,
}

/// Reads a daemon's settings.
///
/// # Errors
///
/// Every fault of the text, in order of lines.
pub fn parse_daemon_settings(text: &str) -> Result<DaemonSettings, Vec<SettingFault>> {
    let outline = parse_value(text).map_err(|fault| vec![fault])?;
    let mut faults = Vec::new();
    let mut reader = ObjectReader::new(&outline, "the settings file", &mut faults);
    let settings = read_settings(&mut reader);
    reader.finish();
    faults.sort();
    match settings {
        Some(settings) if faults.is_empty() => Ok(settings),
        _ => Err(faults),
    }
}

fn read_settings(reader: &mut ObjectReader<'_>) -> Option<DaemonSettings> {
    let daemon = reader.parsed("daemon");
    let vm = reader.parsed("vm");
    let data_centre = reader.parsed("data_centre");
    let listen = reader.parsed("listen");
    let peer_listen = reader.parsed("peer_listen");
    let platform = reader.parsed("platform");
    let operator_key = reader.parsed("operator_key");
    let request_threads = reader.number_or("request_threads", 1..=1024, 256);
    let queue_limit = reader.number_or("queue_limit", 1..=100_000, 4096);
    let metrics = reader.optional("metrics");
    let log_format = reader.optional("log_format").unwrap_or(LogFormat::Plain);
    let log_filter = reader.optional::<String>("log_filter").unwrap_or_else(|| "info".into());
    Some(DaemonSettings {
        daemon: daemon?,
        vm: vm?,
        data_centre: data_centre?,
        listen: listen?,
        peer_listen: peer_listen?,
        platform: platform?,
        operator_key: operator_key?,
        request_threads: request_threads as u32,
        queue_limit: queue_limit as u32,
        metrics,
        log_format,
        log_filter: log_filter.into(),
    })
}
