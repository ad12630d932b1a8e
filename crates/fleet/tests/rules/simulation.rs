//! Simulation of daemons, store, minions, cloud and submitters on one virtual clock.
//!
//! Every message is an entry of a queue ordered by delivery time and sequence number. The
//! simulation delivers the messages one by one, draws all delays and faults from one seeded
//! generator, and reports all events to the rule checker.

mod active_faults;
mod delivery;
mod environment;
mod operator;
mod processor;
mod run_model;
mod submitters;

use std::collections::BTreeMap;

use fleet::io::{
    CloudAnswer, CloudCall, EndKind, ItemValue, MinionAnswer, MinionCall, MinionTarget,
    OrderRefusal, StoreAnswer, StoreCall,
};
use fleet::model::{
    DaemonCapacity, FleetConfig, FleetSettings, LinkRate, MinionReport, RemoteFactor, WaveOrder,
};
use fleet::{
    CallId, ClientAction, ClientAnswer, ClientCall, ClientTarget, Clock, DecisionLine, Effect,
    Event, FleetCore, KeyScope, Measurement, ReplyToken, StoreKey,
};
use jobs::{JobSpec, TaskName};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use state::{DataCentreId, Incarnation, JobId, Millis, MinionId, Moment, QueueId, TeamId, VmId};

use crate::checker::{RuleChecker, SubmittedJob, Violation};
use crate::cloud::{CloudEvent, FakeCloud, FakeVm};
use crate::config_rule::CONFIG_APPLY_MS;
use crate::fence_rule::FenceRule;
use crate::minion::{FakeMinion, MinionEvent};
use crate::store::{MemoryStore, encoded_bytes};
pub use active_faults::{ActiveFaults, OrderKind};
use operator::Operator;
use processor::Processor;
pub use processor::ProcessorCost;
pub use run_model::RunModel;

/// Time of day at which the virtual clock is 0, in milliseconds since the Unix epoch.
pub const WALL_CLOCK_OFFSET_MS: u64 = 1_700_000_000_000;
/// Interval between the ticks of a daemon.
const TICK_INTERVAL_MS: u64 = 25;
/// Time after which a call to the store or the cloud without an answer counts as unknown.
const STORE_TIMEOUT_MS: u64 = 1_000;
/// Time after which an order to a minion without an answer counts as unknown.
const ORDER_TIMEOUT_MS: u64 = 600;
/// Timeout that a submitter gives with a request.
const REQUEST_TIMEOUT_MS: u64 = 3_000;
/// Longest lease that minions grant, unless a test sets another.
const DEFAULT_MAX_RUN_LEASE: Millis = Millis(10_000);

/// State of one simulated daemon.
pub struct Daemon {
    /// `None` while the daemon is down.
    core: Option<FleetCore>,
    incarnation: u64,
    /// Virtual time, in milliseconds, until which the process is suspended.
    suspended_until: u64,
    processor: Processor,
    /// Capacity that the daemon's next incarnation finds in its settings.
    pub capacity: DaemonCapacity,
    /// Bandwidth of the daemon's link; `None` for answers that take no time.
    pub link: Option<LinkRate>,
    /// Virtual time, in milliseconds, until which the link carries earlier answers.
    link_busy_until: u64,
    /// Virtual time, in milliseconds, at which a fault last affected the daemon, its
    /// connections or the store.
    disturbed_at: u64,
}

/// Entry of the message queue.
#[derive(Debug, Clone)]
enum Message {
    Tick,
    StoreCallArrives {
        call: CallId,
        request: StoreCall,
        /// The daemon gets no answer, by an injected fault.
        is_lost: bool,
    },
    OrderArrives {
        call: CallId,
        target: MinionTarget,
        fencing_token: u64,
        order: MinionCall,
        /// Incarnation of the minion when the order was sent. An in-flight order is lost when
        /// this incarnation ends, except for [`ActiveFaults::orders_outlive_incarnations`].
        target_incarnation: Option<u64>,
        /// The order is delayed without an answer, by an injected fault.
        is_late: bool,
    },
    CloudCallArrives {
        call: CallId,
        request: CloudCall,
    },
    Answer(Box<Event>),
    /// The processor has executed a step with these effects.
    StepEnds(Box<[Effect]>),
    Submit {
        job: JobId,
    },
    Poll {
        job: JobId,
    },
    Cancel {
        job: JobId,
    },
    /// The operator writes the next random version of the configuration.
    ChangeConfig,
    /// A submitter asks for the waiting jobs of a queue.
    Probe,
    RequestTimedOut {
        reply_token: ReplyToken,
    },
}

