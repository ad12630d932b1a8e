//! Items, leases and history of the stand-in store.

use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use state::Revision;

/// Changes that the store remembers for watches.
const MAX_HISTORY: usize = 200_000;

/// Number of a lease; 0 means that an item has none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct LeaseId(pub(crate) u64);

/// Item as the store answers it.
#[derive(Debug, Clone, Serialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct StoreItem {
    pub(crate) key: Box<str>,
    /// Base64 text, which the store does not decode.
    pub(crate) value: Box<str>,
    pub(crate) revision: Revision,
    pub(crate) created: Revision,
    pub(crate) lease: LeaseId,
}

/// Change of an item, as a watch answers it.
#[derive(Debug, Clone, Serialize)]
#[serde(untagged)]
pub(crate) enum StoreEvent {
    Written(StoreItem),
    #[serde(rename_all = "PascalCase")]
    Removed {
        key: Box<str>,
        revision: Revision,
        removed: bool,
    },
}

impl StoreEvent {
    fn key(&self) -> &str {
        match self {
            Self::Written(item) => &item.key,
            Self::Removed { key, .. } => key,
        }
    }

    fn revision(&self) -> Revision {
        match self {
            Self::Written(item) => item.revision,
            Self::Removed { revision, .. } => *revision,
        }
    }
}

/// Value that a transaction writes.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct StorePut {
    pub(crate) key: Box<str>,
    #[serde(default)]
    pub(crate) value: Box<str>,
    #[serde(default)]
    pub(crate) lease: LeaseId,
}

struct StoreLease {
    ttl: Duration,
    ends_at: Instant,
}

/// Contents of the store.
pub(crate) struct StoreItems {
    items: BTreeMap<Box<str>, StoreItem>,
    pub(crate) revision: Revision,
    history: VecDeque<StoreEvent>,
    leases: BTreeMap<LeaseId, StoreLease>,
    last_lease: LeaseId,
}

impl Default for StoreItems {
    fn default() -> Self {
        Self {
            items: BTreeMap::new(),
            revision: Revision(1),
            history: VecDeque::new(),
            leases: BTreeMap::new(),
            last_lease: LeaseId::default(),
        }
    }
}

impl StoreItems {
    /// Returns the item with the given key.
    pub(crate) fn get(&self, key: &str) -> Option<&StoreItem> {
        self.items.get(key)
    }

    /// Returns the items whose keys begin with `prefix` and lie after `after`.
    pub(crate) fn range<'a>(
        &'a self,
        prefix: &'a str,
        after: &'a str,
    ) -> impl Iterator<Item = &'a StoreItem> {
        let start = (Bound::Included(prefix.max(after)), Bound::Unbounded);
        let items = self.items.range::<str, _>(start);
        let items = items.take_while(move |(key, _)| key.starts_with(prefix));
        items.filter(move |(key, _)| after.is_empty() || &***key > after).map(|(_, item)| item)
    }

    /// Returns the changes after a revision of the keys that begin with `prefix`.
    pub(crate) fn events(&self, prefix: &str, after: Revision) -> Vec<StoreEvent> {
        let start = self.history.partition_point(|event| event.revision() <= after);
        let events = self.history.range(start..);
        events.filter(|event| event.key().starts_with(prefix)).cloned().collect()
    }

    /// Writes and removes items under one new revision.
    pub(crate) fn commit(&mut self, puts: Vec<StorePut>, removed: &[Box<str>]) {
        self.revision.0 += 1;
        for put in puts {
            self.put(put);
        }
        for key in removed {
            self.remove(key);
        }
    }

    fn put(&mut self, put: StorePut) {
        let created = self.items.get(&put.key).map_or(self.revision, |item| item.created);
        let StorePut { key, value, lease } = put;
        let item = StoreItem { key: key.clone(), value, revision: self.revision, created, lease };
        self.push(StoreEvent::Written(item.clone()));
        self.items.insert(key, item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let revision = self.revision;
            self.push(StoreEvent::Removed { key: key.into(), revision, removed: true });
        }
    }

    fn push(&mut self, event: StoreEvent) {
        self.history.push_back(event);
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
    }

    /// Returns whether an item may be bound to the lease.
    pub(crate) fn has_lease(&self, id: LeaseId) -> bool {
        id == LeaseId::default() || self.leases.contains_key(&id)
    }

    /// Grants a lease.
    pub(crate) fn grant_lease(&mut self, ttl: Duration) -> LeaseId {
        self.last_lease.0 += 1;
        let ends_at = Instant::now() + ttl;
        self.leases.insert(self.last_lease, StoreLease { ttl, ends_at });
        self.last_lease
    }

    /// Renews a lease and returns its duration; `None` if it has ended.
    pub(crate) fn renew_lease(&mut self, id: LeaseId) -> Option<Duration> {
        let lease = self.leases.get_mut(&id)?;
        lease.ends_at = Instant::now() + lease.ttl;
        Some(lease.ttl)
    }

    /// Ends a lease and removes its items.
    pub(crate) fn end_lease(&mut self, id: LeaseId) {
        self.leases.remove(&id);
        let bound = self.items.values().filter(|item| item.lease == id);
        let keys: Vec<Box<str>> = bound.map(|item| item.key.clone()).collect();
        if !keys.is_empty() {
            self.commit(Vec::new(), &keys);
        }
    }

    /// Ends the leases whose time is over, and returns whether there was one.
    pub(crate) fn end_expired_leases(&mut self) -> bool {
        let now = Instant::now();
        let expired = self.leases.iter().filter(|(_, lease)| lease.ends_at <= now);
        let expired: Vec<LeaseId> = expired.map(|(id, _)| *id).collect();
        for id in &expired {
            self.end_lease(*id);
        }
        !expired.is_empty()
    }
}
