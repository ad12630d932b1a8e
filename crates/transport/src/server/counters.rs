//! Counters of refused clients by cause, and log lines at a bounded rate.

use std::net::IpAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use state::ClientAddress;

/// Minimum interval between two log lines of one address with the same cause.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Reason for which a request was refused or a connection was closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientCause {
    /// The address has its maximum of connections, none of which may be closed.
    Full,
    /// The process has no descriptor for another connection.
    NoDescriptor,
    /// The memory for clients is used up.
    NoMemory,
    /// The connection was idle for the longest time when another one needed its place.
    IdleEvicted,
    /// The connection waited for its client for the longest time when another one needed its
    /// place.
    SlowEvicted,
    /// The connection was idle for too long.
    IdleTimeout,
    /// The head of a request did not arrive in time.
    HeadTimeout,
    /// The body of a request did not arrive in time.
    BodyTimeout,
    /// The response was not read in time.
    ResponseTimeout,
    /// The head of a request is too large.
    HeadTooLarge,
    /// The body of a request is too large.
    BodyTooLarge,
    /// The bytes are not a request.
    Malformed,
}

impl ClientCause {
    /// All causes.
    pub const ALL: [Self; 12] = [
        Self::Full,
        Self::NoDescriptor,
        Self::NoMemory,
        Self::IdleEvicted,
        Self::SlowEvicted,
        Self::IdleTimeout,
        Self::HeadTimeout,
        Self::BodyTimeout,
        Self::ResponseTimeout,
        Self::HeadTooLarge,
        Self::BodyTooLarge,
        Self::Malformed,
    ];

    /// Returns the name of the cause in metrics and log lines.
    pub fn label(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::NoDescriptor => "no-descriptor",
            Self::NoMemory => "no-memory",
            Self::IdleEvicted => "idle-evicted",
            Self::SlowEvicted => "slow-evicted",
            Self::IdleTimeout => "idle-timeout",
            Self::HeadTimeout => "head-timeout",
            Self::BodyTimeout => "body-timeout",
            Self::ResponseTimeout => "response-timeout",
            Self::HeadTooLarge => "head-too-large",
            Self::BodyTooLarge => "body-too-large",
            Self::Malformed => "malformed",
        }
    }
}

/// Counters of one listening address; all threads may read them.
#[derive(Debug)]
pub struct ClientCounters {
    address: ClientAddress,
    counts: [AtomicU64; ClientCause::ALL.len()],
    connections: AtomicU64,
    memory_bytes: AtomicU64,
    log_times: Mutex<[Option<LoggedCount>; ClientCause::ALL.len()]>,
}

/// Time of the last log line of a cause, and the count that it reported.
#[derive(Debug, Clone, Copy)]
struct LoggedCount {
    at: Instant,
    count: u64,
}

impl ClientCounters {
    /// Creates the counters of an address, all zero.
    pub fn new(address: ClientAddress) -> Self {
        Self {
            address,
            counts: std::array::from_fn(|_| AtomicU64::new(0)),
            connections: AtomicU64::new(0),
            memory_bytes: AtomicU64::new(0),
            log_times: Mutex::default(),
        }
    }

    /// Returns the address that the counters belong to.
    pub fn address(&self) -> ClientAddress {
        self.address
    }

    /// Returns how often `cause` has occurred.
    pub fn count(&self, cause: ClientCause) -> u64 {
        self.counts[cause as usize].load(Ordering::Relaxed)
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> u64 {
        self.connections.load(Ordering::Relaxed)
    }

    /// Returns the memory that the connections hold, in bytes, as the limits count it.
    pub fn memory_bytes(&self) -> u64 {
        self.memory_bytes.load(Ordering::Relaxed)
    }

    /// Counts `cause`, and logs at most one line per [`LOG_INTERVAL`] for it.
    pub(crate) fn record(&self, cause: ClientCause, client: IpAddr) {
        let count = self.counts[cause as usize].fetch_add(1, Ordering::Relaxed) + 1;
        let mut log_times = self.log_times.lock().unwrap_or_else(PoisonError::into_inner);
        let logged = &mut log_times[cause as usize];
        if logged.is_some_and(|logged| logged.at.elapsed() < LOG_INTERVAL) {
            return;
        }
        let reported = logged.map_or(0, |logged| logged.count);
        *logged = Some(LoggedCount { at: Instant::now(), count });
        drop(log_times);
        tracing::warn!(
            address = self.address.label(),
            cause = cause.label(),
            %client,
            count = count - reported,
            "client refused"
        );
    }

    pub(crate) fn set_usage(&self, connections: u64, memory_bytes: u64) {
        self.connections.store(connections, Ordering::Relaxed);
        self.memory_bytes.store(memory_bytes, Ordering::Relaxed);
    }
}
