//! The real decision code of several daemons with a small fake at each
//! interface, in virtual time, all from one seed.

pub mod callers;
pub mod checker;
pub mod daemons;
pub mod hosts;
pub mod platform;
pub mod scenario;

use std::collections::BTreeMap;

use coordination::{
    AttemptOutcome, CallDirective, ControlAnswer, Effect, Event, Frame, IoCallId, PlatformRequest,
    ProtocolStep, ReplyToken, WorkerRequest,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use state::{FleetDoc, VmId};

use checker::Checker;
use daemons::{Daemon, DaemonIndex};
use hosts::{ExecutionId, SimulatedHosts};
use platform::FakePlatform;
use scenario::{Scenario, ScenarioAction};

/// One-way delay between any two parties, in milliseconds.
const ONE_WAY_DELAY_MS: std::ops::RangeInclusive<u64> = 1..=3;

/// Faults strike only once the system has come up.
const FIRST_INJECTION_MS: u64 = 4_000;
/// How long a fault of the matrix lasts: longer than every lease.
const OUTAGE_MS: u64 = 15_000;

/// Something that will happen.
#[derive(Debug, Clone)]
pub enum ScheduledEvent {
    Tick {
        to: DaemonIndex,
        incarnation: u64,
    },
    DaemonEvent {
        to: DaemonIndex,
        incarnation: u64,
        event: Box<Event>,
    },
    FrameArrival {
        to: DaemonIndex,
        frame: Box<Frame>,
    },
    PlatformCall {
        from: DaemonIndex,
        incarnation: u64,
        call: IoCallId,
        request: PlatformRequest,
    },
    WatchTimeout {
        watch_id: u64,
    },
    WorkerCall {
        from: DaemonIndex,
        incarnation: u64,
        call: IoCallId,
        address: Box<str>,
        request: WorkerRequest,
    },
    /// A request thread carries out a verdict; `decided` is on its daemon's clock.
    RequestSend {
        from: DaemonIndex,
        incarnation: u64,
        token: ReplyToken,
        vm: VmId,
        remaining_ms: u64,
        decided_at_ms: u64,
    },
    RequestArrival {
        from: DaemonIndex,
        incarnation: u64,
        token: ReplyToken,
        vm: VmId,
        remaining_ms: u64,
    },
    ExecutionEnd {
        execution_id: ExecutionId,
    },
    CallerSend {
        call_index: u64,
    },
    CallerTimeout {
        call_index: u64,
    },
    ApplyAction {
        action: ScenarioAction,
    },
    DaemonStart {
        daemon: DaemonIndex,
    },
    ListingRefresh,
    RebootEnd {
        vm: VmId,
    },
    JobSubmission,
}

/// Everything, and what comes next.
pub struct Simulation {
    pub now: u64,
    pub rng: StdRng,
    event_queue: BTreeMap<(u64, u64), ScheduledEvent>,
    last_sequence: u64,
    pub daemons: Vec<Daemon>,
    pub platform: FakePlatform,
    pub hosts: SimulatedHosts,
    pub checker: Checker,
    pub steps: u64,
    pub is_tracing: bool,
    /// The fault that strikes at a step, for the fault matrix.
    pub injected_fault: Option<InjectedFault>,
}

/// A fault that strikes when a daemon is about to take a step.
#[derive(Debug, Clone)]
pub struct InjectedFault {
    pub step: ProtocolStep,
    pub fault: FaultKind,
    /// How many such steps pass before it strikes.
    pub remaining_skips: u32,
    pub is_injected: bool,
}

/// What strikes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// The daemon crashes before the step takes effect.
    CrashBefore,
    /// The daemon crashes right after the step was sent.
    CrashAfter,
    /// The daemon freezes for longer than every lease, with the step sent.
    Freeze,
    /// The platform goes down for a while, the step included.
    PlatformDown,
    /// The platform takes effect and loses its answers for a while.
    PlatformLossy,
    /// The daemon loses all contact for a while, the step included.
    Isolated,
    /// All VMs and daemons of a data centre go at once.
    CentreLost,
}

impl FaultKind {
    pub const ALL: &[FaultKind] = &[
        FaultKind::CrashBefore,
        FaultKind::CrashAfter,
        FaultKind::Freeze,
        FaultKind::PlatformDown,
        FaultKind::PlatformLossy,
        FaultKind::Isolated,
        FaultKind::CentreLost,
    ];
}

