//! Sockets: HTTP towards callers, backend servers, workers and the platform,
//! and WebSocket links between daemons.
//!
//! Nothing here decides anything. Each function carries one message and says
//! exactly what is known of its fate: that nothing was sent, that a whole answer
//! came, or that neither is certain. The adapters to the platform and to
//! workers are [`platform`] and [`worker`], and nothing else.

mod caller;
mod http;
mod peer;
mod platform;
mod server;
mod worker;

pub use caller::{CallFault, CallMethod, CallRing, OutAnswer, OutCall, run_calls};
pub use http::{HttpAnswer, HttpCall, HttpFailure, send_http};
pub use peer::{PeerLink, PeerSettings, start_peer_link};
pub use platform::call_platform;
pub use server::{BodyFault, HttpServer, read_body};
pub use worker::call_worker;
