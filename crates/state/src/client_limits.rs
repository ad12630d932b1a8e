//! Limits on what the clients of a daemon may hold at one time, for all listening addresses.
//!
//! The limits follow from the memory and the descriptors of the VM, and single values can be
//! overridden in the settings. Each listening address has a fixed share of the total, so that a
//! crowd on one address takes nothing from the others (`docs/design/untrusted-clients.md`).

use std::time::Duration;

use crate::Mebibytes;

/// Memory of an idle connection in bytes, beside its read buffer, which has the size of the largest
/// head: its write buffer of 8 KiB and its records.
const CONNECTION_RECORD_BYTES: u64 = 12 << 10;
/// Memory that a connection holds in addition during a request, in bytes: the parsed head and
/// the kernel's buffers of both directions ([`SOCKET_BUFFER_BYTES`], which Linux doubles).
const REQUEST_BYTES: u64 = 36 << 10;
/// Size of the kernel's receive and send buffer of a connection in bytes, as requested.
pub const SOCKET_BUFFER_BYTES: u32 = 8 << 10;

/// Smallest permitted limit on a head, in bytes; the HTTP library needs such a buffer.
pub const MIN_HEAD_BYTES: u32 = 8 << 10;
const DEFAULT_BODY_BYTES: u64 = 1 << 20;
const MIN_BODY_BYTES: u64 = 64 << 10;
/// Divisor of the VM's memory that yields the memory for clients.
const MEMORY_DIVISOR: u32 = 4;
const DEFAULT_MEMORY: Mebibytes = Mebibytes(128);
const MIN_MEMORY: Mebibytes = Mebibytes(8);
const MAX_DEFAULT_MEMORY: Mebibytes = Mebibytes(256);
const DEFAULT_CONNECTIONS: u64 = 4_096;
const MAX_CONNECTIONS: u64 = 65_536;
/// Descriptors that the daemon uses for files, and for its listeners and timers.
const FILE_DESCRIPTORS: u64 = 200;
const OWN_DESCRIPTORS: u64 = 64;
/// Descriptors of outgoing connections, of which idle ones are closed beyond this number.
const OUTGOING_DESCRIPTORS: u64 = 2_000;
/// Smallest number of connections for all addresses.
const MIN_CONNECTIONS: u64 = 32;
const MIN_TIMEOUT_MS: u64 = 100;
const MAX_TIMEOUT_MS: u64 = 3_600_000;

/// Listening address of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ClientAddress {
    /// Submitters, or callers and operators in product mode.
    Requests,
    /// Readiness probes of the platform.
    Readiness,
    /// Metrics and queues.
    Internal,
    /// WebSocket connections of other daemons in product mode.
    Peers,
}

impl ClientAddress {
    /// Returns the name in metrics and log lines.
    pub fn label(self) -> &'static str {
        match self {
            Self::Requests => "requests",
            Self::Readiness => "readiness",
            Self::Internal => "internal",
            Self::Peers => "peers",
        }
    }

    /// Returns the share of the total in percent. The shares of the addresses of one mode add
    /// up to at most 100.
    fn percent(self) -> u64 {
        match self {
            Self::Requests => 70,
            Self::Readiness => 10,
            Self::Internal => 20,
            Self::Peers => 30,
        }
    }
}

/// Values of the settings that replace computed limits; `None` keeps the computed one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClientOverrides {
    /// Memory that all connections may hold together.
    pub memory: Option<u64>,
    /// Number of connections on all addresses, in total.
    pub connections: Option<u64>,
    /// Bytes of a head, with the empty lines before it.
    pub head_bytes: Option<u64>,
    /// Bytes of a request body.
    pub body_bytes: Option<u64>,
    /// Time from the first byte of a head to its end, in milliseconds.
    pub head_ms: Option<u64>,
    /// Time from the end of a head to the end of the body, in milliseconds.
    pub body_ms: Option<u64>,
    /// Time in which a response must be read, in milliseconds.
    pub response_ms: Option<u64>,
    /// Time for which a connection may be idle, in milliseconds.
    pub idle_ms: Option<u64>,
}

/// Memory and descriptors of the VM; `None` if the settings do not name them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct VmResources {
    /// Memory of the VM.
    pub memory: Option<Mebibytes>,
    /// Maximum number of open descriptors of the daemon.
    pub descriptors: Option<u64>,
}

/// Limits on the clients of all listening addresses together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientLimits {
    /// Memory that all connections may hold together, in bytes.
    pub memory_bytes: u64,
    /// Number of connections on all addresses, in total.
    pub connections: u64,
    /// Bytes of a head, with the empty lines before it.
    pub head_bytes: u64,
    /// Bytes of a request body.
    pub body_bytes: u64,
    /// Timeouts of a connection.
    pub timeouts: ClientTimeouts,
}

/// Timeouts of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientTimeouts {
    /// Time from the first byte of a head to its end.
    pub head: Duration,
    /// Time from the end of a head to the end of the body.
    pub body: Duration,
    /// Time in which a response must be read.
    pub response: Duration,
    /// Time for which a connection may be idle.
    pub idle: Duration,
}

impl Default for ClientTimeouts {
    fn default() -> Self {
        Self {
            head: Duration::from_secs(10),
            body: Duration::from_secs(20),
            response: Duration::from_secs(20),
            idle: Duration::from_secs(900),
        }
    }
}

/// Limits on the clients of one listening address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AddressLimits {
    /// Memory that the connections of the address may hold together, in bytes.
    pub memory_bytes: u64,
    /// Number of connections of the address.
    pub connections: usize,
    /// Bytes of a head, with the empty lines before it.
    pub head_bytes: usize,
    /// Bytes of a request body.
    pub body_bytes: usize,
    /// Timeouts of a connection.
    pub timeouts: ClientTimeouts,
}

