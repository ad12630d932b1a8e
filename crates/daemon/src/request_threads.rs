//! Starts the request threads, which serve the requests of callers, operators and submitters.
//!
//! Each thread serves one request at a time: it parses the request, posts it as an event
//! and follows the replies of the state machine. A thread has its own channel for replies,
//! and the thread's number is the request's reply token.

use std::sync::{Arc, Mutex, PoisonError};
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
use transport::{
    HttpError, HttpRequest, HttpResponse, HttpServer, IncomingRequest, OutgoingResponse,
    Refusal as ServerRefusal, send_http,
};

use crate::channels::{ChannelReceivers, RequestReply};
use crate::core_host::CoreHost;
use crate::line_budget::LineBudget;

/// Stack size of a request thread, in bytes.
const THREAD_STACK_BYTES: usize = 256 << 10;
/// Maximum body length of an answer that is stored for a repeated request, in bytes.
const MAX_STORED_ANSWER_BYTES: usize = 1_024;
/// Maximum number of log lines about refused requests.
const MAX_REFUSAL_LINES_PER_SECOND: u32 = 100;
/// Delay after which a caller that found the server full should try again.
const FULL_RETRY_DELAY: Millis = Millis(1_000);
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
    fn handle_request(&self, request: IncomingRequest) {
        let url = request.url().to_owned();
        if let Some(request_target) = url.strip_prefix(CALL_PREFIX) {
            self.handle_call(request, request_target);
        } else if let Some(request_target) = url.strip_prefix(CONTROL_PREFIX) {
            self.handle_control(request, request_target);
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

    fn handle_call(&self, request: IncomingRequest, request_target: &str) {
        let parsed_call = match parse_call(&request, request_target, self.token) {
            Ok(parsed_call) => parsed_call,
            Err(answer) => return send_daemon_answer(request, answer),
        };
        self.host.post(Event::Call(parsed_call.arrival));
        self.follow_directives(request, &parsed_call.path);
    }

    /// Carries out the directives of the state machine until the caller has an answer.
    fn follow_directives(&self, request: IncomingRequest, path: &str) {
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
                    match send_attempt(&request, &request_id, &address, time_left, path, decided_at)
                    {
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

    fn handle_control(&self, request: IncomingRequest, request_target: &str) {
        let key = match parse_bearer_key(&request) {
            Ok(key) => key,
            Err(answer) => return send_daemon_answer(request, answer),
        };
        let path = request_target.split('?').next().unwrap_or(request_target);
        let control_call =
            decode_control_request(request.method(), path, request.body(), key.clone());
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
        let response = build_response(reply.status, "application/json", &[], text.into_bytes());
        request.respond(response);
    }
}

fn parse_call(
    request: &IncomingRequest,
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
    let method = request.method();
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

fn find_header<'a>(request: &'a IncomingRequest, name: &'static str) -> Option<&'a str> {
    request.header(name)
}

fn parse_bearer_key(request: &IncomingRequest) -> Result<Option<KeyText>, DaemonAnswer> {
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
    request: &IncomingRequest,
    request_id: &RequestId,
    address: &str,
    time_left: Millis,
    path: &str,
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
        method: request.method(),
        address,
        path,
        headers: &headers,
        body: request.body(),
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

fn forward_answer(request: IncomingRequest, request_id: &RequestId, answer: HttpResponse) {
    let headers = [(HEADER_OUTCOME, Outcome::Done.as_str()), (HEADER_REQUEST, request_id.as_str())];
    request.respond(build_response(answer.status, &answer.content_type, &headers, answer.body));
}

fn send_stored_answer(request: IncomingRequest, stored: &StoredAnswer) {
    let headers = [(HEADER_OUTCOME, Outcome::Done.as_str())];
    let body = stored.body.as_bytes().to_vec();
    request.respond(build_response(stored.status, &stored.content_type, &headers, body));
}

fn build_done_body(reason: &str) -> OutcomeBody {
    OutcomeBody { outcome: Outcome::Done, reason: reason.into(), retry_after_ms: None }
}

/// Builds the refusal of an invalid request, which tells the caller that nothing has run.
fn build_refusal(status: u16, reason: &str) -> DaemonAnswer {
    let refusal = Refusal { kind: RefusalKind::Invalid, reason: reason.into(), retry_after: None };
    DaemonAnswer { status, body: OutcomeBody::not_run(&refusal) }
}

/// Builds the response to a request that the server has refused, so that it has not run.
pub fn build_server_refusal(refusal: ServerRefusal) -> OutgoingResponse {
    let mut answer = build_refusal(refusal.status, refusal.reason);
    if refusal.status == 503 {
        answer.body.retry_after_ms = Some(FULL_RETRY_DELAY);
    }
    build_daemon_response(&answer)
}

fn send_daemon_answer(request: IncomingRequest, answer: DaemonAnswer) {
    if answer.status >= 400 && answer.status != 429 {
        log_refusal(&answer);
    }
    request.respond(build_daemon_response(&answer));
}

/// Logs a refusal; its reason may contain the path that the caller has sent.
fn log_refusal(answer: &DaemonAnswer) {
    static BUDGET: Mutex<Option<LineBudget>> = Mutex::new(None);
    let mut budget = BUDGET.lock().unwrap_or_else(PoisonError::into_inner);
    let budget = budget.get_or_insert_with(|| LineBudget::new(MAX_REFUSAL_LINES_PER_SECOND));
    if budget.try_take_line() {
        tracing::info!(status = answer.status, reason = &*answer.body.reason, "refused");
    }
}

fn build_daemon_response(answer: &DaemonAnswer) -> OutgoingResponse {
    let mut headers = vec![(HEADER_OUTCOME, answer.body.outcome.as_str())];
    let retry_after_s = answer.body.retry_after_ms.map(|delay| delay.0.div_ceil(1_000).to_string());
    if let Some(seconds) = &retry_after_s {
        headers.push(("Retry-After", seconds));
    }
    let text = serde_json::to_vec(&answer.body).expect("an outcome is valid JSON");
    build_response(answer.status, "application/json", &headers, text)
}

fn build_response(
    status: u16,
    content_type: &str,
    headers: &[(&str, &str)],
    body: Vec<u8>,
) -> OutgoingResponse {
    let content_type = ("Content-Type", content_type);
    let headers = headers.iter().chain([&content_type]);
    headers.fold(OutgoingResponse::new(status, body), |response, (name, value)| {
        response.with_header(name, value)
    })
}
