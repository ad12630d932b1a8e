//! Starts that were released while no answer had come.
//!
//! The known incarnation of the minion refuses such a start, since its validity is over. But the order may
//! still be on its way, and the next incarnation would carry it out, because its clock begins anew. The
//! owner therefore remembers the start for some time, and bars it in a new incarnation by a stop.

use std::collections::BTreeMap;

use state::{MinionId, Moment};

use super::minion::{MinionRun, RunKey};
use crate::timing::LATE_ORDER_RETENTION;

#[derive(Debug)]
struct GivenUpStart {
    key: RunKey,
    run: MinionRun,
    given_up_at: Moment,
}

/// Starts without an answer that no longer count as runs, by minion.
#[derive(Debug, Default)]
pub(super) struct GivenUpStarts {
    starts: BTreeMap<MinionId, Vec<GivenUpStart>>,
}

impl GivenUpStarts {
    /// Remembers a start.
    pub(super) fn add(&mut self, minion: &MinionId, key: RunKey, run: MinionRun, now: Moment) {
        let start = GivenUpStart { key, run, given_up_at: now };
        self.starts.entry(minion.clone()).or_default().push(start);
    }

    /// Removes and returns the starts that a new incarnation of a minion may still receive.
    pub(super) fn take(&mut self, minion: &MinionId) -> Vec<(RunKey, MinionRun)> {
        let starts = self.starts.remove(minion).unwrap_or_default();
        starts.into_iter().map(|start| (start.key, start.run)).collect()
    }

    /// Forgets the starts that no longer arrive.
    pub(super) fn expire(&mut self, now: Moment) {
        self.starts.retain(|_, starts| {
            starts.retain(|start| now < start.given_up_at + LATE_ORDER_RETENTION);
            !starts.is_empty()
        });
    }
}
