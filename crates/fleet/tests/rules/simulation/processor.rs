//! Model of the daemons' processors: each event costs processor time, and events that arrive
//! meanwhile wait. Ticks and answers to lease calls are executed before other events, as by the
//! daemon's threads.

use std::collections::{BTreeSet, VecDeque};

use super::*;

/// Processor time that a step of a daemon takes, in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct ProcessorCost {
    /// Cost of each event.
    pub event: u64,
    /// Cost of each call that the step makes.
    pub call: u64,
}

impl ProcessorCost {
    fn cost_of(self, effects: &[Effect]) -> u64 {
        let is_call = |effect: &&Effect| {
            matches!(effect, Effect::Store(..) | Effect::Minion { .. } | Effect::Cloud(..))
        };
        self.event + self.call * effects.iter().filter(is_call).count() as u64
    }
}

/// Events that wait for a daemon's processor.
#[derive(Debug, Default)]
pub(super) struct Processor {
    /// Ticks and answers to lease calls.
    urgent: VecDeque<Event>,
    waiting: VecDeque<Event>,
    lease_calls: BTreeSet<CallId>,
    is_busy: bool,
}

impl Processor {
    /// Adds an event. At most one tick waits.
    fn push(&mut self, event: Event) {
        let is_urgent = match &event {
            Event::Tick if self.urgent.contains(&Event::Tick) => return,
            Event::Tick => true,
            Event::Store(call, _) => self.lease_calls.remove(call),
            _ => false,
        };
        let queue = if is_urgent { &mut self.urgent } else { &mut self.waiting };
        queue.push_back(event);
    }

    fn pop(&mut self) -> Option<Event> {
        self.urgent.pop_front().or_else(|| self.waiting.pop_front())
    }

    fn record_lease_calls(&mut self, effects: &[Effect]) {
        self.lease_calls.extend(effects.iter().filter_map(|effect| match effect {
            Effect::Store(call, request) if request.is_lease_call() => Some(*call),
            _ => None,
        }));
    }
}

impl Simulation {
    /// Queues an event for a daemon's processor, which executes the event once it is free.
    pub(super) fn queue_event(&mut self, daemon: usize, cost: ProcessorCost, event: Event) {
        self.daemons[daemon].processor.push(event);
        self.execute_next_event(daemon, cost);
    }

    fn execute_next_event(&mut self, daemon: usize, cost: ProcessorCost) {
        let clock = self.read_clocks();
        let Daemon { core: Some(core), incarnation, processor, .. } = &mut self.daemons[daemon]
        else {
            return;
        };
        if processor.is_busy {
            return;
        }
        let Some(event) = processor.pop() else { return };
        processor.is_busy = true;
        let incarnation = *incarnation;
        let effects = core.step(clock, event);
        processor.record_lease_calls(&effects);
        self.schedule(
            cost.cost_of(&effects),
            daemon,
            incarnation,
            Message::StepEnds(effects.into()),
        );
    }

    /// Carries out the effects of a step that has ended, and begins the next one.
    pub(super) fn end_step(&mut self, daemon: usize, incarnation: u64, effects: Box<[Effect]>) {
        let daemon_state = &mut self.daemons[daemon];
        if daemon_state.incarnation != incarnation || daemon_state.core.is_none() {
            return;
        }
        if daemon_state.suspended_until > self.now {
            let delay = daemon_state.suspended_until - self.now;
            return self.schedule(delay, daemon, incarnation, Message::StepEnds(effects));
        }
        daemon_state.processor.is_busy = false;
        for effect in effects {
            self.apply_effect(daemon, incarnation, effect);
        }
        if let Some(cost) = self.processor_cost {
            self.execute_next_event(daemon, cost);
        }
    }
}
