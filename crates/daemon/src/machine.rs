//! The state machine behind a lock, and what becomes of its effects.
//!
//! Whoever has an event steps the machine itself: a request thread that had to
//! wake another thread and be woken again would pay twice for nothing, because
//! most verdicts are ready at once (`docs/DESIGN.md`, "Threads"). Effects that
//! take time go over bounded rings to the threads whose duty they are.

use std::sync::{Mutex, PoisonError};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use coordination::{
    Clock, Core, CoreSettings, Decision, Effect, Event, Identity, IoCallId, PlatformAnswer,
    PlatformRequest, WorkerAnswer,
};
use crossbeam::channel::{Sender, TrySendError};
use state::{DaemonRef, DaemonSettings, Incarnation, Moment};
use transport::PeerSender;

use crate::logs;
use crate::metrics::Metrics;
use crate::ring::{ChannelSenders, PlatformJob, Reply, WorkerJob, index_of};

/// How the daemon came to its end.
pub type Ending = Result<(), String>;

/// The one state machine of the process.
pub struct Machine {
    core: Mutex<Core>,
    inlets: ChannelSenders,
    peers: PeerSender,
    started: Instant,
    ended: Sender<Ending>,
}

/// What is left to do once the lock is free again.
#[derive(Default)]
struct DeferredEffects {
    decisions: Vec<Decision>,
    /// Answers to calls that no thread could take.
    refused: Vec<Event>,
}

impl Machine {
    /// A machine that has seen no event; its end goes to `ended`.
    pub fn new(
        settings: &DaemonSettings,
        inlets: ChannelSenders,
        peers: PeerSender,
        ended: Sender<Ending>,
    ) -> Self {
        let bounds = CoreSettings { queue_limit: settings.queue_limit };
        let core = Mutex::new(Core::new(identity(settings), bounds));
        Self { core, inlets, peers, started: Instant::now(), ended }
    }

    /// Steps the machine by one event and carries its effects out.
    pub fn post(&self, event: Event) {
        let mut deferred = self.step(event);
        while let Some(event) = deferred.refused.pop() {
            let more = self.step(event);
            deferred.decisions.extend(more.decisions);
            deferred.refused.extend(more.refused);
        }
        for decision in deferred.decisions {
            self.log(decision);
        }
    }

    /// Leaves a decision's line to the thread that writes them; when that does
    /// not keep up, whoever decided writes it, so that no line is lost.
    fn log(&self, decision: Decision) {
        if let Err(TrySendError::Full(decision) | TrySendError::Disconnected(decision)) =
            self.inlets.decisions.try_send(decision)
        {
            logs::decision(&decision);
        }
    }

    /// Exports the measures.
    pub fn report(&self, metrics: &mut Metrics) {
        let core = self.core.lock().unwrap_or_else(PoisonError::into_inner);
        metrics.report(&core.counters, core.open_calls());
    }

    fn step(&self, event: Event) -> DeferredEffects {
        let mut core = self.core.lock().unwrap_or_else(PoisonError::into_inner);
        let effects = core.step(self.clock(), event);
        let mut deferred = DeferredEffects::default();
        for effect in effects {
            self.carry_out(effect, &mut deferred);
        }
        deferred
    }

    /// Starts at 1 so that the moment 0 means "never" in frames.
    fn clock(&self) -> Clock {
        let now = Moment(self.started.elapsed().as_millis() as u64 + 1);
        Clock { now, wall_ms: wall_ms() }
    }

    fn carry_out(&self, effect: Effect, deferred: &mut DeferredEffects) {
        match effect {
            Effect::Directive { token, directive } => {
                self.reply(index_of(token), Reply::Directive(directive));
            }
            Effect::Control { token, answer } => {
                self.reply(index_of(token), Reply::Control(answer));
            }
            Effect::Platform { call, request } => self.ask_platform(call, request, deferred),
            Effect::Worker { call, address, request } => {
                let job = WorkerJob { call, address, request };
                if let Err(TrySendError::Full(job)) = self.inlets.worker.try_send(job) {
                    let answer = WorkerAnswer::NotSent;
                    deferred.refused.push(Event::Worker { call: job.call, answer });
                }
            }
            Effect::Frame { to, address, frame } => self.peers.send(to, address, &frame),
            Effect::Log(decision) => deferred.decisions.push(decision),
            Effect::Broken(violations) => {
                let lines: Vec<String> = violations.iter().map(ToString::to_string).collect();
                let _ = self.ended.try_send(Err(lines.join("\n")));
            }
            Effect::Stopped => {
                let _ = self.ended.try_send(Ok(()));
            }
        }
    }

    fn reply(&self, carrier: usize, reply: Reply) {
        if let Some(ring) = self.inlets.replies.get(carrier)
            && ring.try_send(reply).is_err()
        {
            tracing::error!(carrier, "a reply had no one waiting for it");
        }
    }

    fn ask_platform(
        &self,
        call: IoCallId,
        request: PlatformRequest,
        deferred: &mut DeferredEffects,
    ) {
        let is_watch = matches!(request, PlatformRequest::Watch { .. });
        let ring = if is_watch { &self.inlets.watch } else { &self.inlets.platform };
        if let Err(TrySendError::Full(job)) = ring.try_send(PlatformJob { call, request }) {
            let answer = PlatformAnswer::Refused;
            deferred.refused.push(Event::Platform { call: job.call, answer });
        }
    }
}

fn identity(settings: &DaemonSettings) -> Identity {
    let incarnation = Incarnation(wall_ms());
    Identity {
        daemon_ref: DaemonRef { daemon: settings.daemon.clone(), incarnation },
        vm: settings.vm.clone(),
        data_centre: settings.data_centre.clone(),
        peer_address: settings.peer_listen.to_string().into(),
    }
}

fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
