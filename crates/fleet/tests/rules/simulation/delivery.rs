//! Messages on their way: to daemons, store, minions and cloud.

use fleet::OwnKey;

use super::*;

/// Whether a commit saves ends of jobs and leaves the minions' numbers to a later one.
fn saves_a_part(request: &StoreCall) -> bool {
    let StoreCall::Commit(commit) = request else { return false };
    let has = |is: fn(&OwnKey) -> bool| {
        commit.puts.iter().any(|put| matches!(&put.key, StoreKey::Own(own) if is(own)))
    };
    has(|own| matches!(own, OwnKey::Progress(..))) && !has(|own| matches!(own, OwnKey::Roster(_)))
}

impl World {
    pub(super) fn answer(&mut self, daemon: usize, incarnation: u64, delay: u64, event: Event) {
        self.later(delay, daemon, incarnation, Message::Answer(Box::new(event)));
    }

    pub(super) fn is_turned_away(&self, daemon: usize) -> bool {
        self.mischief.store_down || self.mischief.turned_away.contains(&daemon)
    }

    pub(super) fn deliver(&mut self, daemon: usize, incarnation: u64, message: Message) {
        match message {
            Message::Tick => {
                self.step(daemon, incarnation, Event::Tick, &Message::Tick);
                if self.daemons[daemon].incarnation == incarnation && self.is_up(daemon) {
                    let frozen = self.daemons[daemon].frozen_until.saturating_sub(self.now);
                    self.later(TICK_MS.max(frozen), daemon, incarnation, Message::Tick);
                }
            }
            Message::Answer(event) => {
                let again = Message::Answer(event.clone());
                self.step(daemon, incarnation, *event, &again);
            }
            Message::StoreArrives { call, request, is_lost } => {
                self.at_store(daemon, incarnation, call, request, is_lost);
            }
            Message::OrderArrives { call, target, token, order, life, is_late } => {
                let flight = OrderFlight { call, token, order, life, is_late };
                self.at_minion(daemon, incarnation, &target, flight);
            }
            Message::CloudArrives { call, request } => {
                self.at_cloud(daemon, incarnation, call, &request);
            }
            Message::Submit { job } => self.ask(&job, Ask::Submit),
            Message::Poll { job } => self.ask(&job, Ask::Poll),
            Message::Cancel { job } => self.ask(&job, Ask::Cancel),
            Message::Abandon { token } => {
                if let Some((job, ask, _)) = self.asks.remove(&token) {
                    self.on_no_answer(&job, ask);
                }
            }
        }
    }

    pub(super) fn step(&mut self, daemon: usize, incarnation: u64, event: Event, again: &Message) {
        let slot = &mut self.daemons[daemon];
        if slot.incarnation != incarnation {
            return;
        }
        if slot.frozen_until > self.now {
            let delay = slot.frozen_until - self.now;
            if !matches!(again, Message::Tick) {
                self.later(delay, daemon, incarnation, again.clone());
            }
            return;
        }
        let Some(core) = slot.core.as_mut() else { return };
        let clock = Clock { now: Moment(self.now), wall_ms: WALL_BASE + self.now };
        for effect in core.step(clock, event) {
            self.carry_out(daemon, incarnation, effect);
        }
    }

    pub(super) fn carry_out(&mut self, daemon: usize, incarnation: u64, effect: Effect) {
        let delay = self.rng.random_range(1..4);
        match effect {
            Effect::Reply(token, answer) => self.on_reply(token, answer),
            Effect::Store(call, request) => {
                let is_write = matches!(request, StoreCall::Commit(_));
                let is_lost = is_write && self.rng.random_bool(self.mischief.lost_writes);
                let late = is_lost && self.rng.random_bool(0.5);
                let delay = if late { self.rng.random_range(1_000..6_000) } else { delay };
                if is_lost {
                    let event = Event::Store(call, StoreAnswer::Unknown);
                    self.answer(daemon, incarnation, STORE_TIMEOUT, event);
                }
                let message = Message::StoreArrives { call, request, is_lost };
                self.later(delay, daemon, incarnation, message);
            }
            Effect::Minion { call, target, fencing_token: token, order } => {
                let is_late = self.rng.random_bool(self.mischief.late_orders);
                let delay = if is_late { self.rng.random_range(2_000..12_000) } else { delay };
                if is_late {
                    let event = Event::Minion(call, MinionAnswer::Unknown);
                    self.answer(daemon, incarnation, ORDER_TIMEOUT, event);
                }
                let life =
                    self.minions.get(&target.minion).map(|fake| fake.report.minion_incarnation);
                let message = Message::OrderArrives { call, target, token, order, life, is_late };
                self.later(delay, daemon, incarnation, message);
            }
            Effect::Cloud(call, request) => {
                self.later(delay, daemon, incarnation, Message::CloudArrives { call, request });
            }
            Effect::Log(line) => {
                if self.trace {
                    println!("{} edge-{daemon} {line:?}", self.now);
                }
            }
            Effect::Stopped => self.kill_daemon(daemon),
        }
    }

