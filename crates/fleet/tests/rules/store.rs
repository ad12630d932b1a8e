//! Store in memory, with revisions, leases, watches, and commits with conditions.
//!
//! The caller passes the virtual time, and polls watches until they have an answer.

use std::collections::BTreeMap;

use fleet::io::{
    ItemValue, LeaseId, PutValue, StoreAnswer, StoreCall, StoreCommit, StoreEvent, StoreItem,
};
use fleet::model::WavePhase;
use fleet::{KeyScope, OwnKey, ShardKey, StoreKey};
use state::{Millis, Revision};

/// Maximum number of items on a page; small, so that the runs need several pages.
const MAX_PAGE_ITEMS: usize = 40;
/// Maximum number of items on a page of the platform's store.
const FULL_PAGE_ITEMS: usize = 500;
/// Size of the values, in bytes, at which a page of the platform's store ends.
const FULL_PAGE_BYTES: usize = 1_000_000;
/// Approximate size of the fields of an encoded item besides its value, in bytes.
const ITEM_OVERHEAD_BYTES: usize = 120;
/// Approximate encoded size of a value that another program wrote, in bytes.
const FOREIGN_VALUE_BYTES: usize = 500;

/// Fake of the store that the daemons share.
#[derive(Debug, Default)]
pub struct MemoryStore {
    /// Items with the lease that each is bound to.
    items: BTreeMap<StoreKey, (StoreItem, Option<LeaseId>)>,
    /// Events since the last compaction, each with the revision of its commit.
    history: Vec<(Revision, StoreEvent)>,
    revision: u64,
    /// Revision of the last compaction; a watch from an earlier revision is answered as compacted.
    compacted_revision: u64,
    /// End and duration of each lease, in milliseconds of virtual time.
    leases: BTreeMap<LeaseId, (u64, u64)>,
    /// Whether pages are as large as those of the platform's store.
    pub has_full_pages: bool,
    /// Wave statuses that the daemons wrote for the operator, in order.
    pub wave_statuses: Vec<(u64, WavePhase)>,
    /// Number of ownership records that were created for each shard.
    pub ownership_counts: BTreeMap<ShardKey, u32>,
}

fn is_in_scope(scope: &KeyScope, key: &StoreKey) -> bool {
    match (scope, key) {
        (KeyScope::Minions, StoreKey::Minion(_)) => true,
        (KeyScope::Jobs(pool), StoreKey::Own(OwnKey::Job(item_pool, _)))
        | (KeyScope::Progress(pool), StoreKey::Own(OwnKey::Progress(item_pool, _))) => {
            pool == item_pool
        }
        (KeyScope::Shared, key) => matches!(
            key,
            StoreKey::Config
                | StoreKey::Evacuation(_)
                | StoreKey::WaveOrder(_)
                | StoreKey::Own(
                    OwnKey::Owner(_)
                        | OwnKey::Outcome(..)
                        | OwnKey::Parts
                        | OwnKey::Need(_)
                        | OwnKey::Wave(_)
                )
        ),
        _ => false,
    }
}

fn value_bytes(item: &StoreItem) -> usize {
    match &item.value {
        ItemValue::Own(bytes) => bytes.len(),
        _ => FOREIGN_VALUE_BYTES,
    }
}

/// Returns the approximate encoded size of an answer, in bytes; values are base64 text.
pub fn encoded_bytes(answer: &StoreAnswer) -> usize {
    let item_bytes = |item: &StoreItem| ITEM_OVERHEAD_BYTES + value_bytes(item).div_ceil(3) * 4;
    match answer {
        StoreAnswer::Items { items, .. } | StoreAnswer::Conflict(items) => {
            items.iter().map(item_bytes).sum()
        }
        StoreAnswer::Events { events, .. } => {
            let event_bytes = |event: &StoreEvent| match event {
                StoreEvent::Put(item) => item_bytes(item),
                StoreEvent::Removed(_) => ITEM_OVERHEAD_BYTES,
            };
            events.iter().map(event_bytes).sum()
        }
        _ => ITEM_OVERHEAD_BYTES,
    }
}