/// Kind of a submitter's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestKind {
    Submit,
    Poll,
    Cancel,
}

/// Host, path and API key of the requests for a job.
type JobRoute = (Box<str>, Box<str>, Option<Box<str>>);

/// Watch that the store has not answered yet.
struct PendingWatch {
    daemon: usize,
    incarnation: u64,
    call: CallId,
    request: StoreCall,
    /// Virtual time, in milliseconds, at which the wait is over.
    until: u64,
}

/// Hold that the minion has not answered yet.
struct PendingHold {
    daemon: usize,
    incarnation: u64,
    call: CallId,
    minion: MinionId,
    minion_incarnation: u64,
    fencing_token: u64,
    order: MinionCall,
    /// Virtual time, in milliseconds, at which the wait is over.
    until: u64,
}

/// Order that was sent to a minion and has not arrived yet.
struct InFlightOrder {
    call: CallId,
    fencing_token: u64,
    order: MinionCall,
    target_incarnation: Option<u64>,
    is_late: bool,
}

/// Job that a submitter is going to submit.
pub struct PlannedJob {
    pub team: TeamId,
    pub spec: JobSpec,
    /// Index of the queue in the configuration.
    pub queue: usize,
    /// Time from the submission to the cancellation, in milliseconds.
    pub cancel_after: Option<u64>,
}

/// State of one seeded run.
pub struct Simulation {
    /// Virtual time, in milliseconds.
    pub now: u64,
    pub rng: StdRng,
    pub store: MemoryStore,
    pub minions: BTreeMap<MinionId, FakeMinion>,
    pub cloud: FakeCloud,
    pub daemons: Vec<Daemon>,
    pub config: FleetConfig,
    pub checker: RuleChecker,
    pub fence_rule: FenceRule,
    pub operator: Operator,
    pub faults: ActiveFaults,
    /// Run time of each task of a job, in milliseconds, for jobs whose runs take no random time.
    pub true_run_ms: BTreeMap<JobId, u64>,
    /// Ends of all runs, each with its virtual time, minion and kind.
    pub ended_runs: Vec<(u64, MinionId, TaskName, EndKind)>,
    /// Processor time that events cost; `None` if steps take no time.
    pub processor_cost: Option<ProcessorCost>,
    /// Run times that follow from estimates and racks; `None` for random ones.
    pub run_model: Option<RunModel>,
    /// Longest lease that minions grant, which daemons find in their settings when they start.
    max_run_lease: Millis,
    /// Factor that daemons find in their settings when they start.
    pub remote_factor: RemoteFactor,
    /// Number of orders to minions under a fencing token whose ownership record did not exist
    /// when the order was given.
    pub orders_without_ownership: u64,
    /// Number of submissions that a daemon accepted.
    pub accepted_count: u64,
    /// Number of submissions that were answered as not done.
    pub refused_count: u64,
    /// Number of events that the daemons have processed.
    pub event_count: u64,
    /// Decisions about pools, each with its virtual time and its daemon.
    pub pool_decisions: Vec<(u64, usize, DecisionLine)>,
    /// Durations that the daemons have measured, each with its virtual time.
    pub measurements: Vec<(u64, Measurement)>,
    /// Decisions to start a task, to move a VM, or to stop a task because its VM drains, each with
    /// its daemon.
    pub order_decisions: Vec<(usize, DecisionLine)>,
    /// Decisions about incarnations of minions and about runs that started or ended without the
    /// owner's knowledge, each with its virtual time.
    pub incarnation_decisions: Vec<(u64, DecisionLine)>,
    /// Selections of the jobs that a full pool completes in time.
    pub selection_decisions: Vec<DecisionLine>,
    /// Virtual time, in milliseconds, at which the last run of each job so far was done.
    pub done_at: BTreeMap<JobId, u64>,
    /// Scope and start of each range that the store has answered with a page.
    pub read_pages: Vec<(KeyScope, Option<StoreKey>)>,
    /// Messages with the daemon and its incarnation, by delivery time and sequence number.
    messages: BTreeMap<(u64, u64), (usize, u64, Message)>,
    last_sequence: u64,
    last_reply_token: u64,
    /// Requests without an answer: job, kind, and the virtual time at which each was sent.
    pending_requests: BTreeMap<ReplyToken, (JobId, RequestKind, u64)>,
    watches: Vec<PendingWatch>,
    holds: Vec<PendingHold>,
    job_routes: BTreeMap<JobId, JobRoute>,
    /// Virtual time to which store, cloud and minions have advanced.
    advanced_until: u64,
    /// Virtual time at which the minions write their next reports.
    next_report_ms: u64,
    /// Report of the first minion, from which new minions copy their capacity and labels.
    report_template: Option<MinionReport>,
    /// Whether the events of the run are printed; set by the environment variable TRACE.
    prints_trace: bool,
}

