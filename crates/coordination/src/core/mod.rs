//! State machine of one daemon: [`Core`] handles every event and returns the
//! effects that the daemon has to carry out.
//!
//! [`Core`] holds the state; each submodule implements one area of its methods:
//!
//! - `calls`, `claims` and `dispatch`: requests, from arrival to the last
//!   directive;
//! - `limits` and `transfers`: this daemon's quota allocations;
//! - `jobs` and `tasks`: placement of jobs and their tasks on workers;
//! - `fleet`: VM records and planned stops;
//! - `documents`: membership, the watch and the documents in the store;
//! - `peers`: heartbeats and other frames;
//! - `control`: requests of operators and submitters.

mod calls;
mod claims;
mod control;
mod dispatch;
mod documents;
mod fleet;
mod jobs;
mod limits;
mod peers;
mod tasks;
mod transfers;

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;
use slab::Slab;
use state::verify::Violation;
use state::{
    ClaimDoc, ConfigDoc, DaemonId, DaemonRef, DataCentreId, FleetDoc, Incarnation, MemberDoc,
    Moment, PoolId, Revision, SlotDoc, TeamDoc, TeamId, VmId,
};

use crate::contact::ContactTable;
use crate::document::DocumentWriter;
use crate::estimate::ServiceEstimate;
use crate::event::{
    Clock, ControlAnswer, Decision, Effect, Event, IoCallId, PlatformRequest, ReplyToken,
    VmListings,
};
use crate::local_allocation::LocalAllocation;
use crate::mutate::claim::{ClaimMutation, ClaimResult};
use crate::mutate::config::{self, ConfigMutation, ConfigResult};
use crate::mutate::fleet::{self as fleet_mutation, FleetMutation, FleetResult};
use crate::mutate::member::{self, MemberMutation};
use crate::mutate::slot::SlotMutation;
use crate::mutate::team::{TeamMutation, TeamResult};
use crate::queue::{CallKey, PoolQueue};
use crate::retry::RetryBudgets;
use crate::route::PoolRoute;
use crate::share::ShareTable;
use crate::timing::TICK_INTERVAL;

use calls::ActiveCall;
use control::PendingControl;
use documents::DocumentRef;
use tasks::{WorkerCallInfo, WorkerView};

/// Number of claim shards; the claims of one shard are one document.
pub(crate) const CLAIM_SHARDS: u32 = 32;

/// Identity and location of this daemon.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Daemon id with the incarnation of this process.
    pub daemon_ref: DaemonRef,
    /// Entry VM that the daemon runs on.
    pub vm: VmId,
    /// Data centre of the entry VM.
    pub data_centre: DataCentreId,
    /// Address at which peers send frames to this daemon.
    pub peer_address: Box<str>,
}

/// Limits from the settings file.
#[derive(Debug, Clone)]
pub struct CoreSettings {
    /// Maximum number of requests that wait for a slot, over all pools.
    pub queue_limit: u32,
}

/// Counters of this daemon's own work, reported to operators and as metrics.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct DaemonCounters {
    /// Requests received.
    pub calls: u64,
    /// Requests with a complete answer from a minion.
    pub done: u64,
    /// Requests refused; no minion ran any of them.
    pub not_run: u64,
    /// Requests that may have run, without a complete answer.
    pub unknown: u64,
    /// Repeated attempts after failed attempts.
    pub retries: u64,
    /// Calls sent to the platform.
    pub platform_calls: u64,
    /// Frames sent to peers.
    pub frames: u64,
    /// Task starts sent to workers.
    pub task_starts: u64,
    /// Jobs that completed successfully.
    pub jobs_done: u64,
    /// Planned stops of VMs that began.
    pub drains: u64,
    /// Planned stops that move the VM to another pool.
    pub moves: u64,
    /// VM-milliseconds that VMs were out of service because of planned stops.
    pub buffer_ms: u64,
    /// Milliseconds from the commit of the latest configuration change until
    /// the change was in force.
    pub last_rollout_ms: u64,
    /// Slot-milliseconds of service that each team received.
    pub service_ms: BTreeMap<TeamId, u64>,
}

/// State machine of one daemon.
pub struct Core {
    pub(crate) identity: Identity,
    settings: CoreSettings,
    clock: Clock,
    effects: Vec<Effect>,
    /// Number of the latest call to the platform or a worker.
    last_io_call: u64,
    last_request_number: u64,
    platform_calls: BTreeMap<IoCallId, documents::PlatformCallPurpose>,

