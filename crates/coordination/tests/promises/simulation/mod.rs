//! A seeded simulation of several daemons in virtual time.
//!
//! The daemons run the production state machine. Callers, the platform, minions
//! and workers are fakes. Events are kept in a queue ordered by virtual time and
//! then by the order of scheduling, and all random choices come from one
//! generator, so that a seed and a scenario determine the run.
//!
//! Virtual times and delays are in milliseconds.

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

/// One-way network delay between any two parties, in milliseconds.
const ONE_WAY_DELAY_MS: std::ops::RangeInclusive<u64> = 1..=3;

/// Virtual time before which no fault of the fault matrix is injected, so that the system has
/// come up.
const FIRST_INJECTION_MS: u64 = 4_000;
/// Duration of a fault of the fault matrix, which is longer than every lease.
const OUTAGE_MS: u64 = 15_000;

/// An event in the queue of the simulation.
///
/// `incarnation` is the incarnation of the daemon that sends or receives. An event for a daemon is
/// dropped if the daemon has restarted since; a call or request that a daemon has sent is still
/// carried out.
#[derive(Debug, Clone)]
pub enum ScheduledEvent {
    /// Periodic tick of a daemon.
    Tick { to: DaemonIndex, incarnation: u64 },
    /// An event reaches a daemon.
    DaemonEvent { to: DaemonIndex, incarnation: u64, event: Box<Event> },
    /// A frame of a peer reaches whichever incarnation of a daemon runs.
    FrameArrival { to: DaemonIndex, frame: Box<Frame> },
    /// A daemon's call reaches the platform.
    PlatformCall { from: DaemonIndex, incarnation: u64, call: IoCallId, request: PlatformRequest },
    /// A watch ends without a change.
    WatchTimeout { watch_id: u64 },
    /// A daemon's call reaches a worker.
    WorkerCall {
        from: DaemonIndex,
        incarnation: u64,
        call: IoCallId,
        address: Box<str>,
        request: WorkerRequest,
    },
    /// A request thread carries out a directive; `decided_at_ms` is a time on the daemon's clock.
    RequestSend {
        from: DaemonIndex,
        incarnation: u64,
        token: ReplyToken,
        vm: VmId,
        remaining_ms: u64,
        decided_at_ms: u64,
    },
    /// A request reaches a minion.
    RequestArrival {
        from: DaemonIndex,
        incarnation: u64,
        token: ReplyToken,
        vm: VmId,
        remaining_ms: u64,
    },
    /// A minion finishes a request.
    ExecutionEnd { execution_id: ExecutionId },
    /// A caller sends a call.
    CallerSend { call_index: u64 },
    /// A caller stops waiting for an answer.
    CallerTimeout { call_index: u64 },
    /// An action of the scenario takes place.
    ApplyAction { action: ScenarioAction },
    /// A daemon that is down starts again.
    DaemonStart { daemon: DaemonIndex },
    /// The platform updates the list of VMs.
    ListingRefresh,
    /// A reboot or an outage of a VM ends.
    RebootEnd { vm: VmId },
    /// A submitter submits a job.
    JobSubmission,
}

/// State of all simulated parties and the queue of events.
pub struct Simulation {
    /// Current virtual time.
    pub now: u64,
    pub rng: StdRng,
    /// Scheduled events by virtual time and sequence number.
    event_queue: BTreeMap<(u64, u64), ScheduledEvent>,
    last_sequence: u64,
    pub daemons: Vec<Daemon>,
    pub platform: FakePlatform,
    pub hosts: SimulatedHosts,
    pub checker: Checker,
    /// Number of steps that the state machines of all daemons have taken.
    pub core_steps: u64,
    /// Whether decisions are printed to stderr.
    pub is_tracing: bool,
    /// Fault of the fault matrix, injected at a protocol step.
    pub injected_fault: Option<InjectedFault>,
}

/// A fault that is injected once, when a daemon is about to take a protocol step.
#[derive(Debug, Clone)]
pub struct InjectedFault {
    pub step: ProtocolStep,
    pub fault: FaultKind,
    /// Number of steps of this kind that still pass before the injection.
    pub remaining_skips: u32,
    /// Whether the fault has been injected.
    pub is_injected: bool,
}

/// Kinds of fault in the fault matrix; the variant names are the columns of the matrix.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// The daemon crashes before the step takes effect.
    CrashBefore,
    /// The daemon crashes right after the step was sent.
    CrashAfter,
    /// The daemon is suspended for longer than every lease, right after the step was sent.
    Freeze,
    /// The platform goes down for a while, before the step reaches it.
    PlatformDown,
    /// The platform carries out calls and loses answers for a while, the step included.
    PlatformLossy,
    /// The daemon loses the platform and all peers for a while, the step included.
    Isolated,
    /// All minions, workers and daemons of the daemon's data centre go down at once.
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
            core_steps: 0,
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

    /// Runs a scenario to its end or to the first violation. The checker then holds the
    /// violations.
    pub fn run(seed: u64, scenario: &Scenario) -> Simulation {
        Self::run_with_fault(seed, scenario, None)
    }

    /// Runs a scenario as [`Simulation::run`] does, with a fault injected at a protocol step.
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

    /// Schedules an event `delay_ms` from now.
    pub fn schedule_after(&mut self, delay_ms: u64, event: ScheduledEvent) {
        self.schedule_at(self.now + delay_ms, event);
    }

    /// Schedules an event at a virtual time. Events at the same time run in the order of
    /// scheduling.
    pub fn schedule_at(&mut self, time_ms: u64, event: ScheduledEvent) {
        self.last_sequence += 1;
        self.event_queue.insert((time_ms, self.last_sequence), event);
    }

    /// Draws a one-way network delay.
    pub fn draw_delay_ms(&mut self) -> u64 {
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

    /// Carries out the effects that a daemon's state machine returned.
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
                    let delay_ms = self.draw_delay_ms();
                    self.schedule_after(
                        delay_ms,
                        ScheduledEvent::PlatformCall { from, incarnation, call, request },
                    );
                }
                Effect::Worker { call, address, request } => {
                    let delay_ms = self.draw_delay_ms();
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

    /// Injects the fault of the fault matrix if `effect` is the step that the fault names. Returns
    /// true if the daemon crashes before the step takes effect.
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

    /// Applies a fault that a step of the daemon `from` triggers. A crash after the step and the
    /// loss of a data centre are scheduled as events, so that the step is sent first.
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

    /// Carries out a directive for a request: the request is sent to a minion, or its caller is
    /// answered.
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
            CallDirective::Send { vm, remaining, .. } => {
                let decided_at_ms = self.daemons[from].read_clock(self.now).now.0;
                self.schedule_after(
                    0,
                    ScheduledEvent::RequestSend {
                        from,
                        incarnation,
                        token,
                        vm,
                        remaining_ms: remaining.0,
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

    /// Reports the outcome of an attempt to the daemon that made the attempt.
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

    /// Passes a control answer to the checker. A change may be answered as in force only once the
    /// VM records are based on its revision.
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
                format!(
                    "{revision} was answered as in force, but the VM records are based on {}",
                    fleet.config
                ),
            );
        }
        self.checker.record_control_answer(self.now, token, answer);
    }
}

/// Answer that a caller receives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerAnswer {
    /// The request ran.
    Done,
    /// The request did not run.
    NotRun,
    /// The request may have run.
    Unknown,
}
