//! Submitters, which submit, poll and cancel jobs, repeat requests without a final answer, and
//! report the answers to the rule checker.

use super::*;

impl Simulation {
    /// Plans the submission of a job `delay_ms` milliseconds from now, and its cancellation.
    pub fn plan_job(&mut self, delay_ms: u64, job: JobId, planned: PlannedJob) {
        let PlannedJob { team, spec, queue, cancel_after } = planned;
        let queue = self.config.queues[queue].clone();
        let team_config = self.config.teams.iter().find(|team_config| team_config.team == team);
        let key = Some(team_config.expect("known team").keys[0].clone());
        let submitted = SubmittedJob {
            team,
            spec,
            pools: [queue.pool.clone()].into(),
            max_attempts: queue.terms.max_attempts,
            is_accepted: false,
            is_unsubmitted: true,
            is_cancel_sent: false,
            cancel_acknowledged: None,
            phase: None,
        };
        self.checker.jobs.insert(job.clone(), submitted);
        let path = format!("{}{job}", queue.prefix).into();
        self.job_routes.insert(job.clone(), (queue.host, path, key));
        self.schedule(delay_ms, 0, 0, Message::Submit { job: job.clone() });
        if let Some(cancel_after_ms) = cancel_after {
            self.schedule(delay_ms + cancel_after_ms, 0, 0, Message::Cancel { job });
        }
    }

    /// Returns the queue to which a job's path leads; `None` if a version has removed it.
    fn find_queue(&self, job: &JobId) -> Option<QueueId> {
        let (host, path, _) = &self.job_routes[job];
        let (queue, _) = self.config.route(host, path)?;
        Some(queue.queue.clone())
    }

    /// Records for each job the pool to which the present configuration sends its path.
    pub(super) fn record_job_pools(&mut self) {
        for (job, (host, path, _)) in &self.job_routes {
            let Some((queue, _)) = self.config.route(host, path) else { continue };
            let submitted = self.checker.jobs.get_mut(job).expect("known job");
            submitted.pools.insert(queue.pool.clone());
        }
    }

    /// Sends a request to a random daemon that is up. If no daemon is up, the request is tried
    /// again after 500 ms.
    pub(super) fn send_request(&mut self, job: &JobId, kind: RequestKind) {
        let (host, path, key) = self.job_routes[job].clone();
        let up: Vec<usize> = (0..self.daemons.len()).filter(|daemon| self.is_up(*daemon)).collect();
        if up.is_empty() {
            return self.schedule_request(job, kind, 500);
        }
        let daemon = up[self.rng.random_range(0..up.len())];
        self.last_reply_token += 1;
        let reply_token = ReplyToken(self.last_reply_token);
        let spec = self.checker.jobs[job].spec.clone();
        let action = match kind {
            RequestKind::Submit => ClientAction::Submit(Ok(spec)),
            RequestKind::Poll => ClientAction::Show,
            RequestKind::Cancel => ClientAction::Cancel,
        };
        let timeout = Millis(REQUEST_TIMEOUT_MS);
        // Alternate requests name the queue instead of host and path.
        let queue = self.find_queue(job).filter(|_| reply_token.0 % 2 == 1);
        let target = match queue {
            None => ClientTarget::Route { host, path },
            Some(queue) => ClientTarget::Queue { queue, job: job.as_str().into() },
        };
        let call = ClientCall { reply_token, target, key, timeout, action };
        self.pending_requests.insert(reply_token, (job.clone(), kind, self.now));
        if kind == RequestKind::Submit {
            // The job may be accepted although the answer is lost.
            self.checker.jobs.get_mut(job).expect("known job").is_unsubmitted = false;
        }
        if kind == RequestKind::Cancel {
            self.checker.jobs.get_mut(job).expect("known job").is_cancel_sent = true;
        }
        self.schedule(REQUEST_TIMEOUT_MS + 500, 0, 0, Message::RequestTimedOut { reply_token });
        let incarnation = self.daemons[daemon].incarnation;
        self.schedule_answer(daemon, incarnation, 1, Event::Client(call));
    }

    /// Sends a request after `delay` milliseconds.
    pub(super) fn schedule_request(&mut self, job: &JobId, kind: RequestKind, delay: u64) {
        let job = job.clone();
        let message = match kind {
            RequestKind::Submit => Message::Submit { job },
            RequestKind::Poll => Message::Poll { job },
            RequestKind::Cancel => Message::Cancel { job },
        };
        self.schedule(delay, 0, 0, message);
    }

    /// Cancels all planned jobs now.
    pub fn cancel_all_jobs(&mut self) {
        let jobs: Vec<JobId> = self.job_routes.keys().cloned().collect();
        for job in jobs {
            self.send_request(&job, RequestKind::Cancel);
        }
    }

    pub(super) fn retry_unanswered_request(&mut self, job: &JobId, kind: RequestKind) {
        self.schedule_request(job, kind, 200);
    }

    /// Applies a daemon's answer to the checker's view of the job, and schedules the next request.
    pub(super) fn handle_reply(&mut self, reply_token: ReplyToken, answer: ClientAnswer) {
        let Some((job, kind, _)) = self.pending_requests.remove(&reply_token) else {
            return self.handle_probe_reply(reply_token, &answer);
        };
        if self.prints_trace {
            println!("{} submitter of {job} {kind:?}: {answer:?}", self.now);
        }
        match (kind, answer) {
            (RequestKind::Submit, ClientAnswer::Accepted) => {
                let submitted = self.checker.jobs.get_mut(&job).expect("known job");
                submitted.is_accepted = true;
                self.accepted_count += 1;
                self.schedule_request(&job, RequestKind::Poll, 300);
            }
            (RequestKind::Submit, ClientAnswer::NotDone { retry_after }) => {
                self.refused_count += 1;
                self.schedule_request(&job, RequestKind::Submit, retry_after.0);
            }
            (RequestKind::Poll, ClientAnswer::Phase(phase)) => {
                self.checker.record_phase(self.now, &job, phase);
                if !phase.is_final() {
                    self.schedule_request(&job, RequestKind::Poll, 700);
                }
            }
            (RequestKind::Poll, ClientAnswer::NoJob) => {
                self.checker.record_missing_job(self.now, &job)
            }
            // The cancellation arrived before the submission.
            (RequestKind::Cancel, ClientAnswer::NoJob) => {
                self.schedule_request(&job, RequestKind::Cancel, 500)
            }
            (RequestKind::Cancel, ClientAnswer::Cancelled) => {
                let submitted = self.checker.jobs.get_mut(&job).expect("known job");
                if submitted.is_accepted {
                    submitted.cancel_acknowledged = Some(self.now);
                } else {
                    self.schedule_request(&job, RequestKind::Cancel, 500);
                }
            }
            // The operator has removed the queue; it may come back.
            (RequestKind::Poll, ClientAnswer::NoQueue) => {
                self.schedule_request(&job, RequestKind::Poll, 700)
            }
            (kind, ClientAnswer::Unknown | ClientAnswer::NotDone { .. }) => {
                self.schedule_request(&job, kind, 300);
            }
            (_, other) => panic!("{job} {kind:?}: {other:?}"),
        }
    }
}
