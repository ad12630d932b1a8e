//! The owner of a pool: it alone gives orders to the pool's minions.
//!
//! A new owner first reads the pool's jobs, their ends and the roster, then asks
//! every minion of the roster and of the registry with its own token. That answer
//! fences all orders of earlier owners and shows what runs. What an earlier owner
//! may have started stays untouched until every minion of the roster has answered,
//! has begun a new life, or its leases have surely lapsed.
//!
//! From then on events drive it: an end or a new job is followed by a look for tasks
//! that can start (`place`). Ends are saved several at a time (`save`), and a minion
//! may forget an end only after that.

mod demand;
mod ends;
mod expiry;
mod failures;
mod job;
mod limits;
mod load;
mod maintenance;
mod minion;
mod orders;
mod place;
mod save;
mod throttle;

use std::collections::BTreeMap;

use jobs::{RunNumber, TaskName};
use state::{JobId, MinionId, Moment, PoolId, Revision};

use crate::event::Clock;
use crate::io::{MinionAnswer, StoreAnswer};
use crate::key::{OwnKey, ShardKey, StoreKey};
use crate::model::FleetSettings;
use crate::outbox::{CallPurpose, Outbox};
use crate::registry::Registry;
use crate::shared::SharedIndex;

use demand::DemandState;
use expiry::ExpiryQueue;
use job::OwnedJob;
use limits::LocalAllocation;
use load::LoadStage;
use maintenance::MaintenanceState;
use minion::{OwnedMinion, RunPhase};
use save::SaveState;

/// Calls of this part.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum PoolCall {
    LoadRoster,
    LoadJobs,
    LoadProgress,
    WatchJobs,
    Save,
    Allocations,
    Hold { minion: MinionId, incarnation: u64, last_saved_end: u64 },
    Start { minion: MinionId, incarnation: u64, task: TaskName, run: RunNumber },
    Stop,
    Throttle { minion: MinionId, task: TaskName, run: RunNumber, percent: u8 },
    WaveCommit,
    Demand,
    Expire,
}

/// What a step may use besides the pool's own state.
pub(crate) struct StepContext<'a> {
    pub(crate) clock: Clock,
    pub(crate) out: &'a mut Outbox,
    pub(crate) shared: &'a SharedIndex,
    pub(crate) registry: &'a Registry,
    pub(crate) settings: &'a FleetSettings,
    /// Whether the pool is surely this daemon's own.
    pub(crate) is_valid: bool,
}

/// A pool that this daemon owns.
#[derive(Debug)]
pub(crate) struct PoolOwner {
    pool: PoolId,
    fencing_token: Revision,
    taken_at: Moment,
    stage: LoadStage,
    jobs: BTreeMap<JobId, OwnedJob>,
    minions: BTreeMap<MinionId, OwnedMinion>,
    save: SaveState,
    limits: LocalAllocation,
    maintenance: MaintenanceState,
    demand: DemandState,
    expiry: ExpiryQueue,
    is_stopping: bool,
    /// Somebody else owns the pool.
    pub(crate) is_lost: bool,
}

impl PoolOwner {
    pub(crate) fn new(pool: PoolId, token: Revision, context: &mut StepContext) -> Self {
        let inputs = format!("token {token}");
        context.out.log("pool", &pool, inputs, "owned");
        let mut owner = Self {
            pool,
            fencing_token: token,
            taken_at: context.clock.now,
            stage: LoadStage::default(),
            jobs: BTreeMap::new(),
            minions: BTreeMap::new(),
            save: SaveState::default(),
            limits: LocalAllocation::default(),
            maintenance: MaintenanceState::default(),
            demand: DemandState::default(),
            expiry: ExpiryQueue::default(),
            is_stopping: false,
            is_lost: false,
        };
        owner.load(context);
        owner
    }

    pub(crate) fn token(&self) -> Revision {
        self.fencing_token
    }

    /// Starts nothing any more.
    pub(crate) fn begin_stop(&mut self, context: &mut StepContext) {
        context.out.log("pool", &self.pool, "the daemon stops", "starts nothing more");
        self.is_stopping = true;
    }

