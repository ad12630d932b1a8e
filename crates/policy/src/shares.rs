//! Orders teams by weighted fair shares of a full pool.
//!
//! Each team has a weight and an account of the processor time that its tasks have used. The
//! account decays with a half-life of a few seconds, so that a team may use what others leave
//! idle and has its full share again soon afterwards. The load of a team is its account, and the
//! work that is selected for it, divided by its weight; when something has to be left out, the
//! team with the highest load loses first (`overload`).

use std::collections::BTreeMap;

use state::{Millis, Moment, TeamId};

/// Time in which half of a recorded use is forgotten.
const USE_HALF_LIFE: Millis = Millis(3_000);
/// Weight of every team if no team of the configuration has a positive share.
const DEFAULT_WEIGHT: f64 = 1.0;

/// What a team may use of its limit in one pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct TeamLimit {
    /// Limit of the team without its use elsewhere, in millicores.
    millicores: u64,
    /// Part of `millicores` that is not in use, in millicores.
    free_millicores: u64,
}

impl TeamLimit {
    /// Returns the work that the team can start within a time if tasks run for `run_time`, in
    /// millicores times milliseconds.
    pub(crate) fn work_started_within(&self, duration_ms: u64, run_time: Millis) -> u128 {
        let started_now = u128::from(self.free_millicores) * u128::from(run_time.0);
        u128::from(self.millicores) * u128::from(duration_ms) + started_now
    }
}

/// Processor time that teams use at present, in millicores.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TeamUse {
    /// Use in the pool whose jobs are selected.
    pub here: BTreeMap<TeamId, u64>,
    /// Use in all other pools.
    pub elsewhere: BTreeMap<TeamId, u64>,
}

/// Weights and decaying accounts of all teams.
#[derive(Debug, Default)]
pub struct TeamShares {
    weights: BTreeMap<TeamId, f64>,
    /// Lowest positive weight, which teams without one get.
    lowest_weight: Option<f64>,
    /// Limit of each team, in millicores.
    limits: BTreeMap<TeamId, u64>,
    /// Use when it was last recorded.
    present_use: TeamUse,
    /// Decayed use of each team, in millicores times milliseconds.
    used_work: BTreeMap<TeamId, f64>,
    /// Time up to which use is recorded.
    recorded_until: Option<Moment>,
}

impl TeamShares {
    /// Replaces the weights of all teams by the shares of a configuration. A share that is not
    /// positive, and that of an unknown team, counts as the lowest positive one.
    pub fn set_weights(&mut self, shares: impl IntoIterator<Item = (TeamId, f64)>) {
        let is_weight = |share: &(TeamId, f64)| share.1 > 0.0 && share.1.is_finite();
        self.weights = shares.into_iter().filter(is_weight).collect();
        self.lowest_weight = self.weights.values().copied().reduce(f64::min);
    }

    /// Replaces the limits of all teams, in millicores.
    pub fn set_limits(&mut self, limits: impl IntoIterator<Item = (TeamId, u64)>) {
        self.limits = limits.into_iter().collect();
    }

    /// Records what the teams have used since the last call.
    pub fn record_use(&mut self, now: Moment, present_use: TeamUse) {
        self.present_use = present_use;
        let Some(since) = self.recorded_until.replace(now) else { return };
        let decay = (-((now - since).0 as f64) / USE_HALF_LIFE.0 as f64).exp2();
        // Integral of a constant use that decays while it is recorded.
        let decayed_ms = (1.0 - decay) * USE_HALF_LIFE.0 as f64 / std::f64::consts::LN_2;
        self.used_work.retain(|_, work| {
            *work *= decay;
            *work >= 1.0
        });
        for (team, millicores) in self.present_use.here.iter().chain(&self.present_use.elsewhere) {
            *self.used_work.entry(team.clone()).or_default() += *millicores as f64 * decayed_ms;
        }
    }

    /// Returns the weight of a team; jobs without a team have the lowest one.
    pub fn weight(&self, team: Option<&TeamId>) -> f64 {
        let known = team.and_then(|team| self.weights.get(team)).copied();
        known.or(self.lowest_weight).unwrap_or(DEFAULT_WEIGHT)
    }

    /// Returns the decayed use of a team, in millicores times milliseconds.
    pub fn used_work(&self, team: Option<&TeamId>) -> f64 {
        team.and_then(|team| self.used_work.get(team)).copied().unwrap_or(0.0)
    }

    /// Returns what a team may use of its limit in this pool; `None` for a team without a limit.
    pub(crate) fn limit(&self, team: Option<&TeamId>) -> Option<TeamLimit> {
        let team = team?;
        let limit = *self.limits.get(team)?;
        let use_in = |by_team: &BTreeMap<TeamId, u64>| by_team.get(team).copied().unwrap_or(0);
        let millicores = limit.saturating_sub(use_in(&self.present_use.elsewhere));
        let free_millicores = millicores.saturating_sub(use_in(&self.present_use.here));
        Some(TeamLimit { millicores, free_millicores })
    }
}
