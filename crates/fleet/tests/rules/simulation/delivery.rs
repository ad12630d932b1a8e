//! Delivery of messages to daemons, store, minions and cloud, with the delays and losses of
//! the active faults.

use fleet::io::{PutValue, StoreCommit};
use fleet::{OwnKey, PoolRoster};

use super::*;

/// Returns the roster that a commit writes.
fn roster_of(commit: &StoreCommit) -> Option<PoolRoster> {
    commit.puts.iter().find_map(|put| match (&put.key, &put.value) {
        (StoreKey::Own(OwnKey::Roster(_)), PutValue::Own(bytes)) => {
            Some(serde_json::from_slice(bytes).expect("the roster is readable"))
        }
        _ => None,
    })
}

/// Time from the start to the failure of a run on a minion on which every run fails.
const QUICK_FAILURE_MS: u64 = 30;
/// Maximum transfer time of an answer that the link carries beside longer ones.
const SHORT_TRANSFER_MS: u64 = 20;

impl Simulation {
    pub(super) fn schedule_answer(
        &mut self,
        daemon: usize,
        incarnation: u64,
        delay: u64,
        event: Event,
    ) {
        self.schedule(delay, daemon, incarnation, Message::Answer(Box::new(event)));
    }

    /// Whether a commit saves progress of jobs and leaves saved end numbers of minions, which
    /// stand in the roster, to a later commit.
    fn saves_progress_ahead_of_roster(&self, request: &StoreCall) -> bool {
        let StoreCall::Commit(commit) = request else { return false };
        let is_progress = |key: &StoreKey| matches!(key, StoreKey::Own(OwnKey::Progress(..)));
        if !commit.puts.iter().any(|put| is_progress(&put.key)) {
            return false;
        }
        let Some(roster) = roster_of(commit) else { return true };
        roster.minions.iter().any(|(minion, row)| {
            self.minions.get(minion).is_some_and(|fake| {
                fake.report.minion_incarnation == row.minion_incarnation
                    && row.saved_end < fake.finished_count()
            })
        })
    }

    /// Schedules an answer of the store after `delay` and the time that the daemon's link takes
    /// to carry it. The daemon gives up a call whose answer takes longer than the call's timeout.
    pub(super) fn schedule_store_answer(
        &mut self,
        (daemon, incarnation, call): (usize, u64, CallId),
        request: &StoreCall,
        answer: StoreAnswer,
        delay: u64,
    ) {
        let daemon_state = &mut self.daemons[daemon];
        let Some(link) = daemon_state.link else {
            return self.schedule_answer(daemon, incarnation, delay, Event::Store(call, answer));
        };
        let timeout = request.timeout(daemon_state.capacity.link).0;
        let transfer = link.transfer_time(encoded_bytes(&answer) as u64).0;
        let is_short = transfer <= SHORT_TRANSFER_MS;
        let earlier_until = if is_short { 0 } else { daemon_state.link_busy_until };
        let carried_at = earlier_until.max(self.now + delay) + transfer;
        if !is_short {
            daemon_state.link_busy_until = carried_at.min(self.now + timeout);
        }
        if carried_at > self.now + timeout {
            let event = Event::Store(call, StoreAnswer::Unknown);
            return self.schedule_answer(daemon, incarnation, timeout, event);
        }
        let event = Event::Store(call, answer);
        self.schedule_answer(daemon, incarnation, carried_at - self.now, event);
    }

    pub(super) fn is_store_unreachable(&self, daemon: usize) -> bool {
        self.faults.is_store_down || self.faults.disconnected_daemons.contains(&daemon)
    }

    /// Delivers a message to its recipient.
    pub(super) fn deliver(&mut self, daemon: usize, incarnation: u64, message: Message) {
        match message {
            Message::Tick => {
                self.step_daemon(daemon, incarnation, Event::Tick, &Message::Tick);
                if self.daemons[daemon].incarnation == incarnation && self.is_up(daemon) {
                    let suspended_ms =
                        self.daemons[daemon].suspended_until.saturating_sub(self.now);
                    self.schedule(
                        TICK_INTERVAL_MS.max(suspended_ms),
                        daemon,
                        incarnation,
                        Message::Tick,
                    );
                }
            }
            Message::Answer(event) => {
                let redelivery = Message::Answer(event.clone());
                self.step_daemon(daemon, incarnation, *event, &redelivery);
            }
            Message::StepEnds(effects) => self.end_step(daemon, incarnation, effects),
            Message::StoreCallArrives { call, request, is_lost } => {
                self.execute_store_call(daemon, incarnation, call, request, is_lost);
            }
            Message::OrderArrives {
                call,
                target,
                fencing_token,
                order,
                target_incarnation,
                is_late,
            } => {
                let in_flight_order =
                    InFlightOrder { call, fencing_token, order, target_incarnation, is_late };
                self.deliver_order(daemon, incarnation, &target, in_flight_order);
            }
            Message::CloudCallArrives { call, request } => {
                self.execute_cloud_call(daemon, incarnation, call, &request);
            }
            Message::Submit { job } => self.send_request(&job, RequestKind::Submit),
            Message::Poll { job } => self.send_request(&job, RequestKind::Poll),
            Message::Cancel { job } => self.send_request(&job, RequestKind::Cancel),
            Message::ChangeConfig => self.write_random_config(),
            Message::Probe => self.send_random_probe(),
            Message::RequestTimedOut { reply_token } => {
                if let Some((job, kind, _)) = self.pending_requests.remove(&reply_token) {
                    self.retry_unanswered_request(&job, kind);
                }
            }
        }
    }

