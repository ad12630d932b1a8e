//! Reads the reports of all minions.
//!
//! The reports change continually, but few of the changes are relevant here. One full
//! reading every [`REGISTRY_INTERVAL`] therefore costs less than a watch of each change.
//! Stale readings are not used, because a draining minion must be noticed in time.
//!
//! A report stays for some seconds after its minion is gone. A VM runs one minion at a time, so a
//! report of an earlier minion on the VM of a later one is left out: whoever asks for the minion on
//! a VM would else find one without runs beside the one that has them.

use std::collections::BTreeMap;

use state::{MinionId, Moment, VmId};

use crate::event::Clock;
use crate::io::{ItemValue, StoreAnswer, StoreCall};
use crate::key::{KeyScope, StoreKey};
use crate::model::MinionReport;
use crate::outbox::{CallPurpose, Outbox};
use crate::timing::{READ_RETRY_DELAY, REGISTRY_INTERVAL};

/// Latest complete reading of the minions' reports.
#[derive(Debug, Default)]
pub(crate) struct Registry {
    pub(crate) reports: BTreeMap<MinionId, MinionReport>,
    /// Minions whose reports were left out of that reading, each with the latest one on its VM.
    pub(crate) superseded: BTreeMap<MinionId, MinionId>,
    /// Time at which the latest complete reading was requested.
    pub(crate) read_at: Option<Moment>,
    /// Time from which a reading must have been requested for starts by its reports.
    required_since: Moment,
    pending_reports: BTreeMap<MinionId, MinionReport>,
    reading_began_at: Moment,
    is_call_in_flight: bool,
    next_call_at: Moment,
}

impl Registry {
    /// Requires a reading that is requested from now on, because the store has answered none for
    /// some time.
    pub(crate) fn require_reading(&mut self, now: Moment) {
        self.required_since = now;
        self.next_call_at = now;
    }

    /// Whether the reports have been read since the store last answered again. Earlier reports may
    /// miss that a minion drains.
    pub(crate) fn is_current(&self) -> bool {
        self.read_at.is_some_and(|read_at| read_at >= self.required_since)
    }

    pub(crate) fn on_tick(&mut self, clock: Clock, out: &mut Outbox) {
        if !self.is_call_in_flight && clock.now >= self.next_call_at {
            self.pending_reports.clear();
            self.reading_began_at = clock.now;
            self.request_page(clock, out, None);
        }
    }

    fn request_page(&mut self, clock: Clock, out: &mut Outbox, after: Option<StoreKey>) {
        self.is_call_in_flight = true;
        let request = StoreCall::Range { scope: KeyScope::Minions, after };
        out.call_store(clock, CallPurpose::Registry, request);
    }

    /// Handles one page of a reading and returns whether the reading is complete.
    pub(crate) fn on_answer(
        &mut self,
        clock: Clock,
        out: &mut Outbox,
        answer: StoreAnswer,
    ) -> bool {
        self.is_call_in_flight = false;
        let StoreAnswer::Items { items, more, .. } = answer else {
            self.next_call_at = clock.now + READ_RETRY_DELAY;
            return false;
        };
        let last_key = items.last().map(|item| item.key.clone());
        for item in items {
            match item.value {
                ItemValue::Minion(report) => {
                    self.pending_reports.insert(report.minion.clone(), report);
                }
                ItemValue::Unreadable(reason) => {
                    out.log("minion-report", format!("{:?}", item.key), reason, "skipped");
                }
                _ => {}
            }
        }
        if more {
            self.request_page(clock, out, last_key);
            return false;
        }
        self.reports = std::mem::take(&mut self.pending_reports);
        self.remove_superseded();
        self.read_at = Some(self.reading_began_at);
        self.next_call_at = clock.now + REGISTRY_INTERVAL;
        true
    }

    /// Removes the reports of minions on whose VM a later minion is listed, in any pool.
    fn remove_superseded(&mut self) {
        let mut latest: BTreeMap<&VmId, &MinionReport> = BTreeMap::new();
        for report in self.reports.values() {
            let Some(vm) = &report.vm else { continue };
            let known = latest.entry(vm).or_insert(report);
            if report.minion_incarnation > known.minion_incarnation {
                *known = report;
            }
        }
        let mut superseded = BTreeMap::new();
        for report in self.reports.values() {
            let Some(current) = report.vm.as_ref().and_then(|vm| latest.get(vm)) else { continue };
            if report.minion_incarnation >= current.minion_incarnation {
                continue;
            }
            superseded.insert(report.minion.clone(), current.minion.clone());
        }
        self.reports.retain(|minion, _| !superseded.contains_key(minion));
        self.superseded = superseded;
    }
}
