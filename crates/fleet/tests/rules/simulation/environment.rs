//! What happens without any daemon: reports, ends, leases, VMs that come back.

use super::*;

impl World {
    pub fn crash_minion(&mut self, minion: &MinionId) {
        let Some(fake) = self.minions.get_mut(minion) else { return };
        let born = fake.report.minion_incarnation;
        fake.crash();
        self.checker.life_over(minion, born);
    }

    pub fn raise_minion(&mut self, minion: &MinionId) {
        let now = self.now;
        if let Some(fake) = self.minions.get_mut(minion)
            && !fake.is_up
        {
            fake.rise(now);
        }
        self.checker.draining_since.remove(minion);
    }

    /// A VM is back: it is a new minion of its pool, unless that is the spare one.
    pub(super) fn raise_vm(&mut self, name: &VmId) {
        let pool = self.cloud.vms[name].pool.clone();
        if self.config.pools[&pool].is_spare {
            return;
        }
        let template = self.template.clone().expect("minions were added");
        let number = self.minions.len();
        let report = MinionReport {
            minion: format!("i-new-{number}").parse().expect("a name"),
            minion_incarnation: self.now,
            vm: Some(name.clone()),
            pool,
            address: format!("10.9.{}.{}:80", number / 200, number % 200).parse().expect("one"),
            ..template
        };
        self.cloud.vms.get_mut(name).expect("a VM").minion = Some(report.minion.clone());
        self.add_minion(report);
    }

    /// What happens without any daemon: reports, ends, leases.
    pub(super) fn surroundings(&mut self) {
        let now = self.now;
        if !self.mischief.store_down {
            self.store.expire(now);
        }
        for vm in self.cloud.advance(now) {
            self.raise_vm(&vm);
        }
        let ids: Vec<MinionId> = self.minions.keys().cloned().collect();
        for id in ids {
            let Some(fake) = self.minions.get_mut(&id).filter(|fake| fake.is_up) else { continue };
            let facts = fake.advance(now);
            self.note_facts(&id, facts, false);
        }
        if now >= self.reports_at {
            self.reports_at = now + 500;
            self.write_reports();
        }
        self.wake_holds();
        self.wake_watches();
    }

    pub(super) fn write_reports(&mut self) {
        if self.mischief.store_down {
            return;
        }
        for (id, fake) in &self.minions {
            let key = StoreKey::Minion(id.clone());
            if fake.is_up && !fake.is_cut {
                let value = ItemValue::Minion(fake.report.clone());
                if self.store.get(&key).is_none_or(|item| item.value != value) {
                    self.store.put(key, value, None);
                    if fake.report.is_draining {
                        self.checker.draining_since.entry(id.clone()).or_insert(self.now);
                    }
                }
            } else {
                self.store.remove(&key);
            }
        }
    }

    pub(super) fn note_facts(&mut self, id: &MinionId, facts: Vec<MinionFact>, is_late: bool) {
        let report = self.minions[id].report.clone();
        for fact in facts {
            if self.trace {
                println!("{} {id} {fact:?}", self.now);
            }
            match fact {
                MinionFact::Started { task, run } => {
                    self.checker.started(self.now, &self.config, &report, &task, run, is_late);
                }
                MinionFact::Ended { task, run, kind, number } => {
                    self.checker.ended(id, report.minion_incarnation, &task, run, kind, number);
                }
                MinionFact::Lapsed { is_silent } => {
                    self.checker.lapsed(id, report.minion_incarnation, is_silent);
                }
                MinionFact::Noted { upto } => {
                    self.checker.noted(self.now, id, report.minion_incarnation, upto);
                }
            }
        }
    }

    pub(super) fn wake_watches(&mut self) {
        if self.watches.is_empty() {
            return;
        }
        let waiting = std::mem::take(&mut self.watches);
        for watch in waiting {
            let answer = if self.is_turned_away(watch.daemon) {
                Some(StoreAnswer::Unknown)
            } else {
                self.store.call(self.now, &watch.request)
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
                    let event = Event::Store(watch.call, answer);
                    self.answer(watch.daemon, watch.incarnation, 2, event);
                }
                None => self.watches.push(watch),
            }
        }
    }

    pub(super) fn wake_holds(&mut self) {
        let waiting = std::mem::take(&mut self.holds);
        for hold in waiting {
            let Some(fake) = self.minions.get_mut(&hold.minion) else { continue };
            if !fake.is_up || fake.is_cut || fake.report.minion_incarnation != hold.born {
                let event = Event::Minion(hold.call, MinionAnswer::Unknown);
                self.answer(hold.daemon, hold.incarnation, ORDER_TIMEOUT, event);
                continue;
            }
            if self.now < hold.until && !fake.has_ends() {
                self.holds.push(hold);
                continue;
            }
            let order = match hold.order {
                MinionCall::Hold { saved_end: noted, wait, .. } => {
                    MinionCall::Hold { until_clock: None, saved_end: noted, wait }
                }
                other => other,
            };
            let (answer, facts) = fake.order(self.now, hold.token, &order, None, (0, false));
            self.note_facts(&hold.minion, facts, false);
            self.answer(hold.daemon, hold.incarnation, 1, Event::Minion(hold.call, answer));
        }
    }
}
