//! The pool's part of each team's limit.
//!
//! A team's limit holds over all pools, and no start may wait for the store. One
//! shared record splits each limit into parts whose sum never passes it; a pool
//! starts work against its own part only. A pool that needs more takes what no part
//! holds, and says what it wants; pools with more than they use give that up. All
//! of it are compare-and-swaps of the one record.

use std::collections::{BTreeMap, BTreeSet};

use jobs::Resources;
use state::{Moment, PoolId, Revision, TeamId};

use super::{PoolCall, PoolOwner, StepContext};
use crate::io::{ItemValue, PutValue, StoreAnswer, StoreCall, StoreCommit, StorePut};
use crate::key::{OwnKey, StoreKey};
use crate::model::FleetConfig;
use crate::records::{AllocationDoc, PoolAllocation, decode, encode};
use crate::timing::{COMMIT_RETRY, PARTS_GAP};

/// What the pool holds, uses and wants of each team's limit.
#[derive(Debug, Default)]
pub(super) struct LimitShare {
    parts: BTreeMap<TeamId, Resources>,
    used: BTreeMap<TeamId, Resources>,
    /// Teams that the last look found without room.
    short: BTreeMap<TeamId, Resources>,
    limited: BTreeSet<TeamId>,
    is_writing: bool,
    next_at: Moment,
    /// A newer record than the shared one, known from a conflict or a commit.
    newer: Option<(AllocationDoc, Revision)>,
    /// A record that was written, as long as nobody knows whether it is in force.
    written: Option<AllocationDoc>,
}

impl LimitShare {
    pub(super) fn begin_look(&mut self) {
        self.short.clear();
    }

    /// Whether the team may have that much more running in this pool.
    pub(super) fn has_room(&mut self, team: Option<&TeamId>, more: &Resources) -> bool {
        let Some(team) = team.filter(|team| self.limited.contains(*team)) else { return true };
        let used = self.used.get(team).copied().unwrap_or_default();
        let part = self.parts.get(team).copied().unwrap_or_default();
        if used.plus(more).fits(&part) {
            return true;
        }
        let short = self.short.entry(team.clone()).or_default();
        *short = short.plus(more);
        false
    }

    /// Uses only what a record that may be in force allows too.
    fn keep_to_written(&mut self, pool: &PoolId) {
        let Some(written) = &self.written else { return };
        let after = parts_of(written, pool);
        for (team, part) in &mut self.parts {
            *part = lesser(part, &after.get(team).copied().unwrap_or_default());
        }
    }

    pub(super) fn add(&mut self, team: Option<&TeamId>, more: &Resources) {
        if let Some(team) = team {
            let used = self.used.entry(team.clone()).or_default();
            *used = used.plus(more);
        }
    }
}

/// The record after this pool has taken what it needs and given up what others
/// need; the old one if nothing changes.
fn balance(
    doc: &AllocationDoc,
    pool: &PoolId,
    config: &FleetConfig,
    used: &BTreeMap<TeamId, Resources>,
    wants: &BTreeMap<TeamId, Resources>,
) -> AllocationDoc {
    let mut next = doc.clone();
    for team in &config.teams {
        let parts = next.teams.entry(team.team.clone()).or_default();
        let mine = parts.get(pool).copied().unwrap_or_default();
        let mut others = Resources::default();
        let mut shortage = Resources::default();
        for (_, part) in parts.iter().filter(|(other, _)| *other != pool) {
            others = others.plus(&part.allocated);
            shortage = shortage.plus(&part.requested.minus(&part.allocated));
        }
        let used = used.get(&team.team).copied().unwrap_or_default();
        let want = wants.get(&team.team).copied().unwrap_or(used);
        let free = team.limit.minus(&others.plus(&mine.allocated));
        let short = want.minus(&mine.allocated);
        let headroom = if short == Resources::default() { short } else { free.quarter() };
        let taken = mine.allocated.plus(&lesser(&short.plus(&headroom), &free));
        let spare = taken.minus(&used.at_least(&want));
        let left = free.minus(&taken.minus(&mine.allocated));
        let given = taken.minus(&lesser(&spare, &shortage.minus(&left)));
        // A limit that was lowered takes what is not in use.
        let excess = others.plus(&given).minus(&team.limit);
        let part = given.minus(&lesser(&excess, &given.minus(&used)));
        let mine = PoolAllocation { allocated: part, requested: want };
        if mine == PoolAllocation::default() {
            parts.remove(pool);
        } else {
            parts.insert(pool.clone(), mine);
        }
    }
    next.teams.retain(|_, parts| !parts.is_empty());
    next
}

fn lesser(left: &Resources, right: &Resources) -> Resources {
    Resources {
        processor: left.processor.min(right.processor),
        memory: left.memory.min(right.memory),
        accelerators: left.accelerators.min(right.accelerators),
    }
}

