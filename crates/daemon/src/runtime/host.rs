//! Hosts the state machine behind a lock and applies its effects.
//!
//! [`FleetHost::post`] steps the state machine by one event. Calls to the store, to minions
//! and to the cloud API go to the call thread; each answer is posted as a further event.
//! Submitters' requests wait in a table until the state machine replies.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crossbeam::channel::Sender;
use fleet::io::{CloudAnswer, CloudCall, MinionCall, MinionTarget, StoreCall};
use fleet::model::VmReport;
use fleet::{CallId, ClientAnswer, Clock, DecisionLine, Effect, Event, FleetCore, ReplyToken};
use platform::{PlatformSettings, VmListAnswer};
use state::{Millis, Moment};
use transport::{CallSender, IncomingRequest};

use super::decision_log::shorten_id;
use super::delay::StepTotals;
use super::load_report::LoadReport;
use super::metrics::{MetricsRegistry, event_label};
use super::priority_lock::{LockPriority, PriorityLock};

/// Time without a step of the state machine, which a tick makes every 25 ms, after which the daemon
/// answers no request.
const MAX_STEP_AGE: Millis = Millis(1_500);

/// Writes an answer to a request in the caller's protocol.
pub type AnswerWriter = fn(IncomingRequest, &ClientAnswer);

/// Request of a submitter that waits for its answer.
struct PendingRequest {
    request: IncomingRequest,
    write_answer: AnswerWriter,
    received_at: Moment,
}

/// Channels to the threads that make outgoing calls.
pub struct CallSenders {
    /// Calls that maintain the daemon's lease. Their thread makes no other calls, so that an
    /// answer never waits behind answers to orders.
    pub lease: CallSender,
    /// All other calls.
    pub ordinary: CallSender,
}

/// State machine, settings and pending requests, shared by all threads of the daemon.
pub struct FleetHost {
    core: PriorityLock<FleetCore>,
    call_senders: CallSenders,
    settings: RwLock<Arc<PlatformSettings>>,
    pending_requests: Mutex<BTreeMap<ReplyToken, PendingRequest>>,
    decision_lines: Sender<DecisionLine>,
    exit_sender: Sender<()>,
    last_token: AtomicU64,
    is_ready: AtomicBool,
    /// Time of the last step of the state machine, in milliseconds since the VM's boot.
    last_step_ms: AtomicU64,
    /// Metrics that the internal address serves.
    pub metrics: MetricsRegistry,
    /// Steps since the last report of the tick monitor.
    pub step_totals: StepTotals,
    load_report: LoadReport,
}

impl FleetHost {
    pub fn new(
        settings: PlatformSettings,
        call_senders: CallSenders,
        decision_lines: Sender<DecisionLine>,
        exit_sender: Sender<()>,
        metrics: MetricsRegistry,
    ) -> Self {
        Self {
            core: PriorityLock::new(FleetCore::new(settings.fleet.clone())),
            call_senders,
            settings: RwLock::new(Arc::new(settings)),
            pending_requests: Mutex::new(BTreeMap::new()),
            decision_lines,
            exit_sender,
            last_token: AtomicU64::new(0),
            is_ready: AtomicBool::new(false),
            last_step_ms: AtomicU64::new(0),
            metrics,
            step_totals: StepTotals::default(),
            load_report: LoadReport::default(),
        }
    }

    /// Returns whether the daemon may receive submitters' requests: the state machine is ready, and
    /// has stepped within [`MAX_STEP_AGE`].
    pub fn is_ready(&self) -> bool {
        let last_step = Moment(self.last_step_ms.load(Ordering::Relaxed));
        let is_stepping = read_clock() <= last_step + MAX_STEP_AGE;
        is_stepping && self.is_ready.load(Ordering::Relaxed)
    }

    pub fn settings(&self) -> Arc<PlatformSettings> {
        Arc::clone(&self.settings.read().unwrap_or_else(PoisonError::into_inner))
    }

    pub fn replace_settings(&self, settings: PlatformSettings) {
        *self.settings.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(settings);
    }

    /// Allocates a token that is unique within this incarnation of the daemon.
    pub fn allocate_token(&self) -> ReplyToken {
        ReplyToken(self.last_token.fetch_add(1, Ordering::Relaxed) + 1)
    }

    /// Holds a request until [`Self::send_answer`] is called with the token.
    pub fn register_request(
        &self,
        token: ReplyToken,
        request: IncomingRequest,
        write_answer: AnswerWriter,
    ) {
        let pending = PendingRequest { request, write_answer, received_at: read_clock() };
        self.pending_requests.lock().unwrap_or_else(PoisonError::into_inner).insert(token, pending);
    }

    /// Answers a registered request. A token without a registered request is ignored.
    pub fn send_answer(&self, token: ReplyToken, answer: &ClientAnswer) {
        let pending =
            self.pending_requests.lock().unwrap_or_else(PoisonError::into_inner).remove(&token);
        if let Some(pending) = pending {
            self.metrics.record_answer(answer, read_clock() - pending.received_at);
            (pending.write_answer)(pending.request, answer);
        }
    }

    /// Counts a decision and queues its line for the log thread.
    pub fn log(&self, line: DecisionLine) {
        self.metrics.record_decision(&line);
        if self.decision_lines.try_send(shorten_id(line)).is_err() {
            self.metrics.dropped_lines.inc();
        }
    }

    /// Steps the state machine by one event and applies the effects.
    ///
    /// Calls are sent while the lock is held, so that orders to a minion keep their sequence;
    /// answers to submitters are sent after the lock is released.
    pub fn post(self: &Arc<Self>, event: Event) {
        self.post_with_priority(LockPriority::Ordinary, event);
    }

