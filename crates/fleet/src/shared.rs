//! Keeps a local copy of the records that every daemon follows.
//!
//! All records are read once, page by page; one watch from the revision of the first
//! page then delivers each change. When the store no longer has the history that the
//! watch asks for, all records are read again, and local records that the store no
//! longer has are removed. A page that fails is read again, without the pages before it. A
//! change that the watch delivers twice is recognised by its
//! revision.

use std::collections::{BTreeMap, BTreeSet};

use jobs::JobOutcome;
use state::{DataCentreId, JobId, Millis, Moment, PoolId, Revision};

use crate::event::{CallId, Clock};
use crate::io::{ItemValue, StoreAnswer, StoreCall, StoreEvent, StoreItem};
use crate::key::{KeyScope, OwnKey, ShardKey, StoreKey};
use crate::model::{FleetConfig, FleetSettings, WaveOrder};
use crate::outbox::{CallPurpose, Outbox};
use crate::records::{AllocationDoc, OwnerRecord, PoolDemand, WaveProgressDoc, decode};
use crate::timing::{READ_RETRY_DELAY, SHARED_WATCH_INTERVAL};

/// Store calls of [`SharedRecords`].
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum SharedCall {
    Range,
    Watch,
}

/// Record with the revisions of its last change and of its creation.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Versioned<T> {
    pub(crate) record: T,
    pub(crate) revision: Revision,
    pub(crate) created: Revision,
}

/// Kinds of records that a batch of changes touched.
#[derive(Debug, Clone, Default)]
pub(crate) struct SharedChanges {
    pub(crate) has_new_config: bool,
    pub(crate) has_owner_changes: bool,
    /// Jobs with a new outcome, and their pools.
    pub(crate) outcomes: Vec<(PoolId, JobId)>,
}

/// Local copy of the shared records.
#[derive(Debug, Default)]
pub(crate) struct SharedRecords {
    pub(crate) config: Option<FleetConfig>,
    pub(crate) evacuated_data_centres: BTreeSet<DataCentreId>,
    pub(crate) wave_orders: BTreeMap<u64, WaveOrder>,
    pub(crate) wave_progress: BTreeMap<u64, Versioned<WaveProgressDoc>>,
    pub(crate) owners: BTreeMap<ShardKey, Versioned<OwnerRecord>>,
    pub(crate) outcomes: BTreeMap<JobId, Versioned<JobOutcome>>,
    pub(crate) allocations: Option<Versioned<AllocationDoc>>,
    pub(crate) demands: BTreeMap<PoolId, Versioned<PoolDemand>>,
    is_loaded: bool,
    /// Revision after which the next watch delivers changes; `None` until the first page
    /// of a reading has arrived.
    watch_from: Option<Revision>,
    /// Last key of the pages that the current full reading has received; `None` before the first
    /// page and outside of a full reading.
    last_read_key: Option<StoreKey>,
    /// Keys that the current full reading has listed so far.
    listed_keys: BTreeSet<StoreKey>,
    /// Maximum time that the watch waits for a change.
    watch_wait: Millis,
    /// Age from which the records may miss a change that must be in force.
    max_age: Millis,
    /// Whether the records were current at the last tick.
    was_current: bool,
    next_call_at: Option<Moment>,
    is_call_in_flight: bool,
    /// The watch that is in flight, if the call in flight is a watch.
    watch_call: Option<CallId>,
    /// Time of the last answer that brought these records up to date, or showed that they were.
    confirmed_at: Option<Moment>,
}

impl SharedRecords {
    pub(crate) fn new(settings: &FleetSettings) -> Self {
        Self {
            watch_wait: settings.watch_wait(),
            max_age: settings.config_apply,
            ..Self::default()
        }
    }

    /// Returns whether all shared records have been read at least once.
    pub(crate) fn is_loaded(&self) -> bool {
        self.is_loaded
    }

    /// Returns the time since the store last confirmed these records; `None` until they are
    /// loaded.
    pub(crate) fn age(&self, now: Moment) -> Option<Millis> {
        self.confirmed_at.map(|confirmed_at| now - confirmed_at)
    }

    /// Whether the store has confirmed these records so recently that they have every change that
    /// must be in force. No task is started, no VM is ordered and no caller is refused for good by
    /// other records.
    pub(crate) fn is_current(&self, now: Moment) -> bool {
        self.age(now).is_some_and(|age| age <= self.max_age)
    }

