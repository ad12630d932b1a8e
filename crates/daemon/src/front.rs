//! Threads that carry callers' and operators' requests.
//!
//! Each thread has one request at a time and a ring of its own for replies; its
//! number is the request's token.

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
    control_reply, control_request, outcome_of,
};
use state::{
    DaemonSettings, IdempotencyKey, KeyText, Millis, OperatorKey, PoolId, RequestId, StoredAnswer,
};
use tiny_http::{Header, Request, Response};
use transport::{HttpError, HttpRequest, HttpResponse, HttpServer, read_body, send_http};

use crate::machine::Machine;
use crate::ring::{ChannelReceivers, Reply};

/// Stack of a request thread, in bytes.
const STACK_BYTES: usize = 256 << 10;
/// Largest answer that is kept for a repeat, in bytes.
const MOST_KEPT_BYTES: usize = 1_024;
const CALL_PREFIX: &str = "/call/";
const CONTROL_PREFIX: &str = "/control/";

struct Carrier {
    token: ReplyToken,
    machine: Arc<Machine>,
    replies: Receiver<Reply>,
    operator_key: OperatorKey,
}

/// What a caller's request asks for.
struct CallPlan {
    arrival: CallArrival,
    path: String,
}

/// An answer to a caller without one from a minion.
struct PlainAnswer {
    status: u16,
    body: OutcomeBody,
}

/// Starts all request threads.
pub fn start(
    settings: &DaemonSettings,
    server: &Arc<HttpServer>,
    machine: &Arc<Machine>,
    outlets: &ChannelReceivers,
) -> Result<()> {
    for (number, replies) in outlets.replies.iter().enumerate() {
        let carrier = Carrier {
            token: ReplyToken(number as u64),
            machine: Arc::clone(machine),
            replies: replies.clone(),
            operator_key: settings.operator_key.clone(),
        };
        let server = Arc::clone(server);
        let duty = move || {
            while let Some(request) = server.receive() {
                carrier.carry(request);
            }
        };
        let builder = thread::Builder::new().name(format!("request-{number}"));
        builder.stack_size(STACK_BYTES).spawn(duty).wrap_err("cannot start a request thread")?;
    }
    Ok(())
}

impl Carrier {
    fn carry(&self, mut request: Request) {
        let body = match read_body(&mut request) {
            Ok(body) => body,
            Err(fault) => {
                return answer_plain(request, refused(fault.status(), &fault.to_string()));
            }
        };
        let url = request.url().to_owned();
        if let Some(rest) = url.strip_prefix(CALL_PREFIX) {
            self.carry_call(request, rest, &body);
        } else if let Some(rest) = url.strip_prefix(CONTROL_PREFIX) {
            self.carry_control(request, rest, &body);
        } else if url == "/health" {
            answer_plain(request, PlainAnswer { status: 200, body: done("alive") });
        } else {
            let reason = format!("there is no path {url}; requests go to /call/<pool>/<path>");
            answer_plain(request, refused(404, &reason));
        }
    }

    fn carry_call(&self, request: Request, rest: &str, body: &[u8]) {
        let plan = match plan_call(&request, rest, self.token) {
            Ok(plan) => plan,
            Err(answer) => return answer_plain(request, answer),
        };
        self.machine.post(Event::Call(plan.arrival));
        self.follow_verdicts(request, &plan.path, body);
    }

    fn follow_verdicts(&self, request: Request, path: &str, body: &[u8]) {
        loop {
            let Ok(Reply::Directive(directive)) = self.replies.recv() else {
                let lost = OutcomeBody {
                    outcome: Outcome::Unknown,
                    reason: "this daemon is stopping".into(),
                    retry_after_ms: None,
                };
                return answer_plain(request, PlainAnswer { status: 502, body: lost });
            };
            match directive {
                CallDirective::Send { request: id, address, remaining: left, .. } => {
                    let decided = Instant::now();
                    match attempt(&request, &id, &address, left, path, body, decided) {
                        Ok(answer) => {
                            let ending = answered(&answer);
                            hand_on(request, &id, answer);
                            return self.end_attempt(ending);
                        }
                        Err(ending) => self.end_attempt(ending),
                    }
                }
                CallDirective::Replay(kept) => return replay(request, &kept),
                directive => {
                    let (status, body) = outcome_of(&directive);
                    return answer_plain(request, PlainAnswer { status, body });
                }
            }
        }
    }

    fn end_attempt(&self, ending: AttemptOutcome) {
        self.machine.post(Event::CallEnded { token: self.token, outcome: ending });
    }

    fn carry_control(&self, request: Request, rest: &str, body: &[u8]) {
        let key = match bearer(&request) {
            Ok(key) => key,
            Err(answer) => return answer_plain(request, answer),
        };
        let path = rest.split('?').next().unwrap_or(rest);
        let asked = control_request(request.method().as_str(), path, body, key.clone());
        let asked = match asked {
            Ok(asked) => asked,
            Err(error) => {
                return answer_plain(request, refused(error.status(), &error.to_string()));
            }
        };
        let is_operator = key.is_some_and(|key| self.operator_key.matches(&key));
        if !asked.needs_team_key() && !is_operator {
            let reason = "the operators' key is needed, and the key shown is not it";
            return answer_plain(request, refused(401, reason));
        }
        self.machine.post(Event::Control { token: self.token, request: asked });
        let Ok(Reply::Control(answer)) = self.replies.recv() else { return };
        let reply = control_reply(&answer);
        let text = format!("{}\n", reply.body);
        respond(request, reply.status, "application/json", &[], text.into_bytes());
    }
}

