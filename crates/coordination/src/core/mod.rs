//! Joins the parts into one state machine.

mod calls;
mod claims;
mod control;
mod dispatch;
mod documents;
mod fleet;
mod jobs;
mod limits;
mod moves;
mod peers;
mod tasks;

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
    Clock, ControlAnswer, Decision, Effect, Event, IoCall, Listing, PlatformRequest, ReplyToken,
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
use crate::timing::TICK;

use calls::ActiveCall;
use control::PendingControl;
use documents::DocRef;
use tasks::{WorkerCallInfo, WorkerView};

/// Shards of the claims; each is one document.
pub(crate) const CLAIM_SHARDS: u32 = 32;

/// Who this daemon is.
#[derive(Debug, Clone)]
pub struct Identity {
    /// The daemon and this run of it.
    pub me: DaemonRef,
    /// The entry VM it runs on.
    pub vm: VmId,
    /// Where it runs.
    pub data_centre: DataCentreId,
    /// Where peers reach it.
    pub peer_address: Box<str>,
}

/// Bounds that the settings file gives.
#[derive(Debug, Clone)]
pub struct CoreSettings {
    /// Most requests that wait for a slot, over all pools.
    pub queue_limit: u32,
}

/// Counters that the program keeps of its own work.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Measures {
    /// Requests that came.
    pub calls: u64,
    /// Requests answered in whole.
    pub done: u64,
    /// Requests refused; none of them ran.
    pub not_run: u64,
    /// Requests whose fate is not known.
    pub unknown: u64,
    /// Attempts made again.
    pub retries: u64,
    /// Calls to the platform.
    pub platform_calls: u64,
    /// Frames sent to peers.
    pub frames: u64,
    /// Tasks started.
    pub task_starts: u64,
    /// Jobs that ended well.
    pub jobs_done: u64,
    /// Planned stops begun.
    pub drains: u64,
    /// VMs moved between pools.
    pub moves: u64,
    /// Milliseconds that VMs were held out of service by planned stops.
    pub buffer_ms: u64,
    /// Milliseconds from the commit of the last change until it was in force.
    pub last_rollout_ms: u64,
    /// Slot-milliseconds of service by team.
    pub service_ms: BTreeMap<TeamId, u64>,
}

/// The state machine of one daemon.
pub struct Core {
    pub(crate) identity: Identity,
    settings: CoreSettings,
    clock: Clock,
    effects: Vec<Effect>,
    next_io: u64,
    next_request: u64,
    platform_calls: BTreeMap<IoCall, documents::PlatformPurpose>,

    config: DocumentWriter<ConfigDoc, ConfigMutation, ConfigResult>,
    members: DocumentWriter<MemberDoc, MemberMutation, ()>,
    fleet: DocumentWriter<FleetDoc, FleetMutation, FleetResult>,
    teams: BTreeMap<TeamId, DocumentWriter<TeamDoc, TeamMutation, TeamResult>>,
    slots: BTreeMap<PoolId, DocumentWriter<SlotDoc, SlotMutation, ()>>,
    claims: BTreeMap<u32, DocumentWriter<ClaimDoc, ClaimMutation, ClaimResult>>,
    dirty: BTreeSet<DocRef>,

    contacts: ContactTable,
    watch: documents::WatchState,
    joined: bool,
    listing: Listing,
    /// VMs by pool, from the records; rebuilt when those change.
    pool_vms: BTreeMap<PoolId, Vec<VmId>>,
    listing_due: Moment,
    listing_known: bool,
    gone_since: BTreeMap<DaemonRef, Moment>,

    calls: Slab<ActiveCall>,
    call_by_token: BTreeMap<ReplyToken, CallKey>,
    queues: BTreeMap<PoolId, PoolQueue>,
    routes: BTreeMap<PoolId, PoolRoute>,
    lingering: Vec<calls::LingeringCall>,
    team_limits: BTreeMap<TeamId, LocalAllocation>,
    shares: ShareTable,
    retries: RetryBudgets,
    service_estimate: BTreeMap<PoolId, ServiceEstimate>,

    workers: BTreeMap<VmId, WorkerView>,
    worker_calls: BTreeMap<IoCall, WorkerCallInfo>,
    controls: Vec<PendingControl>,

    beat_due: Moment,
    ask_due: Moment,
    next_asked: usize,
    rebalance_due: Moment,
    refresh_due: Moment,
    jobs_due: Moment,
    fleet_due: Moment,
    reboots_asked: BTreeMap<VmId, Moment>,
    last_tick: Moment,
    last_config: Revision,
    stopping: bool,
    stopped: bool,
    /// Since when a stopping daemon has no request left.
    idle_since: Option<Moment>,
    /// Counters of this daemon's work.
    pub measures: Measures,
}

