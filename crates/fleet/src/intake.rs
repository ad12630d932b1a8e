//! Accepts jobs, cancels jobs and reports their state, on any daemon.
//!
//! A job is accepted by one commit that creates its specification and its outcome;
//! several jobs share a commit. A commit that may have taken effect is sent again with
//! the same expectations until the caller's timeout: the store then either applies the
//! commit or shows that the records exist. A request is reported as not done only if no
//! commit can have taken effect. The state of a job is answered from the shared
//! records, but a job is reported as missing only after a read from the store.

use std::collections::{BTreeMap, VecDeque};

use jobs::{AcceptedJob, JobOutcome, JobPhase};
use state::{JobId, Millis, Moment, PoolId, QueueId, Revision};

use crate::event::{ClientAction, ClientAnswer, ClientCall, Clock, RequestToken};
use crate::io::{ItemValue, PutValue, StoreAnswer, StoreCall, StoreCommit, StoreItem, StorePut};
use crate::key::{OwnKey, StoreKey};
use crate::outbox::{CallPurpose, Outbox};
use crate::records::{decode, encode};
use crate::shared::{SharedIndex, Versioned};
use crate::timing::{ACCEPT_BATCH, ACCEPT_FLIGHTS, ANSWER_MARGIN, COMMIT_RETRY, RETRY_AFTER};

/// Store calls of [`Intake`].
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum IntakeCall {
    Accept(Vec<RequestToken>),
    Cancel(RequestToken),
    Look(RequestToken),
}

/// Request that waits for the store.
#[derive(Debug)]
struct OpenRequest {
    pool: PoolId,
    job: JobId,
    give_up_at: Moment,
    retry_at: Option<Moment>,
    /// Whether a write may have taken effect or may still take effect.
    maybe_written: bool,
    work: OpenWork,
}

#[derive(Debug)]
enum OpenWork {
    Submit(Box<AcceptedJob>),
    Cancel,
    Show,
}

/// Requests that are not answered yet.
#[derive(Debug, Default)]
pub(crate) struct Intake {
    open: BTreeMap<RequestToken, OpenRequest>,
    /// Submissions that are in no commit.
    waiting: VecDeque<RequestToken>,
    flights: usize,
}

fn job_key(pool: &PoolId, job: &JobId) -> StoreKey {
    StoreKey::Own(OwnKey::Job(pool.clone(), job.clone()))
}

fn outcome_key(pool: &PoolId, job: &JobId) -> StoreKey {
    StoreKey::Own(OwnKey::Outcome(pool.clone(), job.clone()))
}

fn put(key: StoreKey, bytes: Box<[u8]>) -> StorePut {
    StorePut { key, value: PutValue::Own(bytes), lease: None }
}

impl Intake {
    /// Returns the number of requests that are not answered yet.
    pub(crate) fn open_requests(&self) -> usize {
        self.open.len()
    }

    pub(crate) fn on_call(
        &mut self,
        clock: Clock,
        out: &mut Outbox,
        shared: &SharedIndex,
        call: ClientCall,
    ) {
        let token = call.reply_token;
        let id: Box<str> = call.target.to_string().into();
        if let Some(answer) = self.decide(clock, out, shared, call) {
            answered(out, token, &id, shared, answer);
        }
    }

    /// Begins a request, and returns the answer if it needs no store call.
    fn decide(
        &mut self,
        clock: Clock,
        out: &mut Outbox,
        shared: &SharedIndex,
        call: ClientCall,
    ) -> Option<ClientAnswer> {
        let Some(config) = shared.config.as_ref().filter(|_| shared.is_loaded()) else {
            return Some(ClientAnswer::NotDone { retry_after: RETRY_AFTER });
        };
        let Some((queue, rest)) = config.target(&call.target) else {
            return Some(ClientAnswer::NoQueue);
        };
        let team = call.key.as_deref().and_then(|key| config.team_of_key(key));
        if !queue.is_open && team.is_none() {
            return Some(ClientAnswer::BadKey);
        }
        if rest.is_empty() {
            return Some(pending(shared, &queue.queue));
        }
        let Ok(job) = rest.parse::<JobId>() else {
            return Some(ClientAnswer::Malformed("the job's name has no such form".into()));
        };
        let known = shared.outcomes.get(&(queue.pool.clone(), job.clone()));
        let patience = Millis(call.timeout.0.saturating_sub(ANSWER_MARGIN.0));
        let open = |work| OpenRequest {
            pool: queue.pool.clone(),
            job: job.clone(),
            give_up_at: clock.now + patience,
            retry_at: None,
            maybe_written: false,
            work,
        };
        match call.action {
            ClientAction::Submit(Err(reason)) => Some(ClientAnswer::Malformed(reason)),
            ClientAction::Submit(Ok(spec)) => {
                if known.is_some() {
                    return Some(ClientAnswer::Accepted);
                }
                if let Err(fault) = spec.check() {
                    return Some(ClientAnswer::Malformed(fault.to_string().into()));
                }
                let team = team.filter(|_| !queue.is_open).map(|team| team.team.clone());
                let queue = queue.queue.clone();
                let accepted_ms = clock.wall_ms;
                let job = AcceptedJob { queue, team, accepted_ms, spec };
                self.open.insert(call.reply_token, open(OpenWork::Submit(Box::new(job))));
                self.waiting.push_back(call.reply_token);
                self.send_waiting(clock, out);
                None
            }
            ClientAction::Show => {
                if let Some(known) = known {
                    return Some(ClientAnswer::Phase(known.record.phase));
                }
                self.open.insert(call.reply_token, open(OpenWork::Show));
                look(clock, out, call.reply_token, &queue.pool, &job);
                None
            }
            ClientAction::Cancel => {
                self.open.insert(call.reply_token, open(OpenWork::Cancel));
                match known {
                    Some(known) => self.cancel(clock, out, call.reply_token, known),
                    None => {
                        look(clock, out, call.reply_token, &queue.pool, &job);
                        None
                    }
                }
            }
        }
    }

