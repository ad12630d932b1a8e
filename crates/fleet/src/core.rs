//! State machine of one daemon: dispatches each event to the component that handles it.
//!
//! [`FleetCore`] owns the components (shared records, session, intake, registry, owned
//! pools and the VM controller). For each [`Event`] it calls the component that is
//! responsible, and collects the effects in an [`Outbox`].

use std::collections::BTreeMap;

use state::{Millis, Moment, PoolId, Revision};

use crate::contact::{AnsweredCall, ContactChange, StoreContact};
use crate::event::{Clock, Effect, Event};
use crate::intake::Intake;
use crate::key::ShardKey;
use crate::model::FleetSettings;
use crate::outbox::{CallPurpose, Outbox};
use crate::pool::{PoolOwner, StepContext};
use crate::registry::Registry;
use crate::session::{OwnershipChange, Session};
use crate::shared::{SharedChanges, SharedRecords};
use crate::timing::{HANDOVER_TIMEOUT, STOP_TIMEOUT};
use crate::vm_controller::VmController;

/// State machine that makes all decisions of one daemon.
#[derive(Debug)]
pub struct FleetCore {
    settings: FleetSettings,
    contact: StoreContact,
    shared: SharedRecords,
    session: Session,
    intake: Intake,
    registry: Registry,
    pools: BTreeMap<PoolId, PoolOwner>,
    vm_controller: Option<VmController>,
    /// Shards that this daemon relinquished while their ownership record still named
    /// it, with the fencing token of that record.
    relinquished_shards: BTreeMap<ShardKey, Revision>,
    /// Time since which the shards have been paused.
    paused_since: Option<Moment>,
    out: Outbox,
    stopping_since: Option<Moment>,
    is_stopped: bool,
}

impl FleetCore {
    /// Creates the state machine of a daemon that has processed no event.
    pub fn new(settings: FleetSettings) -> Self {
        let session = Session::new(&settings);
        let shared = SharedRecords::new(&settings);
        Self {
            settings,
            contact: StoreContact::default(),
            shared,
            session,
            intake: Intake::default(),
            registry: Registry::default(),
            pools: BTreeMap::new(),
            vm_controller: None,
            relinquished_shards: BTreeMap::new(),
            paused_since: None,
            out: Outbox::default(),
            stopping_since: None,
            is_stopped: false,
        }
    }

    /// Returns whether submitters may be sent to this daemon: it is not stopping, and
    /// it has read the shared records and a configuration.
    pub fn is_ready(&self) -> bool {
        self.stopping_since.is_none() && self.shared.is_loaded() && self.shared.config.is_some()
    }

    /// Returns how many jobs, minions and runs this daemon has examined as the owner of
    /// pools. The work of an owner grows with this number.
    pub fn placement_checks(&self) -> u64 {
        self.out.checks()
    }

    /// Returns the time since the store last confirmed the shared records, which include the
    /// configuration; `None` until they are loaded.
    pub fn record_age(&self, now: Moment) -> Option<Millis> {
        self.shared.age(now)
    }

    /// Processes one event and returns the effects that the caller carries out.
    pub fn step(&mut self, clock: Clock, event: Event) -> Vec<Effect> {
        self.session.maintain_lease(clock, &mut self.out);
        match event {
            Event::Tick => self.handle_tick(clock),
            Event::Client(call) => self.intake.on_call(clock, &mut self.out, &self.shared, call),
            Event::Store(call, answer) => {
                if let Some((purpose, sent_at)) = self.out.close_call(call) {
                    self.handle_store_answer(clock, purpose, sent_at, answer);
                }
            }
            Event::Minion(call, answer) => {
                if let Some((CallPurpose::Pool(pool, fencing_token, call), sent_at)) =
                    self.out.close_call(call)
                {
                    self.with_fenced_pool(clock, &pool, fencing_token, |owner, context| {
                        owner.on_minion(context, call, sent_at, answer);
                    });
                }
            }
            Event::Cloud(call, answer) => {
                if let Some((CallPurpose::VmController(fencing_token, call), _)) =
                    self.out.close_call(call)
                {
                    self.with_vm_controller(clock, |controller, context| {
                        if controller.fencing_token() == fencing_token {
                            controller.on_cloud(context, call, answer);
                        }
                    });
                }
            }
            Event::Stop => {
                self.stopping_since.get_or_insert(clock.now);
                self.for_each_pool(clock, |owner, context| owner.begin_stop(context));
            }
        }
        self.log_pause(clock);
        self.advance_graceful_stop(clock);
        self.out.take_effects()
    }

