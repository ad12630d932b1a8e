//! Submitters: they hand in, ask again, cancel, and remember what they were told.

use super::*;

impl World {
    /// A submitter will hand a job in.
    pub fn plan_job(&mut self, at: u64, job: JobId, planned: PlannedJob) {
        let PlannedJob { team, spec, queue, cancel_after } = planned;
        let queue = self.config.queues[queue].clone();
        let known = self.config.teams.iter().find(|known| known.team == team);
        let key = Some(known.expect("a team").keys[0].clone());
        let seen = SeenJob {
            team,
            spec,
            pool: queue.pool.clone(),
            attempts: queue.max_attempts,
            is_accepted: false,
            is_rejected_only: true,
            is_cancel_sent: false,
            cancel_acked: None,
            phase: None,
        };
        self.checker.jobs.insert(job.clone(), seen);
        let path = format!("{}{job}", queue.prefix).into();
        self.paths.insert(job.clone(), (queue.host, path, key));
        self.later(at, 0, 0, Message::Submit { job: job.clone() });
        if let Some(after) = cancel_after {
            self.later(at + after, 0, 0, Message::Cancel { job });
        }
    }

    fn queue_of(&self, job: &JobId) -> QueueId {
        let pool = &self.checker.jobs[job].pool;
        let queue = self.config.queues.iter().find(|queue| queue.pool == *pool);
        queue.expect("a queue").queue.clone()
    }

    pub(super) fn ask(&mut self, job: &JobId, ask: Ask) {
        let (host, path, key) = self.paths[job].clone();
        let up: Vec<usize> = (0..self.daemons.len()).filter(|daemon| self.is_up(*daemon)).collect();
        if up.is_empty() {
            return self.ask_again(job, ask, 500);
        }
        let daemon = up[self.rng.random_range(0..up.len())];
        self.tokens += 1;
        let token = ReplyToken(self.tokens);
        let spec = self.checker.jobs[job].spec.clone();
        let action = match ask {
            Ask::Submit => ClientAction::Submit(Ok(spec)),
            Ask::Poll => ClientAction::Show,
            Ask::Cancel => ClientAction::Cancel,
        };
        let patience = Millis(PATIENCE);
        // Every other request names its queue.
        let target = match token.0 % 2 {
            0 => ClientTarget::Route { host, path },
            _ => ClientTarget::Queue { queue: self.queue_of(job), job: job.as_str().into() },
        };
        let call = ClientCall { reply_token: token, target, key, timeout: patience, action };
        self.asks.insert(token, (job.clone(), ask, self.now));
        if ask == Ask::Submit {
            // Until the answer says otherwise it may have been accepted.
            self.checker.jobs.get_mut(job).expect("a job").is_rejected_only = false;
        }
        if ask == Ask::Cancel {
            self.checker.jobs.get_mut(job).expect("a job").is_cancel_sent = true;
        }
        self.later(PATIENCE + 500, 0, 0, Message::Abandon { token });
        let incarnation = self.daemons[daemon].incarnation;
        self.answer(daemon, incarnation, 1, Event::Client(call));
    }

    pub(super) fn ask_again(&mut self, job: &JobId, ask: Ask, delay: u64) {
        let job = job.clone();
        let message = match ask {
            Ask::Submit => Message::Submit { job },
            Ask::Poll => Message::Poll { job },
            Ask::Cancel => Message::Cancel { job },
        };
        self.later(delay, 0, 0, message);
    }

    pub(super) fn on_no_answer(&mut self, job: &JobId, ask: Ask) {
        self.ask_again(job, ask, 200);
    }

    pub(super) fn on_reply(&mut self, token: ReplyToken, answer: ClientAnswer) {
        let Some((job, ask, _)) = self.asks.remove(&token) else { return };
        if self.trace {
            println!("{} submitter of {job} {ask:?}: {answer:?}", self.now);
        }
        match (ask, answer) {
            (Ask::Submit, ClientAnswer::Accepted) => {
                let seen = self.checker.jobs.get_mut(&job).expect("a job");
                seen.is_accepted = true;
                self.accepted += 1;
                self.ask_again(&job, Ask::Poll, 300);
            }
            (Ask::Submit, ClientAnswer::NotDone { retry_after }) => {
                self.refused += 1;
                self.ask_again(&job, Ask::Submit, retry_after.0);
            }
            (Ask::Poll, ClientAnswer::Phase(phase)) => {
                self.checker.shown(self.now, &job, phase);
                if !phase.is_final() {
                    self.ask_again(&job, Ask::Poll, 700);
                }
            }
            (Ask::Poll, ClientAnswer::NoJob) => self.checker.missing(self.now, &job),
            // It came before its job.
            (Ask::Cancel, ClientAnswer::NoJob) => self.ask_again(&job, Ask::Cancel, 500),
            (Ask::Cancel, ClientAnswer::Cancelled) => {
                let seen = self.checker.jobs.get_mut(&job).expect("a job");
                if seen.is_accepted {
                    seen.cancel_acked = Some(self.now);
                } else {
                    self.ask_again(&job, Ask::Cancel, 500);
                }
            }
            (ask, ClientAnswer::Unknown | ClientAnswer::NotDone { .. }) => {
                self.ask_again(&job, ask, 300);
            }
            (_, other) => panic!("{job} {ask:?}: {other:?}"),
        }
    }
}