    /// Sends the waiting submissions, several per commit.
    fn send_waiting(&mut self, clock: Clock, out: &mut Outbox) {
        while self.flights < ACCEPT_FLIGHTS && !self.waiting.is_empty() {
            let count = self.waiting.len().min(ACCEPT_BATCH);
            let tokens: Vec<RequestToken> = self.waiting.drain(..count).collect();
            let mut commit = StoreCommit::default();
            for token in &tokens {
                self.add_submission(&mut commit, *token);
            }
            if commit.rows() == 0 {
                continue;
            }
            self.flights += 1;
            let purpose = CallPurpose::Intake(IntakeCall::Accept(tokens));
            out.store(clock, purpose, StoreCall::Commit(commit));
        }
    }

    fn add_submission(&self, commit: &mut StoreCommit, token: RequestToken) {
        let Some(request) = self.open.get(&token) else { return };
        let OpenWork::Submit(accepted) = &request.work else { return };
        let outcome = JobOutcome { phase: JobPhase::Queued, queue: accepted.queue.clone() };
        let (job, shown) =
            (job_key(&request.pool, &request.job), outcome_key(&request.pool, &request.job));
        commit.expect.push((job.clone(), Revision(0)));
        commit.expect.push((shown.clone(), Revision(0)));
        commit.puts.push(put(job, encode(accepted)));
        commit.puts.push(put(shown, encode(&outcome)));
    }

    /// Sends the commit that cancels a job, or returns the answer if the job has ended.
    fn cancel(
        &mut self,
        clock: Clock,
        out: &mut Outbox,
        token: RequestToken,
        known: &Versioned<JobOutcome>,
    ) -> Option<ClientAnswer> {
        let request = self.open.get_mut(&token)?;
        if known.record.phase.is_final() {
            self.open.remove(&token);
            return Some(ClientAnswer::Cancelled);
        }
        let key = outcome_key(&request.pool, &request.job);
        let record = JobOutcome { phase: JobPhase::Cancelled, queue: known.record.queue.clone() };
        let commit = StoreCommit {
            expect: vec![(key.clone(), known.revision)],
            puts: vec![put(key, encode(&record))],
            remove: Vec::new(),
        };
        let purpose = CallPurpose::Intake(IntakeCall::Cancel(token));
        out.store(clock, purpose, StoreCall::Commit(commit));
        None
    }

    pub(crate) fn on_answer(
        &mut self,
        clock: Clock,
        out: &mut Outbox,
        shared: &SharedIndex,
        call: IntakeCall,
        answer: StoreAnswer,
    ) {
        match call {
            IntakeCall::Accept(tokens) => {
                self.flights -= 1;
                for token in tokens {
                    self.on_accept(clock, out, shared, token, &answer);
                }
                self.send_waiting(clock, out);
            }
            IntakeCall::Cancel(token) => self.on_cancel(clock, out, shared, token, answer),
            IntakeCall::Look(token) => self.on_look(clock, out, shared, token, answer),
        }
    }

    fn on_accept(
        &mut self,
        clock: Clock,
        out: &mut Outbox,
        shared: &SharedIndex,
        token: RequestToken,
        answer: &StoreAnswer,
    ) {
        let Some(request) = self.open.get_mut(&token) else { return };
        match answer {
            StoreAnswer::Committed(_) => {
                self.finish(out, shared, token, ClientAnswer::Accepted);
            }
            StoreAnswer::Conflict(items) => {
                let keys = [
                    job_key(&request.pool, &request.job),
                    outcome_key(&request.pool, &request.job),
                ];
                let exists = |item: &StoreItem| keys.contains(&item.key) && item.revision.0 > 0;
                if items.iter().any(exists) {
                    return self.finish(out, shared, token, ClientAnswer::Accepted);
                }
                // Another job of the same commit existed already, so the store applied
                // nothing.
                request.retry_at = Some(clock.now);
            }
            StoreAnswer::Refused => request.retry_at = Some(clock.now + COMMIT_RETRY),
            _ => {
                request.maybe_written = true;
                request.retry_at = Some(clock.now + COMMIT_RETRY);
            }
        }
    }

