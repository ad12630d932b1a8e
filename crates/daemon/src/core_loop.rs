//! The thread that owns the state machine.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use coordination::{
    Clock, Core, CoreSettings, Effect, Event, Identity, IoCall, PlatformAnswer, PlatformRequest,
    WorkerAnswer,
};
use crossbeam::channel::{TrySendError, after, never, select};
use state::{DaemonRef, DaemonSettings, Incarnation, Moment};
use transport::PeerLink;

use crate::logs;
use crate::metrics::Metrics;
use crate::ring::{PlatformJob, Reply, Rings, WorkerJob, index_of};

struct CoreLoop<'a> {
    rings: Rings,
    peers: &'a PeerLink,
    started: Instant,
    /// Answers to calls that no thread could take.
    refused: Vec<Event>,
    violations: Option<String>,
    stopped: bool,
}

/// Runs until the graceful stop is complete, or an invariant is broken.
pub fn run(
    settings: &DaemonSettings,
    rings: Rings,
    peers: &PeerLink,
    mut metrics: Metrics,
) -> Result<(), String> {
    let mut core =
        Core::new(identity(settings), CoreSettings { queue_limit: settings.queue_limit });
    let mut state = CoreLoop {
        rings,
        peers,
        started: Instant::now(),
        refused: Vec::new(),
        violations: None,
        stopped: false,
    };
    let period = Duration::from_millis(Core::tick_period().0);
    let mut next_tick = Instant::now();
    while !state.stopped && state.violations.is_none() {
        let event = state.next_event(&mut next_tick, period);
        let is_tick = matches!(event, Event::Tick);
        let effects = core.step(state.clock(), event);
        state.carry_out(effects);
        if is_tick {
            metrics.report(&core.measures, core.open_calls());
        }
    }
    state.violations.map_or(Ok(()), Err)
}

fn identity(settings: &DaemonSettings) -> Identity {
    let incarnation = Incarnation(wall_ms());
    Identity {
        me: DaemonRef { daemon: settings.daemon.clone(), incarnation },
        vm: settings.vm.clone(),
        data_centre: settings.data_centre.clone(),
        peer_address: settings.peer_listen.to_string().into(),
    }
}

fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

impl CoreLoop<'_> {
    /// Starts at 1 so that the moment 0 means "never" in frames.
    fn clock(&self) -> Clock {
        let now = Moment(self.started.elapsed().as_millis() as u64 + 1);
        Clock { now, wall_ms: wall_ms() }
    }

    fn next_event(&mut self, next_tick: &mut Instant, period: Duration) -> Event {
        if let Some(event) = self.refused.pop() {
            return event;
        }
        let now = Instant::now();
        if now >= *next_tick {
            *next_tick = now + period;
            return Event::Tick;
        }
        let tick = if *next_tick > now { after(*next_tick - now) } else { never() };
        select! {
            recv(self.rings.events) -> event => event.unwrap_or(Event::Tick),
            recv(self.rings.frames) -> frame => frame.map_or(Event::Tick, Event::Frame),
            recv(tick) -> _ => {
                *next_tick = Instant::now() + period;
                Event::Tick
            }
        }
    }

    fn carry_out(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Verdict { token, verdict } => {
                    self.reply(index_of(token), Reply::Verdict(verdict));
                }
                Effect::Control { token, answer } => {
                    self.reply(index_of(token), Reply::Control(answer));
                }
                Effect::Platform { call, request } => self.ask_platform(call, request),
                Effect::Worker { call, address, request } => {
                    let job = WorkerJob { call, address, request };
                    if let Err(TrySendError::Full(job)) = self.rings.worker_in.try_send(job) {
                        let answer = WorkerAnswer::NotSent;
                        self.refused.push(Event::Worker { call: job.call, answer });
                    }
                }
                Effect::Frame { to, address, frame } => self.peers.send(to, address, &frame),
                Effect::Log(decision) => logs::decision(&decision),
                Effect::Broken(violations) => {
                    let lines: Vec<String> = violations.iter().map(ToString::to_string).collect();
                    self.violations = Some(lines.join("\n"));
                }
                Effect::Stopped => self.stopped = true,
            }
        }
    }

    fn reply(&self, carrier: usize, reply: Reply) {
        if let Some(ring) = self.rings.replies_in.get(carrier)
            && ring.try_send(reply).is_err()
        {
            tracing::error!(carrier, "a reply had no one waiting for it");
        }
    }

    fn ask_platform(&mut self, call: IoCall, request: PlatformRequest) {
        let is_watch = matches!(request, PlatformRequest::Watch { .. });
        let ring = if is_watch { &self.rings.watch_in } else { &self.rings.platform_in };
        if let Err(TrySendError::Full(job)) = ring.try_send(PlatformJob { call, request }) {
            let answer = PlatformAnswer::Refused;
            self.refused.push(Event::Platform { call: job.call, answer });
        }
    }
}
