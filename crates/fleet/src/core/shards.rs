//! Begins and ends the ownership of shards: pools and the VM controller.
//!
//! The store's ownership records decide. A shard that this daemon relinquishes is owned again only
//! under a new fencing token, after the record under the old one is gone.

use state::{PoolId, Revision};

use super::FleetCore;
use crate::event::Clock;
use crate::key::ShardKey;
use crate::pool::PoolOwner;
use crate::session::OwnershipChange;
use crate::vm_controller::VmController;

impl FleetCore {
    /// Removes the ownership records of relinquished shards. A relinquished pool is
    /// acquired again only under a new fencing token, because run numbers and fences of
    /// the old one may be in use.
    pub(super) fn release_relinquished(&mut self, clock: Clock) {
        let owners = &self.shared.owners;
        self.relinquished_shards.retain(|shard, fencing_token| {
            owners.get(shard).is_some_and(|owner| owner.created == *fencing_token)
        });
        if self.session.is_valid(clock.now) {
            for (shard, fencing_token) in &self.relinquished_shards {
                self.session.release(clock, &mut self.out, shard, *fencing_token);
            }
        }
    }

    /// Begins ownership of shards whose record names this daemon, for example after a
    /// commit whose answer was lost, and drops shards that other daemons own.
    pub(super) fn reconcile_owners(&mut self, clock: Clock) {
        if self.stopping_since.is_some() {
            return;
        }
        let mut acquired = Vec::new();
        for (shard, owner) in &self.shared.owners {
            let is_own_record = self.session.is_own_record(&owner.record);
            let held_token = match shard {
                ShardKey::Pool(pool) => self.pools.get(pool).map(PoolOwner::fencing_token),
                ShardKey::VmController => {
                    self.vm_controller.as_ref().map(VmController::fencing_token)
                }
            };
            match held_token {
                None if is_own_record && !self.relinquished_shards.contains_key(shard) => {
                    acquired.push((shard.clone(), owner.created));
                }
                Some(fencing_token) if owner.created > fencing_token && !is_own_record => {
                    match shard {
                        ShardKey::Pool(pool) => {
                            self.pools.remove(pool);
                        }
                        ShardKey::VmController => self.vm_controller = None,
                    }
                }
                _ => {}
            }
        }
        for (shard, fencing_token) in acquired {
            if self.session.is_valid(clock.now) {
                self.begin_ownership(clock, shard, fencing_token);
            }
        }
    }

    fn begin_ownership(&mut self, clock: Clock, shard: ShardKey, fencing_token: Revision) {
        if self.stopping_since.is_some() {
            return;
        }
        let pool = match shard {
            ShardKey::Pool(pool) => pool,
            ShardKey::VmController => {
                if self.vm_controller.is_none() {
                    self.out.log(
                        "duty",
                        "mover",
                        format!("fencing token {fencing_token}"),
                        "taken",
                    );
                    self.vm_controller = Some(VmController::new(fencing_token, clock.now));
                }
                return;
            }
        };
        if self.pools.contains_key(&pool) {
            return;
        }
        let (mut context, pools, _) = self.split_context(clock);
        let owner = PoolOwner::new(pool.clone(), fencing_token, &mut context);
        pools.insert(pool, owner);
    }

    pub(super) fn apply_ownership_change(&mut self, clock: Clock, change: OwnershipChange) {
        match change {
            OwnershipChange::None => {}
            OwnershipChange::Acquired(shard, fencing_token) => {
                self.begin_ownership(clock, shard, fencing_token);
            }
            OwnershipChange::AcquiredUnderEndedLease(shard, fencing_token) => {
                self.relinquished_shards.insert(shard, fencing_token);
            }
            OwnershipChange::LeaseEnded => self.drop_shards("lease ended", |_| true, |_| true),
        }
    }

    /// Drops the shards that other daemons own now.
    pub(super) fn drop_lost_shards(&mut self) {
        self.drop_shards("owned elsewhere", |owner| owner.is_lost, |controller| controller.is_lost);
    }

    /// Drops the pools, and the VM controller, that match. Each is acquired again only once the
    /// ownership record under its fencing token is gone.
    fn drop_shards(
        &mut self,
        reason: &'static str,
        is_dropped: impl Fn(&PoolOwner) -> bool,
        is_controller_dropped: impl Fn(&VmController) -> bool,
    ) {
        let dropped_pools: Vec<(PoolId, Revision)> = self
            .pools
            .iter()
            .filter(|(_, owner)| is_dropped(owner))
            .map(|(pool, owner)| (pool.clone(), owner.fencing_token()))
            .collect();
        for (pool, fencing_token) in dropped_pools {
            self.out.log("pool", &pool, reason, "given up");
            self.pools.remove(&pool);
            self.relinquished_shards.insert(ShardKey::Pool(pool), fencing_token);
        }
        if let Some(controller) =
            self.vm_controller.take_if(|controller| is_controller_dropped(controller))
        {
            self.out.log("duty", "mover", reason, "given up");
            self.relinquished_shards.insert(ShardKey::VmController, controller.fencing_token());
        }
    }
}
