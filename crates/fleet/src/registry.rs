//! Reads the reports of all minions.
//!
//! The reports change all the time, but few of the changes matter here: one full
//! reading every [`REGISTRY_PERIOD`] costs less than a watch of each change. Stale
//! readings are not used, because a draining minion must be noticed in time.

use std::collections::BTreeMap;

use state::{MinionId, Moment};

use crate::event::Clock;
use crate::io::{ItemValue, StoreAnswer, StoreCall};
use crate::key::{KeyScope, StoreKey};
use crate::model::MinionReport;
use crate::outbox::{CallPurpose, Outbox};
use crate::timing::{READ_RETRY, REGISTRY_PERIOD};

/// Latest complete reading of the minions' reports.
#[derive(Debug, Default)]
pub(crate) struct Registry {
    pub(crate) reports: BTreeMap<MinionId, MinionReport>,
    /// Time at which the latest complete reading was requested.
    pub(crate) read_at: Option<Moment>,
    pages: BTreeMap<MinionId, MinionReport>,
    pages_since: Moment,
    is_calling: bool,
    next_call: Moment,
}

impl Registry {
    pub(crate) fn on_tick(&mut self, clock: Clock, out: &mut Outbox) {
        if !self.is_calling && clock.now >= self.next_call {
            self.pages.clear();
            self.pages_since = clock.now;
            self.call(clock, out, None);
        }
    }

    fn call(&mut self, clock: Clock, out: &mut Outbox, after: Option<StoreKey>) {
        self.is_calling = true;
        let request = StoreCall::Range { scope: KeyScope::Minions, after };
        out.store(clock, CallPurpose::Registry, request);
    }

    /// Handles one page of a reading and returns whether the reading is complete.
    pub(crate) fn on_answer(
        &mut self,
        clock: Clock,
        out: &mut Outbox,
        answer: StoreAnswer,
    ) -> bool {
        self.is_calling = false;
        let StoreAnswer::Items { items, more, .. } = answer else {
            self.next_call = clock.now + READ_RETRY;
            return false;
        };
        let last = items.last().map(|item| item.key.clone());
        for item in items {
            match item.value {
                ItemValue::Minion(report) => {
                    self.pages.insert(report.minion.clone(), report);
                }
                ItemValue::Unreadable(reason) => {
                    out.log("minion-report", format!("{:?}", item.key), reason, "passed over");
                }
                _ => {}
            }
        }
        if more {
            self.call(clock, out, last);
            return false;
        }
        self.reports = std::mem::take(&mut self.pages);
        self.read_at = Some(self.pages_since);
        self.next_call = clock.now + REGISTRY_PERIOD;
        true
    }
}
