//! The owner of a pool, which alone sends orders to the pool's minions.
//!
//! A new owner first loads the pool's jobs, their progress and the roster. It then sends a
//! hold with its own fencing token to every minion of the roster and of the registry. The
//! minion's answer fences all orders of earlier owners and lists the runs on that minion.
//! Tasks that an earlier owner may have started are not started again until every minion of
//! the roster has answered, or the leases of earlier owners have certainly expired.
//!
//! After loading, the owner reacts to events: a finished run or a new job requests a placement
//! pass (`placement`), and the next pass starts as soon as its share of work allows (`pass`).
//! Finished runs are saved in batches (`save`), and a minion is told to drop a finished run
//! only after the run is saved.
//!
//! The work of one event depends neither on the number of waiting jobs nor on the number of
//! minions: `job_table` indexes the jobs that need work, `ready_queue` keeps them ranked, and
//! `hold_queue` holds the minions that may be due for a hold.

mod answers;
mod data_wait;
mod demand;
mod expiry;
mod failures;
mod finished;
mod given_up;
mod hold_queue;
mod incarnation;
mod job;
mod job_table;
mod lease_ends;
mod limits;
mod listed;
mod load;
mod maintenance;
mod minion;
mod occurrences;
mod orders;
mod overload;
mod pass;
mod placement;
mod ready_queue;
mod rebalance;
mod roster;
mod run_times;
mod save;
mod save_lane;
mod team_use;
mod throttle;
mod unsaved;
mod vm_health;
mod work;
mod work_estimate;

use std::collections::BTreeMap;

use jobs::{RunNumber, TaskName};
use state::{JobId, MinionId, Moment, PoolId, Revision};

use crate::event::{Clock, Measurement};
use crate::io::{MinionAnswer, StoreAnswer};
use crate::key::{OwnKey, ShardKey, StoreKey};
use crate::model::FleetSettings;
use crate::outbox::{CallPurpose, Outbox};
use crate::registry::Registry;
use crate::shared::SharedRecords;

use data_wait::DataWaits;
use demand::DemandState;
use expiry::ExpiryQueue;
use given_up::GivenUpStarts;
use hold_queue::HoldQueue;
use job_table::JobTable;
use limits::LocalAllocation;
use load::LoadStage;
use maintenance::MaintenanceState;
use minion::{OwnedMinion, RunPhase};
use overload::OverloadState;
use pass::PassSchedule;
use ready_queue::ReadyQueue;
use run_times::RunTimeState;
use save::SaveState;
use save_lane::SaveLane;
use vm_health::VmHealthState;
use work::WorkCounter;

/// Calls of a pool's owner to the store and to minions, recorded to match each answer.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum PoolCall {
    /// Range read of the save sequences.
    LoadSequences,
    /// Read of the roster.
    LoadRoster,
    /// Range read of the accepted jobs.
    LoadJobs,
    /// Range read of the jobs' progress records.
    LoadProgress,
    /// Watch for newly accepted jobs.
    WatchJobs,
    /// Commit of progress, phases and the roster, in one lane.
    Save(SaveLane),
    /// Commit of the quota allocations.
    Allocations,
    /// Lease renewal that also acknowledges finished runs up to number `last_saved_end`.
    Hold {
        minion: MinionId,
        incarnation: u64,
        last_saved_end: u64,
        /// Whether the hold names an end of leases.
        extends_leases: bool,
    },
    /// Start of a run.
    Start { minion: MinionId, incarnation: u64, task: TaskName, run: RunNumber },
    /// Stop of a run.
    Stop { minion: MinionId, incarnation: u64, task: TaskName, run: RunNumber },
    /// Change of a best-effort run's processor share, in percent.
    Throttle { minion: MinionId, task: TaskName, run: RunNumber, percent: u8 },
    /// Commit of a maintenance wave's progress.
    WaveCommit,
    /// Commit of the pool's VM demand.
    Demand,
    /// Commit that removes outcomes of jobs that ended long ago.
    Expire,
    /// Read of the measured run times.
    ReadRunTimes,
    /// Commit of the measured run times.
    WriteRunTimes,
}

impl PoolCall {
    /// Whether the call only reads from the store.
    pub(crate) fn is_read(&self) -> bool {
        matches!(
            self,
            Self::LoadSequences
                | Self::LoadRoster
                | Self::LoadJobs
                | Self::LoadProgress
                | Self::WatchJobs
                | Self::ReadRunTimes
        )
    }
}

/// Inputs and outputs of one step besides the pool's own state.
pub(crate) struct StepContext<'a> {
    pub(crate) clock: Clock,
    pub(crate) out: &'a mut Outbox,
    pub(crate) shared: &'a SharedRecords,
    pub(crate) registry: &'a Registry,
    pub(crate) settings: &'a FleetSettings,
    /// Whether this daemon's ownership of its shards is certainly still valid.
    pub(crate) is_ownership_valid: bool,
}

