//! A small threaded HTTP server for stand-ins.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use eyre::{Result, eyre};
use serde::Serialize;
use tiny_http::{Header, Request, Response};
use transport::HttpServer;

/// Requests that a stand-in serves at one time.
const THREADS: usize = 96;

/// Serves until the process is ended.
pub(crate) fn serve(
    listen: SocketAddr,
    handle: impl Fn(Request) + Send + Sync + 'static,
) -> Result<()> {
    let server = Arc::new(HttpServer::listen(listen).map_err(|reason| eyre!("{reason}"))?);
    let handle = Arc::new(handle);
    let threads: Vec<_> = (0..THREADS)
        .map(|_| {
            let (server, handle) = (Arc::clone(&server), Arc::clone(&handle));
            thread::spawn(move || {
                while let Some(request) = server.receive() {
                    handle(request);
                }
            })
        })
        .collect();
    for thread in threads {
        thread.join().map_err(|_| eyre!("a thread of the stand-in ended early"))?;
    }
    Ok(())
}

pub(crate) fn answer_json(request: Request, status: u16, body: &impl Serialize) {
    let text = serde_json::to_vec(body).expect("a stand-in's answer is JSON");
    answer(request, status, &[("Content-Type", "application/json")], text);
}

pub(crate) fn answer(request: Request, status: u16, headers: &[(&str, &str)], body: Vec<u8>) {
    let mut response =
        Response::from_data(body).with_status_code(status).with_chunked_threshold(usize::MAX);
    for (name, value) in headers {
        if let Ok(header) = Header::from_bytes(name.as_bytes(), value.as_bytes()) {
            response.add_header(header);
        }
    }
    let _ = request.respond(response);
}

pub(crate) fn header(request: &Request, name: &'static str) -> Option<String> {
    let found = request.headers().iter().find(|header| header.field.equiv(name));
    found.map(|header| header.value.as_str().to_owned())
}

/// The value of `name` in the query of a URL.
pub(crate) fn query(url: &str, name: &str) -> Option<u64> {
    let (_, query) = url.split_once('?')?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut values = pairs.filter(|(key, _)| *key == name).map(|(_, value)| value);
    values.next()?.parse().ok()
}
