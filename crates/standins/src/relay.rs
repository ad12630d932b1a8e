//! A relay with the daemon's HTTP server and client libraries that makes no
//! decision. Its latency is the lower bound for a request through any daemon.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::Result;
use protocol::HEADER_REQUEST;
use tiny_http::Request;
use transport::{HttpRequest, send_http};

use crate::http_server::read_body;
use crate::serve::{send_json, send_response, serve_requests};

/// Runs a relay that forwards every request to the minion at the IP address and
/// port in `minion`, until the process is ended.
///
/// # Errors
///
/// Fails if the address cannot be listened on, or if a server thread panics.
pub fn run_relay(listen: SocketAddr, minion: &str) -> Result<()> {
    let minion = minion.to_owned();
    serve_requests(listen, move |request| relay_request(request, &minion))
}

fn relay_request(mut request: Request, minion: &str) {
    let body = read_body(&mut request).unwrap_or_default();
    let result = send_http(&HttpRequest {
        method: request.method().as_str(),
        address: minion,
        path: request.url(),
        headers: &[(HEADER_REQUEST, "relay")],
        body: &body,
        timeout: Duration::from_secs(10),
    });
    match result {
        Ok(response) => {
            send_response(
                request,
                response.status,
                &[("Content-Type", &response.content_type)],
                response.body,
            );
        }
        Err(error) => send_json(request, 502, &error.to_string()),
    }
}
