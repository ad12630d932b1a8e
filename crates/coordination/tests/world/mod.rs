//! The real decision code of several daemons with a small fake at each
//! interface, in virtual time, all from one seed.

pub mod callers;
pub mod checker;
pub mod daemons;
pub mod hosts;
pub mod scenario;
pub mod store;

use std::collections::BTreeMap;

use coordination::{
    CallEnding, CallVerdict, ControlAnswer, Effect, Event, Frame, IoCall, PlatformRequest, Token,
    WorkerRequest,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use state::VmId;

use checker::Checker;
use daemons::{Daemon, DaemonIndex};
use hosts::{Hosts, RunIndex};
use scenario::{Action, Scenario};
use store::Store;

/// One-way delay between any two parties, in milliseconds.
const DELAY: std::ops::RangeInclusive<u64> = 1..=3;

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
        call: IoCall,
        request: PlatformRequest,
    },
    WatchEnds {
        watch: u64,
    },
    Worker {
        from: DaemonIndex,
        run: u64,
        call: IoCall,
        address: Box<str>,
        request: WorkerRequest,
    },
    /// A request thread carries out a verdict; `decided` is on its daemon's clock.
    Carry {
        from: DaemonIndex,
        run: u64,
        token: Token,
        vm: VmId,
        left: u64,
        decided: u64,
    },
    Arrive {
        from: DaemonIndex,
        run: u64,
        token: Token,
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
        let mut world = World::new(seed);
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
            match effect {
                Effect::Verdict { token, verdict } => self.verdict(from, run, token, verdict),
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

    fn verdict(&mut self, from: DaemonIndex, run: u64, token: Token, verdict: CallVerdict) {
        if self.verbose {
            eprintln!("{:>7} verdict {token:?} {verdict:?}", self.now);
        }
        match verdict {
            CallVerdict::Send { vm, left, .. } => {
                let decided = self.daemons[from].clock(self.now).now.0;
                self.after(0, Happening::Carry { from, run, token, vm, left: left.0, decided });
            }
            other => {
                let answered = match other {
                    CallVerdict::Refuse(_) => Heard::NotRun,
                    CallVerdict::Replay(_) | CallVerdict::RanBefore => Heard::Done,
                    _ => Heard::Unknown,
                };
                self.caller_hears(token, answered);
            }
        }
    }

    pub fn end_attempt(&mut self, to: DaemonIndex, run: u64, token: Token, ending: CallEnding) {
        let event = Box::new(Event::CallEnded { token, ending });
        self.after(0, Happening::Event { to, run, event });
    }

    fn control_answered(&mut self, token: Token, answer: &ControlAnswer) {
        if self.verbose {
            eprintln!("{:>7} control {token:?} {answer:?}", self.now);
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
