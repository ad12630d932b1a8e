//! Calls over kept connections, many at one time, from one thread.
//!
//! `attohttpc` opens a connection for each call; orders to minions and calls to a
//! store are so many that the handshakes would be most of their time
//! (`docs/PLATFORM.md`, "Libraries"). Connections that fall silent are found by the
//! call's own time-out and by `TCP_USER_TIMEOUT`.

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Bytes;
use hyper::{Method, Request};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::sync::mpsc;

/// Longest time until a connection stands.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Longest time for which sent bytes may stay unacknowledged.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for which an unused connection is kept.
const IDLE_KEPT: Duration = Duration::from_secs(20);
/// Unused connections that are kept for each address.
const IDLE_PER_ADDRESS: usize = 4;
/// Largest body of an answer in bytes.
const MOST_ANSWER_BYTES: usize = 8 << 20;
/// Calls that may wait for the thread.
const RING_CALLS: usize = 4_096;

/// The verb of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallMethod {
    /// Reads.
    Get,
    /// Changes.
    Post,
    /// Removes.
    Delete,
}

/// One HTTP call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutCall {
    /// Whom.
    pub address: SocketAddr,
    /// The verb.
    pub method: CallMethod,
    /// Path and query.
    pub path: Box<str>,
    /// Headers besides those of the body.
    pub headers: Vec<(&'static str, Box<str>)>,
    /// A JSON body.
    pub body: Option<Box<[u8]>>,
    /// Longest time until the whole answer is there.
    pub timeout: Duration,
}

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Bytes,
}

/// Why there is no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallFault {
    /// No connection stood: the call was surely not carried out.
    NotSent(Box<str>),
    /// It may have been or may still be carried out.
    NoAnswer(Box<str>),
}

type Done = Box<dyn FnOnce(Result<OutAnswer, CallFault>) + Send>;

/// Hands calls to the thread that makes them.
#[derive(Clone)]
pub struct CallRing {
    ring: mpsc::Sender<(OutCall, Done)>,
}

impl CallRing {
    /// Makes a call; `done` runs on the calling thread and must not block.
    pub fn send(
        &self,
        call: OutCall,
        done: impl FnOnce(Result<OutAnswer, CallFault>) + Send + 'static,
    ) {
        if let Err(refused) = self.ring.try_send((call, Box::new(done))) {
            let (_, done) = refused.into_inner();
            done(Err(CallFault::NotSent("too many calls wait".into())));
        }
    }
}

/// The duty of the calling thread: it ends when every [`CallRing`] is gone.
/// `every` runs each `period`.
///
/// # Errors
///
/// The reason why no runtime can be started.
pub fn run_calls(
    period: Duration,
    every: impl FnMut(),
    started: impl FnOnce(CallRing),
) -> Result<(), Box<str>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| error.to_string())?;
    let (ring, calls) = mpsc::channel(RING_CALLS);
    started(CallRing { ring });
    runtime.block_on(serve_calls(period, every, calls));
    Ok(())
}

async fn serve_calls(
    period: Duration,
    mut every: impl FnMut(),
    mut calls: mpsc::Receiver<(OutCall, Done)>,
) {
    let client = client();
    let mut ticks = tokio::time::interval(period);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            call = calls.recv() => match call {
                Some((call, done)) => {
                    let answer = make_call(client.clone(), call);
                    tokio::spawn(async move { done(answer.await) });
                }
                None => return,
            },
            _ = ticks.tick() => every(),
        }
    }
}

fn client() -> Client<HttpConnector, Full<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_tcp_user_timeout(Some(SILENCE_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_idle_timeout(IDLE_KEPT)
        .pool_max_idle_per_host(IDLE_PER_ADDRESS)
        .build(connector)
}

async fn make_call(
    client: Client<HttpConnector, Full<Bytes>>,
    call: OutCall,
) -> Result<OutAnswer, CallFault> {
    let timeout = call.timeout;
    match tokio::time::timeout(timeout, exchange(client, call)).await {
        Ok(answer) => answer,
        Err(_) => Err(CallFault::NoAnswer(format!("no answer within {timeout:?}").into())),
    }
}

async fn exchange(
    client: Client<HttpConnector, Full<Bytes>>,
    call: OutCall,
) -> Result<OutAnswer, CallFault> {
    let not_sent = |error: &dyn std::error::Error| CallFault::NotSent(chain_of(error));
    let request = request_of(call).map_err(|error| not_sent(&error))?;
    let answer = client.request(request).await.map_err(|error| {
        if error.is_connect() { not_sent(&error) } else { CallFault::NoAnswer(chain_of(&error)) }
    })?;
    let status = answer.status().as_u16();
    let body = Limited::new(answer.into_body(), MOST_ANSWER_BYTES).collect().await;
    let body = body.map_err(|error| CallFault::NoAnswer(chain_of(&*error)))?;
    Ok(OutAnswer { status, body: body.to_bytes() })
}

fn request_of(call: OutCall) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let method = match call.method {
        CallMethod::Get => Method::GET,
        CallMethod::Post => Method::POST,
        CallMethod::Delete => Method::DELETE,
    };
    let uri = format!("http://{}{}", call.address, call.path);
    let mut request = Request::builder().method(method).uri(uri);
    for (name, value) in &call.headers {
        request = request.header(*name, &**value);
    }
    let body = match call.body {
        Some(body) => {
            request = request.header("Content-Type", "application/json");
            Bytes::from(body.into_vec())
        }
        None => Bytes::new(),
    };
    request.body(Full::new(body))
}

fn chain_of(error: &dyn std::error::Error) -> Box<str> {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text.push_str(": ");
        text.push_str(&error.to_string());
        cause = error.source();
    }
    text.into()
}
