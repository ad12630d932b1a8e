//! The pool's quota allocation of each team's limit.
//!
//! A team's limit applies to all pools together, and no start may wait for the store. One
//! shared record therefore splits each limit into allocations whose sum never exceeds the
//! limit, and a pool starts work only against its own allocation. A pool that needs more
//! claims what is not allocated and records what it requests; pools with unused quota give
//! it up to others. All of these changes are compare-and-swap writes of the one record.

use std::borrow::Cow;
use std::collections::BTreeMap;

use jobs::Resources;
use state::{Moment, PoolId, Revision, TeamId};

use super::rebalance::{PoolNeeds, component_min, needs_write, rebalance};
use super::team_use::ResourceSum;
use super::{PoolCall, PoolOwner, StepContext};
use crate::io::{ItemValue, PutValue, StoreAnswer, StoreCall, StoreCommit, StorePut};
use crate::key::{OwnKey, ShardKey, StoreKey};
use crate::records::{AllocationDoc, PoolAllocation, decode, encode};
use crate::shared::Versioned;
use crate::timing::{COMMIT_RETRY_DELAY, MIN_ALLOCATION_INTERVAL};

/// The pool's local view of its allocation, use and requests of each team's limit.
#[derive(Debug, Default)]
pub(super) struct LocalAllocation {
    /// Resources allocated to the pool for each team.
    allocations: BTreeMap<TeamId, Resources>,
    /// Resources that the pool's known runs reserve for each team.
    run_use: BTreeMap<TeamId, ResourceSum>,
    /// Resources of tasks that an earlier owner may have started and no minion has listed
    /// yet.
    unresolved_use: BTreeMap<TeamId, Resources>,
    /// Resources that the last placement pass could not get for each team.
    shortfall: BTreeMap<TeamId, Resources>,
    /// Limits of the teams in the configuration of version `config_version`.
    team_limits: BTreeMap<TeamId, Resources>,
    config_version: u64,
    /// Revision of the shared record when it was last compared.
    shared_revision: Option<Revision>,
    /// Whether a write is not answered yet.
    is_write_in_flight: bool,
    /// Earliest time of the next write.
    next_write_at: Moment,
    /// Record that is newer than the shared one, known from a conflict or a commit.
    newer_doc: Option<(AllocationDoc, Revision)>,
    /// Record that was written and whose commit has no known result yet.
    pending_doc: Option<AllocationDoc>,
}

impl LocalAllocation {
    /// Clears the shortfall of the previous placement pass.
    pub(super) fn begin_placement_pass(&mut self) {
        self.shortfall.clear();
    }

    /// Whether the team's allocation allows `additional` resources in this pool. If not,
    /// `additional` is added to the team's shortfall, unless it exceeds the whole limit: no
    /// allocation would ever be enough, and other pools could not use what this pool claims.
    pub(super) fn has_capacity(&mut self, team: Option<&TeamId>, additional: &Resources) -> bool {
        let Some(team) = team else { return true };
        let Some(limit) = self.team_limits.get(team) else { return true };
        if !additional.fits_within(limit) {
            return false;
        }
        let used = self.used_by(team);
        let allocation = self.allocations.get(team).copied().unwrap_or_default();
        if used.saturating_add(additional).fits_within(&allocation) {
            return true;
        }
        let shortfall = self.shortfall.entry(team.clone()).or_default();
        *shortfall = shortfall.saturating_add(additional);
        false
    }

    /// Lowers the allocations to those of the pending record, since that record may be in
    /// force.
    fn cap_to_pending_doc(&mut self, pool: &PoolId) {
        let Some(pending) = &self.pending_doc else { return };
        let pending_allocations = allocations_of_pool(pending, pool);
        for (team, allocation) in &mut self.allocations {
            *allocation = component_min(
                allocation,
                &pending_allocations.get(team).copied().unwrap_or_default(),
            );
        }
    }

