//! Simulated daemon processes around the production state machine.
//!
//! Each daemon has a clock that runs at its own rate. A daemon can crash, be
//! suspended, or lose its connection to the platform; each link to a peer can be
//! cut in one direction.

use std::collections::BTreeMap;

use coordination::timing::{MAX_DECISION_AGE, TICK_INTERVAL};
use coordination::{AttemptOutcome, Clock, Core, CoreSettings, Event, Frame, Identity};
use rand::Rng;
use state::{DaemonId, DaemonRef, Incarnation, Moment, Revision};

use super::scenario::{self, daemon_id, entry_vm_id};
use super::{ScheduledEvent, Simulation};

/// Index in [`Simulation::daemons`].
pub type DaemonIndex = usize;

/// Wall-clock time at virtual time 0, in milliseconds since the Unix epoch.
const WALL_CLOCK_START_MS: u64 = 1_700_000_000_000;

/// A daemon process and the faults that affect it.
pub struct Daemon {
    pub id: DaemonId,
    /// State machine of the daemon; `None` while the process is down.
    pub core: Option<Core>,
    /// Incarnation of the daemon: the start time of the process + 1 ms.
    pub incarnation: u64,
    started_at_ms: u64,
    /// Rate of the daemon's clock in thousandths of virtual time.
    clock_rate_per_mille: u64,
    /// Virtual time at which a suspended process resumes.
    pub suspended_until: u64,
    /// Virtual time until which all calls to the platform fail.
    pub platform_cut_until: u64,
    /// Virtual time until which frames to a peer are lost, by peer.
    pub cut_links: BTreeMap<DaemonIndex, u64>,
    /// Configuration revision of the daemon after its previous step.
    last_config_revision: Revision,
}

impl Daemon {
    /// Reads the daemon's clocks at the virtual time `now`.
    pub fn read_clock(&self, now: u64) -> Clock {
        let local_ms = (now - self.started_at_ms) * self.clock_rate_per_mille / 1_000 + 1;
        Clock { now: Moment(local_ms), wall_ms: WALL_CLOCK_START_MS + now }
    }
}

impl Simulation {
    /// Starts a daemon, or restarts a daemon that is down as a new incarnation.
    pub fn start_daemon(&mut self, number: DaemonIndex) {
        let incarnation = self.now + 1;
        let daemon_ref =
            DaemonRef { daemon: daemon_id(number), incarnation: Incarnation(incarnation) };
        let identity = Identity {
            daemon_ref: daemon_ref.clone(),
            vm: entry_vm_id(number),
            data_centre: scenario::data_centre_id(number),
            peer_address: format!("peer-{number}").into(),
        };
        let core = Core::new(identity, CoreSettings { queue_limit: 200 });
        let daemon = Daemon {
            id: daemon_ref.daemon,
            core: Some(core),
            incarnation,
            started_at_ms: self.now,
            clock_rate_per_mille: self.rng.random_range(980..=1_020),
            suspended_until: 0,
            platform_cut_until: 0,
            cut_links: BTreeMap::new(),
            last_config_revision: Revision(0),
        };
        if number < self.daemons.len() {
            self.daemons[number] = daemon;
        } else {
            self.daemons.push(daemon);
        }
        self.schedule_after(0, ScheduledEvent::Tick { to: number, incarnation });
    }

    /// Delivers the periodic tick and schedules the next one. Ticks end with the incarnation.
    pub fn handle_tick(&mut self, to: DaemonIndex, incarnation: u64) {
        if self.daemons[to].incarnation != incarnation || self.daemons[to].core.is_none() {
            return;
        }
        if self.postpone_if_suspended(to, ScheduledEvent::Tick { to, incarnation }) {
            return;
        }
        self.deliver_event(to, incarnation, Event::Tick);
        self.schedule_after(TICK_INTERVAL.0, ScheduledEvent::Tick { to, incarnation });
    }

