//! Accepts jobs, cancels jobs and reports their state, on any daemon.
//!
//! A job is accepted by one commit that creates its specification and its outcome;
//! several jobs share a commit. A commit that may have taken effect is sent again with
//! the same expectations until the caller's timeout: the store then either applies the
//! commit or shows that the records exist. A request is reported as not done only if no
//! commit can have taken effect. The state of a job is answered from the shared
//! records, but a job is reported as missing only after a read from the store.

mod identity;

use std::collections::{BTreeMap, VecDeque};

use jobs::{AcceptedJob, JobOutcome, JobPhase};
use state::{JobId, Millis, Moment, PoolId, QueueId, Revision};

use crate::event::{ClientAction, ClientAnswer, ClientCall, Clock, ReplyToken};
use crate::io::{ItemValue, PutValue, StoreAnswer, StoreCall, StoreCommit, StoreItem, StorePut};
use crate::key::{OwnKey, StoreKey};
use crate::outbox::{CallPurpose, Outbox};
use crate::records::{decode, encode};
use crate::shared::{SharedRecords, Versioned};
use crate::timing::{
    ANSWER_MARGIN, COMMIT_RETRY_DELAY, MAX_ACCEPT_BATCH, MAX_ACCEPT_COMMITS_IN_FLIGHT, RETRY_AFTER,
};

use identity::{duplicate_answer, foreign_job_answer, log_duplicate, named_queue, other_queue};

/// Store calls of [`Intake`].
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum IntakeCall {
    Accept(Vec<ReplyToken>),
    Cancel(ReplyToken),
    ReadOutcome(ReplyToken),
}

/// Request that waits for the store.
#[derive(Debug)]
struct OpenRequest {
    job: JobId,
    /// Queue that the request names; `None` if a path addresses the job.
    named_queue: Option<QueueId>,
    expires_at: Moment,
    retry_at: Option<Moment>,
    /// Whether a write may have taken effect or may still take effect.
    may_be_written: bool,
    action: RequestAction,
}

#[derive(Debug)]
enum RequestAction {
    /// Accepts a job for a pool.
    Submit(PoolId, Box<AcceptedJob>),
    Cancel,
    Show,
}

/// Requests that are not answered yet.
#[derive(Debug, Default)]
pub(crate) struct Intake {
    requests: BTreeMap<ReplyToken, OpenRequest>,
    /// Submissions that are in no commit.
    waiting_submissions: VecDeque<ReplyToken>,
    commits_in_flight: usize,
}

fn job_key(pool: &PoolId, job: &JobId) -> StoreKey {
    StoreKey::Own(OwnKey::Job(pool.clone(), job.clone()))
}

fn outcome_key(job: &JobId) -> StoreKey {
    StoreKey::Own(OwnKey::Outcome(job.clone()))
}

fn record_put(key: StoreKey, bytes: Box<[u8]>) -> StorePut {
    StorePut { key, value: PutValue::Own(bytes), lease: None }
}

impl Intake {
    /// Returns the number of requests that are not answered yet.
    pub(crate) fn open_requests(&self) -> usize {
        self.requests.len()
    }

    pub(crate) fn on_call(
        &mut self,
        clock: Clock,
        out: &mut Outbox,
        shared: &SharedRecords,
        call: ClientCall,
    ) {
        let reply_token = call.reply_token;
        let id: Box<str> = call.target.to_string().into();
        if let Some(answer) = self.begin_request(clock, out, shared, call) {
            send_reply(clock, out, reply_token, &id, shared, answer);
        }
    }

