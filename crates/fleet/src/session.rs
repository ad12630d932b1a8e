//! Maintains this daemon's lease and acquires shards that have no owner.
//!
//! The owner of a shard is the daemon that created the record `owner/SHARD` under its
//! lease. The revision of the creation is the owner's fencing token: it is unique, and
//! higher than that of every earlier owner, even after all daemons have crashed. A daemon
//! owns a shard only while its lease is certainly valid by its own clock, counted from
//! before the renewal was sent; after that the daemon gives no orders and writes nothing.
//! It keeps the state of its shards until the store says that the lease has ended: a lease
//! that is renewed late was never free for another daemon, so the daemon continues under the
//! same fencing tokens.
//!
//! A daemon with more processor time, a faster link and fewer shards acquires free ones
//! sooner, so the shards spread over the daemons by capacity without a coordinator.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

use state::{DaemonId, Incarnation, Millis, Moment, Revision};

use crate::event::Clock;
use crate::io::{LeaseId, PutValue, StoreAnswer, StoreCall, StoreCommit, StorePut};
use crate::key::{OwnKey, ShardKey, StoreKey};
use crate::model::{DaemonCapacity, FleetSettings};
use crate::outbox::{CallPurpose, Outbox};
use crate::records::{OwnerRecord, encode};
use crate::shared::SharedRecords;
use crate::timing::{
    ACQUIRE_DELAY_STEP, COMMIT_RETRY_DELAY, LATE_RENEWAL_MARGIN, MAX_ACQUIRE_DELAY,
    RELEASED_SHARD_PAUSE, SESSION_RENEWAL_INTERVAL, SESSION_SAFETY_MARGIN, SESSION_TTL,
};

/// Returns the delay before a daemon that owns `owned_count` shards acquires a free shard.
///
/// The delay grows with the daemon's load relative to its capacity, up to a bound, so that a
/// free shard gets an owner soon; a hash spreads daemons with equal loads.
pub fn acquire_delay(
    daemon: &DaemonId,
    capacity: DaemonCapacity,
    shard: &ShardKey,
    owned_count: usize,
) -> Millis {
    let excess_permille = capacity.load_permille_with_next(owned_count).saturating_sub(1_000);
    let load_delay = ACQUIRE_DELAY_STEP.0 * excess_permille / 1_000;
    let mut hasher = DefaultHasher::new();
    (daemon.as_str(), shard).hash(&mut hasher);
    Millis(load_delay.min(MAX_ACQUIRE_DELAY.0) + hasher.finish() % ACQUIRE_DELAY_STEP.0)
}

/// Store calls of [`Session`].
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum SessionCall {
    Open,
    Renew(LeaseId),
    Close,
    /// Creates the ownership record of a shard, bound to this lease.
    Acquire(ShardKey, LeaseId),
    Release(ShardKey),
}

/// Change of this daemon's ownership that the answer to a session call shows.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum OwnershipChange {
    None,
    /// The daemon has created a shard's ownership record, under this fencing token.
    Acquired(ShardKey, Revision),
    /// The daemon has created a shard's ownership record, but bound to a lease that has ended
    /// since.
    AcquiredUnderEndedLease(ShardKey, Revision),
    /// The lease has ended, and all ownership records that were bound to it are gone.
    LeaseEnded,
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    id: LeaseId,
    valid_until: Moment,
}

/// This daemon's lease and the shards that the daemon is acquiring or releasing.
#[derive(Debug)]
pub(crate) struct Session {
    daemon: DaemonId,
    incarnation: Incarnation,
    capacity: DaemonCapacity,
    lease: Option<Lease>,
    next_call_at: Moment,
    is_call_in_flight: bool,
    /// Time since which the daemon could have acquired each free shard.
    free_since: BTreeMap<ShardKey, Moment>,
    /// Shards with an acquiring or releasing commit that is not answered yet.
    in_flight_shards: BTreeSet<ShardKey>,
    /// Shards that the daemon does not try to acquire or release before these times.
    paused_shards: BTreeMap<ShardKey, Moment>,
    is_closing: bool,
    pub(crate) is_closed: bool,
}

impl Session {
    pub(crate) fn new(settings: &FleetSettings) -> Self {
        Self {
            daemon: settings.daemon.clone(),
            incarnation: settings.incarnation,
            capacity: settings.capacity,
            lease: None,
            next_call_at: Moment(0),
            is_call_in_flight: false,
            free_since: BTreeMap::new(),
            in_flight_shards: BTreeSet::new(),
            paused_shards: BTreeMap::new(),
            is_closing: false,
            is_closed: false,
        }
    }

