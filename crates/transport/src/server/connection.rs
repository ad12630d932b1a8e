//! Serves one connection: reads requests, hands them over and sends the responses.

use std::convert::Infallible;
use std::rc::Rc;

use crossbeam::channel::{Sender, TrySendError};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::oneshot;

use super::counters::ClientCause;
use super::listener::Listener;
use super::request::{IncomingRequest, OutgoingResponse, Refusal, RefusalWriter};
use super::stream::{ClientStream, ConnectionState};
use super::table::{Phase, TableEntry};

/// Bytes that are read and discarded after a refusal, so that the client can read it before
/// its connection is reset.
const MAX_DISCARDED_BYTES: usize = 1 << 20;
const DISCARD_BUFFER_BYTES: usize = 4 << 10;
/// Memory that the body of a request has at first, in bytes.
const MIN_BODY_CAPACITY: usize = 4 << 10;

/// What the connections of a listening address have in common.
pub(super) struct ConnectionSettings {
    http: http1::Builder,
    requests: Sender<IncomingRequest>,
    write_refusal: RefusalWriter,
}

impl ConnectionSettings {
    pub(super) fn new(listener: &Listener) -> Self {
        let mut http = http1::Builder::new();
        http.half_close(true)
            // The spelling that `docs/INTERFACE.md` shows; callers may compare names by it.
            .title_case_headers(true)
            // The connection table has the timeouts.
            .header_read_timeout(None)
            .max_buf_size(listener.limits.head_bytes);
        Self { http, requests: listener.requests.clone(), write_refusal: listener.write_refusal }
    }
}

/// Serves a connection until it ends, or until `close` tells to close it.
pub(super) async fn serve_connection(
    stream: TcpStream,
    entry: TableEntry,
    close: oneshot::Receiver<ClientCause>,
    settings: Rc<ConnectionSettings>,
) {
    let state = ConnectionState::new(entry);
    let stream = ClientStream::new(stream, Rc::clone(&state));
    let service = service_fn(|request| answer(&state, &settings, request));
    let mut http = settings.http.serve_connection(stream, service);
    let mut close = close;
    let closing = tokio::select! {
        result = &mut http => {
            if let Err(error) = result {
                record_error(&state, &error);
            }
            None
        }
        cause = &mut close => cause.ok(),
    };
    let stream = http.into_parts().io.into_inner();
    match closing {
        None => {
            state.entry.enter(Phase::Closing, 0);
            tokio::select! {
                () = discard_input(stream) => {}
                _ = close => {}
            }
        }
        Some(cause) => send_refusal(&stream, cause, settings.write_refusal),
    }
}

fn record_error(state: &ConnectionState, error: &hyper::Error) {
    if error.is_parse_too_large() {
        state.entry.record(ClientCause::HeadTooLarge);
    } else if error.is_parse() {
        state.entry.record(ClientCause::Malformed);
    } else {
        tracing::debug!(%error, "connection ended");
    }
}

/// Sends the refusal of a request that has not arrived completely, if the kernel takes it.
fn send_refusal(stream: &TcpStream, cause: ClientCause, write_refusal: RefusalWriter) {
    if let Some(refusal) = Refusal::for_cause(cause) {
        let _ = stream.try_write(&write_refusal(refusal).to_raw_bytes());
    }
}

/// Reads what the client still sends, up to a bound. Closing a connection with unread bytes
/// resets it, and the client may lose the last response.
async fn discard_input(mut stream: TcpStream) {
    let mut buffer = [0; DISCARD_BUFFER_BYTES];
    let mut total = 0;
    while let Ok(length) = stream.read(&mut buffer).await {
        total += length;
        if length == 0 || total > MAX_DISCARDED_BYTES {
            return;
        }
    }
}

async fn answer(
    state: &ConnectionState,
    settings: &ConnectionSettings,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    state.wait_for_flush().await;
    let response = match handle_request(state, settings, request).await {
        Ok(response) => response,
        Err(cause) => {
            state.entry.record(cause);
            let refusal = Refusal::for_cause(cause);
            let refusal = refusal.expect("each cause for which a request is refused has a status");
            (settings.write_refusal)(refusal).closing()
        }
    };
    // A response that exists is sent, also if there is no memory for it by the count.
    state.entry.enter(Phase::Responding, response.body.len() as u64);
    Ok(response.into_http())
}

async fn handle_request(
    state: &ConnectionState,
    settings: &ConnectionSettings,
    request: Request<Incoming>,
) -> Result<OutgoingResponse, ClientCause> {
    if !state.entry.enter(Phase::Body, 0) {
        return Err(ClientCause::NoMemory);
    }
    let (head, body) = request.into_parts();
    let body = collect_body(state, body).await?;
    state.entry.enter(Phase::Handling, body.capacity() as u64);
    let (sender, receiver) = oneshot::channel();
    let request = IncomingRequest::new(head, body, sender);
    match settings.requests.try_send(request) {
        Ok(()) => Ok(receiver.await.unwrap_or_else(|_| OutgoingResponse::new(500, ""))),
        Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => Err(ClientCause::Full),
    }
}

/// Reads the complete body, within the limit on its size and on the memory of all clients.
async fn collect_body(state: &ConnectionState, mut body: Incoming) -> Result<Vec<u8>, ClientCause> {
    let limit = state.entry.limits().body_bytes;
    if body.size_hint().lower() > limit as u64 {
        return Err(ClientCause::BodyTooLarge);
    }
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ClientCause::Malformed)?;
        let Ok(data) = frame.into_data() else { continue };
        if bytes.len() + data.len() > limit {
            return Err(ClientCause::BodyTooLarge);
        }
        reserve(state, &mut bytes, data.len(), limit)?;
        bytes.extend_from_slice(&data);
    }
    Ok(bytes)
}

/// Makes room for `added` bytes; the memory grows with the bytes that have arrived, not with
/// the length that the client declares.
fn reserve(
    state: &ConnectionState,
    bytes: &mut Vec<u8>,
    added: usize,
    limit: usize,
) -> Result<(), ClientCause> {
    let needed = bytes.len() + added;
    if needed <= bytes.capacity() {
        return Ok(());
    }
    let capacity = needed.max(2 * bytes.capacity()).max(MIN_BODY_CAPACITY).min(limit.max(needed));
    if !state.entry.enter(Phase::Body, capacity as u64) {
        return Err(ClientCause::NoMemory);
    }
    bytes.reserve_exact(capacity - bytes.len());
    Ok(())
}
