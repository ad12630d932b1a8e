//! Table of the connections of one listening address, which enforces their limits.
//!
//! Each connection is in one [`Phase`]. The phase tells how much memory it may hold, from when
//! on it is closed for its slowness, and whether it may be closed in favour of another one: idle
//! connections first, then those that wait for their clients, in each case the longest.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use slab::Slab;
use state::AddressLimits;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::counters::{ClientCause, ClientCounters};

/// Time for which a connection may wait for its client before another one may take its place.
const MIN_EVICTION_WAIT: Duration = Duration::from_secs(1);
/// Time in which a client must close its side after a refusal.
const CLOSING_TIMEOUT: Duration = Duration::from_secs(1);

/// What a connection does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// No byte of a request has arrived since the last response.
    Idle,
    /// The head of a request arrives.
    Head,
    /// The body of a request arrives.
    Body,
    /// A complete request waits for its response.
    Handling,
    /// The response is sent.
    Responding,
    /// The connection is closed after a refusal and reads what the client still sends.
    Closing,
}

impl Phase {
    const ALL: [Self; 6] =
        [Self::Idle, Self::Head, Self::Body, Self::Handling, Self::Responding, Self::Closing];
    /// Phases in which a connection waits for its client.
    const WAITING: [Self; 4] = [Self::Closing, Self::Head, Self::Body, Self::Responding];

    fn memory_bytes(self, limits: &AddressLimits) -> u64 {
        match self {
            Self::Idle => limits.idle_connection_bytes(),
            _ => limits.busy_connection_bytes(),
        }
    }

    fn timeout(self, limits: &AddressLimits) -> Option<(Duration, ClientCause)> {
        let timeouts = &limits.timeouts;
        match self {
            Self::Idle => Some((timeouts.idle, ClientCause::IdleTimeout)),
            Self::Head => Some((timeouts.head, ClientCause::HeadTimeout)),
            Self::Body => Some((timeouts.body, ClientCause::BodyTimeout)),
            Self::Handling => None,
            Self::Responding => Some((timeouts.response, ClientCause::ResponseTimeout)),
            Self::Closing => Some((CLOSING_TIMEOUT, ClientCause::ResponseTimeout)),
        }
    }
}

struct Entry {
    client: IpAddr,
    phase: Phase,
    since: Instant,
    /// Memory of the phase, and of the body or the response.
    memory_bytes: u64,
    /// Taken when the connection is told to close; its memory is no longer counted then.
    close: Option<oneshot::Sender<ClientCause>>,
}

impl Entry {
    fn memory_bytes(&self) -> u64 {
        if self.close.is_none() { 0 } else { self.memory_bytes }
    }
}

struct TableState {
    entries: Slab<Entry>,
    /// Open connections by the time of their last change of phase, for each phase.
    by_phase: [BTreeSet<(Instant, usize)>; Phase::ALL.len()],
    open: usize,
    memory_bytes: u64,
}

/// Table of the connections of one listening address; clones share it.
#[derive(Clone)]
pub(crate) struct ConnectionTable {
    state: Rc<RefCell<TableState>>,
    limits: Rc<AddressLimits>,
    counters: Arc<ClientCounters>,
}

impl ConnectionTable {
    pub(crate) fn new(limits: AddressLimits, counters: Arc<ClientCounters>) -> Self {
        let state = TableState {
            entries: Slab::new(),
            by_phase: Default::default(),
            open: 0,
            memory_bytes: 0,
        };
        Self { state: Rc::new(RefCell::new(state)), limits: Rc::new(limits), counters }
    }

    /// Adds a connection, in place of another one if there are too many.
    ///
    /// # Errors
    ///
    /// Returns the cause of the refusal if no connection may be closed for this one.
    pub(crate) fn open(
        &self,
        client: IpAddr,
    ) -> Result<(TableEntry, oneshot::Receiver<ClientCause>), ClientCause> {
        let mut state = self.state.borrow_mut();
        while state.open >= self.limits.connections {
            if !self.evict(&mut state, None) {
                return self.refuse(ClientCause::Full, client);
            }
        }
        let memory_bytes = Phase::Idle.memory_bytes(&self.limits);
        if !self.make_room(&mut state, memory_bytes, None) {
            return self.refuse(ClientCause::NoMemory, client);
        }
        let (sender, receiver) = oneshot::channel();
        let since = Instant::now();
        let (phase, close) = (Phase::Idle, Some(sender));
        let key = state.entries.insert(Entry { client, phase, since, memory_bytes, close });
        state.by_phase[phase as usize].insert((since, key));
        state.open += 1;
        state.memory_bytes += memory_bytes;
        self.publish(&state);
        drop(state);
        Ok((TableEntry { table: self.clone(), key }, receiver))
    }

    fn refuse<T>(&self, cause: ClientCause, client: IpAddr) -> Result<T, ClientCause> {
        self.counters.record(cause, client);
        Err(cause)
    }

