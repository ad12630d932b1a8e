//! Orders teams by their recent service when a pool is full.
//!
//! Each daemon tracks the service that it recently gave to each team, decayed
//! with a half-life, and receives the same figures from its peers. The team with
//! the least service relative to its share starts next. The decay limits the
//! credit of an idle team to the last few seconds, so a team gets its share back
//! within seconds, and a long idle time earns no further credit.

use std::collections::BTreeMap;

use state::{DaemonId, Millis, Moment, TeamId};

use crate::frame::TeamService;

/// Time in which recorded service decays to half.
const HALF_LIFE: Millis = Millis(5_000);

/// Minimum change of a team's service that is reported to peers, in
/// slot-milliseconds.
const MIN_REPORTED_CHANGE: f64 = 1.0;

/// Maximum number of teams that one frame reports.
const MAX_REPORTED_TEAMS: usize = 4;

/// Service in slot-milliseconds that decays exponentially from `at`.
#[derive(Debug, Clone, Copy)]
struct DecayingService {
    value: f64,
    at: Moment,
}

impl DecayingService {
    fn value_at(&self, now: Moment) -> f64 {
        let halvings = (now - self.at).0 as f64 / HALF_LIFE.0 as f64;
        self.value * (-halvings).exp2()
    }

    fn add(&mut self, amount: f64, now: Moment) {
        self.value = (self.value_at(now) + amount).max(0.0);
        self.at = now;
    }
}

/// Recent service by team, given by this daemon and by its peers.
#[derive(Debug, Clone, Default)]
pub(crate) struct ShareTable {
    local: BTreeMap<TeamId, DecayingService>,
    remote: BTreeMap<DaemonId, BTreeMap<TeamId, DecayingService>>,
    last_reported: BTreeMap<TeamId, DecayingService>,
}

impl ShareTable {
    /// Adds service in slot-milliseconds that this daemon gives to a team; a
    /// negative amount corrects an earlier estimate.
    pub(crate) fn add_service(&mut self, team: &TeamId, amount: f64, now: Moment) {
        if let Some(service) = self.local.get_mut(team) {
            return service.add(amount, now);
        }
        self.local.insert(team.clone(), DecayingService { value: amount.max(0.0), at: now });
    }

    /// Records the service that a peer reports. Teams missing from the report keep
    /// their last reported value, which decays.
    pub(crate) fn record_report(&mut self, peer: &DaemonId, report: &[TeamService], now: Moment) {
        let teams = self.remote.entry(peer.clone()).or_default();
        for row in report {
            teams.insert(row.team.clone(), DecayingService { value: row.service as f64, at: now });
        }
    }

    /// Removes the peers for which `keep` does not hold, such as former members.
    pub(crate) fn retain_peers(&mut self, keep: impl Fn(&DaemonId) -> bool) {
        self.remote.retain(|peer, _| keep(peer));
    }

    /// Service of a team divided by its share; the team with the lowest rank starts
    /// next.
    pub(crate) fn rank(&self, team: &TeamId, share: u32, now: Moment) -> f64 {
        let local = self.local.get(team).map_or(0.0, |service| service.value_at(now));
        let remote = self.remote.values().filter_map(|teams| teams.get(team));
        let remote: f64 = remote.map(|service| service.value_at(now)).sum();
        (local + remote) / f64::from(share.max(1))
    }

    /// Selects the service to report to peers: the teams whose service differs most
    /// from the last report. The bound on their number keeps the size of a frame
    /// independent of the number of teams.
    pub(crate) fn prepare_report(&mut self, now: Moment) -> Vec<TeamService> {
        let mut changes: Vec<(f64, TeamId, f64)> = Vec::new();
        for (team, service) in &self.local {
            let value = service.value_at(now);
            let reported =
                self.last_reported.get(team).map_or(0.0, |service| service.value_at(now));
            let difference = (value - reported).abs();
            if difference >= MIN_REPORTED_CHANGE {
                changes.push((difference, team.clone(), value));
            }
        }
        changes.sort_by(|a, b| b.0.total_cmp(&a.0));
        changes.truncate(MAX_REPORTED_TEAMS);
        for (_, team, value) in &changes {
            self.last_reported.insert(team.clone(), DecayingService { value: *value, at: now });
        }
        let row =
            |(_, team, value): (f64, TeamId, f64)| TeamService { team, service: value as u64 };
        changes.into_iter().map(row).collect()
    }
}
