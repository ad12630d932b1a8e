//! Configuration document: the operators' two lists, the keys, and the data centres and pools that
//! are taken out of service.
//!
//! The first list assigns plans to teams; the second list says what each plan may use and how each
//! pool is run.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{ChangeId, DataCentreId, KeyId, KeyRecord, Millis, PlanId, PoolId, TeamId};

/// Number of past changes that a document stores to detect a repeated change.
const MAX_STORED_CHANGES: usize = 64;

/// Plan, share and limit of one team: a row of the first list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamPlan {
    /// Plan that determines what the team may use.
    pub plan: PlanId,
    /// Weight of the team relative to other teams when the capacity is exhausted.
    pub share: u32,
    /// Maximum number of requests and tasks of the team that run at the same time, fleet-wide.
    pub limit: u32,
}

/// Rank of a plan's work relative to the work of other plans.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// The work starts first, and other work yields capacity to it.
    Urgent,
    /// The work starts in proportion to the teams' shares.
    Normal,
    /// The work starts when no other work waits, and yields capacity to urgent work.
    Overnight,
}

/// Pools and priority of a plan: a row of the second list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanGrant {
    /// Pools whose queues the plan's teams may use.
    pub pools: BTreeSet<PoolId>,
    /// Priority of the plan's work.
    pub priority: Priority,
}

/// Operating policy of a pool: a row of the second list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolPolicy {
    /// Whether callers without a key may use the pool.
    pub open: bool,
    /// Minimum number of VMs that must stay available during planned stops.
    pub min_available: u32,
    /// Maximum total time that a request may wait and run.
    pub deadline: Millis,
}

/// Criterion for deciding between teams when the capacity is exhausted and a data centre is out of
/// service. The value is stored with the configuration and not yet used by any decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(rename_all = "kebab-case")]
pub enum Preference {
    /// The first criterion is how close each team is to its share.
    #[default]
    Share,
    /// The first criterion is the amount of completed work.
    Work,
}

/// Complete configuration; each change replaces the whole document by compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct ConfigDoc {
    /// First list: the plan of each team.
    pub teams: BTreeMap<TeamId, TeamPlan>,
    /// Second list, part one: what each plan may use.
    pub plans: BTreeMap<PlanId, PlanGrant>,
    /// Second list, part two: how each pool is run.
    pub pools: BTreeMap<PoolId, PoolPolicy>,
    /// Records of the valid keys.
    pub keys: BTreeMap<KeyId, KeyRecord>,
    /// Data centres that are out of service.
    pub out_data_centres: BTreeSet<DataCentreId>,
    /// Pools that are out of service.
    pub out_pools: BTreeSet<PoolId>,
    /// First criterion between teams when the capacity is exhausted. The value is stored and not
    /// yet used by any decision.
    #[serde(default)]
    pub preference: Preference,
    /// Most recent changes, oldest first. If the answer to a change was lost and the operator sends
    /// the change again, the document shows that the change was already applied.
    pub changes: Vec<ChangeId>,
}

/// One edit of the configuration that an operator requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "edit")]
pub enum ConfigEdit {
    /// Replaces the first list.
    Teams {
        /// Rows of the new list by team.
        teams: BTreeMap<TeamId, TeamPlan>,
    },
    /// Replaces the second list.
    Grants {
        /// Rows of the new list by plan.
        plans: BTreeMap<PlanId, PlanGrant>,
        /// Policies of the new list by pool.
        pools: BTreeMap<PoolId, PoolPolicy>,
        /// First criterion between teams when the capacity is exhausted. The value is stored with
        /// the configuration and not yet used by any decision.
        preference: Preference,
    },
    /// Adds a key, which callers may use from then on.
    GiveKey {
        /// Public part of the key.
        key: KeyId,
        /// Salted hash and team of the key.
        record: KeyRecord,
    },
    /// Removes a key, which is invalid from then on.
    WithdrawKey {
        /// Public part of the key.
        key: KeyId,
    },
    /// Takes a data centre out of service, or returns it to service.
    DataCentre {
        /// Identifier of the data centre.
        data_centre: DataCentreId,
        /// `true` to take the data centre out of service, `false` to return it.
        out: bool,
    },
    /// Takes a pool out of service, or returns it to service.
    Pool {
        /// Identifier of the pool.
        pool: PoolId,
        /// `true` to take the pool out of service, `false` to return it.
        out: bool,
    },
}

impl ConfigEdit {
    /// Returns whether the edit replaces a whole list.
    pub fn replaces_list(&self) -> bool {
        matches!(self, Self::Teams { .. } | Self::Grants { .. })
    }
}

impl ConfigDoc {
    /// Applies `edits` as one change. Callers check the result with the module
    /// [`crate::verify`] before they write it.
    pub fn apply(&mut self, change: &ChangeId, edits: &[ConfigEdit]) {
        for edit in edits {
            self.apply_edit(edit);
        }
        self.changes.push(change.clone());
        let excess = self.changes.len().saturating_sub(MAX_STORED_CHANGES);
        self.changes.drain(..excess);
    }

    /// Returns whether `change` is one of the most recent changes that this document records.
    pub fn has_change(&self, change: &ChangeId) -> bool {
        self.changes.contains(change)
    }

    /// Applies one edit without recording a change.
    pub fn apply_edit(&mut self, edit: &ConfigEdit) {
        match edit {
            ConfigEdit::Teams { teams } => self.teams = teams.clone(),
            ConfigEdit::Grants { plans, pools, preference } => {
                self.plans = plans.clone();
                self.pools = pools.clone();
                self.preference = *preference;
            }
            ConfigEdit::GiveKey { key, record } => {
                self.keys.insert(key.clone(), record.clone());
            }
            ConfigEdit::WithdrawKey { key } => {
                self.keys.remove(key);
            }
            ConfigEdit::DataCentre { data_centre, out } => {
                set_membership(&mut self.out_data_centres, data_centre, *out);
            }
            ConfigEdit::Pool { pool, out } => set_membership(&mut self.out_pools, pool, *out),
        }
    }

    /// Returns the priority of the team's work, which is the same on every pool; a team without a
    /// known plan has normal priority.
    pub fn priority(&self, team: &TeamId) -> Priority {
        let plan = self.teams.get(team).and_then(|row| self.plans.get(&row.plan));
        plan.map_or(Priority::Normal, |grant| grant.priority)
    }

    /// Returns whether the team's plan may use `pool`.
    pub fn may_use(&self, team: &TeamId, pool: &PoolId) -> bool {
        let plan = self.teams.get(team).and_then(|row| self.plans.get(&row.plan));
        plan.is_some_and(|grant| grant.pools.contains(pool))
    }
}

fn set_membership<T: Clone + Ord>(set: &mut BTreeSet<T>, item: &T, is_member: bool) {
    if is_member {
        set.insert(item.clone());
    } else {
        set.remove(item);
    }
}
