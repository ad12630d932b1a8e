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
use hosts::{Hosts, RunIndex};
use platform::Store;
use scenario::{Action, Scenario};

/// One-way delay between any two parties, in milliseconds.
const DELAY: std::ops::RangeInclusive<u64> = 1..=3;

/// Faults strike only once the system has come up.
const STRIKES_FROM: u64 = 4_000;
/// How long a fault of the matrix lasts: longer than every lease.
const OUTAGE: u64 = 15_000;

/// Something that will happen.
#[derive(Debug, Clone)]
pub enum Happening {
    Tick {
        to: DaemonIndex,
        run: u64,
    },
    Event {
        to: DaemonIndex,
        run: u64,
        event: Box<Event>,
    },
    Frame {
        to: DaemonIndex,
        frame: Box<Frame>,
    },
    Platform {
        from: DaemonIndex,
        run: u64,
        call: IoCallId,
        request: PlatformRequest,
    },
    WatchEnds {
        watch: u64,
    },
    Worker {
        from: DaemonIndex,
        run: u64,
        call: IoCallId,
        address: Box<str>,
        request: WorkerRequest,
    },
    /// A request thread carries out a verdict; `decided` is on its daemon's clock.
    Carry {
        from: DaemonIndex,
        run: u64,
        token: ReplyToken,
        vm: VmId,
        left: u64,
        decided: u64,
    },
    Arrive {
        from: DaemonIndex,
        run: u64,
        token: ReplyToken,
        vm: VmId,
        left: u64,
    },
    RunEnds {
        run: RunIndex,
    },
    Caller {
        call: u64,
    },
    CallerGivesUp {
        call: u64,
    },
    Action {
        action: Action,
    },
    Start {
        daemon: DaemonIndex,
    },
    Listing,
    RebootEnds {
        vm: VmId,
    },
    Jobs,
}

/// Everything, and what comes next.
pub struct World {
    pub now: u64,
    pub rng: StdRng,
    agenda: BTreeMap<(u64, u64), Happening>,
    sequence: u64,
    pub daemons: Vec<Daemon>,
    pub store: Store,
    pub hosts: Hosts,
    pub checker: Checker,
    pub steps: u64,
    pub verbose: bool,
    /// The fault that strikes at a step, for the fault matrix.
    pub strike: Option<Strike>,
}

/// A fault that strikes when a daemon is about to take a step.
#[derive(Debug, Clone)]
pub struct Strike {
    pub step: ProtocolStep,
    pub fault: Fault,
    /// How many such steps pass before it strikes.
    pub after: u32,
    pub struck: bool,
}

/// What strikes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
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

impl Fault {
    pub const ALL: &[Fault] = &[
        Fault::CrashBefore,
        Fault::CrashAfter,
        Fault::Freeze,
        Fault::PlatformDown,
        Fault::PlatformLossy,
        Fault::Isolated,
        Fault::CentreLost,
    ];
}

impl World {
    pub fn new(seed: u64) -> Self {
        let mut world = Self {
            now: 0,
            rng: StdRng::seed_from_u64(seed),
            agenda: BTreeMap::new(),
            sequence: 0,
            daemons: Vec::new(),
            store: Store::new(),
            hosts: Hosts::new(),
            checker: Checker::default(),
            steps: 0,
            verbose: std::env::var("TRACE").is_ok(),
            strike: None,
        };
        for number in 0..scenario::DAEMONS {
            world.start_daemon(number);
        }
        world.after(0, Happening::Listing);
        world.after(1_500, Happening::Jobs);
        world
    }

    /// Runs a scenario to its end; the checker then has what was broken.
    pub fn run(seed: u64, scenario: &Scenario) -> World {
        Self::run_struck(seed, scenario, None)
    }

    /// Runs a scenario in which a fault strikes at a step.
    pub fn run_struck(seed: u64, scenario: &Scenario, strike: Option<Strike>) -> World {
        let mut world = World::new(seed);
        world.strike = strike;
        for step in &scenario.steps {
            world.at(step.at, Happening::Action { action: step.action.clone() });
        }
        world.plan_calls(scenario.length);
        while let Some(((now, _), happening)) = world.agenda.pop_first() {
            if now > scenario.length + scenario::SETTLE || world.checker.has_failed() {
                break;
            }
            world.now = now;
            world.happen(happening);
        }
        world.checker.finish(&world.store);
        world
    }

    pub fn after(&mut self, delay: u64, happening: Happening) {
        self.at(self.now + delay, happening);
    }

    pub fn at(&mut self, time: u64, happening: Happening) {
        self.sequence += 1;
        self.agenda.insert((time, self.sequence), happening);
    }

