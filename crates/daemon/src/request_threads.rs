//! Starts the request threads, which serve the requests of callers, operators and submitters.
//!
//! Each thread serves one request at a time: it parses the request, posts it as an event
//! and follows the replies of the state machine. A thread has its own channel for replies,
//! and the thread's number is the request's reply token.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use coordination::timing::MAX_DECISION_AGE;
use coordination::{
    AttemptOutcome, CallArrival, CallDirective, Event, Refusal, RefusalKind, ReplyToken,
};
use crossbeam::channel::Receiver;
use eyre::{Context, Result};
use protocol::{
    HEADER_DEADLINE, HEADER_IDEMPOTENCY, HEADER_OUTCOME, HEADER_REQUEST, Outcome, OutcomeBody,
    decode_control_request, encode_control_answer, encode_outcome,
};
use state::{
    DaemonSettings, IdempotencyKey, KeyText, Millis, OperatorKey, PoolId, RequestId, StoredAnswer,
};
use tiny_http::{Header, Request, Response};
use transport::{HttpError, HttpRequest, HttpResponse, HttpServer, read_body, send_http};

use crate::channels::{ChannelReceivers, RequestReply};
use crate::core_host::CoreHost;

/// Stack size of a request thread, in bytes.
const THREAD_STACK_BYTES: usize = 256 << 10;
/// Maximum body length of an answer that is stored for a repeated request, in bytes.
const MAX_STORED_ANSWER_BYTES: usize = 1_024;
const CALL_PREFIX: &str = "/call/";
const CONTROL_PREFIX: &str = "/control/";

/// Context of one request thread.
struct RequestThread {
    token: ReplyToken,
    host: Arc<CoreHost>,
    replies: Receiver<RequestReply>,
    operator_key: OperatorKey,
}

/// Parsed request of a caller.
struct ParsedCall {
    arrival: CallArrival,
    /// Path and query on the minion, with a leading slash.
    path: String,
}

/// Answer of the daemon itself, without an answer of a minion.
struct DaemonAnswer {
    status: u16,
    body: OutcomeBody,
}

/// Starts one request thread for each reply channel.
///
/// # Errors
///
/// Returns the reason why a thread cannot be started.
pub fn start(
    settings: &DaemonSettings,
    server: &Arc<HttpServer>,
    host: &Arc<CoreHost>,
    receivers: &ChannelReceivers,
) -> Result<()> {
    for (number, replies) in receivers.replies.iter().enumerate() {
        let request_thread = RequestThread {
            token: ReplyToken(number as u64),
            host: Arc::clone(host),
            replies: replies.clone(),
            operator_key: settings.operator_key.clone(),
        };
        let server = Arc::clone(server);
        let run_thread = move || {
            while let Some(request) = server.receive() {
                request_thread.handle_request(request);
            }
        };
        let builder = thread::Builder::new().name(format!("request-{number}"));
        builder
            .stack_size(THREAD_STACK_BYTES)
            .spawn(run_thread)
            .wrap_err("cannot start a request thread")?;
    }
    Ok(())
}

impl RequestThread {
    fn handle_request(&self, mut request: Request) {
        let body = match read_body(&mut request) {
            Ok(body) => body,
            Err(fault) => {
                return send_daemon_answer(
                    request,
                    build_refusal(fault.status(), &fault.to_string()),
                );
            }
        };
        let url = request.url().to_owned();
        if let Some(request_target) = url.strip_prefix(CALL_PREFIX) {
            self.handle_call(request, request_target, &body);
        } else if let Some(request_target) = url.strip_prefix(CONTROL_PREFIX) {
            self.handle_control(request, request_target, &body);
        } else if url == "/health" {
            send_daemon_answer(
                request,
                DaemonAnswer { status: 200, body: build_done_body("alive") },
            );
        } else {
            let reason = format!("there is no path {url}; requests go to /call/<pool>/<path>");
            send_daemon_answer(request, build_refusal(404, &reason));
        }
    }

    fn handle_call(&self, request: Request, request_target: &str, body: &[u8]) {
        let parsed_call = match parse_call(&request, request_target, self.token) {
            Ok(parsed_call) => parsed_call,
            Err(answer) => return send_daemon_answer(request, answer),
        };
        self.host.post(Event::Call(parsed_call.arrival));
        self.follow_directives(request, &parsed_call.path, body);
    }