/// State of a pool that this daemon owns.
#[derive(Debug)]
pub(crate) struct PoolOwner {
    pool: PoolId,
    /// Revision of the ownership record; minions refuse orders with a lower token.
    fencing_token: Revision,
    /// Time at which this daemon became the owner.
    owned_since: Moment,
    stage: LoadStage,
    jobs: JobTable,
    ready_queue: ReadyQueue,
    overload: OverloadState,
    pass: PassSchedule,
    minions: BTreeMap<MinionId, OwnedMinion>,
    given_up_starts: GivenUpStarts,
    hold_queue: HoldQueue,
    /// Version of the configuration after which a placement pass was last requested.
    config_version: u64,
    save: SaveState,
    limits: LocalAllocation,
    maintenance: MaintenanceState,
    demand: DemandState,
    data_waits: DataWaits,
    expiry: ExpiryQueue,
    run_times: RunTimeState,
    vm_health: VmHealthState,
    work: WorkCounter,
    /// Whether the daemon is stopping, so that no more tasks are placed.
    is_stopping: bool,
    /// Whether another daemon owns the pool now, or should own it because this daemon cannot
    /// read the pool's records.
    pub(crate) is_lost: bool,
}

impl StepContext<'_> {
    /// Whether what is known of the configuration, of cancellations and of the minions' reports is
    /// recent enough to start tasks by it.
    fn is_current(&self) -> bool {
        self.shared.is_current(self.clock.now) && self.registry.is_current()
    }
}

impl PoolOwner {
    /// Begins ownership under `fencing_token` and begins to load the pool's records.
    pub(crate) fn new(pool: PoolId, fencing_token: Revision, context: &mut StepContext) -> Self {
        let inputs = format!("fencing token {fencing_token}");
        context.out.log("pool", &pool, inputs, "owned");
        let mut owner = Self {
            pool,
            fencing_token,
            owned_since: context.clock.now,
            stage: LoadStage::default(),
            jobs: JobTable::default(),
            ready_queue: ReadyQueue::default(),
            overload: OverloadState::default(),
            pass: PassSchedule::default(),
            minions: BTreeMap::new(),
            given_up_starts: GivenUpStarts::default(),
            hold_queue: HoldQueue::default(),
            config_version: 0,
            save: SaveState::default(),
            limits: LocalAllocation::default(),
            maintenance: MaintenanceState::default(),
            demand: DemandState::default(),
            data_waits: DataWaits::default(),
            expiry: ExpiryQueue::default(),
            run_times: RunTimeState::default(),
            vm_health: VmHealthState::default(),
            work: WorkCounter::default(),
            is_stopping: false,
            is_lost: false,
        };
        owner.begin_load(context);
        owner
    }

    /// Returns the fencing token of this owner.
    pub(crate) fn fencing_token(&self) -> Revision {
        self.fencing_token
    }

    /// Stops placing tasks because the daemon is stopping.
    pub(crate) fn begin_stop(&mut self, context: &mut StepContext) {
        context.out.log("pool", &self.pool, "the daemon stops", "places no more tasks");
        self.is_stopping = true;
    }

    /// Whether every processed finished run is saved and acknowledged to its minion, and no
    /// start awaits an answer. A pool that is not loaded yet has nothing to save.
    pub(crate) fn is_quiescent(&self) -> bool {
        let is_minion_settled = |minion: &OwnedMinion| {
            minion.processed_end == minion.acknowledged_end
                && !minion.runs.values().any(|run| matches!(run.phase, RunPhase::Starting { .. }))
        };
        !self.stage.is_loaded()
            || (self.save.is_idle() && self.minions.values().all(is_minion_settled))
    }

    /// Returns the key of the pool's ownership record. Each commit expects this record at
    /// the revision of the fencing token, so that a former owner cannot write.
    fn owner_key(&self) -> StoreKey {
        StoreKey::Own(OwnKey::Owner(ShardKey::Pool(self.pool.clone())))
    }

    fn purpose(&self, call: PoolCall) -> CallPurpose {
        CallPurpose::Pool(self.pool.clone(), self.fencing_token, call)
    }

    /// Handles the store's answer to `call`.
    pub(crate) fn on_store(
        &mut self,
        context: &mut StepContext,
        call: PoolCall,
        answer: StoreAnswer,
    ) {
        match call {
            PoolCall::Save(lane) => self.on_saved(context, lane, answer),
            PoolCall::Allocations => self.on_allocations_written(context, answer),
            PoolCall::WaveCommit => self.on_wave_written(context, answer),
            // Outcomes that were not removed are queued again by the pool's next owner.
            PoolCall::Expire => self.expiry.is_write_in_flight = false,
            PoolCall::Demand => self.on_demand_written(context, answer),
            PoolCall::ReadRunTimes => self.on_run_times_read(context, answer),
            PoolCall::WriteRunTimes => self.on_run_times_written(context, answer),
            loading => self.on_loaded(context, loading, answer),
        }
        self.advance(context);
    }