impl Simulation {
    pub fn new(seed: u64, daemons: usize, config: FleetConfig) -> Self {
        let mut simulation = Self {
            now: 1_000,
            rng: StdRng::seed_from_u64(seed),
            store: MemoryStore::default(),
            minions: BTreeMap::new(),
            cloud: FakeCloud::default(),
            daemons: Vec::new(),
            config: config.clone(),
            checker: RuleChecker::default(),
            fence_rule: FenceRule::default(),
            operator: Operator::new(seed, &config),
            faults: ActiveFaults::default(),
            true_run_ms: BTreeMap::new(),
            ended_runs: Vec::new(),
            processor_cost: None,
            run_model: None,
            max_run_lease: DEFAULT_MAX_RUN_LEASE,
            remote_factor: RemoteFactor::default(),
            orders_without_ownership: 0,
            accepted_count: 0,
            refused_count: 0,
            event_count: 0,
            pool_decisions: Vec::new(),
            measurements: Vec::new(),
            order_decisions: Vec::new(),
            incarnation_decisions: Vec::new(),
            selection_decisions: Vec::new(),
            done_at: BTreeMap::new(),
            read_pages: Vec::new(),
            messages: BTreeMap::new(),
            last_sequence: 0,
            last_reply_token: 0,
            pending_requests: BTreeMap::new(),
            watches: Vec::new(),
            holds: Vec::new(),
            job_routes: BTreeMap::new(),
            advanced_until: 0,
            next_report_ms: 0,
            report_template: None,
            prints_trace: std::env::var_os("TRACE").is_some(),
        };
        simulation.store.put(StoreKey::Config, ItemValue::Config(config.into()), None);
        for _ in 0..daemons {
            simulation.add_daemon();
        }
        simulation
    }

    /// Starts a daemon on a VM that was not there before.
    pub fn add_daemon(&mut self) {
        self.daemons.push(Daemon {
            core: None,
            incarnation: 0,
            suspended_until: 0,
            processor: Processor::default(),
            capacity: DaemonCapacity::default(),
            link: None,
            link_busy_until: 0,
            disturbed_at: 0,
        });
        self.start_daemon(self.daemons.len() - 1);
    }

    /// Starts a new incarnation of a daemon.
    pub fn start_daemon(&mut self, daemon: usize) {
        self.daemons[daemon].incarnation += 1;
        let settings = self.build_settings(daemon);
        let daemon_state = &mut self.daemons[daemon];
        daemon_state.core = Some(FleetCore::new(settings));
        daemon_state.suspended_until = 0;
        daemon_state.disturbed_at = self.now;
        daemon_state.processor = Processor::default();
        let incarnation = daemon_state.incarnation;
        let jitter = self.rng.random_range(0..TICK_INTERVAL_MS);
        self.schedule(jitter, daemon, incarnation, Message::Tick);
    }

    /// Builds the settings that the present incarnation of a daemon finds when it starts.
    fn build_settings(&self, daemon: usize) -> FleetSettings {
        let daemon_state = &self.daemons[daemon];
        FleetSettings {
            daemon: format!("edge-{daemon}").parse().expect("valid name"),
            incarnation: Incarnation(daemon_state.incarnation),
            data_centre: "dc-1".parse().expect("valid name"),
            capacity: daemon_state.capacity,
            max_run_lease: self.max_run_lease,
            controller_lease: Millis(3_000),
            max_stop: Millis(1_000),
            config_apply: Millis(CONFIG_APPLY_MS),
            remote_factor: self.remote_factor,
        }
    }

    /// Sets the longest lease that minions grant, before the first message is delivered.
    pub fn set_max_run_lease(&mut self, lease: Millis) {
        assert_eq!(self.event_count, 0, "the daemons have read their settings");
        self.max_run_lease = lease;
        for minion in self.minions.values_mut() {
            minion.max_lease_ms = lease.0;
        }
        for daemon in 0..self.daemons.len() {
            let settings = self.build_settings(daemon);
            self.daemons[daemon].core = Some(FleetCore::new(settings));
        }
    }

