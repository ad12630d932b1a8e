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

use crate::channels::{
    ChannelSenders, QueuedPlatformCall, QueuedWorkerCall, RequestReply, reply_index,
};
use crate::logs;
use crate::metrics::MetricsExporter;

/// How the daemon came to its end.
pub type ExitResult = Result<(), String>;

/// The one state machine of the process.
pub struct CoreHost {
    core: Mutex<Core>,
    senders: ChannelSenders,
    peers: PeerSender,
    started: Instant,
    exit_sender: Sender<ExitResult>,
}

/// What is left to do once the lock is free again.
#[derive(Default)]
struct DeferredEffects {
    decisions: Vec<Decision>,
    /// Answers to calls that no thread could take.
    rejected_calls: Vec<Event>,
}

impl CoreHost {
    /// A machine that has seen no event; its end goes to `exit_sender`.
    pub fn new(
        settings: &DaemonSettings,
        senders: ChannelSenders,
        peers: PeerSender,
        exit_sender: Sender<ExitResult>,
    ) -> Self {
        let core_settings = CoreSettings { queue_limit: settings.queue_limit };
        let core = Mutex::new(Core::new(build_identity(settings), core_settings));
        Self { core, senders, peers, started: Instant::now(), exit_sender }
    }

    /// Steps the machine by one event and carries its effects out.
    pub fn post(&self, event: Event) {
        let mut deferred = self.step(event);
        while let Some(event) = deferred.rejected_calls.pop() {
            let next_effects = self.step(event);
            deferred.decisions.extend(next_effects.decisions);
            deferred.rejected_calls.extend(next_effects.rejected_calls);
        }
        for decision in deferred.decisions {
            self.log_decision(decision);
        }
    }

    /// Leaves a decision's line to the thread that writes them; when that does
    /// not keep up, whoever decided writes it, so that no line is lost.
    fn log_decision(&self, decision: Decision) {
        if let Err(TrySendError::Full(decision) | TrySendError::Disconnected(decision)) =
            self.senders.decisions.try_send(decision)
        {
            logs::decision(&decision);
        }
    }

    /// Exports the measures.
    pub fn report(&self, metrics: &mut MetricsExporter) {
        let core = self.core.lock().unwrap_or_else(PoisonError::into_inner);
        metrics.export(&core.counters, core.open_calls());
    }

    fn step(&self, event: Event) -> DeferredEffects {
        let mut core = self.core.lock().unwrap_or_else(PoisonError::into_inner);
        let effects = core.step(self.clock(), event);
        let mut deferred = DeferredEffects::default();
        for effect in effects {
            self.apply_effect(effect, &mut deferred);
        }
        deferred
    }

    /// Starts at 1 so that the moment 0 means "never" in frames.
    fn clock(&self) -> Clock {
        let now = Moment(self.started.elapsed().as_millis() as u64 + 1);
        Clock { now, wall_ms: wall_ms() }
    }

    fn apply_effect(&self, effect: Effect, deferred: &mut DeferredEffects) {
        match effect {
            Effect::Directive { token, directive } => {
                self.reply(reply_index(token), RequestReply::Directive(directive));
            }
            Effect::Control { token, answer } => {
                self.reply(reply_index(token), RequestReply::Control(answer));
            }
            Effect::Platform { call, request } => self.send_platform_call(call, request, deferred),
            Effect::Worker { call, address, request } => {
                let queued_call = QueuedWorkerCall { call, address, request };
                if let Err(TrySendError::Full(queued_call)) =
                    self.senders.worker.try_send(queued_call)
                {
                    let answer = WorkerAnswer::NotSent;
                    deferred.rejected_calls.push(Event::Worker { call: queued_call.call, answer });
                }
            }
            Effect::Frame { to, address, frame } => self.peers.send(to, address, &frame),
            Effect::Log(decision) => deferred.decisions.push(decision),
            Effect::Broken(violations) => {
                let lines: Vec<String> = violations.iter().map(ToString::to_string).collect();
                let _ = self.exit_sender.try_send(Err(lines.join("\n")));
            }
            Effect::Stopped => {
                let _ = self.exit_sender.try_send(Ok(()));
            }
        }
    }

    fn reply(&self, carrier: usize, reply: RequestReply) {
        if let Some(ring) = self.senders.replies.get(carrier)
            && ring.try_send(reply).is_err()
        {
            tracing::error!(carrier, "a reply had no one waiting for it");
        }
    }

    fn send_platform_call(
        &self,
        call: IoCallId,
        request: PlatformRequest,
        deferred: &mut DeferredEffects,
    ) {
        let is_watch = matches!(request, PlatformRequest::Watch { .. });
        let ring = if is_watch { &self.senders.watch } else { &self.senders.platform };
        if let Err(TrySendError::Full(queued_call)) =
            ring.try_send(QueuedPlatformCall { call, request })
        {
            let answer = PlatformAnswer::Refused;
            deferred.rejected_calls.push(Event::Platform { call: queued_call.call, answer });
        }
    }
}

fn build_identity(settings: &DaemonSettings) -> Identity {
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
