//! Concurrent HTTP client that runs on one thread and reuses its connections.
//!
//! [`run_call_client`] runs the client on the current thread; other threads submit calls
//! through a [`CallSender`]. `attohttpc`, which `send_http` uses, opens a connection for
//! each call. Minion orders and store calls are so frequent that connection handshakes
//! would take most of their time (`docs/PLATFORM.md`, "Libraries"). An unresponsive
//! connection is detected by the timeout of the call and by `TCP_USER_TIMEOUT`; the idle
//! connections to the same server are then closed with it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request, Response};
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::connections::{ConnectionPool, HttpConnection};
use crate::timeout::{StallMeter, wait_with_timeout};

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Interval at which the delay of the call thread is measured.
const STALL_SAMPLE_INTERVAL: Duration = Duration::from_millis(25);
/// Maximum number of calls that wait for the call thread.
const CALL_CHANNEL_CAPACITY: usize = 4_096;
/// How often connections that were idle for long are closed.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(1);

/// HTTP method of a [`CallRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallMethod {
    /// `GET`, for calls that only read.
    Get,
    /// `POST`, for calls that change state.
    Post,
    /// `DELETE`, for calls that remove an object.
    Delete,
}

/// HTTP request to be sent by the call thread.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallRequest {
    /// IP address and port of the server.
    pub address: SocketAddr,
    /// HTTP method.
    pub method: CallMethod,
    /// Path and query, with the leading slash.
    pub path: Box<str>,
    /// Header names and values, without the headers that describe the body.
    pub headers: Vec<(&'static str, Box<str>)>,
    /// JSON body, sent as `application/json`; `None` sends an empty body.
    pub body: Option<Box<[u8]>>,
    /// Maximum time until the complete response has arrived, including the connect time but
    /// without the time for which the call thread itself was busy.
    pub timeout: Duration,
}

/// Complete response to a [`CallRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallResponse {
    /// HTTP status code.
    pub status: u16,
    /// Complete response body, at most 8 MiB.
    pub body: Bytes,
}

/// Reason why a call has no complete response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallError {
    /// The request was not sent, so the server cannot have carried out the call; holds the
    /// error message.
    NotSent(Box<str>),
    /// No complete response arrived, but the server may have carried out the call or may
    /// still carry it out; holds the error message.
    NoResponse(Box<str>),
}

type CompletionCallback = Box<dyn FnOnce(Result<CallResponse, CallError>) + Send>;

/// Sending end of the bounded channel to the call thread.
#[derive(Clone)]
pub struct CallSender {
    sender: mpsc::Sender<(CallRequest, CompletionCallback)>,
    /// Callbacks of calls that found the channel full. There are at most as many as the caller
    /// has calls without a result.
    rejected: mpsc::UnboundedSender<CompletionCallback>,
}

impl CallSender {
    /// Submits `call` to the call thread.
    ///
    /// `on_complete` runs on the call thread and must not block. It never runs inside this
    /// function, since the caller may hold a lock that `on_complete` needs. If the channel
    /// is full, the result is [`CallError::NotSent`]. After the call thread has ended, there
    /// is no result.
    pub fn send(
        &self,
        call: CallRequest,
        on_complete: impl FnOnce(Result<CallResponse, CallError>) + Send + 'static,
    ) {
        if let Err(rejected) = self.sender.try_send((call, Box::new(on_complete))) {
            let (_, on_complete) = rejected.into_inner();
            // After the call thread has ended, nobody waits for the result.
            let _ = self.rejected.send(on_complete);
        }
    }
}

/// Runs the call thread until every [`CallSender`] is dropped.
///
/// `on_start` receives the sending end of the channel before the first call is
/// processed. `on_tick` runs on the call thread every `tick_interval`.
///
/// # Errors
///
/// Returns the error message if the `tokio` runtime cannot be built.
pub fn run_call_client(
    tick_interval: Duration,
    on_tick: impl FnMut(),
    on_start: impl FnOnce(CallSender),
) -> Result<(), Box<str>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| error.to_string())?;
    let (sender, calls) = mpsc::channel(CALL_CHANNEL_CAPACITY);
    let (rejected, rejections) = mpsc::unbounded_channel();
    on_start(CallSender { sender, rejected });
    runtime.block_on(process_calls(tick_interval, on_tick, calls, rejections));
    Ok(())
}

