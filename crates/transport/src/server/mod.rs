//! HTTP server for clients that the daemon does not control.
//!
//! One thread for each listening address runs all of its connections with `hyper`; it reads
//! complete requests within the limits of [`AddressLimits`] and hands them to the threads that
//! call [`HttpServer::receive`]. Those threads therefore never wait for a client's bytes. The
//! memory and the number of the connections are bounded, see [`table`], and
//! `docs/design/untrusted-clients.md` for the reasons.

mod connection;
mod counters;
pub(crate) mod listener;
mod request;
mod stream;
pub(crate) mod table;

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use crossbeam::channel::{Receiver, bounded};
use state::{AddressLimits, ClientAddress};
use tokio::sync::watch;

pub use counters::{ClientCause, ClientCounters};
pub use request::{IncomingRequest, OutgoingResponse, Refusal, RefusalWriter};

use listener::Listener;

/// Stack size of the thread of a listening address, in bytes.
const THREAD_STACK_BYTES: usize = 512 << 10;

/// Listening HTTP server; any number of threads may receive requests from it.
pub struct HttpServer {
    requests: Receiver<IncomingRequest>,
    counters: Arc<ClientCounters>,
    local_address: SocketAddr,
    stop: watch::Sender<bool>,
}

impl HttpServer {
    /// Binds `address` and starts the thread that serves the connections.
    ///
    /// `write_refusal` builds the responses to requests that the server refuses itself.
    ///
    /// # Errors
    ///
    /// Returns the error message if `address` cannot be bound or the thread cannot be started.
    pub fn listen(
        address: SocketAddr,
        name: ClientAddress,
        limits: AddressLimits,
        write_refusal: RefusalWriter,
    ) -> Result<Self, Box<str>> {
        let listen_error = |error| format!("cannot listen on {address}: {error}");
        let socket = listener::bind(address).map_err(listen_error)?;
        let local_address = socket.local_addr().map_err(listen_error)?;
        // A connection has at most one request in progress, so that the channel is never full.
        let (sender, requests) = bounded(limits.connections);
        let counters = Arc::new(ClientCounters::new(name));
        let (stop, stopped) = watch::channel(false);
        let listener =
            Listener { limits, write_refusal, requests: sender, counters: Arc::clone(&counters) };
        thread::Builder::new()
            .name(format!("http-{}", name.label()))
            .stack_size(THREAD_STACK_BYTES)
            .spawn(move || listener.run(socket, stopped))
            .map_err(|error| format!("cannot start the thread of {address}: {error}"))?;
        Ok(Self { requests, counters, local_address, stop })
    }

    /// Waits for the next request; returns `None` after [`Self::close`] or if the server
    /// fails.
    pub fn receive(&self) -> Option<IncomingRequest> {
        self.requests.recv().ok()
    }

    /// Closes the listening address and all connections, so that [`Self::receive`] returns
    /// `None` once the waiting requests are taken.
    pub fn close(&self) {
        let _ = self.stop.send(true);
    }

    /// Returns the address on which the server listens.
    pub fn local_address(&self) -> SocketAddr {
        self.local_address
    }

    /// Returns the counters of this address.
    pub fn counters(&self) -> &Arc<ClientCounters> {
        &self.counters
    }
}
