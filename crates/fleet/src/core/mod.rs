//! State machine of one daemon: dispatches each event to the component that handles it.
//!
//! [`FleetCore`] owns the components (shared records, session, intake, registry, owned
//! pools and the VM controller). For each [`Event`] it calls the component that is
//! responsible, and collects the effects in an [`Outbox`]. The module `shards` begins and ends
//! ownership.

mod shards;

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
use crate::session::Session;
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