    /// Begins a request, and returns the answer if it needs no store call.
    fn begin_request(
        &mut self,
        clock: Clock,
        out: &mut Outbox,
        shared: &SharedRecords,
        call: ClientCall,
    ) -> Option<ClientAnswer> {
        let Some(config) = shared.config.as_ref().filter(|_| shared.is_loaded()) else {
            return Some(ClientAnswer::NotDone { retry_after: RETRY_AFTER });
        };
        let Some((queue, job_name)) = config.target(&call.target) else {
            return Some(refuse_by_config(clock, shared, ClientAnswer::NoQueue));
        };
        let team = call.key.as_deref().and_then(|key| config.team_of_key(key));
        if !queue.is_open && team.is_none() {
            return Some(refuse_by_config(clock, shared, ClientAnswer::BadKey));
        }
        if job_name.is_empty() {
            return Some(pending_answer(shared, &queue.queue));
        }
        let Ok(job) = job_name.parse::<JobId>() else {
            return Some(ClientAnswer::Malformed("the job's name has no such form".into()));
        };
        let named_queue = named_queue(&call.target);
        let stored_outcome = shared.outcomes.get(&job);
        if let Some(other) = stored_outcome.and_then(|stored_outcome| {
            other_queue(shared, named_queue.as_ref(), &stored_outcome.record)
        }) {
            let is_submission = matches!(call.action, ClientAction::Submit(_));
            return Some(foreign_job_answer(is_submission, other));
        }
        let store_timeout = Millis(call.timeout.0.saturating_sub(ANSWER_MARGIN.0));
        let new_request = |action| OpenRequest {
            job: job.clone(),
            named_queue: named_queue.clone(),
            expires_at: clock.now + store_timeout,
            retry_at: None,
            may_be_written: false,
            action,
        };
        match call.action {
            ClientAction::Submit(Err(reason)) => Some(ClientAnswer::Malformed(reason)),
            ClientAction::Submit(Ok(spec)) => {
                if let Some(stored_outcome) = stored_outcome {
                    log_duplicate(out, &job, &stored_outcome.record);
                    return Some(ClientAnswer::Accepted);
                }
                if let Err(fault) = spec.check() {
                    return Some(ClientAnswer::Malformed(fault.to_string().into()));
                }
                let team = team.filter(|_| !queue.is_open).map(|team| team.team.clone());
                let job = AcceptedJob {
                    queue: queue.queue.clone(),
                    terms: queue.terms.clone(),
                    team,
                    accepted_ms: clock.wall_ms,
                    spec,
                };
                let action = RequestAction::Submit(queue.pool.clone(), Box::new(job));
                self.requests.insert(call.reply_token, new_request(action));
                self.waiting_submissions.push_back(call.reply_token);
                self.send_waiting(clock, out);
                None
            }
            ClientAction::Show => {
                if let Some(stored_outcome) = stored_outcome {
                    return Some(ClientAnswer::Phase(stored_outcome.record.phase));
                }
                self.requests.insert(call.reply_token, new_request(RequestAction::Show));
                read_outcome(clock, out, call.reply_token, &job);
                None
            }
            ClientAction::Cancel => {
                self.requests.insert(call.reply_token, new_request(RequestAction::Cancel));
                match stored_outcome {
                    Some(stored_outcome) => {
                        self.cancel(clock, out, call.reply_token, stored_outcome)
                    }
                    None => {
                        read_outcome(clock, out, call.reply_token, &job);
                        None
                    }
                }
            }
        }
    }

    /// Sends the waiting submissions, several per commit.
    fn send_waiting(&mut self, clock: Clock, out: &mut Outbox) {
        while self.commits_in_flight < MAX_ACCEPT_COMMITS_IN_FLIGHT
            && !self.waiting_submissions.is_empty()
        {
            let count = self.waiting_submissions.len().min(MAX_ACCEPT_BATCH);
            let reply_tokens: Vec<ReplyToken> = self.waiting_submissions.drain(..count).collect();
            let mut commit = StoreCommit::default();
            for reply_token in &reply_tokens {
                self.add_submission(&mut commit, *reply_token);
            }
            if commit.rows() == 0 {
                continue;
            }
            self.commits_in_flight += 1;
            let purpose = CallPurpose::Intake(IntakeCall::Accept(reply_tokens));
            out.call_store(clock, purpose, StoreCall::Commit(commit));
        }
    }

    fn add_submission(&self, commit: &mut StoreCommit, reply_token: ReplyToken) {
        let Some(request) = self.requests.get(&reply_token) else { return };
        let RequestAction::Submit(pool, accepted) = &request.action else { return };
        let (queue, pool) = (accepted.queue.clone(), pool.clone());
        let (job_record_key, outcome_record_key) =
            (job_key(&pool, &request.job), outcome_key(&request.job));
        let outcome = JobOutcome { phase: JobPhase::Queued, queue, pool };
        commit.expect.push((job_record_key.clone(), Revision(0)));
        commit.expect.push((outcome_record_key.clone(), Revision(0)));
        commit.puts.push(record_put(job_record_key, encode(accepted)));
        commit.puts.push(record_put(outcome_record_key, encode(&outcome)));
    }

