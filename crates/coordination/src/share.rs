//! Orders teams when all is full.
//!
//! Each daemon keeps the service it gave each team lately, decayed with a
//! half-life, and learns the same from its peers. The team with the least
//! service for its share starts next. Decay bounds what an idle team can claim
//! when it returns to the last few seconds, so lent shares come back within
//! seconds and no team is owed the past night.

use std::collections::BTreeMap;

use state::{DaemonId, Millis, Moment, TeamId};

use crate::frame::TeamService;

const HALF_LIFE: Millis = Millis(5_000);

/// A difference below this many slot-milliseconds is not told to peers.
const LEAST_TOLD: f64 = 1.0;

/// Teams told of in one frame, at most.
const MOST_TOLD: usize = 4;

#[derive(Debug, Clone, Copy)]
struct Decaying {
    value: f64,
    at: Moment,
}

impl Decaying {
    fn value_at(&self, now: Moment) -> f64 {
        let halvings = (now - self.at).0 as f64 / HALF_LIFE.0 as f64;
        self.value * (-halvings).exp2()
    }

    fn add(&mut self, amount: f64, now: Moment) {
        self.value = (self.value_at(now) + amount).max(0.0);
        self.at = now;
    }
}

/// Service by team, given here and elsewhere.
#[derive(Debug, Clone, Default)]
pub(crate) struct ShareTable {
    local: BTreeMap<TeamId, Decaying>,
    remote: BTreeMap<DaemonId, BTreeMap<TeamId, Decaying>>,
    last_told: BTreeMap<TeamId, Decaying>,
}

impl ShareTable {
    /// Adds service that this daemon gives; negative to correct an estimate.
    pub(crate) fn charge(&mut self, team: &TeamId, amount: f64, now: Moment) {
        if let Some(known) = self.local.get_mut(team) {
            return known.add(amount, now);
        }
        self.local.insert(team.clone(), Decaying { value: amount.max(0.0), at: now });
    }

    /// Takes what a peer says it gave; teams that it does not name stay as they
    /// were told last, and decay.
    pub(crate) fn peer_said(&mut self, peer: &DaemonId, told: &[TeamService], now: Moment) {
        let teams = self.remote.entry(peer.clone()).or_default();
        for row in told {
            teams.insert(row.team.clone(), Decaying { value: row.service as f64, at: now });
        }
    }

    /// Forgets a peer that is no member any more.
    pub(crate) fn retain_peers(&mut self, keep: impl Fn(&DaemonId) -> bool) {
        self.remote.retain(|peer, _| keep(peer));
    }

    /// Service for share: the team with the least goes first.
    pub(crate) fn rank(&self, team: &TeamId, share: u32, now: Moment) -> f64 {
        let local = self.local.get(team).map_or(0.0, |known| known.value_at(now));
        let remote = self.remote.values().filter_map(|teams| teams.get(team));
        let remote: f64 = remote.map(|known| known.value_at(now)).sum();
        (local + remote) / f64::from(share.max(1))
    }

    /// What to tell peers: the few teams whose service differs most from what
    /// peers were told last, so that a frame's size does not grow with the teams.
    pub(crate) fn told(&mut self, now: Moment) -> Vec<TeamService> {
        let mut news: Vec<(f64, TeamId, f64)> = Vec::new();
        for (team, known) in &self.local {
            let value = known.value_at(now);
            let before = self.last_told.get(team).map_or(0.0, |told| told.value_at(now));
            let difference = (value - before).abs();
            if difference >= LEAST_TOLD {
                news.push((difference, team.clone(), value));
            }
        }
        news.sort_by(|a, b| b.0.total_cmp(&a.0));
        news.truncate(MOST_TOLD);
        for (_, team, value) in &news {
            self.last_told.insert(team.clone(), Decaying { value: *value, at: now });
        }
        let row =
            |(_, team, value): (f64, TeamId, f64)| TeamService { team, service: value as u64 };
        news.into_iter().map(row).collect()
    }
}