    /// Whether every end that was seen is saved, and no start is open.
    pub(crate) fn is_noted(&self) -> bool {
        let is_quiet = |minion: &OwnedMinion| {
            minion.processed_end == minion.acknowledged_end
                && !minion.runs.values().any(|run| matches!(run.phase, RunPhase::Starting { .. }))
        };
        !self.stage.is_loaded() || (self.save.is_idle() && self.minions.values().all(is_quiet))
    }

    /// Each write expects this owner's record.
    fn owner_key(&self) -> StoreKey {
        StoreKey::Own(OwnKey::Owner(ShardKey::Pool(self.pool.clone())))
    }

    fn purpose(&self, call: PoolCall) -> CallPurpose {
        CallPurpose::Pool(self.pool.clone(), self.fencing_token, call)
    }

    pub(crate) fn on_store(
        &mut self,
        context: &mut StepContext,
        call: PoolCall,
        answer: StoreAnswer,
    ) {
        match call {
            PoolCall::Save => self.on_saved(context, answer),
            PoolCall::Allocations => self.on_allocations_written(context, answer),
            PoolCall::WaveCommit => self.on_wave_written(context, answer),
            // What was not removed is found again by the next owner.
            PoolCall::Expire => self.expiry.is_writing = false,
            PoolCall::Demand => self.on_demand_written(context, answer),
            loading => self.on_loaded(context, loading, answer),
        }
        self.advance(context);
    }

    pub(crate) fn on_minion(
        &mut self,
        context: &mut StepContext,
        call: PoolCall,
        sent: Moment,
        answer: MinionAnswer,
    ) {
        match call {
            PoolCall::Hold { minion, incarnation, last_saved_end } => {
                if matches!(answer, MinionAnswer::Held { minion_incarnation: reported_incarnation, .. } if reported_incarnation == incarnation)
                {
                    self.record_acknowledged_end(&minion, last_saved_end);
                }
                self.on_hold_answered(context, &minion, incarnation, sent, answer);
            }
            PoolCall::Start { minion, incarnation, task, run } => {
                self.on_start_answered(context, &minion, incarnation, &task, run, answer);
            }
            PoolCall::Throttle { minion, task, run, percent } => {
                self.on_throttle_answered(&minion, &task, run, percent, &answer);
            }
            // A stop has worked when its end is listed; else it is sent again.
            _ => {}
        }
        self.advance(context);
    }

    /// An outcome in the shared records has changed.
    pub(crate) fn on_outcome(&mut self, context: &mut StepContext, job: &JobId) {
        let key = (self.pool.clone(), job.clone());
        if let Some(known) = context.shared.outcomes.get(&key) {
            self.adopt_outcome(context, job, known.record.phase, known.revision);
        }
    }

    /// The shared records have changed.
    pub(crate) fn on_shared(&mut self, context: &mut StepContext) {
        self.load_jobs(context);
        self.advance(context);
    }

    /// The registry was read anew.
    pub(crate) fn on_registry(&mut self, context: &mut StepContext) {
        self.apply_registry(context);
        self.advance(context);
    }

    pub(crate) fn on_tick(&mut self, context: &mut StepContext) {
        self.retry_load(context);
        self.open_due_steps(context);
        self.expire_leases(context);
        self.resend_stops(context);
        self.update_maintenance(context);
        self.update_demand(context);
        self.expire_outcomes(context);
        self.advance(context);
    }

    /// What every event is followed by.
    pub(crate) fn advance(&mut self, context: &mut StepContext) {
        if !context.is_valid || self.is_lost {
            return;
        }
        if self.stage.is_loaded() {
            self.resolve_unknown_runs(context);
        }
        self.fail_exhausted_jobs(context);
        self.update_allocations(context);
        if self.stage.is_loaded() && !self.is_stopping {
            self.place_tasks(context);
        }
        self.save_changes(context);
        self.send_holds(context);
    }
}
