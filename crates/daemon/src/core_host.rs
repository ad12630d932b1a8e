//! Hosts the state machine behind a lock and applies its effects.
//!
//! A thread with an event steps the state machine itself. Most directives are ready at
//! once, so handing the event to another thread would cost two wake-ups for no gain
//! (`docs/DESIGN.md`, "Threads"). Effects that take time go over bounded channels to the
//! threads that carry them out.

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

/// How the daemon ended: a graceful stop, or the violated invariants, one per line.
pub type ExitResult = Result<(), String>;

/// Owner of the state machine, with the channels that take the effects.
pub struct CoreHost {
    core: Mutex<Core>,
    senders: ChannelSenders,
    peers: PeerSender,
    started: Instant,
    exit_sender: Sender<ExitResult>,
}

/// Effects carried out after the lock is released.
#[derive(Default)]
struct DeferredEffects {
    decisions: Vec<Decision>,
    /// Refusals of calls whose channel was full, to be stepped as further events.
    refusal_events: Vec<Event>,
}

impl CoreHost {
    /// Creates the host of a new state machine; `exit_sender` receives the result when the daemon
    /// ends.
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

    /// Steps the state machine by one event and applies the effects.
    ///
    /// A call whose channel is full is refused, and the refusal is stepped as a further event.
    pub fn post(&self, event: Event) {
        let mut deferred = self.step(event);
        while let Some(event) = deferred.refusal_events.pop() {
            let next_effects = self.step(event);
            deferred.decisions.extend(next_effects.decisions);
            deferred.refusal_events.extend(next_effects.refusal_events);
        }
        for decision in deferred.decisions {
            self.log_decision(decision);
        }
    }

    /// Passes a decision to the log thread. When the channel is full, the calling thread formats the
    /// line itself; it is lost only if the queue of lines is full too.
    fn log_decision(&self, decision: Decision) {
        if let Err(TrySendError::Full(decision) | TrySendError::Disconnected(decision)) =
            self.senders.decisions.try_send(decision)
        {
            logs::log_decision(&decision);
        }
    }

    /// Exports the daemon's counters.
    pub fn export_metrics(&self, exporter: &mut MetricsExporter) {
        let core = self.core.lock().unwrap_or_else(PoisonError::into_inner);
        exporter.export(&core.counters, core.open_calls());
    }

    /// Steps the state machine once, and returns the effects to apply after the lock is released.
    fn step(&self, event: Event) -> DeferredEffects {
        let mut core = self.core.lock().unwrap_or_else(PoisonError::into_inner);
        let effects = core.step(self.read_clock(), event);
        let mut deferred = DeferredEffects::default();
        for effect in effects {
            self.apply_effect(effect, &mut deferred);
        }
        deferred
    }

    /// Returns the time since the start of the process, plus 1 ms: the clock starts at 1 because
    /// moment 0 means "never" in frames.
    fn read_clock(&self) -> Clock {
        let now = Moment(self.started.elapsed().as_millis() as u64 + 1);
        Clock { now, wall_ms: read_wall_clock_ms() }
    }

    fn apply_effect(&self, effect: Effect, deferred: &mut DeferredEffects) {
        match effect {
            Effect::Directive { token, directive } => {
                self.send_reply(reply_index(token), RequestReply::Directive(directive));
            }
            Effect::Control { token, answer } => {
                self.send_reply(reply_index(token), RequestReply::Control(answer));
            }
            Effect::Platform { call, request } => self.send_platform_call(call, request, deferred),
            Effect::Worker { call, address, request } => {
                let queued_call = QueuedWorkerCall { call, address, request };
                if let Err(TrySendError::Full(queued_call)) =
                    self.senders.worker.try_send(queued_call)
                {
                    let answer = WorkerAnswer::NotSent;
                    deferred.refusal_events.push(Event::Worker { call: queued_call.call, answer });
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

    fn send_reply(&self, thread_index: usize, reply: RequestReply) {
        if let Some(channel) = self.senders.replies.get(thread_index)
            && channel.try_send(reply).is_err()
        {
            tracing::error!(
                carrier = thread_index,
                "reply dropped: the request thread waits for no reply"
            );
        }
    }

    fn send_platform_call(
        &self,
        call: IoCallId,
        request: PlatformRequest,
        deferred: &mut DeferredEffects,
    ) {
        let is_watch = matches!(request, PlatformRequest::Watch { .. });
        let channel = if is_watch { &self.senders.watch } else { &self.senders.platform };
        if let Err(TrySendError::Full(queued_call)) =
            channel.try_send(QueuedPlatformCall { call, request })
        {
            let answer = PlatformAnswer::Refused;
            deferred.refusal_events.push(Event::Platform { call: queued_call.call, answer });
        }
    }
}

fn build_identity(settings: &DaemonSettings) -> Identity {
    let incarnation = Incarnation(read_wall_clock_ms());
    Identity {
        daemon_ref: DaemonRef { daemon: settings.daemon.clone(), incarnation },
        vm: settings.vm.clone(),
        data_centre: settings.data_centre.clone(),
        peer_address: settings.peer_listen.to_string().into(),
    }
}

/// Returns the milliseconds since 1970; 0 when the system clock shows an earlier time.
fn read_wall_clock_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}