    fn handle_tick(&mut self, clock: Clock) {
        self.shared.on_tick(clock, &mut self.out);
        let owned_count = self.pools.len() + usize::from(self.vm_controller.is_some());
        self.session.on_tick(clock, &mut self.out, &self.shared, owned_count);
        if !self.pools.is_empty() {
            self.registry.on_tick(clock, &mut self.out);
        }
        self.intake.on_tick(clock, &mut self.out, &self.shared);
        self.for_each_pool(clock, |owner, context| owner.on_tick(context));
        self.with_vm_controller(clock, |controller, context| controller.advance(context));
        self.drop_lost_shards();
        self.reconcile_owners(clock);
        self.release_relinquished(clock);
    }

    /// Removes the ownership records of relinquished shards. A relinquished pool is
    /// acquired again only under a new fencing token, because run numbers and fences of
    /// the old one may be in use.
    fn release_relinquished(&mut self, clock: Clock) {
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

    fn handle_store_answer(
        &mut self,
        clock: Clock,
        purpose: CallPurpose,
        sent_at: Moment,
        answer: crate::io::StoreAnswer,
    ) {
        let call = AnsweredCall { purpose: &purpose, sent_at, answer: &answer };
        let contact_change = self.contact.record_answer(clock, &mut self.out, &call);
        if contact_change == ContactChange::Regained {
            self.registry.require_reading(clock.now);
        }
        match purpose {
            CallPurpose::Shared(_) => {
                let changes = self.shared.on_answer(clock, &mut self.out, sent_at, answer);
                self.apply_shared_changes(clock, changes);
            }
            CallPurpose::Session(call) => {
                let change = self.session.on_answer(clock, &mut self.out, call, sent_at, answer);
                self.apply_ownership_change(clock, change);
            }
            CallPurpose::Intake(call) => {
                self.intake.on_answer(clock, &mut self.out, &self.shared, call, answer);
            }
            CallPurpose::VmController(fencing_token, _) => {
                self.with_vm_controller(clock, |controller, context| {
                    if controller.fencing_token() == fencing_token {
                        controller.on_store(context, answer);
                    }
                })
            }
            CallPurpose::Registry => {
                if self.registry.on_answer(clock, &mut self.out, answer) {
                    self.for_each_pool(clock, |owner, context| owner.on_registry(context));
                }
            }
            CallPurpose::Pool(pool, fencing_token, call) => {
                self.with_fenced_pool(clock, &pool, fencing_token, |owner, context| {
                    owner.on_store(context, call, answer);
                });
            }
        }
        self.drop_lost_shards();
        if contact_change != ContactChange::None {
            self.resend_watches(clock, sent_at);
        }
    }

    /// Sends every watch again that was sent up to `latest`, so that no watch waits for an answer
    /// that a silent store or connection has lost.
    fn resend_watches(&mut self, clock: Clock, latest: Moment) {
        self.shared.resend_watch(clock, &mut self.out, latest);
        self.for_each_pool(clock, |owner, context| owner.resend_watch(context, latest));
    }

    fn apply_shared_changes(&mut self, clock: Clock, changes: SharedChanges) {
        if changes.has_owner_changes {
            self.reconcile_owners(clock);
        }
        for (pool, job) in &changes.outcomes {
            self.with_pool(clock, pool, |owner, context| owner.on_outcome(context, job));
        }
        self.for_each_pool(clock, |owner, context| owner.on_shared(context));
        self.with_vm_controller(clock, |controller, context| controller.advance(context));
    }

    /// Begins ownership of shards whose record names this daemon, for example after a
    /// commit whose answer was lost, and drops shards that other daemons own.
    fn reconcile_owners(&mut self, clock: Clock) {
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

    fn apply_ownership_change(&mut self, clock: Clock, change: OwnershipChange) {
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
    fn drop_lost_shards(&mut self) {
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

    /// Logs when the shards are paused, since the lease may have ended by this daemon's clock,
    /// and when they resume. Handlers of a paused shard change its state, but give no orders
    /// and write nothing.
    fn log_pause(&mut self, clock: Clock) {
        let has_shards = !self.pools.is_empty() || self.vm_controller.is_some();
        let is_paused = has_shards && !self.session.is_valid(clock.now);
        match self.paused_since {
            None if is_paused => {
                self.paused_since = Some(clock.now);
                self.out.log("session", &self.settings.daemon, "lease not renewed", "paused");
            }
            Some(since) if !is_paused => {
                self.paused_since = None;
                let inputs = format!("paused for {}", clock.now - since);
                let outcome = if has_shards { "resumed" } else { "no shards left" };
                self.out.log("session", &self.settings.daemon, inputs, outcome);
            }
            _ => {}
        }
    }

    fn advance_graceful_stop(&mut self, clock: Clock) {
        let Some(since) = self.stopping_since.filter(|_| !self.is_stopped) else { return };
        let are_pools_saved = self.pools.values().all(PoolOwner::is_quiescent);
        if !self.session.is_closing() && (are_pools_saved || clock.now - since >= HANDOVER_TIMEOUT)
        {
            // The next owners continue from the state that is saved in the store.
            self.pools.clear();
            self.vm_controller = None;
            self.session.close(clock, &mut self.out);
        }
        let is_idle = self.session.is_closed && self.intake.open_requests() == 0;
        if is_idle || clock.now - since >= STOP_TIMEOUT {
            self.is_stopped = true;
            self.out.report_stopped();
        }
    }

    /// Returns the context of a step, and separate borrows of the pools and the VM
    /// controller.
    fn split_context(
        &mut self,
        clock: Clock,
    ) -> (StepContext<'_>, &mut BTreeMap<PoolId, PoolOwner>, &mut Option<VmController>) {
        let context = StepContext {
            clock,
            out: &mut self.out,
            shared: &self.shared,
            registry: &self.registry,
            settings: &self.settings,
            is_ownership_valid: self.session.is_valid(clock.now),
        };
        (context, &mut self.pools, &mut self.vm_controller)
    }

    /// Applies `action` to the owner of `pool` if the owner has this fencing token and
    /// this daemon still owns the pool.
    fn with_fenced_pool(
        &mut self,
        clock: Clock,
        pool: &PoolId,
        fencing_token: Revision,
        action: impl FnOnce(&mut PoolOwner, &mut StepContext),
    ) {
        if self.pools.get(pool).is_some_and(|owner| owner.fencing_token() == fencing_token) {
            self.with_pool(clock, pool, action);
        }
    }

    fn with_pool(
        &mut self,
        clock: Clock,
        pool: &PoolId,
        action: impl FnOnce(&mut PoolOwner, &mut StepContext),
    ) {
        let (mut context, pools, _) = self.split_context(clock);
        if let Some(owner) = pools.get_mut(pool) {
            action(owner, &mut context);
        }
    }

    fn with_vm_controller(
        &mut self,
        clock: Clock,
        action: impl FnOnce(&mut VmController, &mut StepContext),
    ) {
        let (mut context, _, controller) = self.split_context(clock);
        if let Some(controller) = controller {
            action(controller, &mut context);
        }
    }

    fn for_each_pool(&mut self, clock: Clock, action: impl Fn(&mut PoolOwner, &mut StepContext)) {
        let pool_ids: Vec<PoolId> = self.pools.keys().cloned().collect();
        for pool in pool_ids {
            self.with_pool(clock, &pool, &action);
        }
    }
}