    pub(super) fn at_store(
        &mut self,
        daemon: usize,
        incarnation: u64,
        call: CallId,
        request: StoreCall,
        is_lost: bool,
    ) {
        if self.is_turned_away(daemon) {
            if !is_lost {
                let event = Event::Store(call, StoreAnswer::Unknown);
                self.answer(daemon, incarnation, STORE_TIMEOUT, event);
            }
            return;
        }
        if self.mischief.store_refuses {
            return self.answer(daemon, incarnation, 2, Event::Store(call, StoreAnswer::Refused));
        }
        if self.trace && matches!(request, StoreCall::Commit(_)) {
            println!("{} edge-{daemon} {call:?} {request:?}", self.now);
        }
        let answer = self.store.call(self.now, &request);
        if self.mischief.dies_between_saves && saves_a_part(&request) {
            self.mischief.dies_between_saves = false;
            self.kill_daemon(daemon);
        }
        match answer {
            Some(_) if is_lost => {}
            Some(answer) => {
                let delay = self.rng.random_range(2..5);
                self.answer(daemon, incarnation, delay, Event::Store(call, answer));
            }
            None => {
                let StoreCall::Watch { wait, .. } = request else { return };
                let until = self.now + wait.0;
                self.watches.push(WaitingWatch { daemon, incarnation, call, request, until });
            }
        }
        self.wake_watches();
    }

    pub(super) fn at_minion(
        &mut self,
        daemon: usize,
        incarnation: u64,
        target: &MinionTarget,
        flight: OrderFlight,
    ) {
        let OrderFlight { call, token, order, life, is_late } = flight;
        let fails = self.rng.random_bool(self.mischief.failing_runs);
        let works = self.rng.random_range(200..2_500);
        let is_reachable = self.minions.get(&target.minion).is_some_and(|fake| {
            let is_same_life = life == Some(fake.report.minion_incarnation);
            fake.is_up && !fake.is_cut && is_same_life
        });
        if !is_reachable {
            if !is_late {
                let event = Event::Minion(call, MinionAnswer::Unknown);
                self.answer(daemon, incarnation, ORDER_TIMEOUT, event);
            }
            return;
        }
        let step = match &order {
            MinionCall::Start { task, .. } => self.step_of(task),
            _ => None,
        };
        let fake = self.minions.get_mut(&target.minion).expect("it is reachable");
        let (answer, facts) = fake.order(self.now, token, &order, step.as_ref(), (works, fails));
        let waits = match (&order, &answer) {
            (MinionCall::Hold { wait, .. }, MinionAnswer::Held { .. })
                if wait.0 > 0 && !fake.has_ends() =>
            {
                Some(wait.0)
            }
            _ => None,
        };
        if self.trace && matches!(answer, MinionAnswer::Refused(_)) {
            let minion = &target.minion;
            println!("{} {minion} refuses edge-{daemon} token {token}: {answer:?}", self.now);
        }
        if let MinionAnswer::Refused(OrderRefusal::Malformed) = answer {
            panic!("a malformed order");
        }
        self.note_facts(&target.minion, facts, is_late);
        if is_late {
            return;
        }
        let born = self.minions[&target.minion].report.minion_incarnation;
        match waits {
            Some(wait) => self.holds.push(WaitingHold {
                daemon,
                incarnation,
                call,
                minion: target.minion.clone(),
                born,
                token,
                order,
                until: self.now + wait,
            }),
            None => self.answer(daemon, incarnation, 1, Event::Minion(call, answer)),
        }
    }

    pub(super) fn step_of(&self, task: &TaskName) -> Option<jobs::StepSpec> {
        let job = self.checker.jobs.get(&task.job)?;
        job.spec.steps.get(usize::from(task.step)).cloned()
    }

    pub(super) fn at_cloud(
        &mut self,
        daemon: usize,
        incarnation: u64,
        call: CallId,
        request: &CloudCall,
    ) {
        if self.mischief.cloud_down {
            let event = Event::Cloud(call, CloudAnswer::Unknown);
            return self.answer(daemon, incarnation, STORE_TIMEOUT, event);
        }
        let (answer, fact) = self.cloud.call(self.now, daemon, request);
        match fact {
            CloudFact::Nothing => {}
            CloudFact::Broken(what) => self.breach("ONE", what),
            CloudFact::MoveBegan { minion } => {
                minion.iter().for_each(|minion| self.crash_minion(minion));
            }
            CloudFact::UpkeepBegan { minion, wave } => {
                let most = match self.store.get(&StoreKey::WaveOrder(wave)).map(|item| &item.value)
                {
                    Some(ItemValue::Wave(order)) => order.max_down as usize,
                    _ => 0,
                };
                let down = self.cloud.down_of(wave);
                if down > most {
                    self.breach("LIMIT", format!("{down} VMs of wave {wave} are down"));
                }
                minion.iter().for_each(|minion| self.crash_minion(minion));
            }
        }
        self.answer(daemon, incarnation, 3, Event::Cloud(call, answer));
    }
}
