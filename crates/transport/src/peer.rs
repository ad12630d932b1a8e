//! WebSocket connections between daemons.
//!
//! One thread, named `peers`, runs a `tokio` runtime that holds one outgoing
//! connection for each peer and any number of incoming connections. Other threads
//! exchange frames with the peer thread through bounded channels and don't use
//! `tokio`.
//!
//! Frames are periodic and carry the complete state of their sender. If a channel is
//! full, a frame is therefore dropped instead of waiting for free capacity.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use coordination::Frame;
use crossbeam::channel::{Receiver, Sender};
use futures_util::SinkExt;
use protocol::encode_frame;
use state::{AddressLimits, DaemonId};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};
use tokio_tungstenite::client_async;
use tokio_tungstenite::tungstenite::Message;

use crate::peer_listener::accept_connections;
use crate::server::ClientCounters;
use crate::server::listener::bind;

/// Maximum number of frames that wait to be sent to one peer.
const PEER_CHANNEL_CAPACITY: usize = 32;
/// Maximum number of frames that wait to be dispatched to a peer.
const OUTGOING_CHANNEL_CAPACITY: usize = 1_024;
/// Timeout for each of TCP connect, WebSocket handshake and sending one frame.
pub(crate) const IO_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Delay before a failed connection is opened again.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time without a frame after which a connection is closed.
pub(crate) const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Encoded frame with its recipient.
struct OutgoingFrame {
    peer: DaemonId,
    address: Box<str>,
    bytes: Vec<u8>,
}

/// Sending end of the bounded channel of frames for all peers.
#[derive(Clone)]
pub struct PeerSender {
    outgoing: mpsc::Sender<OutgoingFrame>,
}

impl PeerSender {
    /// Queues `frame` for `peer` at `address`; drops the frame if the channel is full.
    pub fn send(&self, peer: DaemonId, address: Box<str>, frame: &Frame) {
        let frame = OutgoingFrame { peer, address, bytes: encode_frame(frame) };
        if self.outgoing.try_send(frame).is_err() {
            tracing::warn!(
                "dropped an outgoing frame: the channel to the peer thread is full or closed"
            );
        }
    }
}

/// Listening address and frame receiver of the peer thread.
pub struct PeerSettings {
    /// Address that accepts connections from peers.
    pub listen_address: SocketAddr,
    /// Bounded channel that receives the decoded frames of all peers.
    pub incoming_frames: Sender<Box<Frame>>,
    /// Limits on the incoming connections; their timeouts are those of this module.
    pub limits: AddressLimits,
    /// Counters of refused peers.
    pub counters: Arc<ClientCounters>,
}

/// Starts the peer thread and waits until the thread listens.
///
/// # Errors
///
/// Returns the error message if the thread or its `tokio` runtime cannot be
/// started or the address cannot be bound.
pub fn start_peer_thread(settings: PeerSettings) -> Result<PeerSender, Box<str>> {
    let (outgoing, frames) = mpsc::channel(OUTGOING_CHANNEL_CAPACITY);
    let (start_sender, start_receiver) = crossbeam::channel::bounded(1);
    thread::Builder::new()
        .name("peers".into())
        .spawn(move || run_connections(settings, frames, &start_sender))
        .map_err(|error| format!("cannot start the peer thread: {error}"))?;
    wait_for_start(&start_receiver)?;
    Ok(PeerSender { outgoing })
}

fn wait_for_start(start_receiver: &Receiver<Result<(), Box<str>>>) -> Result<(), Box<str>> {
    start_receiver
        .recv()
        .unwrap_or_else(|_| Err("the peer thread ended before it reported its start".into()))
}

fn run_connections(
    settings: PeerSettings,
    frames: mpsc::Receiver<OutgoingFrame>,
    start_sender: &Sender<Result<(), Box<str>>>,
) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            let _ = start_sender.send(Err(error.to_string().into()));
            return;
        }
    };
    LocalSet::new().block_on(&runtime, async {
        match listen(settings.listen_address) {
            Ok(listener) => {
                let _ = start_sender.send(Ok(()));
                tokio::join!(accept_connections(listener, settings), dispatch_frames(frames));
            }
            Err(error) => {
                let reason = format!("cannot listen on {}: {error}", settings.listen_address);
                let _ = start_sender.send(Err(reason.into()));
            }
        }
    });
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::from_std(bind(address)?)
}

/// Queues each outgoing frame for the writer of its address; starts a writer if the
/// address has none.
async fn dispatch_frames(mut frames: mpsc::Receiver<OutgoingFrame>) {
    let mut frame_senders: BTreeMap<Box<str>, mpsc::Sender<Vec<u8>>> = BTreeMap::new();
    while let Some(frame) = frames.recv().await {
        let is_open =
            frame_senders.get(&frame.address).is_some_and(|frame_sender| !frame_sender.is_closed());
        if !is_open {
            let (sender, receiver) = mpsc::channel(PEER_CHANNEL_CAPACITY);
            tokio::spawn(write_frames(frame.peer.clone(), frame.address.clone(), receiver));
            frame_senders.insert(frame.address.clone(), sender);
        }
        if frame_senders[&frame.address].try_send(frame.bytes).is_err() {
            tracing::debug!(
                peer = %frame.peer,
                "dropped a frame: the channel to the peer is full or closed"
            );
        }
        frame_senders.retain(|_, frame_sender| !frame_sender.is_closed());
    }
}

/// Connects to one peer and sends its frames until the connection fails or is idle.
///
/// The next frame for the peer's address then starts a new writer, which opens a new
/// connection.
async fn write_frames(peer: DaemonId, address: Box<str>, mut frames: mpsc::Receiver<Vec<u8>>) {
    let connect_result = timeout(IO_TIMEOUT, TcpStream::connect(&*address)).await;
    let Ok(Ok(stream)) = connect_result else {
        tracing::debug!(peer = %peer, "cannot connect to the peer");
        return sleep(RETRY_DELAY).await;
    };
    let _ = stream.set_nodelay(true);
    let url = format!("ws://{address}/peer");
    let Ok(Ok((mut connection, _))) = timeout(IO_TIMEOUT, client_async(url, stream)).await else {
        return sleep(RETRY_DELAY).await;
    };
    while let Ok(Some(bytes)) = timeout(IDLE_TIMEOUT, frames.recv()).await {
        let send_result = timeout(IO_TIMEOUT, connection.send(Message::Binary(bytes.into()))).await;
        if !matches!(send_result, Ok(Ok(()))) {
            tracing::debug!(peer = %peer, "cannot send a frame; closing the peer connection");
            return sleep(RETRY_DELAY).await;
        }
    }
}