    pub fn delay(&mut self) -> u64 {
        self.rng.random_range(DELAY)
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Tick { to, run } => self.tick(to, run),
            Happening::Event { to, run, event } => self.deliver(to, run, *event),
            Happening::Frame { to, frame } => {
                let run = self.daemons[to].run;
                self.deliver(to, run, Event::Frame(frame));
            }
            Happening::Platform { from, run, call, request } => {
                self.platform_called(from, run, call, &request);
            }
            Happening::WatchEnds { watch } => self.end_watch(watch),
            Happening::Worker { from, run, call, address, request } => {
                self.worker_called(from, run, call, &address, &request);
            }
            Happening::Carry { .. } => self.carry(happening),
            Happening::Arrive { from, run, token, vm, left } => {
                self.arrive(from, run, token, vm, left);
            }
            Happening::RunEnds { run } => self.run_ends(run),
            Happening::Caller { call } => self.caller_sends(call),
            Happening::CallerGivesUp { call } => self.caller_gives_up(call),
            Happening::Action { action } => self.act(&action),
            Happening::Start { daemon } => {
                if self.daemons[daemon].core.is_none() {
                    self.start_daemon(daemon);
                }
            }
            Happening::Listing => self.refresh_listing(),
            Happening::RebootEnds { vm } => self.reboot_ends(&vm),
            Happening::Jobs => self.submit_jobs(),
        }
    }

    /// Carries out what a daemon decided.
    pub fn carry_out(&mut self, from: DaemonIndex, effects: Vec<Effect>) {
        let run = self.daemons[from].run;
        for effect in effects {
            if self.strike_at(from, &effect) {
                return;
            }
            match effect {
                Effect::Directive { token, directive } => {
                    self.directive(from, run, token, directive)
                }
                Effect::Platform { call, request } => {
                    let delay = self.delay();
                    self.after(delay, Happening::Platform { from, run, call, request });
                }
                Effect::Worker { call, address, request } => {
                    let delay = self.delay();
                    self.after(delay, Happening::Worker { from, run, call, address, request });
                }
                Effect::Frame { to, frame, .. } => self.send_frame(from, &to, frame),
                Effect::Control { token, answer } => self.control_answered(token, &answer),
                Effect::Log(decision) => {
                    if self.verbose {
                        eprintln!("{:>7} {} {decision}", self.now, self.daemons[from].id);
                    }
                }
                Effect::Broken(violations) => {
                    for violation in violations {
                        self.checker.fail(self.now, format!("daemon {from}: {violation}"));
                    }
                }
                Effect::Stopped => self.daemons[from].core = None,
            }
        }
    }

    /// Lets the fault strike if this is its step; true if the daemon is gone
    /// before the step takes effect.
    fn strike_at(&mut self, from: DaemonIndex, effect: &Effect) -> bool {
        let Some(strike) = self.strike.as_mut() else { return false };
        if strike.struck || effect.step() != Some(strike.step) || self.now < STRIKES_FROM {
            return false;
        }
        if strike.after > 0 {
            strike.after -= 1;
            return false;
        }
        strike.struck = true;
        let fault = strike.fault;
        self.apply_fault(from, fault);
        fault == Fault::CrashBefore
    }

    fn apply_fault(&mut self, from: DaemonIndex, fault: Fault) {
        let daemon = from;
        let action = match fault {
            Fault::CrashBefore => Action::Crash { daemon, back_after: OUTAGE },
            Fault::CrashAfter => {
                let action = Action::Crash { daemon, back_after: OUTAGE };
                return self.after(0, Happening::Action { action });
            }
            Fault::Freeze => Action::Freeze { daemon, span: OUTAGE },
            Fault::PlatformDown => Action::PlatformDown { span: OUTAGE },
            Fault::PlatformLossy => Action::PlatformLossy { span: OUTAGE },
            Fault::Isolated => Action::Isolate { daemon, span: OUTAGE },
            Fault::CentreLost => {
                let action =
                    Action::CentreLost { centre: daemon % scenario::CENTRES, span: OUTAGE };
                return self.after(0, Happening::Action { action });
            }
        };
        self.act(&action);
    }

    fn directive(
        &mut self,
        from: DaemonIndex,
        run: u64,
        token: ReplyToken,
        directive: CallDirective,
    ) {
        if self.verbose {
            eprintln!("{:>7} verdict {token:?} {directive:?}", self.now);
        }
        match directive {
            CallDirective::Send { vm, remaining: left, .. } => {
                let decided = self.daemons[from].clock(self.now).now.0;
                self.after(0, Happening::Carry { from, run, token, vm, left: left.0, decided });
            }
            other => {
                let answered = match other {
                    CallDirective::Refuse(_) => Heard::NotRun,
                    CallDirective::Replay(_) | CallDirective::RanBefore => Heard::Done,
                    _ => Heard::Unknown,
                };
                self.caller_hears(token, answered);
            }
        }
    }

    pub fn end_attempt(
        &mut self,
        to: DaemonIndex,
        run: u64,
        token: ReplyToken,
        ending: AttemptOutcome,
    ) {
        let event = Box::new(Event::CallEnded { token, outcome: ending });
        self.after(0, Happening::Event { to, run, event });
    }

    fn control_answered(&mut self, token: ReplyToken, answer: &ControlAnswer) {
        if self.verbose {
            eprintln!("{:>7} control {token:?} {answer:?}", self.now);
        }
        let fleet: FleetDoc = self.store.read("shared/fleet");
        if let ControlAnswer::InForce { revision } = answer
            && fleet.config < *revision
        {
            self.checker.fail(
                self.now,
                format!("{revision} is in force, VM records go by {}", fleet.config),
            );
        }
        self.checker.control_answered(self.now, token, answer);
    }
}

/// What a caller is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Heard {
    Done,
    NotRun,
    Unknown,
}
