//! A relay of the same two libraries that decides nothing: the least that a
//! request through any daemon can cost.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::Result;
use protocol::HEADER_REQUEST;
use tiny_http::Request;
use transport::{HttpRequest, read_body, send_http};

use crate::serve::{answer, answer_json, serve};

/// Runs the relay.
///
/// # Errors
///
/// The reason why it cannot start.
pub fn run_relay(listen: SocketAddr, minion: &str) -> Result<()> {
    let minion = minion.to_owned();
    serve(listen, move |request| relay(request, &minion))
}

fn relay(mut request: Request, minion: &str) {
    let body = read_body(&mut request).unwrap_or_default();
    let answered = send_http(&HttpRequest {
        method: request.method().as_str(),
        address: minion,
        path: request.url(),
        headers: &[(HEADER_REQUEST, "relay")],
        body: &body,
        timeout: Duration::from_secs(10),
    });
    match answered {
        Ok(found) => {
            answer(request, found.status, &[("Content-Type", &found.content_type)], found.body);
        }
        Err(error) => answer_json(request, 502, &error.to_string()),
    }
}
