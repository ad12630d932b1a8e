//! Events that need no daemon: reports of minions, finished runs, expired leases, VMs that
//! are up again, and answers to watches and holds.

use fleet::io::EndKind;

use super::*;

impl Simulation {
    /// Ends the incarnation of a minion. A minion that does not exist is ignored.
    pub fn crash_minion(&mut self, minion: &MinionId) {
        let Some(fake) = self.minions.get_mut(minion) else { return };
        let minion_incarnation = fake.report.minion_incarnation;
        fake.crash();
        self.checker.end_incarnation(minion, minion_incarnation);
    }

    /// Starts a new incarnation of a minion that is down.
    pub fn restart_minion(&mut self, minion: &MinionId) {
        let now = self.now;
        if let Some(fake) = self.minions.get_mut(minion)
            && !fake.is_up
        {
            fake.restart(now);
        }
        self.checker.draining_since.remove(minion);
    }

    /// Adds a new minion on a VM that is up, unless the VM is in the spare pool. It has the labels and
    /// the capacity of an earlier one on this VM.
    pub fn start_minion_on_vm(&mut self, name: &VmId) {
        let pool = self.cloud.vms[name].pool.clone();
        if self.config.pools[&pool].is_spare {
            return;
        }
        let earlier = self.minions.values().rfind(|fake| fake.report.vm.as_ref() == Some(name));
        let report_template = earlier.map(|fake| fake.report.clone());
        let report_template = report_template.or(self.report_template.clone());
        let report_template = report_template.expect("a minion was added before");
        let number = self.minions.len();
        let report = MinionReport {
            minion: format!("i-new-{number}").parse().expect("valid name"),
            minion_incarnation: self.now,
            vm: Some(name.clone()),
            pool,
            address: format!("10.9.{}.{}:80", number / 200, number % 200)
                .parse()
                .expect("valid address"),
            ..report_template
        };
        self.cloud.vms.get_mut(name).expect("known VM").minion = Some(report.minion.clone());
        self.add_minion(report);
    }

    /// Advances store, cloud and minions to the present time and answers watches and holds.
    pub(super) fn advance_environment(&mut self) {
        let now = self.now;
        if self.faults.is_store_silent {
            self.store.extend_leases(now - self.advanced_until);
        } else if !self.faults.is_store_down {
            self.store.expire_leases(now);
        }
        self.advanced_until = now;
        self.record_disturbances();
        self.write_pending_config();
        for vm in self.cloud.advance(now) {
            self.start_minion_on_vm(&vm);
        }
        let ids: Vec<MinionId> = self.minions.keys().cloned().collect();
        for id in ids {
            let Some(fake) = self.minions.get_mut(&id).filter(|fake| fake.is_up) else { continue };
            let minion_events = fake.advance(now);
            self.record_minion_events(&id, minion_events, false);
        }
        if now >= self.next_report_ms {
            self.next_report_ms = now + 500;
            self.write_reports();
        }
        self.answer_holds();
        self.answer_watches();
    }

    /// Writes the changed reports of reachable minions, and removes the reports of the others.
    pub(super) fn write_reports(&mut self) {
        if self.faults.is_store_down || self.faults.is_store_silent {
            return;
        }
        for (id, fake) in &self.minions {
            let key = StoreKey::Minion(id.clone());
            if fake.is_up && !fake.is_partitioned && !fake.loses_answers {
                let value = ItemValue::Minion(fake.report.clone());
                if self.store.get(&key).is_none_or(|item| item.value != value) {
                    self.store.put(key, value, None);
                    if fake.report.is_draining {
                        self.checker.draining_since.entry(id.clone()).or_insert(self.now);
                    }
                }
            } else if !self.faults.keeps_reports {
                self.store.remove(&key);
            }
        }
    }

