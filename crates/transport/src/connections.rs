//! Pool of connections to HTTP servers, bounded by address and in total.
//!
//! An owner has many calls open to one minion at a time: several starts, a stop and a hold
//! that waits. All of their connections are kept, so that the next burst of orders opens
//! none (`docs/CAPACITY.md`, "An owner's calls").

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum time that sent bytes may stay unacknowledged (`TCP_USER_TIMEOUT`).
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Idle time after which a connection is closed; a minion has 64 connections for all of its
/// owners, also former ones.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum number of idle connections for each address.
const MAX_IDLE_PER_ADDRESS: usize = 10;
/// Number of open connections from which on an idle one is closed for each new one; the
/// platform limits the descriptors of a process.
const MAX_OPEN: usize = 2_000;

/// Connection that is in use by one call.
pub(crate) struct HttpConnection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    /// Whether an earlier call used the connection.
    pub(crate) is_reused: bool,
}

struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    idle_since: Instant,
}

#[derive(Default)]
struct PoolState {
    /// Idle connections of each address; the last was used last.
    idle: BTreeMap<SocketAddr, Vec<IdleConnection>>,
    open: usize,
}

/// Connections of the call thread; clones share them.
#[derive(Clone, Default)]
pub(crate) struct ConnectionPool {
    state: Arc<Mutex<PoolState>>,
}

impl ConnectionPool {
    /// Returns an idle connection to `address`, or opens one.
    ///
    /// # Errors
    ///
    /// Returns the reason why no connection can be opened; no request byte was sent.
    pub(crate) async fn acquire(&self, address: SocketAddr) -> io::Result<HttpConnection> {
        if let Some(sender) = self.take_idle(address) {
            return Ok(HttpConnection { sender, is_reused: true });
        }
        let sender = self.connect(address).await?;
        Ok(HttpConnection { sender, is_reused: false })
    }

    /// Keeps a connection whose call is complete for further calls to `address`.
    pub(crate) fn release(&self, address: SocketAddr, connection: HttpConnection) {
        let mut state = self.lock();
        let idle = state.idle.entry(address).or_default();
        if idle.len() < MAX_IDLE_PER_ADDRESS && !connection.sender.is_closed() {
            let idle_since = Instant::now();
            idle.push(IdleConnection { sender: connection.sender, idle_since });
        }
    }

    /// Closes the connections that have been idle for [`IDLE_TIMEOUT`].
    pub(crate) fn close_expired(&self) {
        self.lock().idle.retain(|_, idle| {
            idle.retain(|connection| {
                connection.idle_since.elapsed() < IDLE_TIMEOUT && !connection.sender.is_closed()
            });
            !idle.is_empty()
        });
    }

    /// Closes the idle connections to `address` whose last call was answered before `since`.
    pub(crate) fn close_unused_since(&self, address: SocketAddr, since: Instant) {
        if let Some(idle) = self.lock().idle.get_mut(&address) {
            idle.retain(|connection| connection.idle_since >= since);
        }
    }

    /// Removes the idle connection to `address` that was used last and is still open.
    fn take_idle(&self, address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
        let mut state = self.lock();
        let idle = state.idle.get_mut(&address)?;
        idle.retain(|connection| !connection.sender.is_closed());
        let position = idle.iter().rposition(|connection| connection.sender.is_ready())?;
        Some(idle.remove(position).sender)
    }

    async fn connect(&self, address: SocketAddr) -> io::Result<SendRequest<Full<Bytes>>> {
        let guard = self.count_connection();
        let connect = TcpStream::connect(address);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connect).await??;
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
        let (sender, connection) =
            handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
        tokio::spawn(async move {
            // The call that uses the connection gets the error too.
            let _ = connection.await;
            drop(guard);
        });
        Ok(sender)
    }

    /// Counts one more open connection, and closes an idle one if there are too many.
    fn count_connection(&self) -> OpenGuard {
        let mut state = self.lock();
        state.open += 1;
        if state.open > MAX_OPEN {
            state.close_longest_idle();
        }
        OpenGuard { pool: self.clone() }
    }

    fn lock(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PoolState {
    /// Closes the connection that has been idle for the longest time.
    fn close_longest_idle(&mut self) {
        let longest = self
            .idle
            .values_mut()
            .filter(|idle| !idle.is_empty())
            .min_by_key(|idle| idle[0].idle_since);
        if let Some(idle) = longest {
            idle.remove(0);
        }
    }
}

/// Counts an open connection until it is dropped.
struct OpenGuard {
    pool: ConnectionPool,
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.pool.lock().open -= 1;
    }
}
