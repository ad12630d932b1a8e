//! Computes how a pool changes its allocations in the shared record of the teams' limits.
//!
//! A pool claims free quota for what it needs, and gives up quota that it does not use to
//! pools that are short. When a limit is too small for all, the pools that are short take
//! their turns in an order that each of them computes from the record: a pool leaves the
//! free quota, and what it cannot use itself, to the short pools before it. Without an
//! order each pool could keep a part that is too small for its next task.

use std::collections::{BTreeMap, BTreeSet};

use jobs::Resources;
use state::{PoolId, TeamId};

use crate::model::{FleetConfig, TeamConfig};
use crate::records::{AllocationDoc, PoolAllocation};

/// What a pool uses and requests, by team.
#[derive(Debug, Clone, Copy)]
pub(super) struct PoolNeeds<'a> {
    /// Resources that the pool's runs reserve.
    pub(super) used: &'a BTreeMap<TeamId, Resources>,
    /// Resources that the pool would use without the limit.
    pub(super) requested: &'a BTreeMap<TeamId, Resources>,
}

/// Position of a short pool in the order of turns: the pool that lacks least comes first.
type TurnRank<'a> = (u64, &'a PoolId);

/// Computes the record in which `pool` has claimed what it needs and given up what other
/// pools need. The result equals `doc` if nothing changes. A pool that does not have to wait
/// for its turn also claims a quarter of the free quota as headroom. `has_owner` tells
/// whether a pool has an owner: no pool waits for one without.
pub(super) fn rebalance(
    doc: &AllocationDoc,
    pool: &PoolId,
    config: &FleetConfig,
    needs: PoolNeeds,
    has_owner: impl Fn(&PoolId) -> bool,
) -> AllocationDoc {
    let mut next = doc.clone();
    for team in &config.teams {
        let allocations = next.teams.entry(team.team.clone()).or_default();
        let used = needs.used.get(&team.team).copied().unwrap_or_default();
        let requested = needs.requested.get(&team.team).copied().unwrap_or(used);
        let recorded = allocations.get(pool).copied().unwrap_or_default();
        let own = PoolAllocation { allocated: recorded.allocated, requested };
        let others = sum_others(allocations, pool, &recorded, team, &has_owner);
        let allocated = next_allocation(&own, &used, &others, team);
        if allocated == Resources::default() && requested == Resources::default() {
            allocations.remove(pool);
        } else {
            allocations.insert(pool.clone(), PoolAllocation { allocated, requested });
        }
    }
    next.teams.retain(|_, by_pool| !by_pool.is_empty());
    next
}

/// Sums over the other pools of a team.
#[derive(Debug, Default)]
struct OtherPools {
    allocated: Resources,
    /// What all other pools lack.
    shortfall: Resources,
    /// What the short pools lack whose turn is before this pool's.
    earlier_shortfall: Resources,
}

/// Sums what the other pools of a team have and lack. The order of turns follows the record,
/// for this pool too: a pool that ranked itself by a newer need could disagree with the others
/// about whose turn it is.
fn sum_others(
    allocations: &BTreeMap<PoolId, PoolAllocation>,
    pool: &PoolId,
    recorded: &PoolAllocation,
    team: &TeamConfig,
    has_owner: impl Fn(&PoolId) -> bool,
) -> OtherPools {
    let own_rank = turn_rank(pool, recorded, team);
    let mut sums = OtherPools::default();
    for (other, allocation) in allocations.iter().filter(|(other, _)| *other != pool) {
        let shortfall = shortfall_of(allocation);
        sums.allocated = sums.allocated.saturating_add(&allocation.allocated);
        sums.shortfall = sums.shortfall.saturating_add(&shortfall);
        if turn_rank(other, allocation, team) < own_rank && has_owner(other) {
            sums.earlier_shortfall = sums.earlier_shortfall.saturating_add(&shortfall);
        }
    }
    sums
}

/// Computes the new allocation of a pool for one team.
fn next_allocation(
    own: &PoolAllocation,
    used: &Resources,
    others: &OtherPools,
    team: &TeamConfig,
) -> Resources {
    let free = team.limit.saturating_sub(&others.allocated.saturating_add(&own.allocated));
    let claimable = free.saturating_sub(&others.earlier_shortfall);
    let shortfall = shortfall_of(own);
    let headroom = if shortfall == Resources::default() { shortfall } else { claimable.quarter() };
    let claim = component_min(&shortfall.saturating_add(&headroom), &claimable);
    let after_claim = own.allocated.saturating_add(&claim);
    let still_free = free.saturating_sub(&claim);
    // A pool that is still short keeps its idle part, unless a pool before it lacks it.
    let unused = after_claim.saturating_sub(&used.component_max(&own.requested));
    let to_others = component_min(&unused, &others.shortfall.saturating_sub(&still_free));
    let idle = after_claim.saturating_sub(used);
    let is_short = !own.requested.fits_within(&after_claim);
    let to_earlier = if is_short {
        component_min(&idle, &others.earlier_shortfall.saturating_sub(&still_free))
    } else {
        Resources::default()
    };
    let after_transfer = after_claim.saturating_sub(&to_others.component_max(&to_earlier));
    // A limit that was lowered takes back only quota that is not in use.
    let excess = others.allocated.saturating_add(&after_transfer).saturating_sub(&team.limit);
    after_transfer.saturating_sub(&component_min(&excess, &after_transfer.saturating_sub(used)))
}

fn shortfall_of(allocation: &PoolAllocation) -> Resources {
    allocation.requested.saturating_sub(&allocation.allocated)
}

/// Returns a pool's position in the order of turns, by the largest part of the limit that it
/// lacks, in per mille.
fn turn_rank<'a>(pool: &'a PoolId, allocation: &PoolAllocation, team: &TeamConfig) -> TurnRank<'a> {
    let shortfall = shortfall_of(allocation);
    let part = |lacking: u64, limit: u64| lacking.saturating_mul(1_000) / limit.max(1);
    let largest_part = part(shortfall.processor.0, team.limit.processor.0)
        .max(part(shortfall.memory.0.into(), team.limit.memory.0.into()))
        .max(part(shortfall.accelerators.0.into(), team.limit.accelerators.0.into()));
    (largest_part, pool)
}
/// Returns the lower value of each resource.
pub(super) fn component_min(left: &Resources, right: &Resources) -> Resources {
    Resources {
        processor: left.processor.min(right.processor),
        memory: left.memory.min(right.memory),
        accelerators: left.accelerators.min(right.accelerators),
    }
}

/// Whether the change justifies a write. Lower requests alone do not, unless they end a
/// shortfall.
pub(super) fn needs_write(old: &AllocationDoc, new: &AllocationDoc, pool: &PoolId) -> bool {
    let allocation_of = |doc: &AllocationDoc, team: &TeamId| {
        doc.teams.get(team).and_then(|by_pool| by_pool.get(pool)).copied().unwrap_or_default()
    };
    let teams: BTreeSet<&TeamId> = old.teams.keys().chain(new.teams.keys()).collect();
    teams.into_iter().any(|team| {
        let (before, after) = (allocation_of(old, team), allocation_of(new, team));
        let requests_more = !after.requested.fits_within(&before.requested)
            && !after.requested.fits_within(&after.allocated);
        let requests_less = !before.requested.fits_within(&before.allocated)
            && after.requested.fits_within(&after.allocated);
        before.allocated != after.allocated || requests_more || requests_less
    })
}
