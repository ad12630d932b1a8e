//! The state machine behind its lock, and what becomes of its effects.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::{SystemTime, UNIX_EPOCH};

use crossbeam::channel::Sender;
use fleet::io::{CloudAnswer, CloudCall, MinionCall, MinionTarget, StoreCall};
use fleet::model::VmReport;
use fleet::{CallId, ClientAnswer, Clock, DecisionLine, Effect, Event, FleetCore, ReplyToken};
use platform::{CloudList, PlatformSettings};
use state::Moment;
use tiny_http::Request;
use transport::CallSender;

use super::metrics::MetricsRegistry;

/// Writes an answer to a request in the form that its caller speaks.
pub type AnswerWriter = fn(Request, &ClientAnswer);

/// A submitter's request that waits for its answer.
struct PendingRequest {
    request: Request,
    respond: AnswerWriter,
    since: Moment,
}

/// Everything that the threads share.
pub struct FleetHost {
    core: Mutex<FleetCore>,
    call_sender: CallSender,
    settings: RwLock<Arc<PlatformSettings>>,
    pending_requests: Mutex<BTreeMap<ReplyToken, PendingRequest>>,
    decision_lines: Sender<DecisionLine>,
    exit_sender: Sender<()>,
    last_token: AtomicU64,
    is_ready: AtomicBool,
    pub meters: MetricsRegistry,
}

impl FleetHost {
    pub fn new(
        settings: PlatformSettings,
        call_sender: CallSender,
        decision_lines: Sender<DecisionLine>,
        exit_sender: Sender<()>,
    ) -> Self {
        Self {
            core: Mutex::new(FleetCore::new(settings.fleet.clone())),
            call_sender,
            settings: RwLock::new(Arc::new(settings)),
            pending_requests: Mutex::new(BTreeMap::new()),
            decision_lines,
            exit_sender,
            last_token: AtomicU64::new(0),
            is_ready: AtomicBool::new(false),
            meters: MetricsRegistry::default(),
        }
    }

    /// Whether submitters may be sent here.
    pub fn is_ready(&self) -> bool {
        self.is_ready.load(Ordering::Relaxed)
    }

    pub fn settings(&self) -> Arc<PlatformSettings> {
        Arc::clone(&self.settings.read().unwrap_or_else(PoisonError::into_inner))
    }

    pub fn replace_settings(&self, settings: PlatformSettings) {
        *self.settings.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(settings);
    }

    /// A name for a request.
    pub fn allocate_token(&self) -> ReplyToken {
        ReplyToken(self.last_token.fetch_add(1, Ordering::Relaxed) + 1)
    }

    /// Keeps a request until its answer comes.
    pub fn register_request(&self, token: ReplyToken, request: Request, respond: AnswerWriter) {
        let pending = PendingRequest { request, respond, since: now() };
        self.pending_requests.lock().unwrap_or_else(PoisonError::into_inner).insert(token, pending);
    }

    /// Answers a request that is kept.
    pub fn answer(&self, token: ReplyToken, answer: &ClientAnswer) {
        let pending =
            self.pending_requests.lock().unwrap_or_else(PoisonError::into_inner).remove(&token);
        if let Some(pending) = pending {
            self.meters.record_answer(answer, now() - pending.since);
            (pending.respond)(pending.request, answer);
        }
    }

    /// Steps the machine by one event and carries its effects out. Calls leave
    /// under the lock, so that orders keep their order; answers leave after it.
    pub fn post(self: &Arc<Self>, event: Event) {
        let mut replies = Vec::new();
        {
            let mut core = self.core.lock().unwrap_or_else(PoisonError::into_inner);
            let clock = Clock { now: now(), wall_ms: wall_ms() };
            for effect in core.step(clock, event) {
                self.apply_effect(effect, &mut replies);
            }
            self.is_ready.store(core.is_ready(), Ordering::Relaxed);
        }
        for (token, answer) in replies {
            self.answer(token, &answer);
        }
    }

    fn apply_effect(
        self: &Arc<Self>,
        effect: Effect,
        replies: &mut Vec<(ReplyToken, ClientAnswer)>,
    ) {
        match effect {
            Effect::Reply(token, answer) => replies.push((token, answer)),
            Effect::Store(call, request) => self.send_store_call(call, request),
            Effect::Minion { call, target, fencing_token: token, order } => {
                self.send_minion_order(call, &target, token, order);
            }
            Effect::Cloud(call, request) => self.send_cloud_call(call, request, None, Vec::new()),
            Effect::Log(line) => {
                self.meters.record_decision(&line);
                if self.decision_lines.try_send(line).is_err() {
                    self.meters.dropped_lines.inc();
                }
            }
            Effect::Stopped => {
                let _ = self.exit_sender.try_send(());
            }
        }
    }

    fn send_store_call(self: &Arc<Self>, call: CallId, request: StoreCall) {
        let host = Arc::clone(self);
        let since = now();
        let encoded_call = platform::store_call(self.settings().store, &request);
        self.call_sender.send(encoded_call, move |answer| {
            let answer = platform::store_answer(&request, answer);
            host.meters.record_store_answer(&request, &answer, now() - since);
            host.post(Event::Store(call, answer));
        });
    }

    fn send_minion_order(
        self: &Arc<Self>,
        call: CallId,
        target: &MinionTarget,
        token: u64,
        order: MinionCall,
    ) {
        let host = Arc::clone(self);
        let since = now();
        let encoded_call = platform::minion_call(target, token, &order);
        self.call_sender.send(encoded_call, move |answer| {
            let answer = platform::minion_answer(&order, answer);
            host.meters.record_order_answer(&order, &answer, now() - since);
            host.post(Event::Minion(call, answer));
        });
    }

    /// Lists are read page by page before the answer counts.
    fn send_cloud_call(
        self: &Arc<Self>,
        call: CallId,
        request: CloudCall,
        page: Option<Box<str>>,
        mut rows: Vec<VmReport>,
    ) {
        let settings = self.settings();
        let Some(address) = settings.cloud else {
            let reason = "the settings name no list of VMs".into();
            return self.post_from_thread(Event::Cloud(call, CloudAnswer::Refused(reason)));
        };
        let host = Arc::clone(self);
        let encoded_call =
            platform::cloud_call(address, &settings.fleet.daemon, &request, page.as_deref());
        self.call_sender.send(encoded_call, move |answer| {
            if request != CloudCall::List {
                return host.post(Event::Cloud(call, platform::cloud_order_answer(answer)));
            }
            match platform::decode_list(answer) {
                CloudList::Page(page_rows, next) => {
                    rows.extend(page_rows);
                    if next.is_some() {
                        return host.send_cloud_call(call, request, next, rows);
                    }
                    host.post(Event::Cloud(call, CloudAnswer::Listed(rows)));
                }
                CloudList::Failed(answer) => host.post(Event::Cloud(call, answer)),
            }
        });
    }

    /// Posts an event that was found under the lock.
    fn post_from_thread(self: &Arc<Self>, event: Event) {
        let host = Arc::clone(self);
        std::thread::spawn(move || host.post(event));
    }
}

/// A clock that goes on while the VM is suspended.
pub fn now() -> Moment {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Moment(time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000)
}

/// Milliseconds since 1970.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
