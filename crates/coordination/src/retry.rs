//! Bounds retries to a fraction of requests, so that a failing pool is not
//! buried under repeats.

use std::collections::BTreeMap;

use state::{PoolId, TeamId};

/// Retries earned by each fresh request, in thousandths.
const EARNED_MILLI: u32 = 100;
/// Most retries that can be saved up, in thousandths.
const SAVED_MILLI: u32 = 10_000;
/// What a budget starts with, in thousandths.
const INITIAL_MILLI: u32 = 3_000;
const RETRY_MILLI: u32 = 1_000;

type BudgetKey = (Option<TeamId>, PoolId);

/// Retry budgets by team and pool.
#[derive(Debug, Clone, Default)]
pub(crate) struct RetryBudgets {
    budgets: BTreeMap<BudgetKey, u32>,
}

impl RetryBudgets {
    /// Notes a fresh request.
    pub(crate) fn earn(&mut self, team: &Option<TeamId>, pool: &PoolId) {
        let key = (team.clone(), pool.clone());
        let saved = self.budgets.entry(key).or_insert(INITIAL_MILLI);
        *saved = (*saved + EARNED_MILLI).min(SAVED_MILLI);
    }

    /// Spends one retry, if the budget allows it.
    pub(crate) fn spend(&mut self, team: &Option<TeamId>, pool: &PoolId) -> bool {
        let key = (team.clone(), pool.clone());
        let saved = self.budgets.entry(key).or_insert(INITIAL_MILLI);
        match saved.checked_sub(RETRY_MILLI) {
            Some(left) => {
                *saved = left;
                true
            }
            None => false,
        }
    }
}
