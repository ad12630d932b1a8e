//! The stored roster: the minions on which tasks of the pool may run, for the next owner.
//!
//! A new owner waits for the answers of the roster's minions before it starts tasks that an earlier
//! owner may have started (`load`). The roster therefore leaves out minions that are drained and
//! whose VMs may go down.

use std::collections::BTreeMap;

use state::{MinionId, Moment};

use super::PoolOwner;
use super::minion::OwnedMinion;
use crate::io::{PutValue, StoreCommit, StorePut};
use crate::key::OwnKey;
use crate::records::{PoolRoster, RosterRow, encode};

impl PoolOwner {
    /// Adds the roster to a commit, and returns the incarnations of its minions.
    pub(super) fn add_roster(
        &mut self,
        now: Moment,
        commit: &mut StoreCommit,
    ) -> BTreeMap<MinionId, u64> {
        self.save.is_roster_dirty = false;
        let roster = self.build_roster(now);
        for (id, minion) in &mut self.minions {
            minion.is_in_roster &= roster.minions.contains_key(id);
        }
        let (key, value) = (self.pool_key(OwnKey::Roster), PutValue::Own(encode(&roster)));
        commit.puts.push(StorePut { key, value, lease: None });
        roster.minions.into_iter().map(|(id, row)| (id, row.minion_incarnation)).collect()
    }

    /// Requests a commit of the roster if it has a minion that is drained, or lacks one that may get
    /// starts.
    pub(super) fn note_roster_changes(&mut self) {
        if self.save.is_writing_roster() {
            return;
        }
        self.work.add(self.minions.len());
        let is_changed = |minion: &OwnedMinion| {
            minion.is_fenced && minion.is_in_roster == self.is_drained_for_good(minion)
        };
        self.save.is_roster_dirty |= self.minions.values().any(is_changed);
    }

    /// Whether a minion has nothing to run or to report and gets no starts. Its VM may go down at any
    /// time or has gone already, and the next owner would wait for its answer until all leases have certainly expired.
    fn is_drained_for_good(&self, minion: &OwnedMinion) -> bool {
        (self.is_being_drained(minion) || !minion.is_listed) && minion.is_idle()
    }

    /// Builds the roster: minions that may execute tasks of this owner, and minions of the stored roster
    /// that may still execute tasks of an earlier owner.
    fn build_roster(&self, now: Moment) -> PoolRoster {
        self.work.add(self.minions.len());
        let mut minions: BTreeMap<MinionId, RosterRow> = self.stage.unconfirmed_minions.clone();
        if self.stage.has_resolved_unknown_runs() {
            minions.values_mut().for_each(|row| row.may_have_runs = false);
        }
        for (id, minion) in &self.minions {
            if minion.may_execute(now) && !self.is_drained_for_good(minion) {
                let row = RosterRow {
                    address: minion.report.address,
                    minion_incarnation: minion.report.minion_incarnation,
                    saved_end: self.saved_end(minion),
                    vm: minion.report.vm.clone(),
                    may_have_runs: true,
                    has_answered: minion.is_fenced,
                };
                minions.insert(id.clone(), row);
            }
        }
        PoolRoster { minions }
    }
}