impl Simulation {
    pub fn new(seed: u64) -> Self {
        let mut simulation = Self {
            now: 0,
            rng: StdRng::seed_from_u64(seed),
            event_queue: BTreeMap::new(),
            last_sequence: 0,
            daemons: Vec::new(),
            platform: FakePlatform::new(),
            hosts: SimulatedHosts::new(),
            checker: Checker::default(),
            steps: 0,
            is_tracing: std::env::var("TRACE").is_ok(),
            injected_fault: None,
        };
        for number in 0..scenario::DAEMON_COUNT {
            simulation.start_daemon(number);
        }
        simulation.schedule_after(0, ScheduledEvent::ListingRefresh);
        simulation.schedule_after(1_500, ScheduledEvent::JobSubmission);
        simulation
    }

    /// Runs a scenario to its end; the checker then has what was broken.
    pub fn run(seed: u64, scenario: &Scenario) -> Simulation {
        Self::run_with_fault(seed, scenario, None)
    }

    /// Runs a scenario in which a fault strikes at a step.
    pub fn run_with_fault(
        seed: u64,
        scenario: &Scenario,
        injected_fault: Option<InjectedFault>,
    ) -> Simulation {
        let mut simulation = Simulation::new(seed);
        simulation.injected_fault = injected_fault;
        for step in &scenario.steps {
            simulation.schedule_at(
                step.at_ms,
                ScheduledEvent::ApplyAction { action: step.action.clone() },
            );
        }
        simulation.schedule_calls(scenario.duration_ms);
        while let Some(((now, _), event)) = simulation.event_queue.pop_first() {
            if now > scenario.duration_ms + scenario::SETTLING_TIME_MS
                || simulation.checker.has_violations()
            {
                break;
            }
            simulation.now = now;
            simulation.process_event(event);
        }
        simulation.checker.check_accepted_changes(&simulation.platform);
        simulation
    }

    pub fn schedule_after(&mut self, delay_ms: u64, event: ScheduledEvent) {
        self.schedule_at(self.now + delay_ms, event);
    }

    pub fn schedule_at(&mut self, time_ms: u64, event: ScheduledEvent) {
        self.last_sequence += 1;
        self.event_queue.insert((time_ms, self.last_sequence), event);
    }

    pub fn random_delay_ms(&mut self) -> u64 {
        self.rng.random_range(ONE_WAY_DELAY_MS)
    }

