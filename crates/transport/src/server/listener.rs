//! Accepts the connections of one listening address.

use std::io;
use std::net::{self, IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::Sender;
use socket2::{Domain, SockRef, Socket, Type};
use state::{AddressLimits, SOCKET_BUFFER_BYTES};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{MissedTickBehavior, interval, sleep};

use super::connection::{ConnectionSettings, serve_connection};
use super::counters::{ClientCause, ClientCounters};
use super::request::{IncomingRequest, Refusal, RefusalWriter};
use super::table::ConnectionTable;

/// Connections that the kernel keeps until they are accepted.
const BACKLOG: i32 = 256;
/// How often connections are checked for their timeouts.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Delay before the next connection is accepted after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Binds `address` with small socket buffers, which the connections inherit: bytes that were
/// received and not read yet count as memory of the VM.
pub(crate) fn bind(address: SocketAddr) -> io::Result<net::TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES as usize)?;
    socket.set_send_buffer_size(SOCKET_BUFFER_BYTES as usize)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Settings of the thread of a listening address.
pub(super) struct Listener {
    pub(super) limits: AddressLimits,
    pub(super) write_refusal: RefusalWriter,
    pub(super) requests: Sender<IncomingRequest>,
    pub(super) counters: Arc<ClientCounters>,
}

impl Listener {
    /// Serves connections until `stopped` becomes true.
    pub(super) fn run(self, socket: net::TcpListener, mut stopped: watch::Receiver<bool>) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = match runtime {
            Ok(runtime) => runtime,
            Err(error) => return tracing::error!(%error, "cannot start an HTTP server"),
        };
        let tasks = LocalSet::new();
        tasks.block_on(&runtime, async {
            let listener = match TcpListener::from_std(socket) {
                Ok(listener) => listener,
                Err(error) => return tracing::error!(%error, "cannot start an HTTP server"),
            };
            tokio::select! {
                () = self.accept_connections(listener) => {}
                // Fails when the server is dropped, which stops the thread as well.
                _ = stopped.wait_for(|is_stopped| *is_stopped) => {}
            }
        });
    }

    async fn accept_connections(self, listener: TcpListener) {
        let table = ConnectionTable::new(self.limits, Arc::clone(&self.counters));
        let settings = Rc::new(ConnectionSettings::new(&self));
        let mut checks = interval(CHECK_INTERVAL);
        checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                result = listener.accept() => match result {
                    Ok((stream, client)) => {
                        self.open_connection(&table, &settings, stream, client.ip());
                    }
                    Err(error) => self.handle_accept_error(&table, &error).await,
                },
                _ = checks.tick() => table.close_expired(),
            }
        }
    }

    fn open_connection(
        &self,
        table: &ConnectionTable,
        settings: &Rc<ConnectionSettings>,
        stream: TcpStream,
        client: IpAddr,
    ) {
        let _ = stream.set_nodelay(true);
        match table.open(client) {
            Ok((entry, close)) => {
                spawn_local(serve_connection(stream, entry, close, Rc::clone(settings)));
            }
            Err(cause) => self.refuse(&stream, cause),
        }
    }

    /// Sends a refusal if the kernel takes it at once, and closes the connection.
    fn refuse(&self, stream: &TcpStream, cause: ClientCause) {
        if let Some(refusal) = Refusal::for_cause(cause) {
            // A client that is gone needs no refusal.
            let _ = SockRef::from(stream).send(&(self.write_refusal)(refusal).to_raw_bytes());
        }
    }

    /// Closes a connection if the process has no descriptor for another one.
    async fn handle_accept_error(&self, table: &ConnectionTable, error: &io::Error) {
        let unspecified = IpAddr::V4(net::Ipv4Addr::UNSPECIFIED);
        self.counters.record(ClientCause::NoDescriptor, unspecified);
        tracing::debug!(%error, "cannot accept a connection");
        table.close_one();
        sleep(RETRY_DELAY).await;
    }
}