    /// Like [`Self::post`], before all events that wait there for the state machine.
    pub fn post_urgent(self: &Arc<Self>, event: Event) {
        self.post_with_priority(LockPriority::Urgent, event);
    }

    fn post_with_priority(self: &Arc<Self>, priority: LockPriority, event: Event) {
        let mut replies = Vec::new();
        let posted_at = Instant::now();
        self.core.with(priority, |core| {
            let wait = posted_at.elapsed();
            self.metrics.record_event_wait(wait);
            self.load_report.add_event(wait);
            self.step(core, event, &mut replies);
        });
        for (token, answer) in replies {
            self.send_answer(token, &answer);
        }
    }

    fn step(
        self: &Arc<Self>,
        core: &mut FleetCore,
        event: Event,
        replies: &mut Vec<(ReplyToken, ClientAnswer)>,
    ) {
        let kind = event_label(&event);
        let step_start = Instant::now();
        let clock = Clock { now: read_clock(), wall_ms: read_wall_clock_ms() };
        for effect in core.step(clock, event) {
            self.apply_effect(effect, replies);
        }
        self.is_ready.store(core.is_ready(), Ordering::Relaxed);
        self.last_step_ms.store(clock.now.0, Ordering::Relaxed);
        let step_duration = step_start.elapsed();
        self.metrics.record_step(kind, step_duration);
        self.metrics.record_placement_checks(core.placement_checks());
        self.metrics.record_record_age(core.record_age(clock.now));
        self.step_totals.add_step(step_duration);
    }

    fn apply_effect(
        self: &Arc<Self>,
        effect: Effect,
        replies: &mut Vec<(ReplyToken, ClientAnswer)>,
    ) {
        match effect {
            Effect::Reply(token, answer) => replies.push((token, answer)),
            Effect::Store(call, request) => self.send_store_call(call, request),
            Effect::Minion { call, target, fencing_token, order } => {
                self.send_minion_order(call, &target, fencing_token, order);
            }
            Effect::Cloud(call, request) => self.send_cloud_call(call, request, None, Vec::new()),
            Effect::Log(line) => self.log(line),
            Effect::Measure(measurement) => {
                self.metrics.record_measurement(measurement);
                self.load_report.add_measurement(measurement);
            }
            Effect::Stopped => {
                let _ = self.exit_sender.try_send(());
            }
        }
    }

    fn send_store_call(self: &Arc<Self>, call: CallId, request: StoreCall) {
        let host = Arc::clone(self);
        let sent_at = read_clock();
        let settings = self.settings();
        let link = settings.fleet.capacity.link;
        let encoded_call = platform::encode_store_call(settings.store_address, link, &request);
        let is_lease_call = request.is_lease_call();
        let sender =
            if is_lease_call { &self.call_senders.lease } else { &self.call_senders.ordinary };
        sender.send(encoded_call, move |answer| {
            if let Ok(response) = &answer {
                host.metrics.record_store_answer_length(&request, response.body.len());
            }
            let answer = platform::decode_store_answer(&request, answer);
            host.metrics.record_store_answer(&request, &answer, read_clock() - sent_at);
            let priority =
                if is_lease_call { LockPriority::Urgent } else { LockPriority::Ordinary };
            host.post_with_priority(priority, Event::Store(call, answer));
        });
    }

    fn send_minion_order(
        self: &Arc<Self>,
        call: CallId,
        target: &MinionTarget,
        fencing_token: u64,
        order: MinionCall,
    ) {
        let host = Arc::clone(self);
        let sent_at = read_clock();
        let encoded_call = platform::encode_minion_call(target, fencing_token, &order);
        self.call_senders.ordinary.send(encoded_call, move |answer| {
            let answer = platform::decode_minion_answer(&order, answer);
            host.metrics.record_order_answer(&order, &answer, read_clock() - sent_at);
            host.post(Event::Minion(call, answer));
        });
    }

    /// Sends a call to the cloud API. A list of VMs is read page by page; `page` names the next
    /// page and `rows` holds the VMs read so far.
    fn send_cloud_call(
        self: &Arc<Self>,
        call: CallId,
        request: CloudCall,
        page: Option<Box<str>>,
        mut rows: Vec<VmReport>,
    ) {
        let settings = self.settings();
        let Some(address) = settings.cloud_address else {
            let reason = "the settings name no list of VMs".into();
            return self.post_from_thread(Event::Cloud(call, CloudAnswer::Refused(reason)));
        };
        let host = Arc::clone(self);
        let encoded_call =
            platform::encode_cloud_call(address, &settings.fleet.daemon, &request, page.as_deref());
        self.call_senders.ordinary.send(encoded_call, move |answer| {
            if request != CloudCall::List {
                return host.post(Event::Cloud(call, platform::decode_cloud_order_answer(answer)));
            }
            match platform::decode_vm_list(answer) {
                VmListAnswer::Page(page_rows, next_page) => {
                    rows.extend(page_rows);
                    if next_page.is_some() {
                        return host.send_cloud_call(call, request, next_page, rows);
                    }
                    host.post(Event::Cloud(call, CloudAnswer::Listed(rows)));
                }
                VmListAnswer::Failed(answer) => host.post(Event::Cloud(call, answer)),
            }
        });
    }

    /// Posts an event from a new thread, because the calling thread holds the lock.
    fn post_from_thread(self: &Arc<Self>, event: Event) {
        let host = Arc::clone(self);
        std::thread::spawn(move || host.post(event));
    }
}

/// Returns the time since the VM's boot, including the time while the VM is suspended.
pub fn read_clock() -> Moment {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Moment(time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000)
}

/// Returns the milliseconds since 1970; 0 when the system clock shows an earlier time.
pub fn read_wall_clock_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}