impl AddressLimits {
    /// Returns the memory of an idle connection in bytes.
    pub fn idle_connection_bytes(&self) -> u64 {
        idle_connection_bytes(self.head_bytes as u64)
    }

    /// Returns the memory of a connection with a request in progress in bytes, beside the body
    /// of the request or the response.
    pub fn busy_connection_bytes(&self) -> u64 {
        self.idle_connection_bytes() + REQUEST_BYTES
    }
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self::for_vm(VmResources::default())
    }
}

impl ClientLimits {
    /// Returns the limits for a VM without overrides.
    pub fn for_vm(vm: VmResources) -> Self {
        let memory_bytes = compute_memory(vm.memory);
        Self {
            memory_bytes,
            connections: compute_connections(vm.descriptors),
            head_bytes: u64::from(MIN_HEAD_BYTES),
            body_bytes: DEFAULT_BODY_BYTES
                .min(largest_body(memory_bytes, u64::from(MIN_HEAD_BYTES))),
            timeouts: ClientTimeouts::default(),
        }
    }

    /// Replaces the limits that `overrides` names, and checks the result.
    ///
    /// # Errors
    ///
    /// Returns every fault: the name of the limit as in [`ClientOverrides`], and the reason.
    pub fn with_overrides(
        mut self,
        overrides: &ClientOverrides,
    ) -> Result<Self, Vec<(&'static str, String)>> {
        let mut faults = Vec::new();
        let mut check =
            |name, value: Option<u64>, minimum: u64, maximum: u64, limit: &mut u64| match value {
                Some(value) if (minimum..=maximum).contains(&value) => *limit = value,
                Some(value) => {
                    let reason = format!("{value} is not from {minimum} to {maximum}");
                    faults.push((name, reason));
                }
                None => {}
            };
        let mut memory_mib = self.memory_bytes >> 20;
        check("memory", overrides.memory, MIN_MEMORY.0.into(), 1 << 20, &mut memory_mib);
        if overrides.memory.is_some() {
            self.memory_bytes = memory_mib << 20;
            self.body_bytes = self.body_bytes.min(largest_body(self.memory_bytes, self.head_bytes));
        }
        let connections = overrides.connections;
        check("connections", connections, MIN_CONNECTIONS, MAX_CONNECTIONS, &mut self.connections);
        let (head, min_head) = (overrides.head_bytes, u64::from(MIN_HEAD_BYTES));
        check("head_bytes", head, min_head, 64 << 10, &mut self.head_bytes);
        check("body_bytes", overrides.body_bytes, MIN_BODY_BYTES, 64 << 20, &mut self.body_bytes);
        let timeouts = &mut self.timeouts;
        for (name, value, timeout) in [
            ("head_ms", overrides.head_ms, &mut timeouts.head),
            ("body_ms", overrides.body_ms, &mut timeouts.body),
            ("response_ms", overrides.response_ms, &mut timeouts.response),
            ("idle_ms", overrides.idle_ms, &mut timeouts.idle),
        ] {
            let mut milliseconds = timeout.as_millis() as u64;
            check(name, value, MIN_TIMEOUT_MS, MAX_TIMEOUT_MS, &mut milliseconds);
            *timeout = Duration::from_millis(milliseconds);
        }
        let largest = largest_body(self.memory_bytes, self.head_bytes);
        if self.body_bytes > largest {
            let reason = format!(
                "{} do not fit into the memory for clients, which allows {largest}",
                self.body_bytes
            );
            faults.push(("body_bytes", reason));
        }
        if faults.is_empty() { Ok(self) } else { Err(faults) }
    }

    /// Returns the share of one listening address.
    pub fn of(&self, address: ClientAddress) -> AddressLimits {
        let share = |total: u64| total * address.percent() / 100;
        AddressLimits {
            memory_bytes: share(self.memory_bytes),
            connections: share(self.connections).max(1) as usize,
            head_bytes: self.head_bytes as usize,
            body_bytes: self.body_bytes as usize,
            timeouts: self.timeouts,
        }
    }
}

fn compute_memory(vm: Option<Mebibytes>) -> u64 {
    let memory = vm.map_or(DEFAULT_MEMORY, |memory| {
        Mebibytes((memory.0 / MEMORY_DIVISOR).clamp(MIN_MEMORY.0, MAX_DEFAULT_MEMORY.0))
    });
    u64::from(memory.0) << 20
}

/// Returns the number of incoming connections for which a process has descriptors.
///
/// A process that has fewer descriptors than the outgoing connections may use gives a quarter
/// of them to clients.
fn compute_connections(descriptors: Option<u64>) -> u64 {
    let Some(descriptors) = descriptors else { return DEFAULT_CONNECTIONS };
    let for_sockets = descriptors.saturating_sub(FILE_DESCRIPTORS);
    let beside_outgoing = for_sockets.saturating_sub(OUTGOING_DESCRIPTORS + OWN_DESCRIPTORS);
    beside_outgoing.max(for_sockets / 4).clamp(MIN_CONNECTIONS, MAX_CONNECTIONS)
}

fn idle_connection_bytes(head_bytes: u64) -> u64 {
    head_bytes + CONNECTION_RECORD_BYTES
}

/// Returns the largest body that every address has memory for.
fn largest_body(memory_bytes: u64, head_bytes: u64) -> u64 {
    let smallest_share = memory_bytes * ClientAddress::Readiness.percent() / 100;
    smallest_share.saturating_sub(idle_connection_bytes(head_bytes) + REQUEST_BYTES)
}
