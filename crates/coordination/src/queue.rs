//! Requests of one pool that wait for a slot, by team.

use std::collections::{BTreeMap, VecDeque};

use state::TeamId;

/// A waiting request's key in the table of requests.
pub(crate) type CallKey = usize;

/// Waiting requests by team; `None` is work of a queue open to all.
#[derive(Debug, Clone, Default)]
pub(crate) struct PoolQueue {
    teams: BTreeMap<Option<TeamId>, VecDeque<CallKey>>,
    len: usize,
}

impl PoolQueue {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn waiting_of(&self, team: &Option<TeamId>) -> usize {
        self.teams.get(team).map_or(0, VecDeque::len)
    }

    pub(crate) fn teams(&self) -> impl Iterator<Item = &Option<TeamId>> {
        self.teams.keys()
    }

    pub(crate) fn push(&mut self, team: &Option<TeamId>, call: CallKey) {
        self.entry(team).push_back(call);
        self.len += 1;
    }

    /// Puts a request that already had its turn at the head.
    pub(crate) fn push_front(&mut self, team: &Option<TeamId>, call: CallKey) {
        self.entry(team).push_front(call);
        self.len += 1;
    }

    fn entry(&mut self, team: &Option<TeamId>) -> &mut VecDeque<CallKey> {
        if !self.teams.contains_key(team) {
            self.teams.insert(team.clone(), VecDeque::new());
        }
        self.teams.get_mut(team).expect("inserted above")
    }

    pub(crate) fn pop(&mut self, team: &Option<TeamId>) -> Option<CallKey> {
        let calls = self.teams.get_mut(team)?;
        let call = calls.pop_front();
        if calls.is_empty() {
            self.teams.remove(team);
        }
        self.len -= usize::from(call.is_some());
        call
    }

    /// Takes out every request for which `leave` holds.
    pub(crate) fn drain_where(&mut self, mut leave: impl FnMut(CallKey) -> bool) -> Vec<CallKey> {
        let mut left = Vec::new();
        for calls in self.teams.values_mut() {
            calls.retain(|call| {
                let leaves = leave(*call);
                if leaves {
                    left.push(*call);
                }
                !leaves
            });
        }
        self.teams.retain(|_, calls| !calls.is_empty());
        self.len -= left.len();
        left
    }
}