    /// Passes events of a minion to the rule checker.
    pub(super) fn record_minion_events(
        &mut self,
        id: &MinionId,
        minion_events: Vec<MinionEvent>,
        is_late: bool,
    ) {
        let report = self.minions[id].report.clone();
        for minion_event in minion_events {
            if self.prints_trace {
                println!("{} {id} {minion_event:?}", self.now);
            }
            match minion_event {
                MinionEvent::Started { task, run } => {
                    self.checker.record_start(self.now, &self.config, &report, &task, run, is_late);
                }
                MinionEvent::Ended { task, run, kind, number } => {
                    self.ended_runs.push((self.now, id.clone(), task.clone(), kind));
                    if kind == EndKind::Done {
                        self.done_at.insert(task.job.clone(), self.now);
                    }
                    self.checker.record_finished_run(
                        id,
                        report.minion_incarnation,
                        &task,
                        run,
                        kind,
                        number,
                    );
                }
                MinionEvent::Lapsed { is_unreported } => {
                    self.checker.record_lease_lapse(id, report.minion_incarnation, is_unreported);
                }
                MinionEvent::Saved { up_to } => {
                    self.checker.record_saved_runs(self.now, id, report.minion_incarnation, up_to);
                }
            }
        }
    }

    /// Loses the watches that match without closing their connections: each is unknown to its
    /// daemon once its time is over.
    fn lose_watches(&mut self, is_lost: impl Fn(&PendingWatch) -> bool) {
        let (lost, waiting) = std::mem::take(&mut self.watches).into_iter().partition(is_lost);
        self.watches = waiting;
        for watch in lost {
            let delay = (watch.until + STORE_TIMEOUT_MS).saturating_sub(self.now);
            let event = Event::Store(watch.call, StoreAnswer::Unknown);
            self.schedule_answer(watch.daemon, watch.incarnation, delay, event);
        }
    }

    /// Silences the connections over which a daemon waits for changes, without closing them.
    pub fn silence_watches_of(&mut self, daemon: usize) {
        self.daemons[daemon].disturbed_at = self.now;
        self.lose_watches(|watch| watch.daemon == daemon);
    }

    /// Answers the watches that have events or whose wait is over.
    pub(super) fn answer_watches(&mut self) {
        if self.faults.is_store_silent {
            self.lose_watches(|_| true);
        }
        if self.watches.is_empty() {
            return;
        }
        let pending = std::mem::take(&mut self.watches);
        for watch in pending {
            let answer = if self.is_store_unreachable(watch.daemon) {
                Some(StoreAnswer::Unknown)
            } else {
                self.store.execute(self.now, &watch.request)
            };
            let answer = match answer {
                None if self.now >= watch.until => {
                    let StoreCall::Watch { after, .. } = watch.request else { continue };
                    Some(StoreAnswer::Events { events: Vec::new(), at: after })
                }
                other => other,
            };
            match answer {
                Some(answer) => {
                    let origin = (watch.daemon, watch.incarnation, watch.call);
                    self.schedule_store_answer(origin, &watch.request, answer, 2);
                }
                None => self.watches.push(watch),
            }
        }
    }

    /// Answers the holds of minions with finished runs, those whose wait is over, and those
    /// whose minion became unreachable.
    pub(super) fn answer_holds(&mut self) {
        let pending = std::mem::take(&mut self.holds);
        for hold in pending {
            let Some(fake) = self.minions.get_mut(&hold.minion) else { continue };
            let is_same_incarnation = fake.report.minion_incarnation == hold.minion_incarnation;
            let is_connected = is_same_incarnation || self.faults.connections_outlive_incarnations;
            if !fake.is_up || fake.is_partitioned || !is_connected {
                let event = Event::Minion(hold.call, MinionAnswer::Unknown);
                self.schedule_answer(hold.daemon, hold.incarnation, ORDER_TIMEOUT_MS, event);
                continue;
            }
            if self.now < hold.until && !fake.has_finished_runs() {
                self.holds.push(hold);
                continue;
            }
            let order = match hold.order {
                // A hold acts on the incarnation that it reached; the next one only lists its runs.
                MinionCall::Hold { saved_end, wait, .. } => {
                    let saved_end = if is_same_incarnation { saved_end } else { 0 };
                    MinionCall::Hold { until_clock: None, saved_end, wait }
                }
                other => other,
            };
            let (answer, minion_events) =
                fake.execute_order(self.now, hold.fencing_token, &order, None, (0, false));
            self.record_minion_events(&hold.minion, minion_events, false);
            let origin = (hold.daemon, hold.incarnation, hold.call);
            self.schedule_minion_answer(&hold.minion, origin, answer);
        }
    }
}
