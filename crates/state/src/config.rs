//! The configuration: the operators' two lists, keys, and what is taken out.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{ChangeId, DataCentreId, KeyId, KeyRecord, Millis, PlanId, PoolId, TeamId};

/// How many past changes a document remembers to recognise a repeat.
const CHANGES_REMEMBERED: usize = 64;

/// What one team holds: a row of the first list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamPlan {
    /// The plan that says what the team may use.
    pub plan: PlanId,
    /// Weight of the team when all is full, relative to other teams.
    pub share: u32,
    /// Most requests and tasks the team may have running, fleet-wide.
    pub limit: u32,
}

/// Whether work of a plan waits behind or before other work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Starts first, and other work makes room for it.
    Urgent,
    /// Starts by share.
    Normal,
    /// Starts when nothing else waits, and makes room for urgent work.
    Overnight,
}

/// What a plan may use: a row of the second list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanGrant {
    /// Pools whose queue the plan's teams may use.
    pub pools: BTreeSet<PoolId>,
    /// How the plan's work ranks.
    pub priority: Priority,
}

/// How a pool is run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolPolicy {
    /// Whether callers may use the pool without a key.
    pub open: bool,
    /// VMs that must stay available through every planned stop.
    pub min_available: u32,
    /// Longest time a request may wait and run, in milliseconds.
    pub deadline: Millis,
}

/// What decides between teams when all is full and a data centre is out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(rename_all = "kebab-case")]
pub enum Preference {
    /// Nearness to shares counts first.
    #[default]
    Share,
    /// Work done counts first.
    Work,
}

/// The whole configuration, replaced as one by compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Default)]
pub struct ConfigDoc {
    /// The first list: customers' plans.
    pub teams: BTreeMap<TeamId, TeamPlan>,
    /// The second list: what each plan may use.
    pub plans: BTreeMap<PlanId, PlanGrant>,
    /// The second list: how each pool is run.
    pub pools: BTreeMap<PoolId, PoolPolicy>,
    /// Keys that work now.
    pub keys: BTreeMap<KeyId, KeyRecord>,
    /// Data centres that are taken out.
    pub out_data_centres: BTreeSet<DataCentreId>,
    /// Pools that are taken out.
    pub out_pools: BTreeSet<PoolId>,
    /// What counts first when all is full.
    #[serde(default)]
    pub preference: Preference,
    /// The latest changes, so that a change whose answer was lost is
    /// recognised when it comes again.
    pub changes: Vec<ChangeId>,
}

/// One step that an operator asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "edit")]
pub enum ConfigEdit {
    /// Replaces the first list.
    Teams {
        /// The new list.
        teams: BTreeMap<TeamId, TeamPlan>,
    },
    /// Replaces the second list.
    Grants {
        /// Plans of the new list.
        plans: BTreeMap<PlanId, PlanGrant>,
        /// Pools of the new list.
        pools: BTreeMap<PoolId, PoolPolicy>,
        /// What counts first when all is full.
        preference: Preference,
    },
    /// Makes a key work.
    GiveKey {
        /// The key's public part.
        key: KeyId,
        /// The key's salted hash and team.
        record: KeyRecord,
    },
    /// Makes a key stop working.
    WithdrawKey {
        /// The key's public part.
        key: KeyId,
    },
    /// Takes a data centre out, or back.
    DataCentre {
        /// Which.
        data_centre: DataCentreId,
        /// True to take it out.
        out: bool,
    },
    /// Takes a pool out, or back.
    Pool {
        /// Which.
        pool: PoolId,
        /// True to take it out.
        out: bool,
    },
}

impl ConfigEdit {
    /// Whether the step replaces a whole list.
    pub fn replaces_list(&self) -> bool {
        matches!(self, Self::Teams { .. } | Self::Grants { .. })
    }
}

impl ConfigDoc {
    /// Applies `edits` as one change. The result is checked by
    /// [`crate::verify::config`] before it is written.
    pub fn apply(&mut self, change: &ChangeId, edits: &[ConfigEdit]) {
        for edit in edits {
            self.apply_edit(edit);
        }
        self.changes.push(change.clone());
        let excess = self.changes.len().saturating_sub(CHANGES_REMEMBERED);
        self.changes.drain(..excess);
    }

    /// Whether `change` is already part of this configuration.
    pub fn has_change(&self, change: &ChangeId) -> bool {
        self.changes.contains(change)
    }

    fn apply_edit(&mut self, edit: &ConfigEdit) {
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
                set_member(&mut self.out_data_centres, data_centre, *out);
            }
            ConfigEdit::Pool { pool, out } => set_member(&mut self.out_pools, pool, *out),
        }
    }

    /// How the team's work ranks on every pool.
    pub fn priority(&self, team: &TeamId) -> Priority {
        let plan = self.teams.get(team).and_then(|row| self.plans.get(&row.plan));
        plan.map_or(Priority::Normal, |grant| grant.priority)
    }

    /// Whether the team's plan may use `pool`.
    pub fn may_use(&self, team: &TeamId, pool: &PoolId) -> bool {
        let plan = self.teams.get(team).and_then(|row| self.plans.get(&row.plan));
        plan.is_some_and(|grant| grant.pools.contains(pool))
    }
}

fn set_member<T: Clone + Ord>(set: &mut BTreeSet<T>, item: &T, present: bool) {
    if present {
        set.insert(item.clone());
    } else {
        set.remove(item);
    }
}
