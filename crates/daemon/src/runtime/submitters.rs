//! Receives submitters' requests and answers them in the platform's protocol.
//!
//! Reader threads decode each request, register it with the [`FleetHost`] and post it as an
//! event. The answer is written by the thread that steps the state machine to a reply.

use std::sync::Arc;

use eyre::{Context, Result, eyre};
use fleet::{ClientAnswer, Event, ReplyToken};
use platform::{ClientHead, PlatformSettings};
use tiny_http::{Header, Request, Response};
use transport::{HttpServer, read_body};

use super::host::FleetHost;

/// Number of threads that read requests; a request whose body arrives slowly occupies one
/// thread.
const READER_THREAD_COUNT: usize = 3;

/// Starts the reader threads on the submitters' address.
///
/// # Errors
///
/// Returns the reason why the address cannot be bound or a thread cannot be started.
pub fn start(settings: &PlatformSettings, host: &Arc<FleetHost>) -> Result<()> {
    let server =
        HttpServer::listen(settings.submitter_address).map_err(|reason| eyre!("{reason}"))?;
    let server = Arc::new(server);
    for _ in 0..READER_THREAD_COUNT {
        let (server, host) = (Arc::clone(&server), Arc::clone(host));
        let builder = std::thread::Builder::new().name("reader".into());
        builder
            .spawn(move || {
                while let Some(request) = server.receive() {
                    handle_request(&host, request);
                }
            })
            .wrap_err("cannot start a reader thread")?;
    }
    Ok(())
}

fn handle_request(host: &Arc<FleetHost>, mut request: Request) {
    let body = match read_body(&mut request) {
        Ok(body) => body,
        Err(fault) => {
            tracing::warn!(url = request.url(), %fault, "request refused");
            return write_answer(request, &ClientAnswer::Malformed(fault.to_string().into()));
        }
    };
    let head = build_head(&request);
    let token = host.allocate_token();
    host.register_request(token, request, write_answer);
    match platform::decode_client_call(token, &head, &body) {
        Ok(call) => host.post(Event::Client(call)),
        Err(answer) => reject_request(host, token, &head, &answer),
    }
}

fn reject_request(host: &FleetHost, token: ReplyToken, head: &ClientHead, answer: &ClientAnswer) {
    tracing::warn!(url = &*head.url, answer = ?answer, "request refused");
    host.send_answer(token, answer);
}

fn build_head(request: &Request) -> ClientHead {
    let headers = request
        .headers()
        .iter()
        .map(|header| (header.field.as_str().as_str().into(), header.value.as_str().into()));
    ClientHead {
        method: request.method().as_str().into(),
        url: request.url().into(),
        headers: headers.collect(),
    }
}

fn write_answer(request: Request, answer: &ClientAnswer) {
    let reply = platform::encode_client_answer(answer);
    write_response(request, reply.status, reply.body.into(), reply.retry_after_s);
}

/// Writes a JSON response. A connection that the caller has closed is only logged.
pub fn write_response(request: Request, status: u16, body: String, retry_after_s: Option<u64>) {
    let mut response = Response::from_string(body)
        .with_status_code(status)
        .with_header(build_header("Content-Type", "application/json"));
    if let Some(seconds) = retry_after_s {
        response = response.with_header(build_header("Retry-After", &seconds.to_string()));
    }
    if let Err(error) = request.respond(response) {
        tracing::debug!(%error, "answer not sent: the caller closed the connection");
    }
}

fn build_header(name: &str, value: &str) -> Header {
    Header::from_bytes(name, value).expect("header names and values are ASCII")
}