impl Core {
    /// A daemon that knows nothing yet; its first tick begins to join.
    pub fn new(identity: Identity, settings: CoreSettings) -> Self {
        Self {
            identity,
            settings,
            clock: Clock::default(),
            effects: Vec::new(),
            next_io: 0,
            next_request: 0,
            platform_calls: BTreeMap::new(),
            config: DocumentWriter::new("shared/config", config::apply),
            members: DocumentWriter::new("shared/members", member::apply),
            fleet: DocumentWriter::new("shared/fleet", fleet_mutation::apply),
            teams: BTreeMap::new(),
            slots: BTreeMap::new(),
            claims: BTreeMap::new(),
            dirty: BTreeSet::new(),
            contacts: ContactTable::default(),
            watch: documents::WatchState::default(),
            joined: false,
            listing: Listing::new(),
            pool_vms: BTreeMap::new(),
            listing_due: Moment(0),
            listing_known: false,
            gone_since: BTreeMap::new(),
            calls: Slab::new(),
            call_by_token: BTreeMap::new(),
            queues: BTreeMap::new(),
            routes: BTreeMap::new(),
            lingering: Vec::new(),
            team_limits: BTreeMap::new(),
            shares: ShareTable::default(),
            retries: RetryBudgets::default(),
            service_estimate: BTreeMap::new(),
            workers: BTreeMap::new(),
            worker_calls: BTreeMap::new(),
            controls: Vec::new(),
            beat_due: Moment(0),
            ask_due: Moment(0),
            next_asked: 0,
            rebalance_due: Moment(0),
            refresh_due: Moment(0),
            jobs_due: Moment(0),
            fleet_due: Moment(0),
            reboots_asked: BTreeMap::new(),
            last_tick: Moment(0),
            last_config: Revision(0),
            stopping: false,
            stopped: false,
            idle_since: None,
            measures: Measures::default(),
        }
    }

    /// Takes one event; returns what to do, in order.
    pub fn step(&mut self, clock: Clock, event: Event) -> Vec<Effect> {
        self.clock = clock;
        match event {
            Event::Tick => self.tick(),
            Event::Call(arrival) => self.call_arrived(arrival),
            Event::CallEnded { token, outcome: ending } => self.call_ended(token, ending),
            Event::Platform { call, answer } => self.platform_answered(call, answer),
            Event::Worker { call, answer } => self.worker_answered(call, answer),
            Event::Frame(frame) => self.frame_came(&frame),
            Event::Control { token, request } => self.control(token, request),
            Event::Stop => self.stopping = true,
        }
        self.ask_for_parts();
        self.poll_documents();
        std::mem::take(&mut self.effects)
    }

    fn tick(&mut self) {
        self.last_tick = self.now();
        self.keep_joined();
        self.keep_watching();
        self.expire_calls();
        self.release_lingering();
        self.weigh_limits();
        self.refresh_teams();
        self.run_jobs();
        self.run_fleet();
        self.run_controls();
        self.send_beats();
        self.dispatch_all();
        self.finish_stop();
    }

    fn now(&self) -> Moment {
        self.clock.now
    }

    fn me(&self) -> &DaemonRef {
        &self.identity.me
    }

    fn emit(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    fn log(&mut self, decision: Decision) {
        self.emit(Effect::Log(decision));
    }

    fn answer(&mut self, token: ReplyToken, answer: ControlAnswer) {
        self.emit(Effect::Control { token, answer });
    }

    fn call_platform(&mut self, purpose: documents::PlatformPurpose, request: PlatformRequest) {
        let call = self.next_io();
        self.measures.platform_calls += 1;
        self.platform_calls.insert(call, purpose);
        self.emit(Effect::Platform { call, request });
    }

    fn next_io(&mut self) -> IoCall {
        self.next_io += 1;
        IoCall(self.next_io)
    }

    fn check(&mut self, violations: Vec<Violation>) {
        if !violations.is_empty() {
            self.emit(Effect::Broken(violations));
        }
    }

    /// Whether this daemon may take new work; says why not.
    pub(crate) fn work_permit(&self) -> Result<(), &'static str> {
        if !self.joined || !self.config.is_known() {
            return Err("this daemon has not joined yet");
        }
        let newest = self.contacts.notes(self.members.doc()).map(|(_, note)| note.config).max();
        if newest.is_some_and(|newest| newest > self.config.revision()) {
            return Err("this daemon has yet to read the latest configuration");
        }
        if self.now() >= self.contacts.fresh_until(&self.me().daemon, self.members.doc()) {
            return Err("this daemon has lost contact with the platform and with most daemons");
        }
        Ok(())
    }

    /// Daemons that this one hears, itself included.
    fn heard_daemons(&self) -> Vec<DaemonId> {
        let span = state::Millis(crate::timing::HEARTBEAT.0 * 4);
        let members = self.members.doc().members.iter();
        let heard = members.filter(|(daemon, record)| {
            let peer = DaemonRef { daemon: (*daemon).clone(), incarnation: record.incarnation };
            **daemon == self.me().daemon || self.contacts.is_heard(&peer, self.now(), span)
        });
        heard.map(|(daemon, _)| daemon.clone()).collect()
    }

    /// Whether this daemon holds `duty`.
    fn holds(&self, duty: &str) -> bool {
        let heard = self.heard_daemons();
        crate::assignment::holder(duty, heard.iter()) == Some(&self.me().daemon)
    }

    fn is_out(&self, data_centre: &DataCentreId, pool: &PoolId) -> bool {
        let config = self.config.doc();
        config.out_data_centres.contains(data_centre) || config.out_pools.contains(pool)
    }

    /// The period at which [`Event::Tick`] must come.
    pub fn tick_period() -> state::Millis {
        TICK
    }

    /// The configuration revision in use here.
    pub fn config_revision(&self) -> Revision {
        self.config.revision()
    }

    /// The run number of this daemon.
    pub fn incarnation(&self) -> Incarnation {
        self.me().incarnation
    }

    /// Requests in flight or waiting here.
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }
}
