//! Accepts WebSocket connections of peers within the limits on clients.
//!
//! Any client can connect to the address of the peers. The connections are therefore in a
//! [`ConnectionTable`] like those of the HTTP server, where the bytes of an incomplete frame
//! count as memory.

use std::cell::Cell;
use std::io;
use std::net::{IpAddr, Ipv4Addr};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use coordination::Frame;
use crossbeam::channel::{Sender, TrySendError};
use futures_util::StreamExt;
use protocol::{MAX_FRAME_BYTES, decode_frame};
use state::{AddressLimits, ClientTimeouts};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{MissedTickBehavior, interval, sleep};
use tokio_tungstenite::accept_async_with_config;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::{Error, Message};

use crate::peer::{IDLE_TIMEOUT, IO_TIMEOUT, PeerSettings};
use crate::server::ClientCause;
use crate::server::table::{ConnectionTable, Phase, TableEntry};

/// Delay before another connection is accepted after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// How often connections are checked for their timeouts.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Size of the read buffer of a connection in bytes.
const READ_BUFFER_BYTES: usize = 8 << 10;
/// Size from which on a connection writes its buffer, and its maximum; a daemon sends nothing
/// but answers to control frames on an incoming connection.
const WRITE_BUFFER_BYTES: usize = 1 << 10;
const MAX_WRITE_BUFFER_BYTES: usize = 8 << 10;
/// Bound on the length of a frame times the number of frames that wait with it, in bytes.
/// Frames of ordinary size fill the whole channel; of the largest, a few wait.
const MAX_WAITING_BYTES: usize = 8 << 20;

/// Accepts connections and forwards their frames until the runtime ends.
pub(crate) async fn accept_connections(listener: TcpListener, settings: PeerSettings) {
    let limits = AddressLimits { timeouts: peer_timeouts(), ..settings.limits };
    let table = ConnectionTable::new(limits, Arc::clone(&settings.counters));
    let mut checks = interval(CHECK_INTERVAL);
    checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            result = listener.accept() => match result {
                Ok((stream, peer)) => {
                    if let Ok((entry, close)) = table.open(peer.ip()) {
                        let incoming = settings.incoming_frames.clone();
                        spawn_local(serve_peer(stream, entry, close, incoming));
                    }
                }
                Err(error) => {
                    let unspecified = IpAddr::V4(Ipv4Addr::UNSPECIFIED);
                    settings.counters.record(ClientCause::NoDescriptor, unspecified);
                    tracing::debug!(%error, "cannot accept a peer connection");
                    table.close_one();
                    sleep(RETRY_DELAY).await;
                }
            },
            _ = checks.tick() => table.close_expired(),
        }
    }
}

fn peer_timeouts() -> ClientTimeouts {
    ClientTimeouts {
        head: IO_TIMEOUT,
        body: IDLE_TIMEOUT,
        response: IDLE_TIMEOUT,
        idle: IDLE_TIMEOUT,
    }
}

/// Serves one connection until it ends, or until `close` tells to close it.
async fn serve_peer(
    stream: TcpStream,
    entry: TableEntry,
    close: oneshot::Receiver<ClientCause>,
    incoming: Sender<Box<Frame>>,
) {
    let _ = stream.set_nodelay(true);
    let connection = Rc::new(PeerState { entry, received: Cell::new(0) });
    connection.entry.enter(Phase::Head, 0);
    tokio::select! {
        () = read_frames(stream, &connection, incoming) => {}
        _ = close => {}
    }
}

/// Accepts one WebSocket handshake and forwards the decoded frames until the connection fails
/// or carries a malformed frame.
async fn read_frames(stream: TcpStream, state: &Rc<PeerState>, incoming: Sender<Box<Frame>>) {
    let stream = PeerStream { stream, state: Rc::clone(state) };
    let mut connection = match accept_async_with_config(stream, Some(build_config())).await {
        Ok(connection) => connection,
        Err(error) => return record_error(state, &error),
    };
    state.finish_message();
    while let Some(result) = connection.next().await {
        let message = match result {
            Ok(message) => message,
            Err(error) => return record_error(state, &error),
        };
        let bytes = match message {
            Message::Binary(bytes) => bytes,
            Message::Ping(_) | Message::Pong(_) => continue,
            Message::Close(_) => return,
            _ => return state.entry.record(ClientCause::Malformed),
        };
        match decode_frame(&bytes) {
            Ok(frame) if is_waiting_too_much(&incoming, bytes.len()) => drop(frame),
            Ok(frame) => match incoming.try_send(Box::new(frame)) {
                Ok(()) => {}
                Err(TrySendError::Full(_)) => {
                    tracing::debug!("dropped an incoming frame: the channel is full");
                }
                Err(TrySendError::Disconnected(_)) => return,
            },
            Err(error) => {
                tracing::debug!(%error, "cannot decode a frame; closing the peer connection");
                return state.entry.record(ClientCause::Malformed);
            }
        }
        drop(bytes);
        state.finish_message();
    }
}

/// Returns whether a frame of this length may not wait with those that wait already.
fn is_waiting_too_much(incoming: &Sender<Box<Frame>>, length: usize) -> bool {
    length * (incoming.len() + 1) > MAX_WAITING_BYTES
}

fn build_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_BYTES)
        .write_buffer_size(WRITE_BUFFER_BYTES)
        .max_write_buffer_size(MAX_WRITE_BUFFER_BYTES)
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}

fn record_error(state: &PeerState, error: &Error) {
    match error {
        Error::Capacity(_) => state.entry.record(ClientCause::BodyTooLarge),
        Error::Protocol(_) | Error::Http(_) | Error::HttpFormat(_) | Error::Utf8(_) => {
            state.entry.record(ClientCause::Malformed);
        }
        error => tracing::debug!(%error, "peer connection ended"),
    }
}

/// State of a connection that its stream shares.
struct PeerState {
    entry: TableEntry,
    /// Bytes that have arrived since the last complete message.
    received: Cell<u64>,
}

impl PeerState {
    fn finish_message(&self) {
        self.received.set(0);
        self.entry.enter(Phase::Idle, 0);
    }

    /// Counts bytes of an incomplete message as memory. Returns whether there is memory for
    /// them.
    fn add_received(&self, length: usize) -> bool {
        self.received.set(self.received.get() + length as u64);
        let phase = if self.entry.phase() == Phase::Head { Phase::Head } else { Phase::Body };
        let has_room = self.entry.enter(phase, self.received.get());
        if !has_room {
            self.entry.record(ClientCause::NoMemory);
        }
        has_room
    }
}

/// Stream that reports the bytes that arrive to the connection table.
struct PeerStream {
    stream: TcpStream,
    state: Rc<PeerState>,
}

impl AsyncRead for PeerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        let length = buffer.filled().len() - before;
        if length > 0 && !self.state.add_received(length) {
            return Poll::Ready(Err(io::ErrorKind::OutOfMemory.into()));
        }
        result
    }
}

impl AsyncWrite for PeerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