    /// Carries out the directives of the state machine until the caller has an answer.
    fn follow_directives(&self, request: Request, path: &str, body: &[u8]) {
        loop {
            let Ok(RequestReply::Directive(directive)) = self.replies.recv() else {
                let unknown_outcome = OutcomeBody {
                    outcome: Outcome::Unknown,
                    reason: "this daemon is stopping".into(),
                    retry_after_ms: None,
                };
                return send_daemon_answer(
                    request,
                    DaemonAnswer { status: 502, body: unknown_outcome },
                );
            };
            match directive {
                CallDirective::Send {
                    request: request_id, address, remaining: time_left, ..
                } => {
                    let decided_at = Instant::now();
                    match send_attempt(
                        &request,
                        &request_id,
                        &address,
                        time_left,
                        path,
                        body,
                        decided_at,
                    ) {
                        Ok(answer) => {
                            let attempt_outcome = build_answered_outcome(&answer);
                            forward_answer(request, &request_id, answer);
                            return self.report_attempt(attempt_outcome);
                        }
                        Err(attempt_outcome) => self.report_attempt(attempt_outcome),
                    }
                }
                CallDirective::Replay(stored) => return send_stored_answer(request, &stored),
                directive => {
                    let (status, body) = encode_outcome(&directive);
                    return send_daemon_answer(request, DaemonAnswer { status, body });
                }
            }
        }
    }

    /// Posts the outcome of an attempt, so that the state machine retries or ends the call.
    fn report_attempt(&self, attempt_outcome: AttemptOutcome) {
        self.host.post(Event::CallEnded { token: self.token, outcome: attempt_outcome });
    }

    fn handle_control(&self, request: Request, request_target: &str, body: &[u8]) {
        let key = match parse_bearer_key(&request) {
            Ok(key) => key,
            Err(answer) => return send_daemon_answer(request, answer),
        };
        let path = request_target.split('?').next().unwrap_or(request_target);
        let control_call =
            decode_control_request(request.method().as_str(), path, body, key.clone());
        let control_call = match control_call {
            Ok(control_call) => control_call,
            Err(error) => {
                return send_daemon_answer(
                    request,
                    build_refusal(error.status(), &error.to_string()),
                );
            }
        };
        let is_operator = key.is_some_and(|key| self.operator_key.matches(&key));
        if !control_call.needs_team_key() && !is_operator {
            let reason = "the operators' key is needed, and the key shown is not it";
            return send_daemon_answer(request, build_refusal(401, reason));
        }
        self.host.post(Event::Control { token: self.token, request: control_call });
        let Ok(RequestReply::Control(answer)) = self.replies.recv() else { return };
        let reply = encode_control_answer(&answer);
        let text = format!("{}\n", reply.body);
        send_response(request, reply.status, "application/json", &[], text.into_bytes());
    }
}

fn parse_call(
    request: &Request,
    request_target: &str,
    token: ReplyToken,
) -> Result<ParsedCall, DaemonAnswer> {
    let (pool, path) = request_target.split_once('/').unwrap_or((request_target, ""));
    let pool: PoolId =
        pool.parse().map_err(|error| build_refusal(400, &format!("the pool's name: {error}")))?;
    let deadline = find_header(request, HEADER_DEADLINE).map(|text| text.parse::<Millis>());
    let deadline = deadline.transpose().map_err(|_| {
        build_refusal(400, &format!("{HEADER_DEADLINE} must be a whole number of milliseconds"))
    })?;
    let idempotency_key = find_header(request, HEADER_IDEMPOTENCY).map(|text| text.parse());
    let idempotency_key: Option<IdempotencyKey> = idempotency_key
        .transpose()
        .map_err(|error| build_refusal(400, &format!("{HEADER_IDEMPOTENCY}: {error}")))?;
    let method = request.method().as_str();
    let arrival = CallArrival {
        token,
        key: parse_bearer_key(request)?,
        pool,
        idempotent: matches!(method, "GET" | "HEAD" | "OPTIONS" | "PUT" | "DELETE"),
        idempotency_key,
        deadline,
    };
    Ok(ParsedCall { arrival, path: format!("/{path}") })
}

fn find_header<'a>(request: &'a Request, name: &'static str) -> Option<&'a str> {
    let matching_header = request.headers().iter().find(|header| header.field.equiv(name));
    matching_header.map(|header| header.value.as_str())
}

fn parse_bearer_key(request: &Request) -> Result<Option<KeyText>, DaemonAnswer> {
    let Some(value) = find_header(request, "Authorization") else { return Ok(None) };
    let text = value.strip_prefix("Bearer ");
    let text = text.ok_or_else(|| build_refusal(401, "Authorization must be \"Bearer <key>\""))?;
    let key =
        text.parse().map_err(|error| build_refusal(401, &format!("Authorization: {error}")))?;
    Ok(Some(key))
}

