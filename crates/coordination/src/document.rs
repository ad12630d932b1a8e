//! Reads and changes one document of the store by compare-and-swap.
//!
//! All changes that arrive while a call is in flight join the next write (group
//! commit), so the store's latency, not the load, bounds the number of writes.
//! Applying a change must be idempotent: when the answer to a write is lost, the
//! writer reads the document again and applies the same changes to the value
//! that it reads. A write that reaches the store late either fails its own
//! comparison or makes the comparison of the next write fail
//! (`docs/DESIGN.md`, "Lost answers").

use std::mem;

use serde::Serialize;
use serde::de::DeserializeOwned;
use state::{Millis, Moment, Revision};

use crate::event::{PlatformAnswer, PlatformRequest, StoredValue};
use crate::timing::{MAX_STORE_BACKOFF, MIN_STORE_BACKOFF};

/// Function that applies a change to a document. It must be idempotent: applying
/// the same change twice yields the same document as applying it once.
pub type ApplyMutation<D, M, R> = fn(&mut D, &M) -> R;

/// Change that is part of the stored document, with its result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FinishedChange<M, R> {
    /// Change as it was applied.
    pub mutation: M,
    /// Return value of the function that applied the change.
    pub result: R,
}

/// Store call that the writer asks its owner to make.
pub type WriterCall = PlatformRequest;

/// Store call whose answer is outstanding, if there is one.
#[derive(Debug)]
enum InFlightCall<D, M, R> {
    Idle,
    Reading,
    Writing { next: D, batch: Vec<BatchEntry<M>>, results: Vec<R> },
}

/// Submitted change that is not confirmed to be in the stored document.
#[derive(Debug)]
struct BatchEntry<M> {
    mutation: M,
    /// Whether a write with this change ended without a certain answer, so that
    /// the write may have taken effect or may still do so.
    was_attempted: bool,
    /// Whether the change was withdrawn while its write was in flight, so that it
    /// is not written again.
    is_withdrawn: bool,
}

/// Result of withdrawing a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Withdrawal {
    /// The change was not written and will not be.
    NotWritten,
    /// A write with the change is in flight or ended without a certain answer;
    /// the change is not written again.
    MayBeWritten,
}

/// Writer of one document, with a cached copy of that document.
#[derive(Debug)]
pub struct DocumentWriter<D, M, R> {
    key: Box<str>,
    apply: ApplyMutation<D, M, R>,
    revision: Revision,
    doc: D,
    is_loaded: bool,
    needs_read: bool,
    queued: Vec<BatchEntry<M>>,
    in_flight: InFlightCall<D, M, R>,
    backoff: Millis,
    retry_at: Moment,
}