    /// Describes the configuration on which a decision at `now` depends, for the decision's log
    /// line.
    pub(crate) fn describe_config(&self, now: Moment) -> String {
        let version = self.config.as_ref().map_or(0, |config| config.version);
        match self.age(now) {
            Some(age) => format!("configuration {version}, confirmed {age} ago"),
            None => format!("configuration {version}, not confirmed"),
        }
    }

    pub(crate) fn on_tick(&mut self, clock: Clock, out: &mut Outbox) {
        self.log_currency(clock, out);
        let is_due = self.next_call_at.is_none_or(|at| clock.now >= at);
        if !self.is_call_in_flight && is_due {
            self.send_next_call(clock, out);
        }
    }

    /// Logs when the records become too old to decide by, and when they are current again.
    fn log_currency(&mut self, clock: Clock, out: &mut Outbox) {
        let is_current = self.is_current(clock.now);
        if is_current != self.was_current {
            self.was_current = is_current;
            let outcome = if is_current { "current" } else { "too old to decide by" };
            out.log("shared-records", "age", self.describe_config(clock.now), outcome);
        }
    }

    /// Sends the next watch, or the read of the next page if a full reading is not complete.
    fn send_next_call(&mut self, clock: Clock, out: &mut Outbox) {
        self.is_call_in_flight = true;
        self.next_call_at = None;
        let after = self.last_read_key.clone();
        match self.watch_from {
            Some(from) if self.is_loaded && after.is_none() => {
                let (scope, wait) = (KeyScope::Shared, self.watch_wait);
                let request = StoreCall::Watch { scope, after: from, wait };
                let purpose = CallPurpose::Shared(SharedCall::Watch);
                self.watch_call = Some(out.call_store(clock, purpose, request));
            }
            _ => {
                if after.is_none() {
                    self.listed_keys.clear();
                    self.watch_from = None;
                }
                let request = StoreCall::Range { scope: KeyScope::Shared, after };
                out.call_store(clock, CallPurpose::Shared(SharedCall::Range), request);
            }
        }
    }

    /// Sends the watch in flight again if it was sent up to `latest`.
    pub(crate) fn resend_watch(&mut self, clock: Clock, out: &mut Outbox, latest: Moment) {
        if self.watch_call.take_if(|call| out.abandon_call(*call, latest)).is_some() {
            out.log("shared-records", "watch", "the store answers other calls", "sent again");
            self.send_next_call(clock, out);
        }
    }

    pub(crate) fn on_answer(
        &mut self,
        clock: Clock,
        out: &mut Outbox,
        sent_at: Moment,
        answer: StoreAnswer,
    ) -> SharedChanges {
        self.is_call_in_flight = false;
        self.watch_call = None;
        let mut changes = SharedChanges::default();
        match answer {
            StoreAnswer::Items { items, more, at } => {
                let last_key = items.last().map(|item| item.key.clone());
                self.watch_from.get_or_insert(at);
                for item in items {
                    self.listed_keys.insert(item.key.clone());
                    self.apply_item(item, &mut changes, out);
                }
                if !more {
                    self.remove_unlisted(&mut changes);
                    self.is_loaded = true;
                    self.confirmed_at = Some(clock.now);
                }
                self.last_read_key = last_key.filter(|_| more);
                self.send_next_call(clock, out);
            }
            StoreAnswer::Events { events, at } => {
                self.watch_from = Some(at);
                self.confirmed_at = Some(clock.now);
                for event in events {
                    match event {
                        StoreEvent::Put(item) => self.apply_item(item, &mut changes, out),
                        StoreEvent::Removed(key) => self.remove_record(&key, &mut changes),
                    }
                }
                self.next_call_at = Some(clock.now + SHARED_WATCH_INTERVAL);
            }
            StoreAnswer::Compacted => {
                out.log(
                    "shared-records",
                    "watch",
                    "the store compacted the history",
                    "reading all records again",
                );
                self.watch_from = None;
                self.send_next_call(clock, out);
            }
            _ => self.next_call_at = Some(clock.now + READ_RETRY_DELAY),
        }
        if changes.has_new_config {
            let inputs = format!("answered after {}", clock.now - sent_at);
            out.log("shared-records", "configuration", inputs, "received");
        }
        changes
    }

