//! Network transport: an HTTP server, HTTP clients for backend servers, workers
//! and the platform, and WebSocket connections between daemons.
//!
//! The crate makes no scheduling or retry decisions. Each HTTP client function
//! sends one request and reports one of three outcomes: no request byte was sent,
//! a complete response arrived, or the outcome is unknown. Only the modules
//! `platform` and `worker` adapt requests to the interfaces of the platform and
//! of the workers.

mod caller;
mod connections;
mod http;
mod peer;
mod peer_listener;
mod platform;
mod server;
mod timeout;
mod worker;

pub use caller::{CallError, CallMethod, CallRequest, CallResponse, CallSender, run_call_client};
pub use http::{HttpError, HttpRequest, HttpResponse, send_http};
pub use peer::{PeerSender, PeerSettings, start_peer_thread};
pub use platform::call_platform;
pub use server::{
    ClientCause, ClientCounters, HttpServer, IncomingRequest, OutgoingResponse, Refusal,
    RefusalWriter,
};
pub use timeout::{StallMeter, TimedOut, wait_with_timeout};
pub use worker::call_worker;