    /// Sends the commit that cancels a job, or returns the answer if the job has ended.
    fn cancel(
        &mut self,
        clock: Clock,
        out: &mut Outbox,
        reply_token: ReplyToken,
        stored_outcome: &Versioned<JobOutcome>,
    ) -> Option<ClientAnswer> {
        let request = self.requests.get_mut(&reply_token)?;
        if stored_outcome.record.phase.is_final() {
            self.requests.remove(&reply_token);
            return Some(ClientAnswer::Cancelled);
        }
        let key = outcome_key(&request.job);
        let record = JobOutcome { phase: JobPhase::Cancelled, ..stored_outcome.record.clone() };
        let commit = StoreCommit {
            expect: vec![(key.clone(), stored_outcome.revision)],
            puts: vec![record_put(key, encode(&record))],
            remove: Vec::new(),
        };
        let purpose = CallPurpose::Intake(IntakeCall::Cancel(reply_token));
        out.call_store(clock, purpose, StoreCall::Commit(commit));
        None
    }

    pub(crate) fn on_answer(
        &mut self,
        clock: Clock,
        out: &mut Outbox,
        shared: &SharedRecords,
        call: IntakeCall,
        answer: StoreAnswer,
    ) {
        match call {
            IntakeCall::Accept(reply_tokens) => {
                self.commits_in_flight -= 1;
                for reply_token in reply_tokens {
                    self.on_accept(clock, out, shared, reply_token, &answer);
                }
                self.send_waiting(clock, out);
            }
            IntakeCall::Cancel(reply_token) => {
                self.on_cancel(clock, out, shared, reply_token, answer)
            }
            IntakeCall::ReadOutcome(reply_token) => {
                self.on_outcome_read(clock, out, shared, reply_token, answer)
            }
        }
    }

    fn on_accept(
        &mut self,
        clock: Clock,
        out: &mut Outbox,
        shared: &SharedRecords,
        reply_token: ReplyToken,
        answer: &StoreAnswer,
    ) {
        let Some(request) = self.requests.get_mut(&reply_token) else { return };
        match answer {
            StoreAnswer::Committed(_) => {
                self.finish_request(clock, out, shared, reply_token, ClientAnswer::Accepted);
            }
            StoreAnswer::Conflict(items) => {
                let key = outcome_key(&request.job);
                let exists = |item: &&StoreItem| item.key == key && item.revision.0 > 0;
                if let Some(item) = items.iter().find(exists) {
                    let answer = duplicate_answer(out, shared, request, item);
                    return self.finish_request(clock, out, shared, reply_token, answer);
                }
                // Another job of the same commit existed already, so the store applied
                // nothing.
                request.retry_at = Some(clock.now);
            }
            StoreAnswer::Refused => request.retry_at = Some(clock.now + COMMIT_RETRY_DELAY),
            _ => {
                request.may_be_written = true;
                request.retry_at = Some(clock.now + COMMIT_RETRY_DELAY);
            }
        }
    }

    fn on_cancel(
        &mut self,
        clock: Clock,
        out: &mut Outbox,
        shared: &SharedRecords,
        reply_token: ReplyToken,
        answer: StoreAnswer,
    ) {
        match answer {
            StoreAnswer::Committed(_) => {
                self.finish_request(clock, out, shared, reply_token, ClientAnswer::Cancelled)
            }
            StoreAnswer::Conflict(items) => {
                self.continue_with_outcome(clock, out, shared, reply_token, items)
            }
            other => self.retry_later(clock, reply_token, !matches!(other, StoreAnswer::Refused)),
        }
    }

    fn on_outcome_read(
        &mut self,
        clock: Clock,
        out: &mut Outbox,
        shared: &SharedRecords,
        reply_token: ReplyToken,
        answer: StoreAnswer,
    ) {
        match answer {
            StoreAnswer::Absent => {
                self.finish_request(clock, out, shared, reply_token, ClientAnswer::NoJob)
            }
            StoreAnswer::Items { items, .. } => {
                self.continue_with_outcome(clock, out, shared, reply_token, items)
            }
            _ => self.retry_later(clock, reply_token, false),
        }
    }