    /// Passes an event to a daemon. If the daemon is suspended, `redelivery` is scheduled for the
    /// time at which the daemon resumes, unless the event is a tick. An event for an earlier
    /// incarnation is dropped.
    pub(super) fn step_daemon(
        &mut self,
        daemon: usize,
        incarnation: u64,
        event: Event,
        redelivery: &Message,
    ) {
        let daemon_state = &mut self.daemons[daemon];
        if daemon_state.incarnation != incarnation {
            return;
        }
        if daemon_state.suspended_until > self.now {
            let delay = daemon_state.suspended_until - self.now;
            if !matches!(redelivery, Message::Tick) {
                self.schedule(delay, daemon, incarnation, redelivery.clone());
            }
            return;
        }
        if let Some(cost) = self.processor_cost {
            return self.queue_event(daemon, cost, event);
        }
        let clock = self.read_clocks();
        let Some(core) = self.daemons[daemon].core.as_mut() else { return };
        self.event_count += 1;
        for effect in core.step(clock, event) {
            self.apply_effect(daemon, incarnation, effect);
        }
    }

    /// Carries out an effect of a daemon, with a random delay and the active faults.
    pub(super) fn apply_effect(&mut self, daemon: usize, incarnation: u64, effect: Effect) {
        // Other effects draw no delay, so that another log line does not change the rest of a run.
        let is_call = !matches!(effect, Effect::Log(_) | Effect::Measure(_) | Effect::Reply(..));
        let delay = if is_call { self.rng.random_range(1..4) } else { 0 };
        match effect {
            Effect::Reply(reply_token, answer) => self.handle_reply(reply_token, answer),
            Effect::Store(call, request) => {
                let is_write = matches!(request, StoreCall::Commit(_));
                let is_lost = is_write && self.rng.random_bool(self.faults.lost_write_probability);
                let is_delayed = is_lost && self.rng.random_bool(0.5);
                let delay = if is_delayed { self.rng.random_range(1_000..6_000) } else { delay };
                if is_lost {
                    let event = Event::Store(call, StoreAnswer::Unknown);
                    self.schedule_answer(daemon, incarnation, STORE_TIMEOUT_MS, event);
                }
                let message = Message::StoreCallArrives { call, request, is_lost };
                self.schedule(delay, daemon, incarnation, message);
            }
            Effect::Minion { call, target, fencing_token, order } => {
                self.orders_without_ownership += u64::from(!self.store.has_owner(fencing_token));
                let may_be_late =
                    self.faults.may_be_late.is_none_or(|may_be_late| may_be_late(&order));
                let is_late =
                    self.rng.random_bool(self.faults.late_order_probability) && may_be_late;
                let delay = if is_late { self.rng.random_range(2_000..12_000) } else { delay };
                if is_late {
                    let event = Event::Minion(call, MinionAnswer::Unknown);
                    self.schedule_answer(daemon, incarnation, ORDER_TIMEOUT_MS, event);
                }
                let target_incarnation =
                    self.minions.get(&target.minion).map(|fake| fake.report.minion_incarnation);
                let message = Message::OrderArrives {
                    call,
                    target,
                    fencing_token,
                    order,
                    target_incarnation,
                    is_late,
                };
                self.schedule(delay, daemon, incarnation, message);
            }
            Effect::Cloud(call, request) => {
                self.schedule(
                    delay,
                    daemon,
                    incarnation,
                    Message::CloudCallArrives { call, request },
                );
            }
            Effect::Log(line) => {
                if self.prints_trace {
                    println!("{} edge-{daemon} {line:?}", self.now);
                }
                match line.decision {
                    "pool" => self.pool_decisions.push((self.now, daemon, line)),
                    "selection" => self.selection_decisions.push(line),
                    "minion" | "run" | "start-answered" | "unknown-run" => {
                        self.incarnation_decisions.push((self.now, line))
                    }
                    "start" | "move" => self.order_decisions.push((daemon, line)),
                    // Other lines of a move have its answer.
                    "move-vm" if line.outcome.starts_with("to ") => {
                        self.order_decisions.push((daemon, line))
                    }
                    _ => {}
                }
            }
            Effect::Measure(measurement) => self.measurements.push((self.now, measurement)),
            Effect::Stopped => self.kill_daemon(daemon),
        }
    }

