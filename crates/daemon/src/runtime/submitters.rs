//! Receives submitters' requests and answers them in the platform's protocol.
//!
//! Reader threads decode each request, register it with the [`FleetHost`] and post it as an
//! event. The answer is written by the thread that steps the state machine to a reply.

use std::sync::Arc;

use eyre::{Context, Result, eyre};
use fleet::{ClientAnswer, DecisionLine, Event, ReplyToken};
use platform::{ClientHead, PlatformSettings};
use state::ClientAddress;
use transport::{HttpServer, IncomingRequest, OutgoingResponse, Refusal};

use super::decision_log::shorten_text;
use super::host::FleetHost;

/// Number of threads that decode requests and post them as events. They get complete requests,
/// so that no client occupies one of them.
const READER_THREAD_COUNT: usize = 3;
/// Delay in seconds after which a client that found the server full should try again.
const REFUSAL_RETRY_S: u64 = 1;

/// Starts the reader threads on the submitters' address.
///
/// # Errors
///
/// Returns the reason why the address cannot be bound or a thread cannot be started.
pub fn start(settings: &PlatformSettings, host: &Arc<FleetHost>) -> Result<()> {
    let name = ClientAddress::Requests;
    let limits = settings.client_limits.of(name);
    let server = HttpServer::listen(settings.submitter_address, name, limits, build_refusal)
        .map_err(|reason| eyre!("{reason}"))?;
    host.metrics.add_client_counters(server.counters());
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

fn handle_request(host: &Arc<FleetHost>, request: IncomingRequest) {
    let head = build_head(&request);
    let token = host.allocate_token();
    let call = platform::decode_client_call(token, &head, request.body());
    host.register_request(token, request, write_answer);
    match call {
        Ok(call) => host.post(Event::Client(call)),
        Err(answer) => reject_request(host, token, &head, &answer),
    }
}

fn reject_request(host: &FleetHost, token: ReplyToken, head: &ClientHead, answer: &ClientAnswer) {
    log_refusal(host, &head.url, format!("{answer:?}"));
    host.send_answer(token, answer);
}

/// Logs that a request cannot be decoded. The line counts as a decision, so that the log's limits
/// hold for it.
pub fn log_refusal(host: &FleetHost, url: &str, fault: String) {
    let (id, inputs) = (url.into(), shorten_text(fault.into()));
    host.log(DecisionLine { decision: "request", id, inputs, outcome: "refused".into() });
}

fn build_head(request: &IncomingRequest) -> ClientHead {
    let headers = request.headers().map(|(name, value)| (name.into(), value.into()));
    ClientHead {
        method: request.method().into(),
        url: request.url().into(),
        headers: headers.collect(),
    }
}

fn write_answer(request: IncomingRequest, answer: &ClientAnswer) {
    let reply = platform::encode_client_answer(answer);
    write_response(request, reply.status, reply.body.into(), reply.retry_after_s);
}

/// Writes a JSON response.
pub fn write_response(
    request: IncomingRequest,
    status: u16,
    body: String,
    retry_after_s: Option<u64>,
) {
    request.respond(build_response(status, body, retry_after_s));
}

/// Builds the response to a request that the server has refused, so that it has not run.
pub fn build_refusal(refusal: Refusal) -> OutgoingResponse {
    let reply = platform::encode_client_answer(&ClientAnswer::Malformed(refusal.reason.into()));
    let retry_after_s = (refusal.status == 503).then_some(REFUSAL_RETRY_S);
    build_response(refusal.status, reply.body.into(), retry_after_s)
}

fn build_response(status: u16, body: String, retry_after_s: Option<u64>) -> OutgoingResponse {
    let response =
        OutgoingResponse::new(status, body).with_header("Content-Type", "application/json");
    match retry_after_s {
        Some(seconds) => response.with_header("Retry-After", &seconds.to_string()),
        None => response,
    }
}
