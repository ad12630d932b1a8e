//! Stand-in of the platform's metadata store, without its limits on the rate of calls.

use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde_json::{Value, json};
use state::{Millis, Revision};

use crate::http_server::{ServedRequest, ServerReply};
use crate::store_items::{LeaseId, StoreItem, StoreItems, StorePut};

/// Time that the store takes for a call.
const CALL_TIME: Duration = Duration::from_millis(4);
/// Interval at which leases are checked.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Items of a page.
const PAGE_ITEMS: usize = 500;
/// Entries of a transaction.
const MAX_ENTRIES: usize = 32;
/// Shortest and longest lease, in milliseconds.
const LEASE_MS: std::ops::RangeInclusive<u64> = 1_000..=600_000;
/// Keys that the system may not write.
const FOREIGN_PREFIXES: [&str; 2] = ["op/", "servers/"];

/// Expected revision of a key; 0 means that the key does not exist.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct ExpectedRevision {
    key: Box<str>,
    #[serde(default)]
    revision: Revision,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
struct StoreTransaction {
    expected_revision: Vec<ExpectedRevision>,
    puts: Vec<StorePut>,
    remove: Vec<Box<str>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct LeaseRequest {
    ttl_ms: Millis,
}

fn is_foreign(key: &str) -> bool {
    FOREIGN_PREFIXES.iter().any(|prefix| key.starts_with(prefix))
}

/// Stand-in of the store.
#[derive(Default)]
pub(crate) struct StandinStore {
    items: Mutex<StoreItems>,
    changed: Condvar,
}

impl StandinStore {
    /// Starts the store's leases.
    pub(crate) fn start() -> Arc<Self> {
        let store = Arc::new(Self::default());
        let expiring = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(LEASE_CHECK_INTERVAL);
                if expiring.lock().end_expired_leases() {
                    expiring.changed.notify_all();
                }
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, StoreItems> {
        self.items.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes an item as the operator or a minion does.
    pub(crate) fn write(&self, key: &str, value: &Value) {
        let value = STANDARD.encode(value.to_string()).into();
        let put = StorePut { key: key.into(), value, lease: LeaseId::default() };
        self.lock().commit(vec![put], &[]);
        self.changed.notify_all();
    }

    /// Answers a call of a daemon.
    pub(crate) fn handle(&self, request: &ServedRequest) -> ServerReply {
        thread::sleep(CALL_TIME);
        match &*request.path {
            "/api/kv-key" => self.get(request),
            "/api/kv-range" => self.range(request),
            "/api/kv-watch" => self.watch(request),
            "/api/kv-txn" => self.commit(request),
            "/api/kv-lease" => self.grant_lease(request),
            path => self.change_lease(path),
        }
    }

    fn get(&self, request: &ServedRequest) -> ServerReply {
        let items = self.lock();
        let Some(item) = items.get(request.query("Key").unwrap_or_default()) else {
            return ServerReply::empty(404);
        };
        let mut answer = json!(item);
        answer["StoreRevision"] = json!(items.revision);
        ServerReply::json(200, &answer)
    }

    fn range(&self, request: &ServedRequest) -> ServerReply {
        let prefix = request.query("Prefix").unwrap_or_default();
        let after = request.query("After").unwrap_or_default();
        let items = self.lock();
        let mut page: Vec<&StoreItem> = items.range(prefix, after).take(PAGE_ITEMS + 1).collect();
        let has_more = page.len() > PAGE_ITEMS;
        page.truncate(PAGE_ITEMS);
        let revision = items.revision;
        let answer = json!({ "items": page, "MorePages": has_more, "StoreRevision": revision });
        ServerReply::json(200, &answer)
    }

    fn watch(&self, request: &ServedRequest) -> ServerReply {
        let prefix = request.query("Prefix").unwrap_or_default();
        let after = Revision(request.query_number("After").unwrap_or(0));
        let wait = Duration::from_millis(request.query_number("WaitMs").unwrap_or(0));
        let until = Instant::now() + wait;
        let mut items = self.lock();
        loop {
            let (events, now) = (items.events(prefix, after), Instant::now());
            if !events.is_empty() || now >= until {
                let answer = json!({ "events": events, "StoreRevision": items.revision });
                return ServerReply::json(200, &answer);
            }
            let waiting = self.changed.wait_timeout(items, until - now);
            (items, _) = waiting.unwrap_or_else(PoisonError::into_inner);
        }
    }

    fn commit(&self, request: &ServedRequest) -> ServerReply {
        let Some(transaction) = request.decode_body::<StoreTransaction>() else {
            return ServerReply::empty(400);
        };
        let StoreTransaction { expected_revision: expected, puts, remove } = transaction;
        if expected.len() + puts.len() + remove.len() > MAX_ENTRIES {
            return ServerReply::empty(400);
        }
        let mut written = puts.iter().map(|put| &*put.key).chain(remove.iter().map(|key| &**key));
        if written.any(is_foreign) {
            return ServerReply::empty(403);
        }
        let mut items = self.lock();
        let revision_of = |key: &str| items.get(key).map_or(Revision(0), |item| item.revision);
        if !expected.iter().all(|row| revision_of(&row.key) == row.revision) {
            let found: Vec<&StoreItem> =
                expected.iter().filter_map(|row| items.get(&row.key)).collect();
            return ServerReply::json(412, &json!({ "items": found }));
        }
        if !puts.iter().all(|put| items.has_lease(put.lease)) {
            return ServerReply::empty(404);
        }
        items.commit(puts, &remove);
        self.changed.notify_all();
        ServerReply::json(200, &json!({ "Revision": items.revision }))
    }

    fn grant_lease(&self, request: &ServedRequest) -> ServerReply {
        let Some(lease) = request.decode_body::<LeaseRequest>() else {
            return ServerReply::empty(400);
        };
        let ttl = lease.ttl_ms.0.clamp(*LEASE_MS.start(), *LEASE_MS.end());
        let id = self.lock().grant_lease(Duration::from_millis(ttl));
        ServerReply::json(200, &json!({ "Lease": id, "TtlMs": ttl }))
    }

    /// Renews or ends the lease that the path names.
    fn change_lease(&self, path: &str) -> ServerReply {
        let parse = |text: &str| text.parse().map(LeaseId).unwrap_or_default();
        if let Some(id) = path.strip_prefix("/api/kv-keep/") {
            return match self.lock().renew_lease(parse(id)) {
                Some(ttl) => ServerReply::json(200, &json!({ "TtlMs": ttl.as_millis() as u64 })),
                None => ServerReply::empty(404),
            };
        }
        let Some(id) = path.strip_prefix("/api/kv-lease-end/") else {
            return ServerReply::empty(404);
        };
        self.lock().end_lease(parse(id));
        self.changed.notify_all();
        ServerReply::empty(200)
    }
}
