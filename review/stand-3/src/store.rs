//! Stand-in of the platform's store (`PROTOCOL.md`, "The platform's metadata store").

use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Reply, Request};
use crate::json::{Json, int, object, text};

const ANSWER_TIME: Duration = Duration::from_millis(4);
const PAGE_ITEMS: usize = 500;
const MAX_ENTRIES: usize = 32;

#[derive(Clone)]
struct Item {
    value: String,
    revision: i64,
    created: i64,
    lease: i64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    revision: i64,
    /// Every change: its revision, its key, and the item unless it was removed.
    history: Vec<(i64, String, Option<Item>)>,
    leases: BTreeMap<i64, (Duration, Instant)>,
    last_lease: i64,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

pub fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let padded = [chunk[0], *chunk.get(1).unwrap_or(&0), *chunk.get(2).unwrap_or(&0)];
        let bits = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for place in 0..4 {
            let letter = LETTERS[(bits >> (18 - 6 * place)) as usize & 63];
            out.push(if place <= chunk.len() { letter as char } else { '=' });
        }
    }
    out
}

fn encode(key: &str, item: &Item) -> Json {
    object(vec![
        ("Key", text(key)),
        ("Value", text(&*item.value)),
        ("Revision", int(item.revision)),
        ("Created", int(item.created)),
        ("Lease", int(item.lease)),
    ])
}

impl State {
    fn put(&mut self, key: &str, value: &str, lease: i64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value: value.to_owned(), revision: self.revision, created, lease };
        self.history.push((self.revision, key.to_owned(), Some(item.clone())));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: i64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
            keys.iter().for_each(|key| self.remove(key));
        }
    }
}