/// Whether others or this pool gain by the change; smaller wants alone are not
/// worth a write.
fn is_worth_a_write(old: &AllocationDoc, new: &AllocationDoc, pool: &PoolId) -> bool {
    let of = |doc: &AllocationDoc, team: &TeamId| {
        doc.teams.get(team).and_then(|parts| parts.get(pool)).copied().unwrap_or_default()
    };
    let teams: BTreeSet<&TeamId> = old.teams.keys().chain(new.teams.keys()).collect();
    teams.into_iter().any(|team| {
        let (before, after) = (of(old, team), of(new, team));
        let wants_more =
            !after.requested.fits(&before.requested) && !after.requested.fits(&after.allocated);
        let wants_less =
            !before.requested.fits(&before.allocated) && after.requested.fits(&after.allocated);
        before.allocated != after.allocated || wants_more || wants_less
    })
}

impl PoolOwner {
    /// Counts what runs, and writes the parts anew when something is to change.
    pub(super) fn share_limits(&mut self, context: &mut StepContext) {
        // Before it is known what runs, a part would seem free that is in use.
        if !self.stage.is_loaded() {
            return;
        }
        let Some(config) = context.shared.config.as_ref() else { return };
        self.limits.limited = config.teams.iter().map(|team| team.team.clone()).collect();
        self.limits.used = self.used_by_team();
        let shared = context.shared.parts.as_ref();
        let shared = shared.map_or((AllocationDoc::default(), Revision(0)), |parts| {
            (parts.record.clone(), parts.revision)
        });
        self.limits.newer.take_if(|newer| newer.1 <= shared.1);
        let (doc, revision) = self.limits.newer.clone().unwrap_or(shared);
        self.limits.parts = parts_of(&doc, &self.pool);
        self.limits.keep_to_written(&self.pool);
        if self.limits.is_writing || context.clock.now < self.limits.next_at {
            return;
        }
        let mut wants = self.limits.used.clone();
        for (team, short) in &self.limits.short {
            let want = wants.entry(team.clone()).or_default();
            *want = want.plus(short);
        }
        let next = balance(&doc, &self.pool, config, &self.limits.used, &wants);
        // After an unknown answer the next write shows what is in force.
        if self.limits.written.is_none() && !is_worth_a_write(&doc, &next, &self.pool) {
            return;
        }
        self.limits.is_writing = true;
        let key = StoreKey::Own(OwnKey::Parts);
        let owner = self.owner_key();
        let commit = StoreCommit {
            expect: vec![(owner, self.fencing_token), (key.clone(), revision)],
            puts: vec![StorePut { key, value: PutValue::Own(encode(&next)), lease: None }],
            remove: Vec::new(),
        };
        self.limits.written = Some(next);
        self.limits.keep_to_written(&self.pool);
        let purpose = self.purpose(PoolCall::Allocations);
        context.out.store(context.clock, purpose, StoreCall::Commit(commit));
    }

    pub(super) fn on_parts_written(&mut self, context: &mut StepContext, answer: StoreAnswer) {
        self.limits.is_writing = false;
        self.limits.next_at = context.clock.now + PARTS_GAP;
        match answer {
            StoreAnswer::Committed(revision) => {
                self.limits.newer = self.limits.written.take().map(|doc| (doc, revision));
            }
            StoreAnswer::Conflict(items) => {
                self.limits.written = None;
                let parts = items.into_iter().find(|item| item.key == StoreKey::Own(OwnKey::Parts));
                if let Some(item) = parts
                    && let ItemValue::Own(bytes) = &item.value
                    && let Ok(doc) = decode::<AllocationDoc>(bytes)
                {
                    self.limits.newer = Some((doc, item.revision));
                }
                self.limits.next_at = context.clock.now;
            }
            other => {
                context.out.log("limits", &self.pool, format!("{other:?}"), "again");
                self.limits.next_at = context.clock.now + COMMIT_RETRY;
            }
        }
    }

    /// What runs, and what an earlier owner may have started that is not seen yet.
    fn used_by_team(&self) -> BTreeMap<TeamId, Resources> {
        let mut used: BTreeMap<TeamId, Resources> = BTreeMap::new();
        for job in self.jobs.values().filter(|job| job.is_inherited) {
            let Some(team) = &job.team else { continue };
            let sum = used.entry(team.clone()).or_default();
            *sum = sum.plus(&job.ready_needs());
        }
        for run in self.minions.values().flat_map(|minion| minion.runs.values()) {
            if let Some(team) = &run.team {
                let sum = used.entry(team.clone()).or_default();
                *sum = sum.plus(&run.takes);
            }
        }
        used
    }
}

fn parts_of(doc: &AllocationDoc, pool: &PoolId) -> BTreeMap<TeamId, Resources> {
    let of_pool = |(team, parts): (&TeamId, &BTreeMap<PoolId, PoolAllocation>)| {
        parts.get(pool).map(|part| (team.clone(), part.allocated))
    };
    doc.teams.iter().filter_map(of_pool).collect()
}
