//! Queues the requests of one pool that wait for a slot, by team.

use std::collections::{BTreeMap, VecDeque};

use state::TeamId;

/// Key of a request in the table of requests.
pub(crate) type CallKey = usize;

/// Waiting requests by team. The key `None` stands for requests without a client
/// key, which only an open pool accepts.
#[derive(Debug, Clone, Default)]
pub(crate) struct PoolQueue {
    teams: BTreeMap<Option<TeamId>, VecDeque<CallKey>>,
    len: usize,
}

impl PoolQueue {
    /// Number of waiting requests of all teams.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Number of waiting requests of one team.
    pub(crate) fn waiting_count(&self, team: &Option<TeamId>) -> usize {
        self.teams.get(team).map_or(0, VecDeque::len)
    }

    /// Teams that have waiting requests.
    pub(crate) fn teams(&self) -> impl Iterator<Item = &Option<TeamId>> {
        self.teams.keys()
    }

    pub(crate) fn push(&mut self, team: &Option<TeamId>, call: CallKey) {
        self.queue_of(team).push_back(call);
        self.len += 1;
    }

    /// Returns a request that was taken from the queue to the head of the queue.
    pub(crate) fn push_front(&mut self, team: &Option<TeamId>, call: CallKey) {
        self.queue_of(team).push_front(call);
        self.len += 1;
    }

    fn queue_of(&mut self, team: &Option<TeamId>) -> &mut VecDeque<CallKey> {
        if !self.teams.contains_key(team) {
            self.teams.insert(team.clone(), VecDeque::new());
        }
        self.teams.get_mut(team).expect("the queue of the team was inserted above")
    }

    /// Removes the request of a team that has waited longest.
    pub(crate) fn pop(&mut self, team: &Option<TeamId>) -> Option<CallKey> {
        let calls = self.teams.get_mut(team)?;
        let call = calls.pop_front();
        if calls.is_empty() {
            self.teams.remove(team);
        }
        self.len -= usize::from(call.is_some());
        call
    }

    /// Removes and returns every request for which `should_remove` holds.
    pub(crate) fn drain_where(
        &mut self,
        mut should_remove: impl FnMut(CallKey) -> bool,
    ) -> Vec<CallKey> {
        let mut removed = Vec::new();
        for calls in self.teams.values_mut() {
            calls.retain(|call| {
                let is_removed = should_remove(*call);
                if is_removed {
                    removed.push(*call);
                }
                !is_removed
            });
        }
        self.teams.retain(|_, calls| !calls.is_empty());
        self.len -= removed.len();
        removed
    }
}