    /// Handles a minion's answer to `call`, which was sent at `sent_at`.
    pub(crate) fn on_minion(
        &mut self,
        context: &mut StepContext,
        call: PoolCall,
        sent_at: Moment,
        answer: MinionAnswer,
    ) {
        self.note_contact(context.clock.now, &call, &answer);
        match call {
            PoolCall::Hold { minion, incarnation, last_saved_end, extends_leases } => {
                if matches!(
                    answer,
                    MinionAnswer::Held { minion_incarnation: reported, .. }
                        if reported == incarnation
                ) {
                    self.record_acknowledged_end(&minion, last_saved_end);
                }
                if extends_leases {
                    self.note_hold_answered(context, &minion, incarnation, &answer);
                }
                self.on_hold_answered(context, &minion, incarnation, sent_at, answer);
            }
            PoolCall::Start { minion, incarnation, task, run } => {
                self.note_start_answered(context, &minion, incarnation, &answer);
                self.on_start_answered(context, (&minion, incarnation), &task, run, answer);
            }
            PoolCall::Throttle { minion, task, run, percent } => {
                self.on_throttle_answered(&minion, &task, run, percent, &answer);
            }
            PoolCall::Stop { minion, incarnation, task, run } => {
                self.on_stop_answered(
                    context.clock.now,
                    &minion,
                    incarnation,
                    &(task, run),
                    &answer,
                );
            }
            _ => {}
        }
        self.advance(context);
    }

    /// Adopts a changed outcome from the shared records, such as a cancellation.
    pub(crate) fn on_outcome(&mut self, context: &mut StepContext, job: &JobId) {
        if let Some(known) = context.shared.outcomes.get(job) {
            self.adopt_outcome(context, job, known.record.phase, known.revision);
        }
    }

    /// Handles a change of the shared records.
    pub(crate) fn on_shared(&mut self, context: &mut StepContext) {
        self.load_jobs(context);
        let allocations = context.shared.allocations.as_ref();
        if self.limits.has_new_revision(allocations.map(|allocations| allocations.revision)) {
            self.pass.request();
        }
        self.advance(context);
    }

    /// Handles a new reading of the registry.
    pub(crate) fn on_registry(&mut self, context: &mut StepContext) {
        self.apply_registry(context);
        self.advance(context);
    }

    /// Performs the work that depends on time rather than on an answer.
    pub(crate) fn on_tick(&mut self, context: &mut StepContext) {
        self.retry_load(context);
        self.open_due_occurrences(context);
        self.expire_leases(context);
        self.given_up_starts.expire(context.clock.now);
        self.resend_stops(context);
        self.update_maintenance(context);
        self.update_demand(context);
        self.note_roster_changes();
        self.expire_outcomes(context);
        self.keep_run_times(context);
        self.judge_vms(context);
        self.hold_queue.add_all();
        self.pass.request();
        self.save.may_release_ends = true;
        self.advance(context);
    }

    /// Saves changes, sends due holds and, by current records only, places tasks. Runs after every
    /// event.
    pub(crate) fn advance(&mut self, context: &mut StepContext) {
        self.advance_if_owned(context);
        context.out.count_checks(self.work.take());
    }

    fn advance_if_owned(&mut self, context: &mut StepContext) {
        if !context.is_ownership_valid || self.is_lost {
            return;
        }
        if self.stage.is_loaded() {
            self.resolve_unknown_runs(context);
        }
        self.note_new_config(context);
        self.work.add(self.jobs.refresh());
        if self.jobs.take_has_new() {
            self.pass.request();
        }
        self.pass.note_request(context.clock.now);
        self.fail_exhausted_jobs(context);
        // Lease renewals and saves do not wait behind the starts of a pass.
        self.save_changes(context);
        self.send_holds(context);
        if self.stage.is_loaded() && self.pass.is_due(context.clock.now) && context.is_current() {
            self.run_pass(context);
        }
    }

    /// Requests a placement pass after a change of the configuration, which may raise a limit.
    fn note_new_config(&mut self, context: &StepContext) {
        let version = context.shared.config.as_ref().map_or(0, |config| config.version);
        if version != self.config_version {
            self.config_version = version;
            self.pass.request();
        }
    }

    /// Places ready tasks and adjusts the quota allocations to what they need. Until the jobs
    /// and their runs are loaded, quota that is in use would seem free.
    fn run_pass(&mut self, context: &mut StepContext) {
        let checks_before = self.work.count();
        self.refresh_allocations(context);
        if !self.is_stopping {
            self.place_tasks(context);
        }
        self.rebalance_allocations(context);
        let delay = self.pass.record_pass(context.clock.now, self.work.count() - checks_before);
        context.out.measure(Measurement::PassDelay(delay));
    }
}