async fn process_calls(
    tick_interval: Duration,
    mut on_tick: impl FnMut(),
    mut calls: mpsc::Receiver<(CallRequest, CompletionCallback)>,
    mut rejections: mpsc::UnboundedReceiver<CompletionCallback>,
) {
    let pool = ConnectionPool::default();
    let meter = Arc::new(StallMeter::default());
    let mut ticks = tokio::time::interval(tick_interval);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut samples = tokio::time::interval(STALL_SAMPLE_INTERVAL);
    samples.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut cleanups = tokio::time::interval(CLEANUP_INTERVAL);
    cleanups.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            call = calls.recv() => match call {
                Some((call, on_complete)) => {
                    let response = call_with_timeout(pool.clone(), Arc::clone(&meter), call);
                    tokio::spawn(async move { on_complete(response.await) });
                }
                None => return,
            },
            Some(on_complete) = rejections.recv() => {
                on_complete(Err(CallError::NotSent("the call channel is full".into())));
            }
            _ = ticks.tick() => on_tick(),
            due = samples.tick() => meter.record_delay(due.elapsed()),
            _ = cleanups.tick() => pool.close_expired(),
        }
    }
}

/// Sends `call` and gives up after its timeout. The idle connections to the server that have
/// brought no answer since the call was sent may have gone silent too, and are closed then.
async fn call_with_timeout(
    pool: ConnectionPool,
    meter: Arc<StallMeter>,
    call: CallRequest,
) -> Result<CallResponse, CallError> {
    let (address, timeout, sent_at) = (call.address, call.timeout, Instant::now());
    let result = wait_with_timeout(&meter, timeout, make_call(&pool, call)).await;
    result.unwrap_or_else(|error| {
        pool.close_unused_since(address, sent_at);
        Err(CallError::NoResponse(error.to_string().into()))
    })
}

async fn make_call(pool: &ConnectionPool, call: CallRequest) -> Result<CallResponse, CallError> {
    let address = call.address;
    let mut request =
        build_request(call).map_err(|error| CallError::NotSent(format_error_chain(&error)))?;
    let (connection, response) = loop {
        let connection = pool.acquire(address).await;
        let mut connection =
            connection.map_err(|error| CallError::NotSent(format_error_chain(&error)))?;
        match send_request(&mut connection, request).await? {
            Sending::Answered(response) => break (connection, response),
            Sending::Returned(returned) => request = returned,
        }
    };
    let status = response.status().as_u16();
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
    let body = body.map_err(|error| CallError::NoResponse(format_error_chain(&*error)))?;
    pool.release(address, connection);
    Ok(CallResponse { status, body: body.to_bytes() })
}

/// Result of sending a request over a connection.
enum Sending {
    /// The head of the response arrived.
    Answered(Response<Incoming>),
    /// The server had closed the idle connection, so that the request was not sent.
    Returned(Request<Full<Bytes>>),
}

async fn send_request(
    connection: &mut HttpConnection,
    request: Request<Full<Bytes>>,
) -> Result<Sending, CallError> {
    match connection.sender.try_send_request(request).await {
        Ok(response) => Ok(Sending::Answered(response)),
        Err(mut error) => match error.take_message() {
            Some(request) if connection.is_reused => Ok(Sending::Returned(request)),
            _ => Err(CallError::NoResponse(format_error_chain(error.error()))),
        },
    }
}

fn build_request(call: CallRequest) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let method = match call.method {
        CallMethod::Get => Method::GET,
        CallMethod::Post => Method::POST,
        CallMethod::Delete => Method::DELETE,
    };
    let mut request = Request::builder().method(method).uri(&*call.path);
    request = request.header(HOST, call.address.to_string());
    for (name, value) in &call.headers {
        request = request.header(*name, &**value);
    }
    let body = match call.body {
        Some(body) => {
            request = request.header(CONTENT_TYPE, "application/json");
            Bytes::from(body.into_vec())
        }
        None => Bytes::new(),
    };
    request.body(Full::new(body))
}

/// Returns the messages of `error` and of all its sources, separated by colons.
fn format_error_chain(error: &dyn std::error::Error) -> Box<str> {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text.push_str(": ");
        text.push_str(&error.to_string());
        cause = error.source();
    }
    text.into()
}
