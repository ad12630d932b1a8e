//! Changes one document by compare-and-swap.
//!
//! All changes that arrive while a call is under way join the next write, so
//! the number of writes is bounded by the store's delay and not by the load
//! (group commit). A change is a value that `apply` can apply again without
//! harm: when a write's answer is lost, the document is read again and the same
//! changes are applied to what is found. A lost write that arrives late fails
//! its comparison, or is found by the comparison of the next write
//! (`docs/DESIGN.md`, "Lost answers").

use std::mem;

use serde::Serialize;
use serde::de::DeserializeOwned;
use state::{Millis, Moment, Revision};

use crate::event::{PlatformAnswer, PlatformRequest, StoredValue};
use crate::timing::{STORE_PAUSE, STORE_PAUSE_MAX};

/// Applies one change; applying it twice leaves what applying it once left.
pub type Apply<D, M, R> = fn(&mut D, &M) -> R;

/// A finished change with its result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finished<M, R> {
    /// The change.
    pub mutation: M,
    /// What came of it.
    pub result: R,
}

/// What the writer wants from the store next.
pub type WriterCall = PlatformRequest;

#[derive(Debug)]
enum Flight<D, M, R> {
    Idle,
    Reading,
    Writing { next: D, batch: Vec<BatchEntry<M>>, results: Vec<R> },
}

/// One change that is not known to be written.
#[derive(Debug)]
struct BatchEntry<M> {
    mutation: M,
    /// A write with it had no answer, so that write may have taken effect or may
    /// yet do so.
    attempted: bool,
    /// Whoever asked for it has given up, so it is not written again.
    withdrawn: bool,
}

/// What became of a withdrawn change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Withdrawal {
    /// It was not written and will not be.
    NotWritten,
    /// A write with it is under way; it will not be tried again.
    MayBeWritten,
}

/// The writer and cached copy of one document.
#[derive(Debug)]
pub struct DocumentWriter<D, M, R> {
    key: Box<str>,
    apply: Apply<D, M, R>,
    revision: Revision,
    doc: D,
    known: bool,
    reread: bool,
    waiting: Vec<BatchEntry<M>>,
    flight: Flight<D, M, R>,
    pause: Millis,
    resume_at: Moment,
}

