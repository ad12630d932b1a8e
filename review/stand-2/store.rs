//! Stand-in of the platform's metadata store, as PROTOCOL.md describes it.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Reply, Request};
use crate::json::{Json, base64, from_base64, quote};

/// Time of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
const PAGE_ITEMS: usize = 500;
const WRITES_PER_S: u32 = 400;
const READS_PER_S: u32 = 2_000;

#[derive(Clone)]
struct Item {
    /// Base64 text.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Change {
    revision: u64,
    key: String,
    item: Option<Item>,
}

struct Lease {
    ttl: Duration,
    ends_at: Instant,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    revision: u64,
    history: VecDeque<Change>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    /// Since when the store is down.
    down_since: Option<Instant>,
    /// Number of times that the store went down.
    outages: u64,
    second: u64,
    writes: u32,
    reads: u32,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    began: Instant,
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        r#"{{"Key":{},"Value":"{}","Revision":{},"Created":{},"Lease":{}}}"#,
        quote(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.push(key, Some(item));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.push(key, None);
        }
    }

    fn push(&mut self, key: &str, item: Option<Item>) {
        self.history.push_back(Change { revision: self.revision, key: key.to_owned(), item });
        if self.history.len() > 200_000 {
            self.history.pop_front();
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let bound = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = bound.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
    }

    /// Counts a call against the rates of all daemons together.
    fn admits(&mut self, second: u64, is_write: bool) -> bool {
        if self.second != second {
            (self.second, self.writes, self.reads) = (second, 0, 0);
        }
        let (count, limit) = if is_write {
            (&mut self.writes, WRITES_PER_S)
        } else {
            (&mut self.reads, READS_PER_S)
        };
        *count += 1;
        *count <= limit
    }
}