    config: DocumentWriter<ConfigDoc, ConfigMutation, ConfigResult>,
    members: DocumentWriter<MemberDoc, MemberMutation, ()>,
    fleet: DocumentWriter<FleetDoc, FleetMutation, FleetResult>,
    teams: BTreeMap<TeamId, DocumentWriter<TeamDoc, TeamMutation, TeamResult>>,
    slots: BTreeMap<PoolId, DocumentWriter<SlotDoc, SlotMutation, ()>>,
    claims: BTreeMap<u32, DocumentWriter<ClaimDoc, ClaimMutation, ClaimResult>>,
    /// Documents that may have a call to make.
    dirty_documents: BTreeSet<DocumentRef>,

    contacts: ContactTable,
    shared_watch: documents::WatchState,
    is_joined: bool,
    listing: VmListings,
    /// VMs by pool, rebuilt whenever the VM records change.
    pool_vms: BTreeMap<PoolId, Vec<VmId>>,
    listing_due: Moment,
    is_listing_known: bool,
    /// Time at which each allocation holder was first found not to be a member.
    holder_departures: BTreeMap<DaemonRef, Moment>,

    calls: Slab<ActiveCall>,
    call_by_token: BTreeMap<ReplyToken, CallKey>,
    queues: BTreeMap<PoolId, PoolQueue>,
    routes: BTreeMap<PoolId, PoolRoute>,
    orphaned_calls: Vec<calls::OrphanedCall>,
    team_limits: BTreeMap<TeamId, LocalAllocation>,
    shares: ShareTable,
    retry_budgets: RetryBudgets,
    service_estimates: BTreeMap<PoolId, ServiceEstimate>,

    workers: BTreeMap<VmId, WorkerView>,
    worker_calls: BTreeMap<IoCallId, WorkerCallInfo>,
    pending_controls: Vec<PendingControl>,

    heartbeat_due: Moment,
    shortage_report_due: Moment,
    /// Index of the peer that receives the next shortage report.
    next_report_peer: usize,
    rebalance_due: Moment,
    refresh_due: Moment,
    placement_due: Moment,
    fleet_pass_due: Moment,
    /// Time of the latest reboot request for each VM that is not back yet.
    reboot_requests: BTreeMap<VmId, Moment>,
    last_tick_at: Moment,
    applied_config: Revision,
    is_stopping: bool,
    is_stopped: bool,
    /// Time since which a stopping daemon has had no open request.
    idle_since: Option<Moment>,
    /// Counters of this daemon's own work.
    pub counters: DaemonCounters,
}

impl Core {
    /// Creates a daemon without any stored data; its first ticks read the
    /// documents and join.
    pub fn new(identity: Identity, settings: CoreSettings) -> Self {
        Self {
            identity,
            settings,
            clock: Clock::default(),
            effects: Vec::new(),
            last_io_call: 0,
            last_request_number: 0,
            platform_calls: BTreeMap::new(),
            config: DocumentWriter::new("shared/config", config::apply),
            members: DocumentWriter::new("shared/members", member::apply),
            fleet: DocumentWriter::new("shared/fleet", fleet_mutation::apply),
            teams: BTreeMap::new(),
            slots: BTreeMap::new(),
            claims: BTreeMap::new(),
            dirty_documents: BTreeSet::new(),
            contacts: ContactTable::default(),
            shared_watch: documents::WatchState::default(),
            is_joined: false,
            listing: VmListings::new(),
            pool_vms: BTreeMap::new(),
            listing_due: Moment(0),
            is_listing_known: false,
            holder_departures: BTreeMap::new(),
            calls: Slab::new(),
            call_by_token: BTreeMap::new(),
            queues: BTreeMap::new(),
            routes: BTreeMap::new(),
            orphaned_calls: Vec::new(),
            team_limits: BTreeMap::new(),
            shares: ShareTable::default(),
            retry_budgets: RetryBudgets::default(),
            service_estimates: BTreeMap::new(),
            workers: BTreeMap::new(),
            worker_calls: BTreeMap::new(),
            pending_controls: Vec::new(),
            heartbeat_due: Moment(0),
            shortage_report_due: Moment(0),
            next_report_peer: 0,
            rebalance_due: Moment(0),
            refresh_due: Moment(0),
            placement_due: Moment(0),
            fleet_pass_due: Moment(0),
            reboot_requests: BTreeMap::new(),
            last_tick_at: Moment(0),
            applied_config: Revision(0),
            is_stopping: false,
            is_stopped: false,
            idle_since: None,
            counters: DaemonCounters::default(),
        }
    }