    fn on_cancel(
        &mut self,
        clock: Clock,
        out: &mut Outbox,
        shared: &SharedIndex,
        token: RequestToken,
        answer: StoreAnswer,
    ) {
        match answer {
            StoreAnswer::Committed(_) => self.finish(out, shared, token, ClientAnswer::Cancelled),
            StoreAnswer::Conflict(items) => self.on_outcome(clock, out, shared, token, items),
            other => self.look_later(clock, token, !matches!(other, StoreAnswer::Refused)),
        }
    }

    fn on_look(
        &mut self,
        clock: Clock,
        out: &mut Outbox,
        shared: &SharedIndex,
        token: RequestToken,
        answer: StoreAnswer,
    ) {
        match answer {
            StoreAnswer::Absent => self.finish(out, shared, token, ClientAnswer::NoJob),
            StoreAnswer::Items { items, .. } => self.on_outcome(clock, out, shared, token, items),
            _ => self.look_later(clock, token, false),
        }
    }

    /// Continues a request with the outcome record that the store returned.
    fn on_outcome(
        &mut self,
        clock: Clock,
        out: &mut Outbox,
        shared: &SharedIndex,
        token: RequestToken,
        items: Vec<StoreItem>,
    ) {
        let Some(request) = self.open.get(&token) else { return };
        let key = outcome_key(&request.pool, &request.job);
        let item = items.into_iter().find(|item| item.key == key && item.revision.0 > 0);
        let Some(StoreItem { value: ItemValue::Own(bytes), revision, created, .. }) = item else {
            return self.finish(out, shared, token, ClientAnswer::NoJob);
        };
        let record: JobOutcome = match decode(&bytes) {
            Ok(record) => record,
            Err(reason) => {
                out.log("record", format!("{key:?}"), reason, "cannot be read");
                return self.finish(out, shared, token, ClientAnswer::Unknown);
            }
        };
        if matches!(request.work, OpenWork::Cancel) {
            let known = Versioned { record, revision, created };
            if let Some(answer) = self.cancel(clock, out, token, &known) {
                answered(out, token, &format!("{key:?}"), shared, answer);
            }
        } else {
            self.finish(out, shared, token, ClientAnswer::Phase(record.phase));
        }
    }

    fn look_later(&mut self, clock: Clock, token: RequestToken, maybe_written: bool) {
        if let Some(request) = self.open.get_mut(&token) {
            request.maybe_written |= maybe_written;
            request.retry_at = Some(clock.now + COMMIT_RETRY);
        }
    }

    fn finish(
        &mut self,
        out: &mut Outbox,
        shared: &SharedIndex,
        token: RequestToken,
        answer: ClientAnswer,
    ) {
        if let Some(request) = self.open.remove(&token) {
            answered(out, token, request.job.as_str(), shared, answer);
        }
    }

    /// Retries the requests that are due, and answers those that have expired.
    pub(crate) fn on_tick(&mut self, clock: Clock, out: &mut Outbox, shared: &SharedIndex) {
        let given_up: Vec<(RequestToken, bool)> = self
            .open
            .iter()
            .filter(|(_, request)| clock.now >= request.give_up_at)
            .map(|(token, request)| (*token, request.maybe_written))
            .collect();
        for (token, maybe_written) in given_up {
            let in_flight = self.open.get(&token).is_some_and(|request| {
                request.retry_at.is_none() && !self.waiting.contains(&token)
            });
            let answer = if maybe_written || in_flight {
                ClientAnswer::Unknown
            } else {
                ClientAnswer::NotDone { retry_after: RETRY_AFTER }
            };
            self.waiting.retain(|waiting| *waiting != token);
            self.finish(out, shared, token, answer);
        }
        for (token, request) in &mut self.open {
            if request.retry_at.is_none_or(|at| clock.now < at) {
                continue;
            }
            request.retry_at = None;
            match request.work {
                OpenWork::Submit(_) => self.waiting.push_back(*token),
                OpenWork::Cancel | OpenWork::Show => {
                    look(clock, out, *token, &request.pool, &request.job);
                }
            }
        }
        self.send_waiting(clock, out);
    }
}

fn look(clock: Clock, out: &mut Outbox, token: RequestToken, pool: &PoolId, job: &JobId) {
    let request = StoreCall::Read(outcome_key(pool, job));
    out.store(clock, CallPurpose::Intake(IntakeCall::Look(token)), request);
}

fn pending(shared: &SharedIndex, queue: &QueueId) -> ClientAnswer {
    let waits = |outcome: &&Versioned<JobOutcome>| {
        outcome.record.phase == JobPhase::Queued && outcome.record.queue == *queue
    };
    ClientAnswer::Pending(shared.outcomes.values().filter(waits).count() as u64)
}

fn answered(
    out: &mut Outbox,
    token: RequestToken,
    id: &str,
    shared: &SharedIndex,
    answer: ClientAnswer,
) {
    let version = shared.config.as_ref().map_or(0, |config| config.version);
    out.log("answer", id, format!("configuration {version}"), format!("{answer:?}"));
    out.reply(token, answer);
}