    /// Reschedules `event` for the time at which a suspended daemon resumes, and returns whether
    /// the daemon is suspended. All postponed events are then delivered at once.
    fn postpone_if_suspended(&mut self, to: DaemonIndex, event: ScheduledEvent) -> bool {
        let resume_at_ms = self.daemons[to].suspended_until;
        let is_suspended = resume_at_ms > self.now;
        if is_suspended {
            self.schedule_at(resume_at_ms, event);
        }
        is_suspended
    }

    /// Passes an event to the state machine of a daemon and applies the effects. Events for an
    /// earlier incarnation are dropped.
    pub fn deliver_event(&mut self, to: DaemonIndex, incarnation: u64, event: Event) {
        if self.daemons[to].incarnation != incarnation {
            return;
        }
        let is_suspended = self.daemons[to].suspended_until > self.now;
        if is_suspended {
            let event = Box::new(event);
            self.postpone_if_suspended(to, ScheduledEvent::DaemonEvent { to, incarnation, event });
            return;
        }
        let clock = self.daemons[to].read_clock(self.now);
        let Some(core) = self.daemons[to].core.as_mut() else { return };
        self.core_steps += 1;
        let effects = core.step(clock, event);
        self.check_config_revision(to);
        self.apply_effects(to, effects);
    }

    /// Checks that the configuration of a daemon never goes back to an earlier revision.
    fn check_config_revision(&mut self, daemon: DaemonIndex) {
        let Some(core) = &self.daemons[daemon].core else { return };
        let revision = core.config_revision();
        if revision < self.daemons[daemon].last_config_revision {
            self.checker.record_violation(
                self.now,
                format!("daemon {daemon} went back to configuration revision {revision}"),
            );
        }
        self.daemons[daemon].last_config_revision = revision;
    }

    /// Sends a frame over a link. One frame in 50 is delivered twice, both times with a random
    /// delay, so that frames also arrive out of order.
    pub fn send_frame(&mut self, from: DaemonIndex, to: &DaemonId, frame: Box<Frame>) {
        let Some(index) = self.daemons.iter().position(|daemon| daemon.id == *to) else { return };
        let cut_until = self.daemons[from].cut_links.get(&index).copied().unwrap_or(0);
        if cut_until > self.now {
            return;
        }
        let is_duplicated = self.rng.random_bool(0.02);
        let delay_ms =
            if is_duplicated { self.rng.random_range(3..1_500) } else { self.draw_delay_ms() };
        if is_duplicated {
            let duplicate_delay_ms = self.rng.random_range(3..1_500);
            self.schedule_after(
                duplicate_delay_ms,
                ScheduledEvent::FrameArrival { to: index, frame: frame.clone() },
            );
        }
        self.schedule_after(delay_ms, ScheduledEvent::FrameArrival { to: index, frame });
    }

    /// Carries out a directive to send a request, as a request thread of the daemon does. A
    /// directive that has reached the maximum decision age is reported as stale instead.
    pub fn send_request(&mut self, event: ScheduledEvent) {
        let ScheduledEvent::RequestSend {
            from,
            incarnation,
            token,
            ref vm,
            remaining_ms,
            decided_at_ms,
        } = event
        else {
            return;
        };
        let daemon = &self.daemons[from];
        if daemon.incarnation != incarnation || daemon.core.is_none() {
            return;
        }
        let vm = vm.clone();
        if self.postpone_if_suspended(from, event) {
            return;
        }
        let age_ms = self.daemons[from].read_clock(self.now).now.0 - decided_at_ms;
        if age_ms >= MAX_DECISION_AGE.0 {
            self.checker.increment_counter("old decision made anew");
            return self.report_attempt_outcome(from, incarnation, token, AttemptOutcome::Stale);
        }
        let delay_ms = self.draw_delay_ms();
        self.schedule_after(
            delay_ms,
            ScheduledEvent::RequestArrival { from, incarnation, token, vm, remaining_ms },
        );
    }
}
