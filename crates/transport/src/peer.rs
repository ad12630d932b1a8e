//! Links between daemons: one outgoing WebSocket for each peer, and any number
//! of incoming ones. `tokio` stays inside this thread.
//!
//! Frames are periodic and carry their sender's whole state, so a frame that
//! cannot be sent at once is dropped instead of queued for long.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use coordination::Frame;
use crossbeam::channel::{Receiver, Sender, TrySendError};
use futures_util::{SinkExt, StreamExt};
use protocol::{decode_frame, encode_frame};
use state::DaemonId;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::{accept_async, client_async};

/// Frames that wait for one peer, at most.
const PEER_RING: usize = 32;
/// Frames that wait to be given out to peers, at most.
const LINK_RING: usize = 1_024;
/// Longest time to make a link or to send one frame.
const LINK_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Pause before a broken link is made again.
const LINK_PAUSE: Duration = Duration::from_millis(200);
/// A link without a frame for this long is closed.
const LINK_IDLE: Duration = Duration::from_secs(10);

struct OutgoingFrame {
    to: DaemonId,
    address: Box<str>,
    bytes: Vec<u8>,
}

/// The sending side of all links.
#[derive(Clone)]
pub struct PeerLink {
    outgoing: mpsc::Sender<OutgoingFrame>,
}

impl PeerLink {
    /// Sends a frame, or drops it when too many wait.
    pub fn send(&self, to: DaemonId, address: Box<str>, frame: &Frame) {
        let frame = OutgoingFrame { to, address, bytes: encode_frame(frame) };
        if self.outgoing.try_send(frame).is_err() {
            tracing::warn!("a frame was dropped: too many wait to be sent");
        }
    }
}

/// Where links come in and where their frames go.
pub struct PeerSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// The ring that takes incoming frames.
    pub incoming: Sender<Box<Frame>>,
}

/// Starts the links' thread.
///
/// # Errors
///
/// The reason why the address cannot be listened on.
pub fn start_peer_link(settings: PeerSettings) -> Result<PeerLink, Box<str>> {
    let (outgoing, frames) = mpsc::channel(LINK_RING);
    let (started, start) = crossbeam::channel::bounded(1);
    thread::Builder::new()
        .name("peers".into())
        .spawn(move || run_links(settings, frames, &started))
        .map_err(|error| format!("cannot start the links' thread: {error}"))?;
    wait_for_start(&start)?;
    Ok(PeerLink { outgoing })
}

fn wait_for_start(start: &Receiver<Result<(), Box<str>>>) -> Result<(), Box<str>> {
    start.recv().unwrap_or_else(|_| Err("the links' thread ended at its start".into()))
}

fn run_links(
    settings: PeerSettings,
    frames: mpsc::Receiver<OutgoingFrame>,
    started: &Sender<Result<(), Box<str>>>,
) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            let _ = started.send(Err(error.to_string().into()));
            return;
        }
    };
    runtime.block_on(async {
        match TcpListener::bind(settings.listen).await {
            Ok(listener) => {
                let _ = started.send(Ok(()));
                tokio::join!(accept_links(listener, settings.incoming), give_out(frames));
            }
            Err(error) => {
                let reason = format!("cannot listen on {}: {error}", settings.listen);
                let _ = started.send(Err(reason.into()));
            }
        }
    });
}

async fn accept_links(listener: TcpListener, incoming: Sender<Box<Frame>>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(read_link(stream, incoming.clone()));
            }
            Err(error) => {
                tracing::warn!(%error, "a link was not accepted");
                sleep(LINK_PAUSE).await;
            }
        }
    }
}

async fn read_link(stream: TcpStream, incoming: Sender<Box<Frame>>) {
    let _ = stream.set_nodelay(true);
    let Ok(Ok(mut link)) = timeout(LINK_TIMEOUT, accept_async(stream)).await else { return };
    while let Ok(Some(Ok(message))) = timeout(LINK_IDLE, link.next()).await {
        let Message::Binary(bytes) = message else { continue };
        match decode_frame(&bytes) {
            Ok(frame) => match incoming.try_send(Box::new(frame)) {
                Ok(()) => {}
                Err(TrySendError::Full(_)) => {
                    tracing::warn!("a frame was dropped: the ring is full")
                }
                Err(TrySendError::Disconnected(_)) => return,
            },
            Err(error) => {
                tracing::warn!(%error, "a link was closed");
                return;
            }
        }
    }
}

async fn give_out(mut frames: mpsc::Receiver<OutgoingFrame>) {
    let mut links: BTreeMap<Box<str>, mpsc::Sender<Vec<u8>>> = BTreeMap::new();
    while let Some(frame) = frames.recv().await {
        let is_open = links.get(&frame.address).is_some_and(|link| !link.is_closed());
        if !is_open {
            let (sender, receiver) = mpsc::channel(PEER_RING);
            tokio::spawn(write_link(frame.to.clone(), frame.address.clone(), receiver));
            links.insert(frame.address.clone(), sender);
        }
        if links[&frame.address].try_send(frame.bytes).is_err() {
            tracing::debug!(peer = %frame.to, "a frame was dropped: the link does not keep up");
        }
        links.retain(|_, link| !link.is_closed());
    }
}

/// Writes one peer's frames until the link breaks; the next frame then opens a
/// new one.
async fn write_link(to: DaemonId, address: Box<str>, mut frames: mpsc::Receiver<Vec<u8>>) {
    let connected = timeout(LINK_TIMEOUT, TcpStream::connect(&*address)).await;
    let Ok(Ok(stream)) = connected else {
        tracing::debug!(peer = %to, "the link could not be made");
        return sleep(LINK_PAUSE).await;
    };
    let _ = stream.set_nodelay(true);
    let request = format!("ws://{address}/peer");
    let Ok(Ok((mut link, _))) = timeout(LINK_TIMEOUT, client_async(request, stream)).await else {
        return sleep(LINK_PAUSE).await;
    };
    while let Ok(Some(bytes)) = timeout(LINK_IDLE, frames.recv()).await {
        let sent = timeout(LINK_TIMEOUT, link.send(Message::Binary(bytes.into()))).await;
        if !matches!(sent, Ok(Ok(()))) {
            tracing::debug!(peer = %to, "the link broke");
            return sleep(LINK_PAUSE).await;
        }
    }
}