impl Store {
    pub fn new() -> Arc<Store> {
        let state = State { revision: 1_000, ..State::default() };
        let store = Arc::new(Store {
            state: Mutex::new(state),
            changed: Condvar::new(),
            began: Instant::now(),
        });
        let expiring = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(10));
                expiring.expire_leases();
            }
        });
        store
    }

    fn expire_leases(&self) {
        let mut state = self.state.lock().unwrap();
        if state.down_since.is_some() {
            return;
        }
        let now = Instant::now();
        let ended = state.leases.iter().filter(|(_, lease)| now >= lease.ends_at);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        for lease in &ended {
            state.end_lease(*lease);
        }
        if !ended.is_empty() {
            self.changed.notify_all();
        }
    }

    /// Writes a record as the operator or a minion does.
    pub fn write(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.put(key, base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    /// Reads a record as the operator does; `None` if it is absent or no JSON.
    pub fn read(&self, key: &str) -> Option<Json> {
        let value = self.state.lock().unwrap().items.get(key)?.value.clone();
        Json::parse(&from_base64(&value)?)
    }

    pub fn erase(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.remove(key);
        self.changed.notify_all();
    }

    /// Takes the store down, silently; leases pause.
    pub fn go_down(&self) {
        let mut state = self.state.lock().unwrap();
        state.down_since = Some(Instant::now());
        state.outages += 1;
        self.changed.notify_all();
    }

    pub fn come_back(&self) {
        let mut state = self.state.lock().unwrap();
        if let Some(since) = state.down_since.take() {
            let pause = since.elapsed();
            state.leases.values_mut().for_each(|lease| lease.ends_at += pause);
        }
        self.changed.notify_all();
    }

    pub fn handle(&self, request: &Request) -> Reply {
        let outages = {
            let state = self.state.lock().unwrap();
            if state.down_since.is_some() {
                return Reply::Silent;
            }
            state.outages
        };
        std::thread::sleep(ANSWER_TIME / 2);
        let reply = self.answer(request, outages);
        std::thread::sleep(ANSWER_TIME / 2);
        let state = self.state.lock().unwrap();
        let is_lost = state.down_since.is_some() || state.outages != outages;
        if is_lost { Reply::Silent } else { reply }
    }

    fn answer(&self, request: &Request, outages: u64) -> Reply {
        let path = request.path.as_str();
        let second = self.began.elapsed().as_secs();
        let is_write = matches!(path, "/api/kv-txn" | "/api/kv-lease")
            || path.starts_with("/api/kv-lease-end/");
        let is_renewal = path.starts_with("/api/kv-keep/");
        if !is_renewal && !self.state.lock().unwrap().admits(second, is_write) {
            return Reply::Json(429, "{}".into());
        }
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        if path == "/api/kv-watch" {
            return self.watch(request, outages);
        }
        let mut state = self.state.lock().unwrap();
        if state.down_since.is_some() {
            return Reply::Silent;
        }
        match path {
            "/api/kv-key" => {
                let key = request.query("Key").unwrap_or_default();
                match state.items.get(key) {
                    Some(item) => {
                        let text = item_json(key, item);
                        let text = format!(
                            r#"{},"StoreRevision":{}}}"#,
                            &text[..text.len() - 1],
                            state.revision
                        );
                        Reply::Json(200, text)
                    }
                    None => Reply::Json(404, "{}".into()),
                }
            }
            "/api/kv-range" => range(&state, request),
            "/api/kv-txn" => {
                let reply = commit(&mut state, &body);
                self.changed.notify_all();
                reply
            }
            "/api/kv-lease" => {
                let ttl = body.whole("TtlMs").unwrap_or(1_000).clamp(1_000, 600_000);
                state.last_lease += 1;
                let id = state.last_lease;
                let duration = Duration::from_millis(ttl);
                let lease = Lease { ttl: duration, ends_at: Instant::now() + duration };
                state.leases.insert(id, lease);
                Reply::Json(200, format!(r#"{{"Lease":{id},"TtlMs":{ttl}}}"#))
            }
            _ if is_renewal => {
                let id = path.rsplit('/').next().and_then(|text| text.parse().ok()).unwrap_or(0);
                match state.leases.get_mut(&id) {
                    Some(lease) => {
                        lease.ends_at = Instant::now() + lease.ttl;
                        Reply::Json(200, format!(r#"{{"TtlMs":{}}}"#, lease.ttl.as_millis()))
                    }
                    None => Reply::Json(404, "{}".into()),
                }
            }
            _ if path.starts_with("/api/kv-lease-end/") => {
                let id = path.rsplit('/').next().and_then(|text| text.parse().ok()).unwrap_or(0);
                state.end_lease(id);
                self.changed.notify_all();
                Reply::Json(200, "{}".into())
            }
            _ => Reply::Json(404, "{}".into()),
        }
    }

    fn watch(&self, request: &Request, outages: u64) -> Reply {
        let prefix = request.query("Prefix").unwrap_or_default();
        let number = |name| request.query(name).and_then(|text| text.parse::<u64>().ok());
        let after = number("After").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("WaitMs").unwrap_or(0));
        let mut state = self.state.lock().unwrap();
        loop {
            if state.outages != outages {
                return Reply::Silent;
            }
            let matching = state.history.iter().rev().take_while(|change| change.revision > after);
            let mut events: Vec<String> = matching
                .filter(|change| change.key.starts_with(prefix))
                .map(|change| match &change.item {
                    Some(item) => item_json(&change.key, item),
                    None => format!(
                        r#"{{"Key":{},"Revision":{},"Removed":true}}"#,
                        quote(&change.key),
                        change.revision
                    ),
                })
                .collect();
            events.reverse();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let events = events.join(",");
                let text = format!(r#"{{"events":[{events}],"StoreRevision":{}}}"#, state.revision);
                return Reply::Json(200, text);
            }
            state = self.changed.wait_timeout(state, until - now).unwrap().0;
        }
    }
}

fn range(state: &State, request: &Request) -> Reply {
    let prefix = request.query("Prefix").unwrap_or_default();
    let after = request.query("After").unwrap_or_default();
    let start = if after > prefix { after } else { prefix };
    let items = state.items.range(start.to_owned()..);
    let items = items.take_while(|(key, _)| key.starts_with(prefix));
    let items = items.filter(|(key, _)| after.is_empty() || key.as_str() > after);
    let mut page: Vec<String> =
        items.take(PAGE_ITEMS + 1).map(|(key, item)| item_json(key, item)).collect();
    let has_more = page.len() > PAGE_ITEMS;
    page.truncate(PAGE_ITEMS);
    let text = format!(
        r#"{{"items":[{}],"MorePages":{has_more},"StoreRevision":{}}}"#,
        page.join(","),
        state.revision
    );
    Reply::Json(200, text)
}

fn commit(state: &mut State, body: &Json) -> Reply {
    let (expected, puts) = (body.list("ExpectedRevision"), body.list("Puts"));
    let remove = body.list("Remove");
    if expected.len() + puts.len() + remove.len() > 32 {
        return Reply::Json(400, "{}".into());
    }
    let is_foreign = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
    let written = puts.iter().filter_map(|put| put.text("Key"));
    let mut written = written.chain(remove.iter().filter_map(Json::as_text));
    if written.any(is_foreign) {
        return Reply::Json(403, "{}".into());
    }
    let holds = expected.iter().all(|row| {
        let key = row.text("Key").unwrap_or_default();
        let found = state.items.get(key).map_or(0, |item| item.revision);
        found == row.whole("Revision").unwrap_or(0)
    });
    if !holds {
        let keys = expected.iter().filter_map(|row| row.text("Key"));
        let items = keys.filter_map(|key| state.items.get(key).map(|item| item_json(key, item)));
        let text = format!(r#"{{"items":[{}]}}"#, items.collect::<Vec<_>>().join(","));
        return Reply::Json(412, text);
    }
    let lease_of = |put: &Json| put.whole("Lease").unwrap_or(0);
    if puts.iter().any(|put| lease_of(put) != 0 && !state.leases.contains_key(&lease_of(put))) {
        return Reply::Json(404, "{}".into());
    }
    state.revision += 1;
    for put in puts {
        let value = put.text("Value").unwrap_or_default().to_owned();
        state.put(put.text("Key").unwrap_or_default(), value, lease_of(put));
    }
    for key in remove.iter().filter_map(Json::as_text) {
        state.remove(key);
    }
    Reply::Json(200, format!(r#"{{"Revision":{}}}"#, state.revision))
}