    /// Returns whether the lease is certainly valid at `now`, so that this daemon still
    /// owns its shards.
    pub(crate) fn is_valid(&self, now: Moment) -> bool {
        self.lease.is_some_and(|lease| now < lease.valid_until)
    }

    /// Returns whether an ownership record names this incarnation of this daemon.
    pub(crate) fn is_own_record(&self, owner: &OwnerRecord) -> bool {
        owner.daemon == self.daemon && owner.incarnation == self.incarnation
    }

    /// Returns whether the session is ending its lease.
    pub(crate) fn is_closing(&self) -> bool {
        self.is_closing
    }

    /// Ends the lease, so that other daemons can acquire the shards at once.
    pub(crate) fn close(&mut self, clock: Clock, out: &mut Outbox) {
        self.is_closing = true;
        match self.lease.take() {
            Some(lease) => {
                let request = StoreCall::EndLease(lease.id);
                out.call_store(clock, CallPurpose::Session(SessionCall::Close), request);
            }
            None => self.is_closed = true,
        }
    }

    pub(crate) fn on_tick(
        &mut self,
        clock: Clock,
        out: &mut Outbox,
        shared: &SharedRecords,
        owned_count: usize,
    ) {
        if !self.is_closing && self.is_valid(clock.now) && shared.is_loaded() {
            self.acquire_free_shards(clock, out, shared, owned_count);
        } else {
            self.free_since.clear();
        }
    }

    /// Opens or renews the lease if that is due. Runs before every event, so that a renewal
    /// never waits for a tick behind other events.
    pub(crate) fn maintain_lease(&mut self, clock: Clock, out: &mut Outbox) {
        if self.is_closing || self.is_call_in_flight || clock.now < self.next_call_at {
            return;
        }
        self.is_call_in_flight = true;
        let (call, request) = match self.lease {
            Some(lease) => (SessionCall::Renew(lease.id), StoreCall::Renew(lease.id)),
            None => (SessionCall::Open, StoreCall::Lease(SESSION_TTL)),
        };
        out.call_store(clock, CallPurpose::Session(call), request);
    }

    fn acquire_free_shards(
        &mut self,
        clock: Clock,
        out: &mut Outbox,
        shared: &SharedRecords,
        owned_count: usize,
    ) {
        let Some(config) = &shared.config else { return };
        // The VMs of a spare pool are off, so there are no minions to give orders to.
        let pools = config.pools.iter().filter(|(_, pool)| !pool.is_spare);
        let pools = pools.map(|(pool, _)| ShardKey::Pool(pool.clone()));
        let shards: BTreeSet<ShardKey> = pools.chain([ShardKey::VmController]).collect();
        self.free_since.retain(|shard, _| shards.contains(shard));
        self.paused_shards.retain(|_, until| clock.now < *until);
        for shard in shards {
            if shared.owners.contains_key(&shard) {
                self.free_since.remove(&shard);
                continue;
            }
            let free_since = *self.free_since.entry(shard.clone()).or_insert(clock.now);
            if self.in_flight_shards.contains(&shard) || self.paused_shards.contains_key(&shard) {
                continue;
            }
            let owned_count = owned_count + self.in_flight_shards.len();
            let delay = acquire_delay(&self.daemon, self.capacity, &shard, owned_count);
            if clock.now >= free_since + delay {
                self.acquire_shard(clock, out, &shard);
                break;
            }
        }
    }

    fn acquire_shard(&mut self, clock: Clock, out: &mut Outbox, shard: &ShardKey) {
        let Some(lease) = self.lease else { return };
        self.in_flight_shards.insert(shard.clone());
        let key = StoreKey::Own(OwnKey::Owner(shard.clone()));
        let record = OwnerRecord { daemon: self.daemon.clone(), incarnation: self.incarnation };
        let value = PutValue::Own(encode(&record));
        let commit = StoreCommit {
            expect: vec![(key.clone(), Revision(0))],
            puts: vec![StorePut { key, value, lease: Some(lease.id) }],
            remove: Vec::new(),
        };
        let purpose = CallPurpose::Session(SessionCall::Acquire(shard.clone(), lease.id));
        out.call_store(clock, purpose, StoreCall::Commit(commit));
    }

