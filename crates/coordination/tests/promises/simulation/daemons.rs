//! Daemons with clocks of their own, freezes, crashes, and links that can be
//! cut one way.

use std::collections::BTreeMap;

use coordination::timing::{MAX_DECISION_AGE, TICK_INTERVAL};
use coordination::{AttemptOutcome, Clock, Core, CoreSettings, Event, Frame, Identity};
use rand::Rng;
use state::{DaemonId, DaemonRef, Incarnation, Moment, Revision};

use super::scenario::{self, daemon_id, entry_vm};
use super::{Happening, World};

pub type DaemonIndex = usize;

const WALL_START: u64 = 1_700_000_000_000;

pub struct Daemon {
    pub id: DaemonId,
    pub core: Option<Core>,
    pub run: u64,
    born: u64,
    /// Speed of its clock in thousandths.
    rate: u64,
    pub frozen_until: u64,
    pub platform_cut_until: u64,
    /// Links to peers that lose every frame until then.
    pub cut: BTreeMap<DaemonIndex, u64>,
    last_config: Revision,
}

impl Daemon {
    pub fn clock(&self, now: u64) -> Clock {
        let local = (now - self.born) * self.rate / 1_000 + 1;
        Clock { now: Moment(local), wall_ms: WALL_START + now }
    }
}

impl World {
    /// Starts a daemon, or a new run of one that has crashed.
    pub fn start_daemon(&mut self, number: DaemonIndex) {
        let run = self.now + 1;
        let me = DaemonRef { daemon: daemon_id(number), incarnation: Incarnation(run) };
        let identity = Identity {
            daemon_ref: me.clone(),
            vm: entry_vm(number),
            data_centre: scenario::data_centre(number),
            peer_address: format!("peer-{number}").into(),
        };
        let core = Core::new(identity, CoreSettings { queue_limit: 200 });
        let daemon = Daemon {
            id: me.daemon,
            core: Some(core),
            run,
            born: self.now,
            rate: self.rng.random_range(980..=1_020),
            frozen_until: 0,
            platform_cut_until: 0,
            cut: BTreeMap::new(),
            last_config: Revision(0),
        };
        if number < self.daemons.len() {
            self.daemons[number] = daemon;
        } else {
            self.daemons.push(daemon);
        }
        self.after(0, Happening::Tick { to: number, run });
    }

    pub fn tick(&mut self, to: DaemonIndex, run: u64) {
        if self.daemons[to].run != run || self.daemons[to].core.is_none() {
            return;
        }
        if self.postpone(to, Happening::Tick { to, run }) {
            return;
        }
        self.deliver(to, run, Event::Tick);
        self.after(TICK_INTERVAL.0, Happening::Tick { to, run });
    }

    /// A frozen process does nothing until it thaws; then all comes at once.
    fn postpone(&mut self, to: DaemonIndex, happening: Happening) -> bool {
        let thaw = self.daemons[to].frozen_until;
        let is_frozen = thaw > self.now;
        if is_frozen {
            self.at(thaw, happening);
        }
        is_frozen
    }

    pub fn deliver(&mut self, to: DaemonIndex, run: u64, event: Event) {
        if self.daemons[to].run != run {
            return;
        }
        let frozen = self.daemons[to].frozen_until > self.now;
        if frozen {
            let event = Box::new(event);
            self.postpone(to, Happening::Event { to, run, event });
            return;
        }
        let clock = self.daemons[to].clock(self.now);
        let Some(core) = self.daemons[to].core.as_mut() else { return };
        self.steps += 1;
        let effects = core.step(clock, event);
        self.check_revision(to);
        self.carry_out(to, effects);
    }

    fn check_revision(&mut self, of: DaemonIndex) {
        let Some(core) = &self.daemons[of].core else { return };
        let revision = core.config_revision();
        if revision < self.daemons[of].last_config {
            self.checker.fail(self.now, format!("daemon {of} went back to revision {revision}"));
        }
        self.daemons[of].last_config = revision;
    }

    pub fn send_frame(&mut self, from: DaemonIndex, to: &DaemonId, frame: Box<Frame>) {
        let Some(index) = self.daemons.iter().position(|daemon| daemon.id == *to) else { return };
        let cut = self.daemons[from].cut.get(&index).copied().unwrap_or(0);
        if cut > self.now {
            return;
        }
        let strange = self.rng.random_bool(0.02);
        let delay = if strange { self.rng.random_range(3..1_500) } else { self.delay() };
        if strange {
            let late = self.rng.random_range(3..1_500);
            self.after(late, Happening::Frame { to: index, frame: frame.clone() });
        }
        self.after(delay, Happening::Frame { to: index, frame });
    }

    /// A request thread of a daemon carries out a verdict.
    pub fn carry(&mut self, happening: Happening) {
        let Happening::Carry { from, run, token, ref vm, left, decided } = happening else {
            return;
        };
        let daemon = &self.daemons[from];
        if daemon.run != run || daemon.core.is_none() {
            return;
        }
        let vm = vm.clone();
        if self.postpone(from, happening) {
            return;
        }
        let age = self.daemons[from].clock(self.now).now.0 - decided;
        if age >= MAX_DECISION_AGE.0 {
            self.checker.count("old decision made anew");
            return self.end_attempt(from, run, token, AttemptOutcome::Stale);
        }
        let delay = self.delay();
        self.after(delay, Happening::Arrive { from, run, token, vm, left });
    }
}