    pub fn kill_daemon(&mut self, daemon: usize) {
        self.daemons[daemon].core = None;
    }

    /// Stops a daemon gracefully, as a signal does.
    pub fn stop_daemon(&mut self, daemon: usize) {
        let incarnation = self.daemons[daemon].incarnation;
        self.schedule_answer(daemon, incarnation, 0, Event::Stop);
    }

    pub fn is_up(&self, daemon: usize) -> bool {
        self.daemons[daemon].core.is_some()
    }

    /// Returns how many jobs, minions and runs the running daemons have examined.
    pub fn placement_checks(&self) -> u64 {
        let cores = self.daemons.iter().filter_map(|daemon| daemon.core.as_ref());
        cores.map(FleetCore::placement_checks).sum()
    }

    pub fn suspend_daemon(&mut self, daemon: usize, duration: u64) {
        self.daemons[daemon].suspended_until = self.now + duration;
    }

    /// Adds a minion whose clock is up to 2 % slow, and its VM if the cloud does not have the VM.
    pub fn add_minion(&mut self, report: MinionReport) {
        self.report_template.get_or_insert(report.clone());
        let clock_permille = self.rng.random_range(980..=1_000);
        if let Some(vm) = report.vm.clone() {
            let fake = FakeVm::new(report.pool.clone(), Some(report.minion.clone()));
            self.cloud.vms.entry(vm).or_insert(fake);
        }
        let max_lease_ms = self.max_run_lease.0;
        let minion = FakeMinion::new(report.clone(), self.now, clock_permille, max_lease_ms);
        self.minions.insert(report.minion.clone(), minion);
    }

    /// Writes an operator's order for a maintenance wave.
    pub fn order_wave(&mut self, wave: u64, vms: Vec<VmId>, max_down: u32) {
        self.cloud.waves.insert(wave, vms.clone());
        let order = WaveOrder { wave, vms, duration: Millis(20_000), max_down };
        self.store.put(StoreKey::WaveOrder(wave), ItemValue::Wave(order), None);
        self.answer_watches();
    }

    pub fn begin_evacuation(&mut self, data_centre: &DataCentreId) {
        self.checker.evacuated_since.insert(data_centre.clone(), self.now);
        self.store.put(StoreKey::Evacuation(data_centre.clone()), ItemValue::Evacuation, None);
        self.answer_watches();
    }

    pub fn end_evacuation(&mut self, data_centre: &DataCentreId) {
        self.checker.evacuated_since.remove(data_centre);
        self.store.remove(&StoreKey::Evacuation(data_centre.clone()));
        self.answer_watches();
    }

    /// Queues a message for delivery after `delay` milliseconds.
    fn schedule(&mut self, delay: u64, daemon: usize, incarnation: u64, message: Message) {
        self.last_sequence += 1;
        let at = (self.now + delay, self.last_sequence);
        self.messages.insert(at, (daemon, incarnation, message));
    }

    /// Delivers all messages that are due by `until`, and advances the clock to that time.
    pub fn run_until(&mut self, until: u64) {
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > until {
                break;
            }
            let ((at, _), (daemon, incarnation, message)) = entry.remove_entry();
            self.now = self.now.max(at);
            self.advance_environment();
            self.deliver(daemon, incarnation, message);
        }
        self.now = self.now.max(until);
    }

    /// Returns the orders that have not arrived at a minion, each with its arrival time.
    pub fn in_flight_orders(&self, minion: &MinionId) -> Vec<(u64, &MinionCall)> {
        let messages = self.messages.iter();
        let orders = messages.filter_map(|((at, _), (_, _, message))| match message {
            Message::OrderArrives { target, order, .. } if target.minion == *minion => {
                Some((*at, order))
            }
            _ => None,
        });
        orders.collect()
    }

    /// Counts the tasks of a job's first step that are at work.
    pub fn count_serving(&self, job: &JobId) -> u32 {
        let build_task = |index| TaskName { job: job.clone(), occurrence: 0, step: 0, index };
        let is_served =
            |task: &TaskName| self.minions.values().any(|minion| minion.serves(task, self.now));
        let tasks = 0..self.checker.jobs[job].spec.steps[0].tasks;
        tasks.map(build_task).filter(is_served).count() as u32
    }

    fn read_clocks(&self) -> Clock {
        Clock { now: Moment(self.now), wall_ms: WALL_CLOCK_OFFSET_MS + self.now }
    }

    fn record_violation(&mut self, rule: &'static str, description: String) {
        self.checker.violations.push(Violation { at_ms: self.now, rule, description });
    }
}
