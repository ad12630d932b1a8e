//! HTTP server of the stand-ins, with a fixed number of threads, and helpers to
//! read requests and send responses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use eyre::{Result, eyre};
use serde::Serialize;
use tiny_http::{Header, Request, Response};

use crate::http_server::HttpServer;

/// Maximum number of requests that a stand-in handles concurrently.
const SERVER_THREADS: usize = 96;

/// Calls `handle_request` for each request, on one of [`SERVER_THREADS`]
/// threads, until the process is ended.
pub(crate) fn serve_requests(
    listen: SocketAddr,
    handle_request: impl Fn(Request) + Send + Sync + 'static,
) -> Result<()> {
    let server = Arc::new(HttpServer::listen(listen).map_err(|reason| eyre!("{reason}"))?);
    let handle_request = Arc::new(handle_request);
    let threads: Vec<_> = (0..SERVER_THREADS)
        .map(|_| {
            let (server, handle_request) = (Arc::clone(&server), Arc::clone(&handle_request));
            thread::spawn(move || {
                while let Some(request) = server.receive() {
                    handle_request(request);
                }
            })
        })
        .collect();
    for thread in threads {
        thread.join().map_err(|_| eyre!("a server thread of the stand-in panicked"))?;
    }
    Ok(())
}

pub(crate) fn send_json(request: Request, status: u16, body: &impl Serialize) {
    let json = serde_json::to_vec(body).expect("the body of a response serialises to JSON");
    send_response(request, status, &[("Content-Type", "application/json")], json);
}

/// Sends a response with a `Content-Length`, never chunked. Headers that are
/// not valid in HTTP are left out, and a failed write is ignored.
pub(crate) fn send_response(
    request: Request,
    status: u16,
    headers: &[(&str, &str)],
    body: Vec<u8>,
) {
    let mut response =
        Response::from_data(body).with_status_code(status).with_chunked_threshold(usize::MAX);
    for (name, value) in headers {
        if let Ok(header) = Header::from_bytes(name.as_bytes(), value.as_bytes()) {
            response.add_header(header);
        }
    }
    let _ = request.respond(response);
}

/// Returns the value of the first header with this name, in any letter case.
pub(crate) fn find_header(request: &Request, name: &'static str) -> Option<String> {
    let header = request.headers().iter().find(|header| header.field.equiv(name));
    header.map(|header| header.value.as_str().to_owned())
}

/// Returns the number that the query of `url` has for the parameter `name`.
pub(crate) fn query_number(url: &str, name: &str) -> Option<u64> {
    let (_, query) = url.split_once('?')?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut values = pairs.filter(|(key, _)| *key == name).map(|(_, value)| value);
    values.next()?.parse().ok()
}
