//! Stand-in of the platform's store: keys with revisions, watches, leases and commits.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Reply, Request};
use crate::json::{self, Json, object};

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Maximum number of items of a page.
const PAGE_ITEMS: usize = 500;
/// Maximum number of rows of a commit.
const COMMIT_ROWS: usize = 32;

#[derive(Debug, Clone)]
struct Item {
    /// Value in base64.
    value: String,
    revision: i64,
    created: i64,
    lease: i64,
}

struct Event {
    revision: i64,
    key: String,
    /// `None` if the key was removed.
    item: Option<Item>,
}

struct Lease {
    ttl: Duration,
    ends_at: Instant,
}

struct State {
    revision: i64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    leases: BTreeMap<i64, Lease>,
    last_lease: i64,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    pub address: SocketAddr,
}

impl Store {
    /// Starts the store on a free port of the loopback address.
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let state = State {
            revision: 100,
            items: BTreeMap::new(),
            events: Vec::new(),
            leases: BTreeMap::new(),
            last_lease: 77_000,
        };
        let store = Arc::new(Self { state: Mutex::new(state), changed: Condvar::new(), address });
        let served = Arc::clone(&store);
        http::serve(listener, || true, move |request| served.handle(&request));
        let expiring = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                expiring.end_leases();
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with the store")
    }

    /// Writes a record of the operator or of a worker.
    pub fn put(&self, key: &str, value: &Json) {
        let mut state = self.lock();
        state.revision += 1;
        let encoded = encode_base64(value.to_string().as_bytes());
        state.write(key, encoded, 0);
        self.changed.notify_all();
    }

    /// Removes a record, if it exists.
    pub fn remove(&self, key: &str) {
        let mut state = self.lock();
        if state.items.contains_key(key) {
            state.revision += 1;
            state.erase(key);
            self.changed.notify_all();
        }
    }

    fn end_leases(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let ended: Vec<i64> = state
            .leases
            .iter()
            .filter(|(_, lease)| lease.ends_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            state.end_lease(id);
            self.changed.notify_all();
        }
    }

    fn handle(&self, request: &Request) -> Reply {
        thread::sleep(ANSWER_TIME);
        let body = json::parse(&request.body).unwrap_or(Json::Null);
        let (status, answer) = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/api/kv-key") => self.read_key(request.query("Key").unwrap_or_default()),
            ("GET", "/api/kv-range") => self.read_range(request),
            ("GET", "/api/kv-watch") => self.watch(request),
            ("POST", "/api/kv-txn") => self.commit(&body),
            ("POST", "/api/kv-lease") => self.grant_lease(&body),
            ("POST", path) => match path.strip_prefix("/api/kv-keep/") {
                Some(id) => self.keep_lease(id.parse().unwrap_or(0)),
                None => (404, Json::Null),
            },
            ("DELETE", path) => match path.strip_prefix("/api/kv-lease-end/") {
                Some(id) => {
                    let mut state = self.lock();
                    state.end_lease(id.parse().unwrap_or(0));
                    self.changed.notify_all();
                    (200, object(&[]))
                }
                None => (404, Json::Null),
            },
            _ => (404, Json::Null),
        };
        Reply::Answer(status, answer)
    }

    fn read_key(&self, key: &str) -> (u16, Json) {
        let state = self.lock();
        match state.items.get(key) {
            Some(item) => {
                let Json::Object(mut row) = item_row(key, item) else { unreachable!() };
                row.insert("StoreRevision".into(), state.revision.into());
                (200, Json::Object(row))
            }
            None => (404, Json::Null),
        }
    }

    fn read_range(&self, request: &Request) -> (u16, Json) {
        let prefix = request.query("Prefix").unwrap_or_default();
        let after = request.query("After").unwrap_or_default();
        let state = self.lock();
        let matching =
            state.items.iter().filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let mut rows: Vec<Json> =
            matching.take(PAGE_ITEMS + 1).map(|(key, item)| item_row(key, item)).collect();
        let has_more = rows.len() > PAGE_ITEMS;
        rows.truncate(PAGE_ITEMS);
        let answer = object(&[
            ("items", rows.into()),
            ("MorePages", has_more.into()),
            ("StoreRevision", state.revision.into()),
        ]);
        (200, answer)
    }

    fn watch(&self, request: &Request) -> (u16, Json) {
        let prefix = request.query("Prefix").unwrap_or_default();
        let number = |name: &str| request.query(name).and_then(|text| text.parse::<i64>().ok());
        let after = number("After").unwrap_or(0);
        let wait_ms = number("WaitMs").unwrap_or(0).clamp(0, 30_000) as u64;
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.lock();
        loop {
            let first = state.events.partition_point(|event| event.revision <= after);
            let matching =
                state.events[first..].iter().filter(|event| event.key.starts_with(prefix));
            let rows: Vec<Json> = matching.map(event_row).collect();
            let now = Instant::now();
            if !rows.is_empty() || now >= deadline {
                let revision = state.revision.into();
                return (200, object(&[("events", rows.into()), ("StoreRevision", revision)]));
            }
            state = self.changed.wait_timeout(state, deadline - now).expect("no panic").0;
        }
    }

    fn commit(&self, body: &Json) -> (u16, Json) {
        let mut state = self.lock();
        let text = |row: &Json, name: &str| row.get(name).as_text().unwrap_or_default().to_owned();
        let (expected, puts, removed) = (
            body.get("ExpectedRevision").as_list(),
            body.get("Puts").as_list(),
            body.get("Remove").as_list(),
        );
        if expected.len() + puts.len() + removed.len() > COMMIT_ROWS {
            return (400, Json::Null);
        }
        let written = puts.iter().map(|row| text(row, "Key"));
        let written =
            written.chain(removed.iter().filter_map(|key| key.as_text().map(str::to_owned)));
        if written.into_iter().any(|key| key.starts_with("op/") || key.starts_with("servers/")) {
            return (403, Json::Null);
        }
        let revision_of =
            |state: &State, key: &str| state.items.get(key).map_or(0, |item| item.revision);
        let holds = expected.iter().all(|row| {
            revision_of(&state, &text(row, "Key")) == row.get("Revision").as_int().unwrap_or(0)
        });
        if !holds {
            let to_row = |row: &Json| {
                let key = text(row, "Key");
                match state.items.get(&key) {
                    Some(item) => item_row(&key, item),
                    None => object(&[("Key", key.as_str().into()), ("Revision", 0.into())]),
                }
            };
            let items: Vec<Json> = expected.iter().map(to_row).collect();
            return (412, object(&[("items", items.into())]));
        }
        let lease_of = |row: &Json| row.get("Lease").as_int().unwrap_or(0);
        if puts.iter().any(|row| lease_of(row) != 0 && !state.leases.contains_key(&lease_of(row))) {
            return (404, Json::Null);
        }
        state.revision += 1;
        for row in puts {
            let (key, value) = (text(row, "Key"), text(row, "Value"));
            state.write(&key, value, lease_of(row));
        }
        for key in removed.iter().filter_map(Json::as_text) {
            state.erase(key);
        }
        self.changed.notify_all();
        (200, object(&[("Revision", state.revision.into())]))
    }

    fn grant_lease(&self, body: &Json) -> (u16, Json) {
        let mut state = self.lock();
        let ttl_ms = body.get("TtlMs").as_int().unwrap_or(1_000).clamp(1_000, 600_000);
        let ttl = Duration::from_millis(ttl_ms as u64);
        state.last_lease += 1;
        let id = state.last_lease;
        state.leases.insert(id, Lease { ttl, ends_at: Instant::now() + ttl });
        (200, object(&[("Lease", id.into()), ("TtlMs", ttl_ms.into())]))
    }

    fn keep_lease(&self, id: i64) -> (u16, Json) {
        let mut state = self.lock();
        match state.leases.get_mut(&id) {
            Some(lease) => {
                lease.ends_at = Instant::now() + lease.ttl;
                (200, object(&[("TtlMs", (lease.ttl.as_millis() as i64).into())]))
            }
            None => (404, Json::Null),
        }
    }
}

impl State {
    /// Writes an item at the current revision.
    fn write(&mut self, key: &str, value: String, lease: i64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push(Event { revision, key: key.to_owned(), item: Some(item) });
    }

    /// Removes an item at the current revision.
    fn erase(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.events.push(Event { revision: self.revision, key: key.to_owned(), item: None });
        }
    }

    fn end_lease(&mut self, id: i64) {
        if self.leases.remove(&id).is_none() {
            return;
        }
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.erase(&key);
        }
    }
}

fn item_row(key: &str, item: &Item) -> Json {
    object(&[
        ("Key", key.into()),
        ("Value", item.value.as_str().into()),
        ("Revision", item.revision.into()),
        ("Created", item.created.into()),
        ("Lease", item.lease.into()),
    ])
}

fn event_row(event: &Event) -> Json {
    match &event.item {
        Some(item) => item_row(&event.key, item),
        None => object(&[
            ("Key", event.key.as_str().into()),
            ("Revision", event.revision.into()),
            ("Removed", true.into()),
        ]),
    }
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for index in 0..4 {
            let code = (bits >> (18 - 6 * index)) as usize & 63;
            text.push(if index <= chunk.len() { char::from(BASE64[code]) } else { '=' });
        }
    }
    text
}