impl<D, M, R> DocumentWriter<D, M, R>
where
    D: Clone + Default + PartialEq + Serialize + DeserializeOwned,
    M: Clone,
{
    /// A writer that knows nothing of the document yet.
    pub fn new(key: &str, apply: Apply<D, M, R>) -> Self {
        Self {
            key: key.into(),
            apply,
            revision: Revision(0),
            doc: D::default(),
            known: false,
            reread: true,
            waiting: Vec::new(),
            flight: Flight::Idle,
            pause: STORE_PAUSE,
            resume_at: Moment(0),
        }
    }

    /// The document as last read or written; the default before that.
    pub fn doc(&self) -> &D {
        &self.doc
    }

    /// The revision of [`Self::doc`].
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Whether the document has been read.
    pub fn is_known(&self) -> bool {
        self.known
    }

    /// Adds a change to the next write.
    pub fn submit(&mut self, mutation: M) {
        self.waiting.push(BatchEntry { mutation, attempted: false, withdrawn: false });
    }

    /// Changes that are not known to be written.
    pub fn pending(&self) -> impl Iterator<Item = &M> {
        let in_flight = match &self.flight {
            Flight::Writing { batch, .. } => batch.as_slice(),
            _ => &[],
        };
        self.waiting.iter().chain(in_flight).map(|entry| &entry.mutation)
    }

    /// Gives up a change, so that it cannot be written long after whoever asked
    /// for it was told that its fate is unknown.
    pub fn withdraw(&mut self, is_it: impl Fn(&M) -> bool) -> Withdrawal {
        let attempted = |entry: &BatchEntry<M>| is_it(&entry.mutation) && entry.attempted;
        let mut fate = match self.waiting.iter().any(attempted) {
            true => Withdrawal::MayBeWritten,
            false => Withdrawal::NotWritten,
        };
        self.waiting.retain(|entry| !is_it(&entry.mutation));
        if let Flight::Writing { batch, .. } = &mut self.flight {
            for entry in batch.iter_mut().filter(|entry| is_it(&entry.mutation)) {
                entry.withdrawn = true;
                fate = Withdrawal::MayBeWritten;
            }
        }
        fate
    }

    /// Brings changes that wait up to date before they are applied.
    pub fn amend(&mut self, mut bring_up: impl FnMut(&mut M)) {
        self.waiting.iter_mut().for_each(|entry| bring_up(&mut entry.mutation));
    }

    /// Whether a call is under way or still to be made.
    pub fn has_work(&self) -> bool {
        let in_flight = !matches!(self.flight, Flight::Idle);
        in_flight || self.reread || !self.known || !self.waiting.is_empty()
    }

    /// The write that is under way: what it replaces, and what by.
    pub fn proposed(&self) -> Option<(&D, &D)> {
        match &self.flight {
            Flight::Writing { next, .. } => Some((&self.doc, next)),
            _ => None,
        }
    }

    /// Asks for the document to be read again.
    pub fn refresh(&mut self) {
        self.reread = true;
    }

    /// Takes a newer value that was learned elsewhere, such as by a watch.
    pub fn observe(&mut self, revision: Revision, value: &str) {
        if revision > self.revision || !self.known {
            self.adopt(revision, value);
        }
    }

    fn adopt(&mut self, revision: Revision, value: &str) {
        if revision < self.revision {
            return;
        }
        if let Ok(doc) = serde_json::from_str(value) {
            self.doc = doc;
            self.revision = revision;
            self.known = true;
        }
    }

    /// The next call to make, if one is due, and the changes that need none.
    pub fn poll(&mut self, now: Moment) -> (Option<WriterCall>, Vec<Finished<M, R>>) {
        let idle = matches!(self.flight, Flight::Idle);
        if !idle || now < self.resume_at {
            return (None, Vec::new());
        }
        if self.reread || !self.known {
            return (Some(self.start_read()), Vec::new());
        }
        if self.waiting.is_empty() {
            return (None, Vec::new());
        }
        self.start_write()
    }

    fn start_read(&mut self) -> WriterCall {
        self.reread = false;
        self.flight = Flight::Reading;
        PlatformRequest::Get { key: self.key.clone() }
    }

    fn start_write(&mut self) -> (Option<WriterCall>, Vec<Finished<M, R>>) {
        let batch = mem::take(&mut self.waiting);
        let mut next = self.doc.clone();
        let results: Vec<R> =
            batch.iter().map(|entry| (self.apply)(&mut next, &entry.mutation)).collect();
        if next == self.doc {
            return (None, finish(batch, results));
        }
        let value = serde_json::to_string(&next).expect("a document is valid JSON").into();
        let call = PlatformRequest::Put { key: self.key.clone(), expect: self.revision, value };
        self.flight = Flight::Writing { next, batch, results };
        (Some(call), Vec::new())
    }

    /// Takes the store's answer; returns the changes that are now written.
    pub fn answered(&mut self, now: Moment, answer: PlatformAnswer) -> Vec<Finished<M, R>> {
        match mem::replace(&mut self.flight, Flight::Idle) {
            Flight::Idle => Vec::new(),
            Flight::Reading => {
                self.read_answered(now, answer);
                Vec::new()
            }
            Flight::Writing { next, batch, results } => match answer {
                PlatformAnswer::Written(revision) => self.written(revision, next, batch, results),
                other => {
                    self.write_failed(now, other, batch);
                    Vec::new()
                }
            },
        }
    }

    fn read_answered(&mut self, now: Moment, answer: PlatformAnswer) {
        match answer {
            PlatformAnswer::Value(Some(StoredValue { revision, value, .. })) => {
                self.pause = STORE_PAUSE;
                self.adopt(revision, &value);
            }
            PlatformAnswer::Value(None) => {
                self.pause = STORE_PAUSE;
                self.known = true;
            }
            _ => self.back_off(now),
        }
    }

    fn write_failed(&mut self, now: Moment, answer: PlatformAnswer, batch: Vec<BatchEntry<M>>) {
        let is_certain = matches!(answer, PlatformAnswer::Conflict | PlatformAnswer::Refused);
        let wanted = batch.into_iter().filter(|entry| !entry.withdrawn);
        let noted = wanted.map(|entry| BatchEntry {
            attempted: entry.attempted && answer != PlatformAnswer::Conflict || !is_certain,
            ..entry
        });
        self.waiting.splice(0..0, noted);
        self.reread = true;
        if answer != PlatformAnswer::Conflict {
            self.back_off(now);
        }
    }

    fn written(
        &mut self,
        revision: Revision,
        next: D,
        batch: Vec<BatchEntry<M>>,
        results: Vec<R>,
    ) -> Vec<Finished<M, R>> {
        self.pause = STORE_PAUSE;
        if revision > self.revision {
            self.doc = next;
            self.revision = revision;
        }
        finish(batch, results)
    }

    fn back_off(&mut self, now: Moment) {
        self.reread = true;
        self.resume_at = now + self.pause;
        self.pause = Millis((self.pause.0 * 2).min(STORE_PAUSE_MAX.0));
    }
}

fn finish<M, R>(batch: Vec<BatchEntry<M>>, results: Vec<R>) -> Vec<Finished<M, R>> {
    let pairs = batch.into_iter().zip(results);
    pairs.map(|(entry, result)| Finished { mutation: entry.mutation, result }).collect()
}