    /// Carries out a call that arrives at the store. A lost write gets no answer here, since
    /// its answer as unknown is scheduled when the write is sent.
    pub(super) fn execute_store_call(
        &mut self,
        daemon: usize,
        incarnation: u64,
        call: CallId,
        request: StoreCall,
        is_lost: bool,
    ) {
        if self.faults.is_store_silent {
            if !is_lost {
                let timeout = request.timeout(self.daemons[daemon].capacity.link).0;
                let event = Event::Store(call, StoreAnswer::Unknown);
                self.schedule_answer(daemon, incarnation, timeout, event);
            }
            return;
        }
        if self.is_store_unreachable(daemon) {
            if !is_lost {
                let event = Event::Store(call, StoreAnswer::Unknown);
                self.schedule_answer(daemon, incarnation, STORE_TIMEOUT_MS, event);
            }
            return;
        }
        if self.faults.store_refuses {
            return self.schedule_answer(
                daemon,
                incarnation,
                2,
                Event::Store(call, StoreAnswer::Refused),
            );
        }
        if self.prints_trace && matches!(request, StoreCall::Commit(_)) {
            println!("{} edge-{daemon} {call:?} {request:?}", self.now);
        }
        if let StoreCall::Range { scope, after } = &request {
            self.read_pages.push((scope.clone(), after.clone()));
        }
        let answer = self.store.execute(self.now, &request);
        if self.faults.kills_between_saves && self.saves_progress_ahead_of_roster(&request) {
            self.faults.kills_between_saves = false;
            self.kill_daemon(daemon);
        }
        match answer {
            Some(_) if is_lost => {}
            Some(answer) => {
                let is_commit = matches!(request, StoreCall::Commit(_));
                let commit_delay = if is_commit { self.faults.commit_delay_ms } else { 0 };
                let delay = self.rng.random_range(2..5) + commit_delay;
                let origin = (daemon, incarnation, call);
                self.schedule_store_answer(origin, &request, answer, delay);
            }
            None => {
                let StoreCall::Watch { wait, .. } = request else { return };
                let until = self.now + wait.0;
                self.watches.push(PendingWatch { daemon, incarnation, call, request, until });
            }
        }
        self.answer_watches();
    }

    /// Returns an order without the saved end that the active faults make its minion ignore.
    fn order_as_received(&self, order: MinionCall, minion: &MinionId) -> MinionCall {
        let last_end = self.minions[minion].finished_count();
        match order {
            MinionCall::Hold { until_clock, saved_end, wait }
                if self.faults.ignores_unknown_saved_ends && saved_end > last_end =>
            {
                MinionCall::Hold { until_clock, saved_end: 0, wait }
            }
            other => other,
        }
    }