impl<D, M, R> DocumentWriter<D, M, R>
where
    D: Clone + Default + PartialEq + Serialize + DeserializeOwned,
    M: Clone,
{
    /// Creates a writer of the document at `key`, which the writer reads before
    /// its first write.
    pub fn new(key: &str, apply: ApplyMutation<D, M, R>) -> Self {
        Self {
            key: key.into(),
            apply,
            revision: Revision(0),
            doc: D::default(),
            is_loaded: false,
            needs_read: true,
            queued: Vec::new(),
            in_flight: InFlightCall::Idle,
            backoff: MIN_STORE_BACKOFF,
            retry_at: Moment(0),
        }
    }

    /// Latest document that was read, written or observed; the default value
    /// until then.
    pub fn doc(&self) -> &D {
        &self.doc
    }

    /// Revision of [`Self::doc`]; 0 for an absent document.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Whether the document has been read from the store or observed.
    pub fn is_loaded(&self) -> bool {
        self.is_loaded
    }

    /// Queues a change for the next write.
    pub fn submit(&mut self, mutation: M) {
        self.queued.push(BatchEntry { mutation, was_attempted: false, is_withdrawn: false });
    }

    /// Changes that are queued or in flight.
    pub fn pending(&self) -> impl Iterator<Item = &M> {
        let in_flight_batch = match &self.in_flight {
            InFlightCall::Writing { batch, .. } => batch.as_slice(),
            _ => &[],
        };
        self.queued.iter().chain(in_flight_batch).map(|entry| &entry.mutation)
    }

    /// Withdraws the changes for which `is_target` holds.
    ///
    /// Without a withdrawal, a change could be written long after its submitter got
    /// the answer that the outcome is unknown.
    pub fn withdraw(&mut self, is_target: impl Fn(&M) -> bool) -> Withdrawal {
        let is_attempted =
            |entry: &BatchEntry<M>| is_target(&entry.mutation) && entry.was_attempted;
        let mut withdrawal = match self.queued.iter().any(is_attempted) {
            true => Withdrawal::MayBeWritten,
            false => Withdrawal::NotWritten,
        };
        self.queued.retain(|entry| !is_target(&entry.mutation));
        if let InFlightCall::Writing { batch, .. } = &mut self.in_flight {
            for entry in batch.iter_mut().filter(|entry| is_target(&entry.mutation)) {
                entry.is_withdrawn = true;
                withdrawal = Withdrawal::MayBeWritten;
            }
        }
        withdrawal
    }

    /// Updates the queued changes in place before they are applied.
    pub fn update_queued(&mut self, mut update: impl FnMut(&mut M)) {
        self.queued.iter_mut().for_each(|entry| update(&mut entry.mutation));
    }

    /// Whether a call is in flight or still has to be made.
    pub fn has_work(&self) -> bool {
        let is_busy = !matches!(self.in_flight, InFlightCall::Idle);
        is_busy || self.needs_read || !self.is_loaded || !self.queued.is_empty()
    }

    /// Write that is in flight, as the current document and its replacement.
    pub fn proposed_write(&self) -> Option<(&D, &D)> {
        match &self.in_flight {
            InFlightCall::Writing { next, .. } => Some((&self.doc, next)),
            _ => None,
        }
    }

    /// Makes the next call read the document again.
    pub fn request_read(&mut self) {
        self.needs_read = true;
    }

    /// Applies a value that came from another source, such as a watch, if it is
    /// newer than the cached document.
    pub fn observe(&mut self, revision: Revision, value: &str) {
        if revision > self.revision || !self.is_loaded {
            self.replace_document(revision, value);
        }
    }

    fn replace_document(&mut self, revision: Revision, value: &str) {
        if revision < self.revision {
            return;
        }
        if let Ok(doc) = serde_json::from_str(value) {
            self.doc = doc;
            self.revision = revision;
            self.is_loaded = true;
        }
    }

    /// Returns the next call to make, if one is due, and the changes that finished
    /// without a call because they leave the document as it is.
    pub fn poll(&mut self, now: Moment) -> (Option<WriterCall>, Vec<FinishedChange<M, R>>) {
        let is_idle = matches!(self.in_flight, InFlightCall::Idle);
        if !is_idle || now < self.retry_at {
            return (None, Vec::new());
        }
        if self.needs_read || !self.is_loaded {
            return (Some(self.start_read()), Vec::new());
        }
        if self.queued.is_empty() {
            return (None, Vec::new());
        }
        self.start_write()
    }

    fn start_read(&mut self) -> WriterCall {
        self.needs_read = false;
        self.in_flight = InFlightCall::Reading;
        PlatformRequest::Get { key: self.key.clone() }
    }

    fn start_write(&mut self) -> (Option<WriterCall>, Vec<FinishedChange<M, R>>) {
        let batch = mem::take(&mut self.queued);
        let mut next = self.doc.clone();
        let results: Vec<R> =
            batch.iter().map(|entry| (self.apply)(&mut next, &entry.mutation)).collect();
        if next == self.doc {
            return (None, pair_results(batch, results));
        }
        let value = serde_json::to_string(&next).expect("a document is valid JSON").into();
        let call = PlatformRequest::Put { key: self.key.clone(), expect: self.revision, value };
        self.in_flight = InFlightCall::Writing { next, batch, results };
        (Some(call), Vec::new())
    }

    /// Handles the store's answer and returns the changes that are now written.
    pub fn handle_answer(
        &mut self,
        now: Moment,
        answer: PlatformAnswer,
    ) -> Vec<FinishedChange<M, R>> {
        match mem::replace(&mut self.in_flight, InFlightCall::Idle) {
            InFlightCall::Idle => Vec::new(),
            InFlightCall::Reading => {
                self.handle_read_answer(now, answer);
                Vec::new()
            }
            InFlightCall::Writing { next, batch, results } => match answer {
                PlatformAnswer::Written(revision) => {
                    self.finish_write(revision, next, batch, results)
                }
                other => {
                    self.handle_write_failure(now, other, batch);
                    Vec::new()
                }
            },
        }
    }

    fn handle_read_answer(&mut self, now: Moment, answer: PlatformAnswer) {
        match answer {
            PlatformAnswer::Value(Some(StoredValue { revision, value, .. })) => {
                self.backoff = MIN_STORE_BACKOFF;
                self.replace_document(revision, &value);
            }
            PlatformAnswer::Value(None) => {
                self.backoff = MIN_STORE_BACKOFF;
                self.is_loaded = true;
            }
            _ => self.back_off(now),
        }
    }

    fn handle_write_failure(
        &mut self,
        now: Moment,
        answer: PlatformAnswer,
        batch: Vec<BatchEntry<M>>,
    ) {
        let is_certain = matches!(answer, PlatformAnswer::Conflict | PlatformAnswer::Refused);
        let retained = batch.into_iter().filter(|entry| !entry.is_withdrawn);
        let retried = retained.map(|entry| BatchEntry {
            was_attempted: entry.was_attempted && answer != PlatformAnswer::Conflict || !is_certain,
            ..entry
        });
        self.queued.splice(0..0, retried);
        self.needs_read = true;
        if answer != PlatformAnswer::Conflict {
            self.back_off(now);
        }
    }

    fn finish_write(
        &mut self,
        revision: Revision,
        next: D,
        batch: Vec<BatchEntry<M>>,
        results: Vec<R>,
    ) -> Vec<FinishedChange<M, R>> {
        self.backoff = MIN_STORE_BACKOFF;
        if revision > self.revision {
            self.doc = next;
            self.revision = revision;
        }
        pair_results(batch, results)
    }

    fn back_off(&mut self, now: Moment) {
        self.needs_read = true;
        self.retry_at = now + self.backoff;
        self.backoff = Millis((self.backoff.0 * 2).min(MAX_STORE_BACKOFF.0));
    }
}

fn pair_results<M, R>(batch: Vec<BatchEntry<M>>, results: Vec<R>) -> Vec<FinishedChange<M, R>> {
    let pairs = batch.into_iter().zip(results);
    pairs.map(|(entry, result)| FinishedChange { mutation: entry.mutation, result }).collect()
}