/// Sends the request once to the minion at `address`.
///
/// Returns [`AttemptOutcome::Stale`] without sending when the decision is older than
/// [`MAX_DECISION_AGE`], because the process may have been suspended since; the state machine
/// then decides again.
fn send_attempt(
    request: &Request,
    request_id: &RequestId,
    address: &str,
    time_left: Millis,
    path: &str,
    body: &[u8],
    decided_at: Instant,
) -> Result<HttpResponse, AttemptOutcome> {
    let time_left_text = time_left.0.to_string();
    let content_type = find_header(request, "Content-Type").unwrap_or("application/octet-stream");
    let headers = [
        (HEADER_REQUEST, request_id.as_str()),
        (HEADER_DEADLINE, &time_left_text),
        ("Content-Type", content_type),
    ];
    if decided_at.elapsed() >= Duration::from_millis(MAX_DECISION_AGE.0) {
        return Err(AttemptOutcome::Stale);
    }
    let answer = send_http(&HttpRequest {
        method: request.method().as_str(),
        address,
        path,
        headers: &headers,
        body,
        timeout: Duration::from_millis(time_left.0.max(1)),
    });
    match answer {
        Ok(answer) => check_request_id(answer, request_id),
        Err(HttpError::NotSent(reason)) => Err(AttemptOutcome::NotSent { reason }),
        Err(HttpError::NoResponse(reason)) => Err(AttemptOutcome::Broken { reason }),
    }
}

/// Rejects an answer that names another request.
fn check_request_id(
    answer: HttpResponse,
    request_id: &RequestId,
) -> Result<HttpResponse, AttemptOutcome> {
    match answer.header(HEADER_REQUEST) {
        Some(answered_id) if answered_id != request_id.as_str() => {
            let reason = format!("the answer is to request {answered_id}").into();
            Err(AttemptOutcome::Broken { reason })
        }
        _ => Ok(answer),
    }
}

/// Builds the outcome of an answered attempt. The answer is stored only when its body is UTF-8
/// text of at most [`MAX_STORED_ANSWER_BYTES`].
fn build_answered_outcome(answer: &HttpResponse) -> AttemptOutcome {
    let text = std::str::from_utf8(&answer.body).ok();
    let text = text.filter(|text| text.len() <= MAX_STORED_ANSWER_BYTES);
    let stored_answer = text.map(|text| StoredAnswer {
        status: answer.status,
        content_type: answer.content_type.clone(),
        body: text.into(),
    });
    AttemptOutcome::Answered { status: answer.status, stored_answer }
}

fn forward_answer(request: Request, request_id: &RequestId, answer: HttpResponse) {
    let headers = [(HEADER_OUTCOME, Outcome::Done.as_str()), (HEADER_REQUEST, request_id.as_str())];
    send_response(request, answer.status, &answer.content_type, &headers, answer.body);
}

fn send_stored_answer(request: Request, stored: &StoredAnswer) {
    let headers = [(HEADER_OUTCOME, Outcome::Done.as_str())];
    let body = stored.body.as_bytes().to_vec();
    send_response(request, stored.status, &stored.content_type, &headers, body);
}

fn build_done_body(reason: &str) -> OutcomeBody {
    OutcomeBody { outcome: Outcome::Done, reason: reason.into(), retry_after_ms: None }
}

/// Builds the refusal of an invalid request, which tells the caller that nothing has run.
fn build_refusal(status: u16, reason: &str) -> DaemonAnswer {
    let refusal = Refusal { kind: RefusalKind::Invalid, reason: reason.into(), retry_after: None };
    DaemonAnswer { status, body: OutcomeBody::not_run(&refusal) }
}

fn send_daemon_answer(request: Request, answer: DaemonAnswer) {
    let mut headers = vec![(HEADER_OUTCOME, answer.body.outcome.as_str())];
    let retry_after_s = answer.body.retry_after_ms.map(|delay| delay.0.div_ceil(1_000).to_string());
    if let Some(seconds) = &retry_after_s {
        headers.push(("Retry-After", seconds));
    }
    if answer.status >= 400 && answer.status != 429 {
        tracing::info!(status = answer.status, reason = &*answer.body.reason, "refused");
    }
    let text = serde_json::to_vec(&answer.body).expect("an outcome is valid JSON");
    send_response(request, answer.status, "application/json", &headers, text);
}

fn send_response(
    request: Request,
    status: u16,
    content_type: &str,
    headers: &[(&str, &str)],
    body: Vec<u8>,
) {
    let mut response =
        Response::from_data(body).with_status_code(status).with_chunked_threshold(usize::MAX);
    let content_type = ("Content-Type", content_type);
    for (name, value) in headers.iter().chain([&content_type]) {
        if let Ok(header) = Header::from_bytes(name.as_bytes(), value.as_bytes()) {
            response.add_header(header);
        }
    }
    if let Err(error) = request.respond(response) {
        tracing::debug!(%error, "answer not sent: the caller closed the connection");
    }
}