    /// Handles one event and returns the effects to carry out, in order.
    pub fn step(&mut self, clock: Clock, event: Event) -> Vec<Effect> {
        self.clock = clock;
        match event {
            Event::Tick => self.tick(),
            Event::Call(arrival) => self.handle_call_arrival(arrival),
            Event::CallEnded { token, outcome } => self.handle_attempt_outcome(token, outcome),
            Event::Platform { call, answer } => self.handle_platform_answer(call, answer),
            Event::Worker { call, answer } => self.handle_worker_answer(call, answer),
            Event::Frame(frame) => self.handle_frame(&frame),
            Event::Control { token, request } => self.handle_control_request(token, request),
            Event::Stop => self.is_stopping = true,
        }
        self.report_shortages();
        self.poll_documents();
        std::mem::take(&mut self.effects)
    }

    /// Runs all periodic work that is due.
    fn tick(&mut self) {
        self.last_tick_at = self.now();
        self.maintain_membership();
        self.maintain_watch();
        self.refuse_expired_calls();
        self.release_orphaned_calls();
        self.rebalance_allocations();
        self.refresh_documents_when_due();
        self.run_placement_pass();
        self.run_fleet_pass();
        self.advance_controls();
        self.send_due_heartbeats();
        self.dispatch_all();
        self.advance_graceful_stop();
    }

    fn now(&self) -> Moment {
        self.clock.now
    }

    fn this_daemon(&self) -> &DaemonRef {
        &self.identity.daemon_ref
    }

    fn emit(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    fn log_decision(&mut self, decision: Decision) {
        self.emit(Effect::Log(decision));
    }

    fn answer_control(&mut self, token: ReplyToken, answer: ControlAnswer) {
        self.emit(Effect::Control { token, answer });
    }

    fn send_platform_call(
        &mut self,
        purpose: documents::PlatformCallPurpose,
        request: PlatformRequest,
    ) {
        let call = self.allocate_io_call();
        self.counters.platform_calls += 1;
        self.platform_calls.insert(call, purpose);
        self.emit(Effect::Platform { call, request });
    }

    fn allocate_io_call(&mut self) -> IoCallId {
        self.last_io_call += 1;
        IoCallId(self.last_io_call)
    }

    /// Reports violated invariants, after which the process must stop.
    fn report_violations(&mut self, violations: Vec<Violation>) {
        if !violations.is_empty() {
            self.emit(Effect::Broken(violations));
        }
    }

    /// Checks that this daemon may take new work; the error is the reason why
    /// it may not.
    pub(crate) fn check_work_allowed(&self) -> Result<(), &'static str> {
        if !self.is_joined || !self.config.is_loaded() {
            return Err("this daemon has not joined yet");
        }
        let latest = self
            .contacts
            .member_statuses(self.members.doc())
            .map(|(_, status)| status.config)
            .max();
        if latest.is_some_and(|latest| latest > self.config.revision()) {
            return Err("this daemon has yet to read the latest configuration");
        }
        if self.now()
            >= self.contacts.accepts_work_until(&self.this_daemon().daemon, self.members.doc())
        {
            return Err("this daemon has lost contact with the platform and with most daemons");
        }
        Ok(())
    }

    /// Returns this daemon and the members from which a frame arrived within the last
    /// four heartbeat intervals.
    fn responsive_daemons(&self) -> Vec<DaemonId> {
        let max_age = state::Millis(crate::timing::HEARTBEAT_INTERVAL.0 * 4);
        let members = self.members.doc().members.iter();
        let responsive = members.filter(|(daemon, record)| {
            let peer = DaemonRef { daemon: (*daemon).clone(), incarnation: record.incarnation };
            **daemon == self.this_daemon().daemon
                || self.contacts.has_recent_contact(&peer, self.now(), max_age)
        });
        responsive.map(|(daemon, _)| daemon.clone()).collect()
    }

    /// Whether the work named `assignment` is assigned to this daemon.
    fn is_assigned(&self, assignment: &str) -> bool {
        let daemons = self.responsive_daemons();
        crate::assignment::assigned_daemon(assignment, daemons.iter())
            == Some(&self.this_daemon().daemon)
    }

    /// Whether the configuration takes `data_centre` or `pool` out of service.
    fn is_out_of_service(&self, data_centre: &DataCentreId, pool: &PoolId) -> bool {
        let config = self.config.doc();
        config.out_data_centres.contains(data_centre) || config.out_pools.contains(pool)
    }

    /// Interval at which the runtime must send [`Event::Tick`].
    pub fn tick_period() -> state::Millis {
        TICK_INTERVAL
    }

    /// Revision of the configuration that this daemon uses.
    pub fn config_revision(&self) -> Revision {
        self.config.revision()
    }

    /// Incarnation of this daemon.
    pub fn incarnation(&self) -> Incarnation {
        self.this_daemon().incarnation
    }

    /// Number of requests that are queued, wait for a claim or are in flight.
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }
}