    /// Counts a new run against its team's allocation.
    pub(super) fn record_use(&mut self, team: Option<&TeamId>, reservation: &Resources) {
        let Some(team) = team else { return };
        match self.run_use.get_mut(team) {
            Some(used) => used.add(reservation),
            None => self.run_use.entry(team.clone()).or_default().add(reservation),
        }
    }

    /// Releases the resources of a run that has ended.
    pub(super) fn release_use(&mut self, team: Option<&TeamId>, reservation: &Resources) {
        if let Some(used) = team.and_then(|team| self.run_use.get_mut(team)) {
            used.subtract(reservation);
        }
    }

    /// Returns the resources that the pool uses for a team.
    fn used_by(&self, team: &TeamId) -> Resources {
        let runs = self.run_use.get(team).copied().unwrap_or_default().to_resources();
        let unresolved = self.unresolved_use.get(team).copied().unwrap_or_default();
        runs.saturating_add(&unresolved)
    }

    /// Returns the resources that the pool uses for each team.
    fn used_by_team(&self) -> BTreeMap<TeamId, Resources> {
        let teams = self.run_use.keys().chain(self.unresolved_use.keys());
        teams.map(|team| (team.clone(), self.used_by(team))).collect()
    }

    /// Returns the processor time that the pool uses for each team, in millicores.
    pub(super) fn processor_use(&self) -> BTreeMap<TeamId, u64> {
        let by_team = self.used_by_team().into_iter();
        by_team.map(|(team, used)| (team, used.processor.0)).collect()
    }

    /// Returns the processor time that other pools use for each team, in millicores: what the
    /// shared record allocates to them, as far as they request it.
    pub(super) fn processor_use_elsewhere(
        &self,
        shared: Option<&Versioned<AllocationDoc>>,
        pool: &PoolId,
    ) -> BTreeMap<TeamId, u64> {
        let (doc, _) = self.newest_doc(shared);
        let use_of = |allocation: &PoolAllocation| {
            allocation.allocated.processor.0.min(allocation.requested.processor.0)
        };
        let by_team = doc.teams.iter().map(|(team, by_pool)| {
            let others = by_pool.iter().filter(|(other, _)| *other != pool);
            let used = others.map(|(_, allocation)| use_of(allocation));
            (team.clone(), used.fold(0, u64::saturating_add))
        });
        by_team.collect()
    }

    /// Whether the shared record has changed since the last call.
    pub(super) fn has_new_revision(&mut self, revision: Option<Revision>) -> bool {
        let before = std::mem::replace(&mut self.shared_revision, revision);
        before != revision
    }

    /// Returns the newest known record: the one of a conflict or a commit, or else the shared
    /// one.
    fn newest_doc<'a>(
        &'a self,
        shared: Option<&'a Versioned<AllocationDoc>>,
    ) -> (Cow<'a, AllocationDoc>, Revision) {
        match (&self.newer_doc, shared) {
            (Some((doc, revision)), _) => (Cow::Borrowed(doc), *revision),
            (None, Some(shared)) => (Cow::Borrowed(&shared.record), shared.revision),
            (None, None) => (Cow::Owned(AllocationDoc::default()), Revision(0)),
        }
    }
}

impl PoolOwner {
    /// Updates the use and the allocations of each team before a placement pass.
    pub(super) fn refresh_allocations(&mut self, context: &StepContext) {
        let Some(config) = context.shared.config.as_ref() else { return };
        if self.limits.config_version != config.version {
            self.limits.config_version = config.version;
            self.limits.team_limits =
                config.teams.iter().map(|team| (team.team.clone(), team.limit)).collect();
        }
        self.sum_unresolved_use();
        let shared = context.shared.allocations.as_ref();
        let shared_revision = shared.map_or(Revision(0), |shared| shared.revision);
        self.limits.newer_doc.take_if(|newer_doc| newer_doc.1 <= shared_revision);
        let allocations = allocations_of_pool(&self.limits.newest_doc(shared).0, &self.pool);
        self.limits.allocations = allocations;
        self.limits.cap_to_pending_doc(&self.pool);
    }

