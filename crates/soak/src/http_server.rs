//! HTTP server of the stand-ins, which can leave a request without an answer.
//!
//! `tiny_http` and [`transport::HttpServer`] answer a request with status 500 when it is dropped.
//! This server is built on the latter and keeps an unanswered request, so that its connection
//! stays open and returns nothing further.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

use eyre::eyre;
use percent_encoding::percent_decode_str;
use serde::Serialize;
use serde::de::DeserializeOwned;
use state::{AddressLimits, ClientAddress, ClientTimeouts};
use transport::{HttpServer, IncomingRequest, OutgoingResponse, Refusal};

/// Memory for the connections of one stand-in, in bytes.
const MEMORY_BYTES: u64 = 512 << 20;
/// Connections of one stand-in, unanswered ones included.
const MAX_CONNECTIONS: usize = 4_000;
/// Bytes of the head of a request.
const HEAD_BYTES: usize = 16 << 10;
/// Bytes of the body of a request: a transaction of some values.
const BODY_BYTES: usize = 8 << 20;

/// Answer of a stand-in.
pub(crate) enum ServerReply {
    /// A status and a JSON body.
    Json(u16, Vec<u8>),
    /// No answer; the connection stays open.
    Silence,
}

impl ServerReply {
    /// Builds an answer with `body` as JSON.
    pub(crate) fn json(status: u16, body: &impl Serialize) -> Self {
        Self::Json(status, serde_json::to_vec(body).expect("an answer has only JSON types"))
    }

    /// Builds an answer with an empty object.
    pub(crate) fn empty(status: u16) -> Self {
        Self::Json(status, b"{}".to_vec())
    }
}

/// Request to a stand-in.
#[derive(Debug, Clone)]
pub(crate) struct ServedRequest {
    /// Path without the query.
    pub(crate) path: Box<str>,
    query: Vec<(Box<str>, Box<str>)>,
    /// Value of the header `Expect-Instance`.
    pub(crate) expected_instance: Option<Box<str>>,
    body: Box<[u8]>,
}

impl ServedRequest {
    fn new(request: &IncomingRequest) -> Self {
        let url = request.url();
        let (path, query) = url.split_once('?').unwrap_or((url, ""));
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let decode = |text: &str| percent_decode_str(text).decode_utf8_lossy().into();
        Self {
            path: path.into(),
            query: pairs.map(|(name, value)| (name.into(), decode(value))).collect(),
            expected_instance: request.header("Expect-Instance").map(Into::into),
            body: request.body().into(),
        }
    }

    /// Returns the value of a parameter of the query.
    pub(crate) fn query(&self, name: &str) -> Option<&str> {
        let pair = self.query.iter().find(|(known, _)| &**known == name);
        pair.map(|(_, value)| &**value)
    }

    /// Returns the number in a parameter of the query.
    pub(crate) fn query_number(&self, name: &str) -> Option<u64> {
        self.query(name)?.parse().ok()
    }

    /// Decodes the body; `None` if it is not what the call takes.
    pub(crate) fn decode_body<T: DeserializeOwned>(&self) -> Option<T> {
        serde_json::from_slice(&self.body).ok()
    }
}

/// Starts a server on a free loopback port, and returns its address. `handle` may block: each
/// request has a thread of its own.
pub(crate) fn start_server(
    handle: impl Fn(&ServedRequest) -> ServerReply + Send + Sync + 'static,
) -> eyre::Result<SocketAddr> {
    let limits = AddressLimits {
        memory_bytes: MEMORY_BYTES,
        connections: MAX_CONNECTIONS,
        head_bytes: HEAD_BYTES,
        body_bytes: BODY_BYTES,
        timeouts: ClientTimeouts::default(),
    };
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let server = HttpServer::listen(address, ClientAddress::Requests, limits, refuse);
    let server = server.map_err(|error| eyre!("{error}"))?;
    let address = server.local_address();
    let handle = Arc::new(handle);
    let unanswered = Arc::new(Mutex::new(Vec::new()));
    thread::spawn(move || {
        while let Some(request) = server.receive() {
            let (handle, unanswered) = (Arc::clone(&handle), Arc::clone(&unanswered));
            thread::spawn(move || match handle(&ServedRequest::new(&request)) {
                ServerReply::Json(status, body) => respond(request, status, body),
                ServerReply::Silence => {
                    unanswered.lock().unwrap_or_else(PoisonError::into_inner).push(request);
                }
            });
        }
    });
    Ok(address)
}

fn respond(request: IncomingRequest, status: u16, body: Vec<u8>) {
    let response = OutgoingResponse::new(status, body);
    request.respond(response.with_header("Content-Type", "application/json"));
}

fn refuse(refusal: Refusal) -> OutgoingResponse {
    OutgoingResponse::new(refusal.status, "{}")
}
