//! Parser for the settings file of a daemon; all checks of the file are in this module.

use std::net::SocketAddr;
use std::str::FromStr;

use crate::{
    ClientLimits, ClientOverrides, DaemonId, DataCentreId, Mebibytes, ObjectReader, OperatorKey,
    SettingFault, VmId, VmResources, parse_value,
};

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// One line of plain text per event.
    Plain,
    /// One JSON object per event.
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

/// Settings that a daemon reads at its start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DaemonSettings {
    /// Identifier of the daemon.
    pub daemon: DaemonId,
    /// Entry VM on which the daemon runs, as named in the platform's list.
    pub vm: VmId,
    /// Data centre in which the daemon runs.
    pub data_centre: DataCentreId,
    /// Listen address for callers, submitters and operators.
    pub listen: SocketAddr,
    /// Listen address for other daemons.
    pub peer_listen: SocketAddr,
    /// Address of the platform's service.
    pub platform: SocketAddr,
    /// Salted hash of the operators' key, as `pollenfall key hash` prints it.
    pub operator_key: OperatorKey,
    /// Number of threads that process callers' requests.
    pub request_threads: u32,
    /// Maximum number of requests that wait for a slot, over all pools.
    pub queue_limit: u32,
    /// Limits on clients of both listening addresses.
    pub client_limits: ClientLimits,
    /// Address to which metrics are sent over UDP in the statsd format; `None` to send no metrics.
    pub metrics: Option<SocketAddr>,
    /// Format of log lines.
    pub log_format: LogFormat,
    /// Log filter directives, such as `info` or `coordination=debug`.
    pub log_filter: Box<str>,
}

/// Parses the settings of a daemon.
///
/// # Errors
///
/// Returns all faults of the text in order of lines, or the syntax fault alone if the text cannot
/// be parsed.
pub fn parse_daemon_settings(text: &str) -> Result<DaemonSettings, Vec<SettingFault>> {
    let value = parse_value(text).map_err(|fault| vec![fault])?;
    let mut faults = Vec::new();
    let mut reader = ObjectReader::new(&value, "the settings file", &mut faults);
    let settings = read_settings(&mut reader);
    reader.report_unknown_fields();
    faults.sort();
    match settings {
        Some(settings) if faults.is_empty() => Ok(settings),
        _ => Err(faults),
    }
}

fn read_settings(reader: &mut ObjectReader<'_>) -> Option<DaemonSettings> {
    let daemon = reader.required_value("daemon");
    let vm = reader.required_value("vm");
    let data_centre = reader.required_value("data_centre");
    let listen = reader.required_value("listen");
    let peer_listen = reader.required_value("peer_listen");
    let platform = reader.required_value("platform");
    let operator_key = reader.required_value("operator_key");
    let request_threads = reader.number_or_default("request_threads", 1..=1024, 256);
    let queue_limit = reader.number_or_default("queue_limit", 1..=100_000, 4096);
    let client_limits = read_client_limits(reader);
    let metrics = reader.optional_value("metrics");
    let log_format = reader.optional_value("log_format").unwrap_or(LogFormat::Plain);
    let log_filter = reader.optional_value::<String>("log_filter").unwrap_or_else(|| "info".into());
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
        client_limits,
        metrics,
        log_format,
        log_filter: log_filter.into(),
    })
}

/// Names of the limits in [`ClientOverrides`], and the fields that override them.
const CLIENT_FIELDS: [(&str, &str); 8] = [
    ("memory", "client_memory_mb"),
    ("connections", "client_connections"),
    ("head_bytes", "client_head_bytes"),
    ("body_bytes", "client_body_bytes"),
    ("head_ms", "client_head_ms"),
    ("body_ms", "client_body_ms"),
    ("response_ms", "client_response_ms"),
    ("idle_ms", "client_idle_ms"),
];

/// Reads the resources of the VM and the limits that override the computed ones.
fn read_client_limits(reader: &mut ObjectReader<'_>) -> ClientLimits {
    let memory = reader.optional_number("vm_memory_mb", 16..=1 << 24);
    let vm = VmResources {
        memory: memory.map(|memory| Mebibytes(memory as u32)),
        descriptors: reader.optional_number("vm_descriptors", 256..=1 << 24),
    };
    let [memory, connections, head_bytes, body_bytes, head_ms, body_ms, response_ms, idle_ms] =
        CLIENT_FIELDS.map(|(_, field)| reader.optional_number(field, 0..=u64::MAX));
    let overrides = ClientOverrides {
        memory,
        connections,
        head_bytes,
        body_bytes,
        head_ms,
        body_ms,
        response_ms,
        idle_ms,
    };
    let limits = ClientLimits::for_vm(vm);
    limits.with_overrides(&overrides).unwrap_or_else(|faults| {
        for (name, reason) in faults {
            let field = CLIENT_FIELDS.iter().find(|(limit, _)| *limit == name);
            reader.report_field(field.map_or(name, |(_, field)| *field), &reason);
        }
        limits
    })
}