    /// Writes the shared record if this pool needs more or other pools need what it does not
    /// use.
    pub(super) fn rebalance_allocations(&mut self, context: &mut StepContext) {
        let Some(config) = context.shared.config.as_ref() else { return };
        if self.limits.is_write_in_flight || context.clock.now < self.limits.next_write_at {
            return;
        }
        let (doc, revision) = self.limits.newest_doc(context.shared.allocations.as_ref());
        let used = self.limits.used_by_team();
        let mut requests = used.clone();
        for (team, shortfall) in &self.limits.shortfall {
            let requested_total = requests.entry(team.clone()).or_default();
            *requested_total = requested_total.saturating_add(shortfall);
        }
        let needs = PoolNeeds { used: &used, requested: &requests };
        let owners = &context.shared.owners;
        let has_owner = |pool: &PoolId| owners.contains_key(&ShardKey::Pool(pool.clone()));
        let next = rebalance(&doc, &self.pool, config, needs, has_owner);
        // After an unknown result, the next write shows through its answer which record is
        // in force.
        if self.limits.pending_doc.is_none() && !needs_write(&doc, &next, &self.pool) {
            return;
        }
        self.limits.is_write_in_flight = true;
        let key = StoreKey::Own(OwnKey::Parts);
        let owner = self.owner_key();
        let commit = StoreCommit {
            expect: vec![(owner, self.fencing_token), (key.clone(), revision)],
            puts: vec![StorePut { key, value: PutValue::Own(encode(&next)), lease: None }],
            remove: Vec::new(),
        };
        self.limits.pending_doc = Some(next);
        self.limits.cap_to_pending_doc(&self.pool);
        let purpose = self.purpose(PoolCall::Allocations);
        context.out.call_store(context.clock, purpose, StoreCall::Commit(commit));
    }

    /// Handles the answer to a write of the shared record.
    pub(super) fn on_allocations_written(
        &mut self,
        context: &mut StepContext,
        answer: StoreAnswer,
    ) {
        self.limits.is_write_in_flight = false;
        self.limits.next_write_at = context.clock.now + MIN_ALLOCATION_INTERVAL;
        self.pass.request();
        match answer {
            StoreAnswer::Committed(revision) => {
                self.limits.newer_doc = self.limits.pending_doc.take().map(|doc| (doc, revision));
            }
            StoreAnswer::Conflict(items) => {
                self.limits.pending_doc = None;
                let item = items.into_iter().find(|item| item.key == StoreKey::Own(OwnKey::Parts));
                if let Some(item) = item
                    && let ItemValue::Own(bytes) = &item.value
                    && let Ok(doc) = decode::<AllocationDoc>(bytes)
                {
                    self.limits.newer_doc = Some((doc, item.revision));
                }
                self.limits.next_write_at = context.clock.now;
            }
            other => {
                context.out.log("limits", &self.pool, format!("{other:?}"), "again");
                self.limits.next_write_at = context.clock.now + COMMIT_RETRY_DELAY;
            }
        }
    }

    /// Sums the resources of tasks that an earlier owner may have started and no minion has
    /// listed yet.
    fn sum_unresolved_use(&mut self) {
        self.limits.unresolved_use.clear();
        for job in self.jobs.unresolved_jobs() {
            self.work.add(1);
            let Some(team) = &job.team else { continue };
            let sum = self.limits.unresolved_use.entry(team.clone()).or_default();
            *sum = sum.saturating_add(&job.ready_reservation());
        }
    }
}

/// Extracts a pool's allocations from the shared record.
fn allocations_of_pool(doc: &AllocationDoc, pool: &PoolId) -> BTreeMap<TeamId, Resources> {
    let of_pool = |(team, by_pool): (&TeamId, &BTreeMap<PoolId, PoolAllocation>)| {
        by_pool.get(pool).map(|allocation| (team.clone(), allocation.allocated))
    };
    doc.teams.iter().filter_map(of_pool).collect()
}