    /// Continues a request with the outcome record that the store returned.
    fn continue_with_outcome(
        &mut self,
        clock: Clock,
        out: &mut Outbox,
        shared: &SharedRecords,
        reply_token: ReplyToken,
        items: Vec<StoreItem>,
    ) {
        let Some(request) = self.requests.get(&reply_token) else { return };
        let key = outcome_key(&request.job);
        let item = items.into_iter().find(|item| item.key == key && item.revision.0 > 0);
        let Some(StoreItem { value: ItemValue::Own(bytes), revision, created, .. }) = item else {
            return self.finish_request(clock, out, shared, reply_token, ClientAnswer::NoJob);
        };
        let record: JobOutcome = match decode(&bytes) {
            Ok(record) => record,
            Err(reason) => {
                out.log("record", format!("{key:?}"), reason, "skipped");
                return self.finish_request(clock, out, shared, reply_token, ClientAnswer::Unknown);
            }
        };
        if let Some(other) = other_queue(shared, request.named_queue.as_ref(), &record) {
            let answer = foreign_job_answer(false, other);
            return self.finish_request(clock, out, shared, reply_token, answer);
        }
        if matches!(request.action, RequestAction::Cancel) {
            let stored_outcome = Versioned { record, revision, created };
            if let Some(answer) = self.cancel(clock, out, reply_token, &stored_outcome) {
                send_reply(clock, out, reply_token, &format!("{key:?}"), shared, answer);
            }
        } else {
            self.finish_request(clock, out, shared, reply_token, ClientAnswer::Phase(record.phase));
        }
    }

    fn retry_later(&mut self, clock: Clock, reply_token: ReplyToken, may_be_written: bool) {
        if let Some(request) = self.requests.get_mut(&reply_token) {
            request.may_be_written |= may_be_written;
            request.retry_at = Some(clock.now + COMMIT_RETRY_DELAY);
        }
    }

    fn finish_request(
        &mut self,
        clock: Clock,
        out: &mut Outbox,
        shared: &SharedRecords,
        reply_token: ReplyToken,
        answer: ClientAnswer,
    ) {
        if let Some(request) = self.requests.remove(&reply_token) {
            send_reply(clock, out, reply_token, request.job.as_str(), shared, answer);
        }
    }

    /// Retries the requests that are due, and answers those that have expired.
    pub(crate) fn on_tick(&mut self, clock: Clock, out: &mut Outbox, shared: &SharedRecords) {
        let expired: Vec<(ReplyToken, bool)> = self
            .requests
            .iter()
            .filter(|(_, request)| clock.now >= request.expires_at)
            .map(|(reply_token, request)| (*reply_token, request.may_be_written))
            .collect();
        for (reply_token, may_be_written) in expired {
            let is_in_flight = self.requests.get(&reply_token).is_some_and(|request| {
                request.retry_at.is_none() && !self.waiting_submissions.contains(&reply_token)
            });
            let answer = if may_be_written || is_in_flight {
                ClientAnswer::Unknown
            } else {
                ClientAnswer::NotDone { retry_after: RETRY_AFTER }
            };
            self.waiting_submissions.retain(|other| *other != reply_token);
            self.finish_request(clock, out, shared, reply_token, answer);
        }
        for (reply_token, request) in &mut self.requests {
            if request.retry_at.is_none_or(|at| clock.now < at) {
                continue;
            }
            request.retry_at = None;
            match request.action {
                RequestAction::Submit(..) => self.waiting_submissions.push_back(*reply_token),
                RequestAction::Cancel | RequestAction::Show => {
                    read_outcome(clock, out, *reply_token, &request.job);
                }
            }
        }
        self.send_waiting(clock, out);
    }
}

fn read_outcome(clock: Clock, out: &mut Outbox, reply_token: ReplyToken, job: &JobId) {
    let request = StoreCall::Read(outcome_key(job));
    out.call_store(clock, CallPurpose::Intake(IntakeCall::ReadOutcome(reply_token)), request);
}

fn pending_answer(shared: &SharedRecords, queue: &QueueId) -> ClientAnswer {
    let is_queued = |outcome: &&Versioned<JobOutcome>| {
        outcome.record.phase == JobPhase::Queued && outcome.record.queue == *queue
    };
    ClientAnswer::Pending(shared.outcomes.values().filter(is_queued).count() as u64)
}

/// Returns `refusal`, or the answer to ask again if the configuration may be an old one: a caller
/// does not repeat a request whose queue or key is unknown.
fn refuse_by_config(clock: Clock, shared: &SharedRecords, refusal: ClientAnswer) -> ClientAnswer {
    if shared.is_current(clock.now) {
        refusal
    } else {
        ClientAnswer::NotDone { retry_after: RETRY_AFTER }
    }
}

fn send_reply(
    clock: Clock,
    out: &mut Outbox,
    reply_token: ReplyToken,
    id: &str,
    shared: &SharedRecords,
    answer: ClientAnswer,
) {
    out.log("answer", id, shared.describe_config(clock.now), format!("{answer:?}"));
    out.reply(reply_token, answer);
}
