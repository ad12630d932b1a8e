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

use super::meters::MetricsRegistry;

/// Writes an answer to a request in the form that its caller speaks.
pub type Respond = fn(Request, &ClientAnswer);

/// A submitter's request that waits for its answer.
struct OpenClient {
    request: Request,
    respond: Respond,
    since: Moment,
}

/// Everything that the threads share.
pub struct FleetHost {
    core: Mutex<FleetCore>,
    ring: CallSender,
    settings: RwLock<Arc<PlatformSettings>>,
    clients: Mutex<BTreeMap<ReplyToken, OpenClient>>,
    lines: Sender<DecisionLine>,
    ended: Sender<()>,
    last_token: AtomicU64,
    is_ready: AtomicBool,
    pub meters: MetricsRegistry,
}

impl FleetHost {
    pub fn new(
        settings: PlatformSettings,
        ring: CallSender,
        lines: Sender<DecisionLine>,
        ended: Sender<()>,
    ) -> Self {
        Self {
            core: Mutex::new(FleetCore::new(settings.fleet.clone())),
            ring,
            settings: RwLock::new(Arc::new(settings)),
            clients: Mutex::new(BTreeMap::new()),
            lines,
            ended,
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
    pub fn next_token(&self) -> ReplyToken {
        ReplyToken(self.last_token.fetch_add(1, Ordering::Relaxed) + 1)
    }

    /// Keeps a request until its answer comes.
    pub fn admit(&self, token: ReplyToken, request: Request, respond: Respond) {
        let client = OpenClient { request, respond, since: now() };
        self.clients.lock().unwrap_or_else(PoisonError::into_inner).insert(token, client);
    }

    /// Answers a request that is kept.
    pub fn answer(&self, token: ReplyToken, answer: &ClientAnswer) {
        let client = self.clients.lock().unwrap_or_else(PoisonError::into_inner).remove(&token);
        if let Some(client) = client {
            self.meters.answered(answer, now() - client.since);
            (client.respond)(client.request, answer);
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
                self.carry_out(effect, &mut replies);
            }
            self.is_ready.store(core.is_ready(), Ordering::Relaxed);
        }
        for (token, answer) in replies {
            self.answer(token, &answer);
        }
    }

    fn carry_out(self: &Arc<Self>, effect: Effect, replies: &mut Vec<(ReplyToken, ClientAnswer)>) {
        match effect {
            Effect::Reply(token, answer) => replies.push((token, answer)),
            Effect::Store(call, request) => self.call_store(call, request),
            Effect::Minion { call, target, fencing_token: token, order } => {
                self.order_minion(call, &target, token, order);
            }
            Effect::Cloud(call, request) => self.call_cloud(call, request, None, Vec::new()),
            Effect::Log(line) => {
                self.meters.decided(&line);
                if self.lines.try_send(line).is_err() {
                    self.meters.dropped_lines.inc();
                }
            }
            Effect::Stopped => {
                let _ = self.ended.try_send(());
            }
        }
    }

    fn call_store(self: &Arc<Self>, call: CallId, request: StoreCall) {
        let host = Arc::clone(self);
        let since = now();
        let wire = platform::store_call(self.settings().store, &request);
        self.ring.send(wire, move |answer| {
            let answer = platform::store_answer(&request, answer);
            host.meters.store_answered(&request, &answer, now() - since);
            host.post(Event::Store(call, answer));
        });
    }

    fn order_minion(
        self: &Arc<Self>,
        call: CallId,
        target: &MinionTarget,
        token: u64,
        order: MinionCall,
    ) {
        let host = Arc::clone(self);
        let since = now();
        let wire = platform::minion_call(target, token, &order);
        self.ring.send(wire, move |answer| {
            let answer = platform::minion_answer(&order, answer);
            host.meters.order_answered(&order, &answer, now() - since);
            host.post(Event::Minion(call, answer));
        });
    }

    /// Lists are read page by page before the answer counts.
    fn call_cloud(
        self: &Arc<Self>,
        call: CallId,
        request: CloudCall,
        page: Option<Box<str>>,
        mut rows: Vec<VmReport>,
    ) {
        let settings = self.settings();
        let Some(address) = settings.cloud else {
            let reason = "the settings name no list of VMs".into();
            return self.answer_later(Event::Cloud(call, CloudAnswer::Refused(reason)));
        };
        let host = Arc::clone(self);
        let wire = platform::cloud_call(address, &settings.fleet.daemon, &request, page.as_deref());
        self.ring.send(wire, move |answer| {
            if request != CloudCall::List {
                return host.post(Event::Cloud(call, platform::cloud_order_answer(answer)));
            }
            match platform::decode_list(answer) {
                CloudList::Page(more, next) => {
                    rows.extend(more);
                    if next.is_some() {
                        return host.call_cloud(call, request, next, rows);
                    }
                    host.post(Event::Cloud(call, CloudAnswer::Listed(rows)));
                }
                CloudList::Failed(answer) => host.post(Event::Cloud(call, answer)),
            }
        });
    }

    /// Posts an event that was found under the lock.
    fn answer_later(self: &Arc<Self>, event: Event) {
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