    /// Removes the ownership record of a shard that this daemon has relinquished.
    pub(crate) fn release(
        &mut self,
        clock: Clock,
        out: &mut Outbox,
        shard: &ShardKey,
        fencing_token: Revision,
    ) {
        let is_paused = self.paused_shards.get(shard).is_some_and(|until| clock.now < *until);
        if is_paused || !self.in_flight_shards.insert(shard.clone()) {
            return;
        }
        let key = StoreKey::Own(OwnKey::Owner(shard.clone()));
        let commit = StoreCommit {
            expect: vec![(key.clone(), fencing_token)],
            puts: Vec::new(),
            remove: vec![key],
        };
        let purpose = CallPurpose::Session(SessionCall::Release(shard.clone()));
        out.call_store(clock, purpose, StoreCall::Commit(commit));
    }

    /// Handles the answer to a session call that was sent at `sent_at`.
    pub(crate) fn on_answer(
        &mut self,
        clock: Clock,
        out: &mut Outbox,
        call: SessionCall,
        sent_at: Moment,
        answer: StoreAnswer,
    ) -> OwnershipChange {
        match call {
            SessionCall::Acquire(shard, lease) => {
                self.in_flight_shards.remove(&shard);
                // The watch of the shared records shows the owner, also after an unknown
                // answer.
                self.paused_shards.insert(shard.clone(), clock.now + COMMIT_RETRY_DELAY);
                if let StoreAnswer::Committed(revision) = answer {
                    let is_current = self.lease.is_some_and(|current| current.id == lease);
                    return if is_current {
                        OwnershipChange::Acquired(shard, revision)
                    } else {
                        OwnershipChange::AcquiredUnderEndedLease(shard, revision)
                    };
                }
            }
            SessionCall::Release(shard) => {
                self.in_flight_shards.remove(&shard);
                let is_released = matches!(answer, StoreAnswer::Committed(_));
                let pause = if is_released { RELEASED_SHARD_PAUSE } else { COMMIT_RETRY_DELAY };
                self.paused_shards.insert(shard, clock.now + pause);
            }
            SessionCall::Close => self.is_closed = true,
            SessionCall::Open | SessionCall::Renew(_) => {
                return self.on_lease(clock, out, sent_at, answer);
            }
        }
        OwnershipChange::None
    }

    /// Handles the answer to a request for a lease or to a renewal. A renewed lease has existed
    /// without a gap, and so have the ownership records that are bound to it, even if it was no
    /// longer valid by this daemon's clock.
    fn on_lease(
        &mut self,
        clock: Clock,
        out: &mut Outbox,
        sent_at: Moment,
        answer: StoreAnswer,
    ) -> OwnershipChange {
        self.is_call_in_flight = false;
        let previous = self.lease;
        match answer {
            StoreAnswer::Leased(id, ttl) => {
                let validity = Millis(ttl.0.saturating_sub(SESSION_SAFETY_MARGIN.0));
                match previous.filter(|lease| lease.id == id).map(|lease| lease.valid_until) {
                    None => out.log("session", id.0, format!("lease duration {ttl}"), "opened"),
                    Some(valid_until) if valid_until <= clock.now + LATE_RENEWAL_MARGIN => {
                        log_late_renewal(clock, out, id, sent_at, valid_until);
                    }
                    Some(_) => {}
                }
                self.lease = Some(Lease { id, valid_until: sent_at + validity });
                self.next_call_at = sent_at + SESSION_RENEWAL_INTERVAL;
            }
            StoreAnswer::Absent => {
                out.log("session", &self.daemon, "the store has no such lease", "lost");
                self.lease = None;
                self.next_call_at = clock.now;
            }
            _ => self.next_call_at = clock.now + COMMIT_RETRY_DELAY,
        }
        match previous {
            Some(lease) if self.lease.is_none_or(|current| current.id != lease.id) => {
                OwnershipChange::LeaseEnded
            }
            _ => OwnershipChange::None,
        }
    }
}

/// Logs a renewal that was answered when the lease was about to end or had ended.
fn log_late_renewal(
    clock: Clock,
    out: &mut Outbox,
    id: LeaseId,
    sent_at: Moment,
    valid_until: Moment,
) {
    let remaining_ms = valid_until.0 as i64 - clock.now.0 as i64;
    let inputs =
        format!("answered after {}, {remaining_ms}ms of the lease were left", clock.now - sent_at);
    out.log("session", id.0, inputs, "renewed late");
}