    /// Carries out an order that arrives at a minion. A late order gets no answer here, since
    /// its answer as unknown is scheduled when the order is sent.
    pub(super) fn deliver_order(
        &mut self,
        daemon: usize,
        incarnation: u64,
        target: &MinionTarget,
        in_flight_order: InFlightOrder,
    ) {
        let InFlightOrder { call, fencing_token, order, target_incarnation, is_late } =
            in_flight_order;
        let fails = self.rng.random_bool(self.faults.run_failure_probability);
        let drawn_ms = self.rng.random_range(200..2_500);
        let run_ms = self.model_run_time(&target.minion, &order).unwrap_or(drawn_ms);
        let is_reachable = self.minions.get(&target.minion).is_some_and(|fake| {
            let is_same_incarnation = target_incarnation == Some(fake.report.minion_incarnation);
            let reaches_incarnation =
                is_same_incarnation || self.faults.orders_outlive_incarnations;
            fake.is_up && !fake.is_partitioned && reaches_incarnation
        });
        if !is_reachable {
            if !is_late {
                let event = Event::Minion(call, MinionAnswer::Unknown);
                self.schedule_answer(daemon, incarnation, ORDER_TIMEOUT_MS, event);
            }
            return;
        }
        let step = match &order {
            MinionCall::Start { task, .. } => self.find_step(task),
            _ => None,
        };
        let true_run_ms = match &order {
            MinionCall::Start { task, .. } => self.true_run_ms.get(&task.job).copied(),
            _ => None,
        };
        let order = self.order_as_received(order, &target.minion);
        let fake = self.minions.get_mut(&target.minion).expect("minion is reachable");
        let run_ms = true_run_ms.unwrap_or(run_ms) * fake.slowdown;
        let (run_ms, fails) =
            if fake.fails_all { (QUICK_FAILURE_MS, true) } else { (run_ms, fails) };
        let (answer, minion_events) =
            fake.execute_order(self.now, fencing_token, &order, step.as_ref(), (run_ms, fails));
        let hold_wait = match (&order, &answer) {
            (MinionCall::Hold { wait, .. }, MinionAnswer::Held { .. })
                if wait.0 > 0 && !fake.has_finished_runs() =>
            {
                Some(wait.0)
            }
            _ => None,
        };
        if self.prints_trace && matches!(answer, MinionAnswer::Refused(_)) {
            let minion = &target.minion;
            println!(
                "{} {minion} refuses edge-{daemon} token {fencing_token}: {answer:?}",
                self.now
            );
        }
        let is_refused = answer == MinionAnswer::Refused(OrderRefusal::Fenced);
        let (now, minion) = (self.now, target.minion.as_str());
        if !is_late {
            self.fence_rule.record_order(now, daemon, minion, fencing_token, is_refused);
        }
        if let MinionAnswer::Refused(OrderRefusal::Malformed) = answer {
            panic!("a minion refused an order as malformed");
        }
        self.record_minion_events(&target.minion, minion_events, is_late);
        if is_late {
            return;
        }
        let minion_incarnation = self.minions[&target.minion].report.minion_incarnation;
        match hold_wait {
            Some(wait) => self.holds.push(PendingHold {
                daemon,
                incarnation,
                call,
                minion: target.minion.clone(),
                minion_incarnation,
                fencing_token,
                order,
                until: self.now + wait,
            }),
            None => {
                let origin = (daemon, incarnation, call);
                self.schedule_minion_answer(&target.minion, origin, answer);
            }
        }
    }

    /// Schedules the answer that a minion sends now.
    pub(super) fn schedule_minion_answer(
        &mut self,
        minion: &MinionId,
        (daemon, incarnation, call): (usize, u64, CallId),
        answer: MinionAnswer,
    ) {
        if self.minions[minion].loses_answers {
            let event = Event::Minion(call, MinionAnswer::Unknown);
            return self.schedule_answer(daemon, incarnation, ORDER_TIMEOUT_MS, event);
        }
        let event = Event::Minion(call, answer);
        let max_delay = self.faults.max_answer_delay_ms;
        let delay = if max_delay > 0 { self.rng.random_range(0..=max_delay) } else { 0 };
        self.schedule_answer(daemon, incarnation, 1 + delay, event);
    }

    pub(super) fn find_step(&self, task: &TaskName) -> Option<jobs::StepSpec> {
        let job = self.checker.jobs.get(&task.job)?;
        job.spec.steps.get(usize::from(task.step)).cloned()
    }

    /// Carries out a call that arrives at the cloud. If the call takes a VM down, the VM's minion
    /// crashes.
    pub(super) fn execute_cloud_call(
        &mut self,
        daemon: usize,
        incarnation: u64,
        call: CallId,
        request: &CloudCall,
    ) {
        if self.faults.is_cloud_down {
            let event = Event::Cloud(call, CloudAnswer::Unknown);
            return self.schedule_answer(daemon, incarnation, STORE_TIMEOUT_MS, event);
        }
        let (answer, cloud_event) = self.cloud.execute(self.now, daemon, request);
        if let CloudCall::Maintenance { vm, fencing_token, .. }
        | CloudCall::Move { vm, fencing_token, .. } = request
        {
            let is_refused = answer == CloudAnswer::Fenced;
            let now = self.now;
            self.fence_rule.record_order(now, daemon, vm.as_str(), *fencing_token, is_refused);
        }
        match cloud_event {
            CloudEvent::Nothing => {}
            CloudEvent::FencingViolated(description) => self.record_violation("ONE", description),
            CloudEvent::MoveBegan { minion } => {
                minion.iter().for_each(|minion| self.crash_minion(minion));
            }
            CloudEvent::MaintenanceBegan { minion, wave } => {
                let max_down_vms =
                    match self.store.get(&StoreKey::WaveOrder(wave)).map(|item| &item.value) {
                        Some(ItemValue::Wave(order)) => order.max_down as usize,
                        _ => 0,
                    };
                let down_vms = self.cloud.count_down_vms(wave);
                if down_vms > max_down_vms {
                    self.record_violation(
                        "LIMIT",
                        format!("{down_vms} VMs of wave {wave} are down"),
                    );
                }
                minion.iter().for_each(|minion| self.crash_minion(minion));
            }
        }
        self.schedule_answer(daemon, incarnation, 3, Event::Cloud(call, answer));
    }
}