fn plan_call(request: &Request, rest: &str, token: ReplyToken) -> Result<CallPlan, PlainAnswer> {
    let (pool, path) = rest.split_once('/').unwrap_or((rest, ""));
    let pool: PoolId =
        pool.parse().map_err(|error| refused(400, &format!("the pool's name: {error}")))?;
    let deadline = header(request, HEADER_DEADLINE).map(|text| text.parse::<Millis>());
    let deadline = deadline.transpose().map_err(|_| {
        refused(400, &format!("{HEADER_DEADLINE} must be a whole number of milliseconds"))
    })?;
    let idempotency_key = header(request, HEADER_IDEMPOTENCY).map(|text| text.parse());
    let idempotency_key: Option<IdempotencyKey> = idempotency_key
        .transpose()
        .map_err(|error| refused(400, &format!("{HEADER_IDEMPOTENCY}: {error}")))?;
    let method = request.method().as_str();
    let arrival = CallArrival {
        token,
        key: bearer(request)?,
        pool,
        idempotent: matches!(method, "GET" | "HEAD" | "OPTIONS" | "PUT" | "DELETE"),
        idempotency_key,
        deadline,
    };
    Ok(CallPlan { arrival, path: format!("/{path}") })
}

fn header<'a>(request: &'a Request, name: &'static str) -> Option<&'a str> {
    let found = request.headers().iter().find(|header| header.field.equiv(name));
    found.map(|header| header.value.as_str())
}

fn bearer(request: &Request) -> Result<Option<KeyText>, PlainAnswer> {
    let Some(value) = header(request, "Authorization") else { return Ok(None) };
    let text = value.strip_prefix("Bearer ");
    let text = text.ok_or_else(|| refused(401, "Authorization must be \"Bearer <key>\""))?;
    let key = text.parse().map_err(|error| refused(401, &format!("Authorization: {error}")))?;
    Ok(Some(key))
}

/// Makes one attempt; an old decision is made anew instead, because the process
/// may have been paused since.
fn attempt(
    request: &Request,
    id: &RequestId,
    address: &str,
    left: Millis,
    path: &str,
    body: &[u8],
    decided: Instant,
) -> Result<HttpResponse, AttemptOutcome> {
    let left_text = left.0.to_string();
    let content_type = header(request, "Content-Type").unwrap_or("application/octet-stream");
    let headers = [
        (HEADER_REQUEST, id.as_str()),
        (HEADER_DEADLINE, &left_text),
        ("Content-Type", content_type),
    ];
    if decided.elapsed() >= Duration::from_millis(MAX_DECISION_AGE.0) {
        return Err(AttemptOutcome::Stale);
    }
    let answer = send_http(&HttpRequest {
        method: request.method().as_str(),
        address,
        path,
        headers: &headers,
        body,
        timeout: Duration::from_millis(left.0.max(1)),
    });
    match answer {
        Ok(answer) => check_answer(answer, id),
        Err(HttpError::NotSent(reason)) => Err(AttemptOutcome::NotSent { reason }),
        Err(HttpError::NoResponse(reason)) => Err(AttemptOutcome::Broken { reason }),
    }
}

/// Hands on only an answer to this very request.
fn check_answer(answer: HttpResponse, id: &RequestId) -> Result<HttpResponse, AttemptOutcome> {
    match answer.header(HEADER_REQUEST) {
        Some(echoed) if echoed != id.as_str() => {
            let reason = format!("the answer is to request {echoed}").into();
            Err(AttemptOutcome::Broken { reason })
        }
        _ => Ok(answer),
    }
}

fn answered(answer: &HttpResponse) -> AttemptOutcome {
    let text = std::str::from_utf8(&answer.body).ok();
    let text = text.filter(|text| text.len() <= MOST_KEPT_BYTES);
    let kept = text.map(|text| StoredAnswer {
        status: answer.status,
        content_type: answer.content_type.clone(),
        body: text.into(),
    });
    AttemptOutcome::Answered { status: answer.status, kept }
}

fn hand_on(request: Request, id: &RequestId, answer: HttpResponse) {
    let headers = [(HEADER_OUTCOME, Outcome::Done.as_str()), (HEADER_REQUEST, id.as_str())];
    respond(request, answer.status, &answer.content_type, &headers, answer.body);
}

fn replay(request: Request, kept: &StoredAnswer) {
    let headers = [(HEADER_OUTCOME, Outcome::Done.as_str())];
    let body = kept.body.as_bytes().to_vec();
    respond(request, kept.status, &kept.content_type, &headers, body);
}

fn done(reason: &str) -> OutcomeBody {
    OutcomeBody { outcome: Outcome::Done, reason: reason.into(), retry_after_ms: None }
}

fn refused(status: u16, reason: &str) -> PlainAnswer {
    let refusal = Refusal { kind: RefusalKind::Invalid, reason: reason.into(), retry_after: None };
    PlainAnswer { status, body: OutcomeBody::not_run(&refusal) }
}

fn answer_plain(request: Request, answer: PlainAnswer) {
    let mut headers = vec![(HEADER_OUTCOME, answer.body.outcome.as_str())];
    let seconds = answer.body.retry_after_ms.map(|span| span.0.div_ceil(1_000).to_string());
    if let Some(seconds) = &seconds {
        headers.push(("Retry-After", seconds));
    }
    if answer.status >= 400 && answer.status != 429 {
        tracing::info!(status = answer.status, reason = &*answer.body.reason, "refused");
    }
    let text = serde_json::to_vec(&answer.body).expect("an outcome is valid JSON");
    respond(request, answer.status, "application/json", &headers, text);
}

fn respond(
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
        tracing::debug!(%error, "the caller has gone");
    }
}
