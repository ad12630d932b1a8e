//! Minions that may be due for a hold.

use std::collections::BTreeSet;

use state::MinionId;

/// Minions whose next hold may be due since holds were last sent. Holds that become due by
/// the passing of time are found by the next tick, which adds all minions.
#[derive(Debug, Default)]
pub(super) struct HoldQueue {
    has_all: bool,
    minions: BTreeSet<MinionId>,
}

impl HoldQueue {
    pub(super) fn add(&mut self, minion: &MinionId) {
        if !self.has_all {
            self.minions.insert(minion.clone());
        }
    }

    pub(super) fn add_all(&mut self) {
        self.has_all = true;
        self.minions.clear();
    }

    /// Takes the minions; `None` stands for all minions.
    pub(super) fn take(&mut self) -> Option<BTreeSet<MinionId>> {
        let minions = std::mem::take(&mut self.minions);
        (!std::mem::take(&mut self.has_all)).then_some(minions)
    }
}
