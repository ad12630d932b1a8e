//! A store in memory: revisions, leases, watches, conditions.

use std::collections::BTreeMap;

use fleet::io::{
    ItemValue, LeaseId, PutValue, StoreAnswer, StoreCall, StoreCommit, StoreEvent, StoreItem,
};
use fleet::model::WavePhase;
use fleet::{KeyScope, OwnKey, StoreKey};
use state::{Millis, Revision};

/// Most items of a page: small, so that pages matter.
const PAGE_ITEMS: usize = 40;

#[derive(Debug, Default)]
pub struct MemoryStore {
    items: BTreeMap<StoreKey, (StoreItem, Option<LeaseId>)>,
    history: Vec<(Revision, StoreEvent)>,
    revision: u64,
    forgotten: u64,
    leases: BTreeMap<LeaseId, (u64, u64)>,
    /// What was written for operators, in order.
    pub statuses: Vec<(u64, WavePhase)>,
}

fn in_scope(scope: &KeyScope, key: &StoreKey) -> bool {
    match (scope, key) {
        (KeyScope::Minions, StoreKey::Minion(_)) => true,
        (KeyScope::Jobs(pool), StoreKey::Own(OwnKey::Job(known, _)))
        | (KeyScope::Progress(pool), StoreKey::Own(OwnKey::Progress(known, _))) => pool == known,
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

impl MemoryStore {
    pub fn put(&mut self, key: StoreKey, value: ItemValue, lease: Option<LeaseId>) {
        self.revision += 1;
        let created = self.items.get(&key).map_or(Revision(self.revision), |old| old.0.created);
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

    /// Records of jobs: specifications, ends and outcomes.
    pub fn job_records(&self) -> usize {
        let is_of_job = |key: &&StoreKey| {
            matches!(
                key,
                StoreKey::Own(OwnKey::Job(..) | OwnKey::Progress(..) | OwnKey::Outcome(..))
            )
        };
        self.items.keys().filter(is_of_job).count()
    }

    /// Forgets its history.
    pub fn compact(&mut self) {
        self.forgotten = self.revision;
        self.history.clear();
    }

    /// Ends leases whose time is over.
    pub fn expire(&mut self, now: u64) {
        let ended = self.leases.iter().filter(|(_, (until, _))| *until <= now);
        let ended: Vec<LeaseId> = ended.map(|(lease, _)| *lease).collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: LeaseId) {
        self.leases.remove(&lease);
        let keys = self.items.iter().filter(|(_, (_, of))| *of == Some(lease));
        let keys: Vec<StoreKey> = keys.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }

    /// Carries a call out; `None` for a watch that has nothing to tell yet.
    pub fn call(&mut self, now: u64, call: &StoreCall) -> Option<StoreAnswer> {
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

    fn range(&self, scope: &KeyScope, after: Option<&StoreKey>) -> StoreAnswer {
        let items = self.items.iter().filter(|(key, _)| in_scope(scope, key));
        let items = items.filter(|(key, _)| after.is_none_or(|after| *key > after));
        let mut items: Vec<StoreItem> = items.map(|(_, (item, _))| item.clone()).collect();
        let more = items.len() > PAGE_ITEMS;
        items.truncate(PAGE_ITEMS);
        StoreAnswer::Items { items, more, at: Revision(self.revision) }
    }

    fn watch(&self, scope: &KeyScope, after: Revision) -> Option<StoreAnswer> {
        if after.0 < self.forgotten {
            return Some(StoreAnswer::Compacted);
        }
        let touches = |event: &StoreEvent| match event {
            StoreEvent::Put(item) => in_scope(scope, &item.key),
            StoreEvent::Removed(key) => in_scope(scope, key),
        };
        let events = self.history.iter().filter(|(at, event)| *at > after && touches(event));
        let events: Vec<StoreEvent> = events.map(|(_, event)| event.clone()).collect();
        (!events.is_empty()).then_some(StoreAnswer::Events { events, at: Revision(self.revision) })
    }

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
        let from = self.history.len();
        for put in &commit.puts {
            let value = match &put.value {
                PutValue::Own(bytes) => ItemValue::Own(bytes.clone()),
                PutValue::Status(phase) => {
                    if let StoreKey::WaveStatus(wave) = put.key {
                        self.statuses.push((wave, *phase));
                    }
                    ItemValue::Own(Box::default())
                }
            };
            self.put(put.key.clone(), value, put.lease);
        }
        for key in &commit.remove {
            self.remove(key);
        }
        // All rows of a commit have its revision.
        for put in &commit.puts {
            if let Some((item, _)) = self.items.get_mut(&put.key) {
                if item.created == item.revision {
                    item.created = Revision(self.revision);
                }
                item.revision = Revision(self.revision);
            }
        }
        let last = self.revision;
        for (at, event) in &mut self.history[from..] {
            *at = Revision(last);
            if let StoreEvent::Put(item) = event {
                if item.created == item.revision {
                    item.created = Revision(last);
                }
                item.revision = Revision(last);
            }
        }
        StoreAnswer::Committed(Revision(last))
    }
}