impl Store {
    pub fn start() -> Arc<Self> {
        let store = Arc::new(Self::default());
        store.state.lock().unwrap().revision = 100;
        let ticking = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                let mut state = ticking.state.lock().unwrap();
                let now = Instant::now();
                let ended: Vec<i64> = state
                    .leases
                    .iter()
                    .filter(|(_, (_, end))| *end <= now)
                    .map(|(id, _)| *id)
                    .collect();
                for lease in ended {
                    state.end_lease(lease);
                    ticking.changed.notify_all();
                }
            }
        });
        store
    }

    /// Writes an item as the operator or a minion does.
    pub fn write(&self, key: &str, value: &Json) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.put(key, &base64(value.to_string().as_bytes()), 0);
        self.changed.notify_all();
    }

    pub fn erase(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.remove(key);
        self.changed.notify_all();
    }

    pub fn handle(&self, request: &Request) -> Reply {
        thread::sleep(ANSWER_TIME);
        let empty = |status| Reply::Json(status, object(vec![]));
        match &*request.path {
            "/api/kv-key" => {
                let state = self.state.lock().unwrap();
                let key = request.query("Key").unwrap_or_default();
                match state.items.get(key) {
                    Some(item) => Reply::Json(200, encode(key, item)),
                    None => empty(404),
                }
            }
            "/api/kv-range" => self.range(request),
            "/api/kv-watch" => self.watch(request),
            "/api/kv-txn" => self.commit(request),
            "/api/kv-lease" => {
                let ttl = request
                    .body
                    .as_ref()
                    .and_then(|body| body.int("TtlMs"))
                    .unwrap_or(0)
                    .clamp(1_000, 600_000);
                let mut state = self.state.lock().unwrap();
                state.last_lease += 1;
                let (id, length) = (state.last_lease, Duration::from_millis(ttl as u64));
                state.leases.insert(id, (length, Instant::now() + length));
                Reply::Json(200, object(vec![("Lease", int(id)), ("TtlMs", int(ttl))]))
            }
            path => {
                let mut state = self.state.lock().unwrap();
                let id =
                    |prefix: &str| path.strip_prefix(prefix).and_then(|id| id.parse::<i64>().ok());
                if let Some(id) = id("/api/kv-keep/") {
                    return match state.leases.get_mut(&id) {
                        Some((length, end)) => {
                            *end = Instant::now() + *length;
                            Reply::Json(
                                200,
                                object(vec![("TtlMs", int(length.as_millis() as i64))]),
                            )
                        }
                        None => empty(404),
                    };
                }
                if let Some(id) = id("/api/kv-lease-end/") {
                    state.end_lease(id);
                    self.changed.notify_all();
                    return empty(200);
                }
                empty(404)
            }
        }
    }

    fn range(&self, request: &Request) -> Reply {
        let prefix = request.query("Prefix").unwrap_or_default();
        let after = request.query("After").unwrap_or_default();
        let state = self.state.lock().unwrap();
        let found =
            state.items.iter().filter(|(key, _)| key.starts_with(prefix) && &***key > after);
        let found: Vec<Json> =
            found.take(PAGE_ITEMS + 1).map(|(key, item)| encode(key, item)).collect();
        let more = found.len() > PAGE_ITEMS;
        let items = found.into_iter().take(PAGE_ITEMS).collect();
        let fields = vec![
            ("items", Json::List(items)),
            ("MorePages", Json::Bool(more)),
            ("StoreRevision", int(state.revision)),
        ];
        Reply::Json(200, object(fields))
    }

    fn watch(&self, request: &Request) -> Reply {
        let prefix = request.query("Prefix").unwrap_or_default();
        let number =
            |name| request.query(name).and_then(|value| value.parse::<i64>().ok()).unwrap_or(0);
        let (after, wait) = (number("After"), number("WaitMs").min(30_000) as u64);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.lock().unwrap();
        loop {
            let start = state.history.partition_point(|(revision, _, _)| *revision <= after);
            let events =
                state.history[start..].iter().filter(|(_, key, _)| key.starts_with(prefix));
            let events: Vec<Json> = events
                .map(|(revision, key, item)| match item {
                    Some(item) => encode(key, item),
                    None => object(vec![
                        ("Key", text(&**key)),
                        ("Revision", int(*revision)),
                        ("Removed", Json::Bool(true)),
                    ]),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let fields =
                    vec![("events", Json::List(events)), ("StoreRevision", int(state.revision))];
                return Reply::Json(200, object(fields));
            }
            state = self.changed.wait_timeout(state, until - now).unwrap().0;
        }
    }

    fn commit(&self, request: &Request) -> Reply {
        let empty = |status| Reply::Json(status, object(vec![]));
        let Some(body) = &request.body else { return empty(400) };
        let (expected, puts, remove) =
            (body.list("ExpectedRevision"), body.list("Puts"), body.list("Remove"));
        if expected.len() + puts.len() + remove.len() > MAX_ENTRIES {
            return empty(400);
        }
        let written = puts
            .iter()
            .filter_map(|put| put.text("Key"))
            .chain(remove.iter().filter_map(Json::as_text));
        if written.clone().any(|key| key.starts_with("op/") || key.starts_with("servers/")) {
            return empty(403);
        }
        let mut state = self.state.lock().unwrap();
        let holds = expected.iter().all(|row| {
            let known = row
                .text("Key")
                .and_then(|key| state.items.get(key))
                .map_or(0, |item| item.revision);
            known == row.int("Revision").unwrap_or(0)
        });
        if !holds {
            let keys = expected.iter().filter_map(|row| row.text("Key"));
            let items = keys.filter_map(|key| state.items.get(key).map(|item| encode(key, item)));
            return Reply::Json(412, object(vec![("items", Json::List(items.collect()))]));
        }
        let leases = puts.iter().filter_map(|put| put.int("Lease")).filter(|lease| *lease != 0);
        if leases.clone().any(|lease| !state.leases.contains_key(&lease)) {
            return empty(404);
        }
        state.revision += 1;
        for put in puts {
            let (key, value) =
                (put.text("Key").unwrap_or_default(), put.text("Value").unwrap_or_default());
            state.put(key, value, put.int("Lease").unwrap_or(0));
        }
        for key in remove.iter().filter_map(Json::as_text) {
            state.remove(key);
        }
        self.changed.notify_all();
        Reply::Json(200, object(vec![("Revision", int(state.revision))]))
    }
}