/// Returns the number of items on the first page of the platform's store.
fn count_page_items(items: &[StoreItem]) -> usize {
    let mut page_bytes = 0;
    let is_on_page = |item: &&StoreItem| {
        let has_room = page_bytes < FULL_PAGE_BYTES;
        page_bytes += value_bytes(item);
        has_room
    };
    items.iter().take(FULL_PAGE_ITEMS).take_while(is_on_page).count()
}

impl MemoryStore {
    /// Writes an item under a new revision, bound to a lease if one is given.
    pub fn put(&mut self, key: StoreKey, value: ItemValue, lease: Option<LeaseId>) {
        self.revision += 1;
        if let StoreKey::Own(OwnKey::Owner(shard)) = &key {
            *self.ownership_counts.entry(shard.clone()).or_default() += 1;
        }
        let created =
            self.items.get(&key).map_or(Revision(self.revision), |existing| existing.0.created);
        let item =
            StoreItem { key: key.clone(), value, revision: Revision(self.revision), created };
        self.history.push((item.revision, StoreEvent::Put(item.clone())));
        self.items.insert(key, (item, lease));
    }

    pub fn remove(&mut self, key: &StoreKey) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let event = StoreEvent::Removed(key.clone());
            self.history.push((Revision(self.revision), event));
        }
    }

    pub fn get(&self, key: &StoreKey) -> Option<&StoreItem> {
        self.items.get(key).map(|(item, _)| item)
    }

    /// Virtual time, in milliseconds, at which the lease of a shard's ownership record was
    /// renewed last.
    pub fn lease_renewed_at(&self, shard: &ShardKey) -> u64 {
        let (_, lease) = &self.items[&StoreKey::Own(OwnKey::Owner(shard.clone()))];
        let (until, ttl) = self.leases[&lease.expect("ownership records have leases")];
        until - ttl
    }

    /// Whether an ownership record exists that was created under this fencing token.
    pub fn has_owner(&self, fencing_token: u64) -> bool {
        self.items.iter().any(|(key, (item, _))| {
            matches!(key, StoreKey::Own(OwnKey::Owner(_))) && item.created.0 == fencing_token
        })
    }

    /// Counts the items that belong to a job: specification, progress and outcome.
    pub fn count_job_records(&self) -> usize {
        let is_of_job = |key: &&StoreKey| {
            matches!(
                key,
                StoreKey::Own(OwnKey::Job(..) | OwnKey::Progress(..) | OwnKey::Outcome(..))
            )
        };
        self.items.keys().filter(is_of_job).count()
    }

    /// Drops the history, so that watches from an earlier revision are answered as compacted.
    pub fn compact(&mut self) {
        self.compacted_revision = self.revision;
        self.history.clear();
    }

    /// Ends the leases that have expired by `now`.
    pub fn expire_leases(&mut self, now: u64) {
        let ended = self.leases.iter().filter(|(_, (until, _))| *until <= now);
        let ended: Vec<LeaseId> = ended.map(|(lease, _)| *lease).collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    /// Extends all leases by `duration` milliseconds.
    pub fn extend_leases(&mut self, duration: u64) {
        for (until, _) in self.leases.values_mut() {
            *until += duration;
        }
    }

    /// Ends a lease and removes the items that are bound to it.
    fn end_lease(&mut self, lease: LeaseId) {
        self.leases.remove(&lease);
        let keys = self.items.iter().filter(|(_, (_, item_lease))| *item_lease == Some(lease));
        let keys: Vec<StoreKey> = keys.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }

    /// Carries out a call and returns the answer; `None` for a watch without an event so far.
    pub fn execute(&mut self, now: u64, call: &StoreCall) -> Option<StoreAnswer> {
        Some(match call {
            StoreCall::Read(key) => match self.get(key) {
                Some(item) => StoreAnswer::Items {
                    items: vec![item.clone()],
                    more: false,
                    at: Revision(self.revision),
                },
                None => StoreAnswer::Absent,
            },
            StoreCall::Range { scope, after } => self.range(scope, after.as_ref()),
            StoreCall::Watch { scope, after, .. } => return self.watch(scope, *after),
            StoreCall::Commit(commit) => self.commit(commit),
            StoreCall::Lease(ttl) => {
                self.revision += 1;
                let lease = LeaseId(self.revision);
                self.leases.insert(lease, (now + ttl.0, ttl.0));
                StoreAnswer::Leased(lease, *ttl)
            }
            StoreCall::Renew(lease) => match self.leases.get_mut(lease) {
                Some((until, ttl)) => {
                    *until = now + *ttl;
                    StoreAnswer::Leased(*lease, Millis(*ttl))
                }
                None => StoreAnswer::Absent,
            },
            StoreCall::EndLease(lease) => {
                self.end_lease(*lease);
                StoreAnswer::Absent
            }
        })
    }

    /// Returns the first page of the items in `scope` after a key.
    fn range(&self, scope: &KeyScope, after: Option<&StoreKey>) -> StoreAnswer {
        let items = self.items.iter().filter(|(key, _)| is_in_scope(scope, key));
        let items = items.filter(|(key, _)| after.is_none_or(|after| *key > after));
        let mut items: Vec<StoreItem> = items.map(|(_, (item, _))| item.clone()).collect();
        let page_items =
            if self.has_full_pages { count_page_items(&items) } else { MAX_PAGE_ITEMS };
        let more = items.len() > page_items;
        items.truncate(page_items);
        StoreAnswer::Items { items, more, at: Revision(self.revision) }
    }

    /// Returns the events in `scope` after a revision; `None` if there are none.
    fn watch(&self, scope: &KeyScope, after: Revision) -> Option<StoreAnswer> {
        if after.0 < self.compacted_revision {
            return Some(StoreAnswer::Compacted);
        }
        let is_in_watched_scope = |event: &StoreEvent| match event {
            StoreEvent::Put(item) => is_in_scope(scope, &item.key),
            StoreEvent::Removed(key) => is_in_scope(scope, key),
        };
        let events =
            self.history.iter().filter(|(at, event)| *at > after && is_in_watched_scope(event));
        let events: Vec<StoreEvent> = events.map(|(_, event)| event.clone()).collect();
        (!events.is_empty()).then_some(StoreAnswer::Events { events, at: Revision(self.revision) })
    }

    /// Applies a commit under one revision if the expected revisions match and the named
    /// leases exist.
    fn commit(&mut self, commit: &StoreCommit) -> StoreAnswer {
        assert!(commit.rows() <= 32, "a commit has {} rows", commit.rows());
        let current = |key: &StoreKey| self.get(key).map_or(Revision(0), |item| item.revision);
        if commit.expect.iter().any(|(key, revision)| current(key) != *revision) {
            let items = commit.expect.iter().filter_map(|(key, _)| self.get(key).cloned());
            return StoreAnswer::Conflict(items.collect());
        }
        let leases = commit.puts.iter().filter_map(|put| put.lease);
        if leases.into_iter().any(|lease| !self.leases.contains_key(&lease)) {
            return StoreAnswer::Absent;
        }
        let first_event = self.history.len();
        for put in &commit.puts {
            let value = match &put.value {
                PutValue::Own(bytes) => ItemValue::Own(bytes.clone()),
                PutValue::Status(phase) => {
                    if let StoreKey::WaveStatus(wave) = put.key {
                        self.wave_statuses.push((wave, *phase));
                    }
                    ItemValue::Own(Box::default())
                }
            };
            self.put(put.key.clone(), value, put.lease);
        }
        for key in &commit.remove {
            self.remove(key);
        }
        // All rows of a commit share the revision of its last row.
        for put in &commit.puts {
            if let Some((item, _)) = self.items.get_mut(&put.key) {
                if item.created == item.revision {
                    item.created = Revision(self.revision);
                }
                item.revision = Revision(self.revision);
            }
        }
        let commit_revision = self.revision;
        for (at, event) in &mut self.history[first_event..] {
            *at = Revision(commit_revision);
            if let StoreEvent::Put(item) = event {
                if item.created == item.revision {
                    item.created = Revision(commit_revision);
                }
                item.revision = Revision(commit_revision);
            }
        }
        StoreAnswer::Committed(Revision(commit_revision))
    }
}