    fn apply_item(&mut self, item: StoreItem, changes: &mut SharedChanges, out: &mut Outbox) {
        let StoreItem { key, value, revision, created } = item;
        match (key, value) {
            (StoreKey::Config, ItemValue::Config(config)) => {
                let current_version = self.config.as_ref().map_or(0, |config| config.version);
                if config.version > current_version {
                    let inputs = format!("version {current_version} to {}", config.version);
                    out.log("configuration", revision, inputs, "in force");
                    self.config = Some(*config);
                    changes.has_new_config = true;
                }
            }
            (StoreKey::Evacuation(data_centre), ItemValue::Evacuation)
                if self.evacuated_data_centres.insert(data_centre.clone()) =>
            {
                out.log("data-centre", &data_centre, format!("revision {revision}"), "out");
            }
            (StoreKey::WaveOrder(wave), ItemValue::Wave(order)) => {
                self.wave_orders.insert(wave, order);
            }
            (StoreKey::Own(key), ItemValue::Own(bytes)) => {
                if let Err(reason) = self.apply_own_record(&key, &bytes, revision, created, changes)
                {
                    out.log("record", &key, format!("{revision}: {reason}"), "skipped");
                }
            }
            (key, ItemValue::Unreadable(reason)) => {
                out.log("record", format!("{key:?}"), reason, "skipped");
            }
            _ => {}
        }
    }

    fn apply_own_record(
        &mut self,
        key: &OwnKey,
        bytes: &[u8],
        revision: Revision,
        created: Revision,
        changes: &mut SharedChanges,
    ) -> Result<(), Box<str>> {
        match key {
            OwnKey::Owner(shard) => {
                let record = decode(bytes)?;
                self.owners.insert(shard.clone(), Versioned { record, revision, created });
                changes.has_owner_changes = true;
            }
            OwnKey::Outcome(job) => {
                if self.outcomes.get(job).is_some_and(|known| known.revision >= revision) {
                    return Ok(());
                }
                let record: JobOutcome = decode(bytes)?;
                changes.outcomes.push((record.pool.clone(), job.clone()));
                self.outcomes.insert(job.clone(), Versioned { record, revision, created });
            }
            OwnKey::Parts => {
                self.allocations = Some(Versioned { record: decode(bytes)?, revision, created });
            }
            OwnKey::Need(pool) => {
                let record = decode(bytes)?;
                self.demands.insert(pool.clone(), Versioned { record, revision, created });
            }
            OwnKey::Wave(wave) => {
                let doc = Versioned { record: decode(bytes)?, revision, created };
                self.wave_progress.insert(*wave, doc);
            }
            _ => {}
        }
        Ok(())
    }

    fn remove_record(&mut self, key: &StoreKey, changes: &mut SharedChanges) {
        match key {
            StoreKey::Evacuation(data_centre) => {
                self.evacuated_data_centres.remove(data_centre);
            }
            StoreKey::WaveOrder(wave) => {
                self.wave_orders.remove(wave);
            }
            StoreKey::Own(OwnKey::Need(pool)) => {
                self.demands.remove(pool);
            }
            StoreKey::Own(OwnKey::Owner(shard)) => {
                self.owners.remove(shard);
                changes.has_owner_changes = true;
            }
            StoreKey::Own(OwnKey::Outcome(job)) => {
                self.outcomes.remove(job);
            }
            StoreKey::Own(OwnKey::Parts) => self.allocations = None,
            StoreKey::Own(OwnKey::Wave(wave)) => {
                self.wave_progress.remove(wave);
            }
            _ => {}
        }
    }

    /// Removes local records that a full reading of the store did not list.
    fn remove_unlisted(&mut self, changes: &mut SharedChanges) {
        let owners = self.owners.keys().map(|shard| OwnKey::Owner(shard.clone()));
        let demand_keys = self.demands.keys().map(|pool| OwnKey::Need(pool.clone()));
        let outcomes = self.outcomes.keys().map(|job| OwnKey::Outcome(job.clone()));
        let progress_keys = self.wave_progress.keys().map(|wave| OwnKey::Wave(*wave));
        let allocations = self.allocations.as_ref().map(|_| OwnKey::Parts);
        let own_keys = owners
            .chain(outcomes)
            .chain(demand_keys)
            .chain(progress_keys)
            .chain(allocations)
            .map(StoreKey::Own);
        let evacuated = self
            .evacuated_data_centres
            .iter()
            .map(|data_centre| StoreKey::Evacuation(data_centre.clone()));
        let orders = self.wave_orders.keys().map(|wave| StoreKey::WaveOrder(*wave));
        let known_keys = own_keys.chain(evacuated).chain(orders);
        let missing: Vec<StoreKey> =
            known_keys.filter(|key| !self.listed_keys.contains(key)).collect();
        for key in missing {
            self.remove_record(&key, changes);
        }
        self.listed_keys.clear();
    }
}