    /// Closes the connection that may be closed first, because the process has no descriptor
    /// left. Returns whether there was one.
    pub(crate) fn close_one(&self) -> bool {
        self.evict(&mut self.state.borrow_mut(), None)
    }

    /// Closes the connections that have been in their phase for too long.
    pub(crate) fn close_expired(&self) {
        let mut state = self.state.borrow_mut();
        let now = Instant::now();
        for phase in Phase::ALL {
            let Some((timeout, cause)) = phase.timeout(&self.limits) else { continue };
            while let Some(&(since, key)) = state.by_phase[phase as usize].first() {
                if now.duration_since(since) < timeout {
                    break;
                }
                self.close(&mut state, key, cause);
            }
        }
        self.publish(&state);
    }

    /// Closes connections until there is memory for `bytes`. Returns whether there is.
    fn make_room(&self, state: &mut TableState, bytes: u64, except: Option<usize>) -> bool {
        while state.memory_bytes + bytes > self.limits.memory_bytes {
            if !self.evict(state, except) {
                return false;
            }
        }
        true
    }

    fn evict(&self, state: &mut TableState, except: Option<usize>) -> bool {
        let not_excepted = |entry: &&(Instant, usize)| Some(entry.1) != except;
        let idle = state.by_phase[Phase::Idle as usize].iter().find(not_excepted);
        if let Some(&(_, key)) = idle {
            self.close(state, key, ClientCause::IdleEvicted);
            return true;
        }
        let waiting = Phase::WAITING.iter();
        let longest = waiting
            .filter_map(|phase| state.by_phase[*phase as usize].iter().find(not_excepted))
            .min()
            .copied();
        match longest {
            Some((since, key)) if since.elapsed() >= MIN_EVICTION_WAIT => {
                self.close(state, key, ClientCause::SlowEvicted);
                true
            }
            _ => false,
        }
    }

    fn close(&self, state: &mut TableState, key: usize, cause: ClientCause) {
        let entry = &mut state.entries[key];
        let (phase, since, bytes) = (entry.phase, entry.since, entry.memory_bytes());
        // The end of a connection that was refused already is no further cause.
        if phase != Phase::Closing {
            self.counters.record(cause, entry.client);
        }
        if let Some(close) = entry.close.take() {
            let _ = close.send(cause);
            state.open -= 1;
        }
        state.by_phase[phase as usize].remove(&(since, key));
        state.memory_bytes -= bytes;
    }

    fn publish(&self, state: &TableState) {
        self.counters.set_usage(state.open as u64, state.memory_bytes);
    }
}

/// Place of one connection in the table, which is freed when it is dropped.
pub(crate) struct TableEntry {
    table: ConnectionTable,
    key: usize,
}

impl TableEntry {
    pub(crate) fn phase(&self) -> Phase {
        self.table.state.borrow().entries[self.key].phase
    }

    pub(crate) fn limits(&self) -> &AddressLimits {
        &self.table.limits
    }

    /// Counts `cause` for this connection.
    pub(crate) fn record(&self, cause: ClientCause) {
        let client = self.table.state.borrow().entries[self.key].client;
        self.table.counters.record(cause, client);
    }

    /// Changes the phase and the bytes of body or response that the connection holds.
    ///
    /// The change takes place also if there is no memory for it and no other connection may be
    /// closed; the result is whether there was.
    pub(crate) fn enter(&self, phase: Phase, content_bytes: u64) -> bool {
        let mut state = self.table.state.borrow_mut();
        let entry = &state.entries[self.key];
        if entry.close.is_none() {
            return true;
        }
        let (old_phase, old_since, old_bytes) = (entry.phase, entry.since, entry.memory_bytes());
        let new_bytes = phase.memory_bytes(&self.table.limits) + content_bytes;
        let added = new_bytes.saturating_sub(old_bytes);
        let has_room = added == 0 || self.table.make_room(&mut state, added, Some(self.key));
        let since = if phase == old_phase { old_since } else { Instant::now() };
        let entry = &mut state.entries[self.key];
        (entry.phase, entry.since, entry.memory_bytes) = (phase, since, new_bytes);
        state.by_phase[old_phase as usize].remove(&(old_since, self.key));
        state.by_phase[phase as usize].insert((since, self.key));
        state.memory_bytes = state.memory_bytes + new_bytes - old_bytes;
        self.table.publish(&state);
        has_room
    }
}

impl Drop for TableEntry {
    fn drop(&mut self) {
        let mut state = self.table.state.borrow_mut();
        let entry = state.entries.remove(self.key);
        state.memory_bytes -= entry.memory_bytes();
        state.by_phase[entry.phase as usize].remove(&(entry.since, self.key));
        if entry.close.is_some() {
            state.open -= 1;
        }
        self.table.publish(&state);
    }
}