    fn process_event(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Tick { to, incarnation } => self.handle_tick(to, incarnation),
            ScheduledEvent::DaemonEvent { to, incarnation, event } => {
                self.deliver_event(to, incarnation, *event)
            }
            ScheduledEvent::FrameArrival { to, frame } => {
                let incarnation = self.daemons[to].incarnation;
                self.deliver_event(to, incarnation, Event::Frame(frame));
            }
            ScheduledEvent::PlatformCall { from, incarnation, call, request } => {
                self.handle_platform_call(from, incarnation, call, &request);
            }
            ScheduledEvent::WatchTimeout { watch_id } => self.end_watch(watch_id),
            ScheduledEvent::WorkerCall { from, incarnation, call, address, request } => {
                self.handle_worker_call(from, incarnation, call, &address, &request);
            }
            ScheduledEvent::RequestSend { .. } => self.send_request(event),
            ScheduledEvent::RequestArrival { from, incarnation, token, vm, remaining_ms } => {
                self.handle_request_arrival(from, incarnation, token, vm, remaining_ms);
            }
            ScheduledEvent::ExecutionEnd { execution_id } => self.finish_execution(execution_id),
            ScheduledEvent::CallerSend { call_index } => self.send_call(call_index),
            ScheduledEvent::CallerTimeout { call_index } => self.handle_caller_timeout(call_index),
            ScheduledEvent::ApplyAction { action } => self.apply_action(&action),
            ScheduledEvent::DaemonStart { daemon } => {
                if self.daemons[daemon].core.is_none() {
                    self.start_daemon(daemon);
                }
            }
            ScheduledEvent::ListingRefresh => self.refresh_listing(),
            ScheduledEvent::RebootEnd { vm } => self.finish_vm_reboot(&vm),
            ScheduledEvent::JobSubmission => self.submit_job(),
        }
    }

    /// Carries out what a daemon decided.
    pub fn apply_effects(&mut self, from: DaemonIndex, effects: Vec<Effect>) {
        let incarnation = self.daemons[from].incarnation;
        for effect in effects {
            if self.inject_fault(from, &effect) {
                return;
            }
            match effect {
                Effect::Directive { token, directive } => {
                    self.handle_directive(from, incarnation, token, directive)
                }
                Effect::Platform { call, request } => {
                    let delay_ms = self.random_delay_ms();
                    self.schedule_after(
                        delay_ms,
                        ScheduledEvent::PlatformCall { from, incarnation, call, request },
                    );
                }
                Effect::Worker { call, address, request } => {
                    let delay_ms = self.random_delay_ms();
                    self.schedule_after(
                        delay_ms,
                        ScheduledEvent::WorkerCall { from, incarnation, call, address, request },
                    );
                }
                Effect::Frame { to, frame, .. } => self.send_frame(from, &to, frame),
                Effect::Control { token, answer } => self.handle_control_answer(token, &answer),
                Effect::Log(decision) => {
                    if self.is_tracing {
                        eprintln!("{:>7} {} {decision}", self.now, self.daemons[from].id);
                    }
                }
                Effect::Broken(violations) => {
                    for violation in violations {
                        self.checker
                            .record_violation(self.now, format!("daemon {from}: {violation}"));
                    }
                }
                Effect::Stopped => self.daemons[from].core = None,
            }
        }
    }

    /// Lets the fault strike if this is its step; true if the daemon is gone
    /// before the step takes effect.
    fn inject_fault(&mut self, from: DaemonIndex, effect: &Effect) -> bool {
        let Some(injected_fault) = self.injected_fault.as_mut() else { return false };
        if injected_fault.is_injected
            || effect.step() != Some(injected_fault.step)
            || self.now < FIRST_INJECTION_MS
        {
            return false;
        }
        if injected_fault.remaining_skips > 0 {
            injected_fault.remaining_skips -= 1;
            return false;
        }
        injected_fault.is_injected = true;
        let fault = injected_fault.fault;
        self.apply_fault(from, fault);
        fault == FaultKind::CrashBefore
    }

    fn apply_fault(&mut self, from: DaemonIndex, fault: FaultKind) {
        let daemon = from;
        let action = match fault {
            FaultKind::CrashBefore => ScenarioAction::Crash { daemon, restart_delay_ms: OUTAGE_MS },
            FaultKind::CrashAfter => {
                let action = ScenarioAction::Crash { daemon, restart_delay_ms: OUTAGE_MS };
                return self.schedule_after(0, ScheduledEvent::ApplyAction { action });
            }
            FaultKind::Freeze => ScenarioAction::Freeze { daemon, duration_ms: OUTAGE_MS },
            FaultKind::PlatformDown => ScenarioAction::PlatformDown { duration_ms: OUTAGE_MS },
            FaultKind::PlatformLossy => ScenarioAction::PlatformLossy { duration_ms: OUTAGE_MS },
            FaultKind::Isolated => ScenarioAction::Isolate { daemon, duration_ms: OUTAGE_MS },
            FaultKind::CentreLost => {
                let action = ScenarioAction::CentreLost {
                    data_centre: daemon % scenario::DATA_CENTRE_COUNT,
                    duration_ms: OUTAGE_MS,
                };
                return self.schedule_after(0, ScheduledEvent::ApplyAction { action });
            }
        };
        self.apply_action(&action);
    }

    fn handle_directive(
        &mut self,
        from: DaemonIndex,
        incarnation: u64,
        token: ReplyToken,
        directive: CallDirective,
    ) {
        if self.is_tracing {
            eprintln!("{:>7} verdict {token:?} {directive:?}", self.now);
        }
        match directive {
            CallDirective::Send { vm, remaining: remaining_ms, .. } => {
                let decided_at_ms = self.daemons[from].clock(self.now).now.0;
                self.schedule_after(
                    0,
                    ScheduledEvent::RequestSend {
                        from,
                        incarnation,
                        token,
                        vm,
                        remaining_ms: remaining_ms.0,
                        decided_at_ms,
                    },
                );
            }
            other => {
                let caller_answer = match other {
                    CallDirective::Refuse(_) => CallerAnswer::NotRun,
                    CallDirective::Replay(_) | CallDirective::RanBefore => CallerAnswer::Done,
                    _ => CallerAnswer::Unknown,
                };
                self.deliver_caller_answer(token, caller_answer);
            }
        }
    }

    pub fn report_attempt_outcome(
        &mut self,
        to: DaemonIndex,
        incarnation: u64,
        token: ReplyToken,
        outcome: AttemptOutcome,
    ) {
        let event = Box::new(Event::CallEnded { token, outcome });
        self.schedule_after(0, ScheduledEvent::DaemonEvent { to, incarnation, event });
    }

    fn handle_control_answer(&mut self, token: ReplyToken, answer: &ControlAnswer) {
        if self.is_tracing {
            eprintln!("{:>7} control {token:?} {answer:?}", self.now);
        }
        let fleet: FleetDoc = self.platform.read("shared/fleet");
        if let ControlAnswer::InForce { revision } = answer
            && fleet.config < *revision
        {
            self.checker.record_violation(
                self.now,
                format!("{revision} is in force, VM records go by {}", fleet.config),
            );
        }
        self.checker.record_control_answer(self.now, token, answer);
    }
}

/// What a caller is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerAnswer {
    Done,
    NotRun,
    Unknown,
}
