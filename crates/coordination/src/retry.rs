//! Limits retries to a fraction of the requests, so that retries do not overload
//! a failing pool.

use std::collections::BTreeMap;

use state::{PoolId, TeamId};

/// Budget that each first attempt adds, in thousandths of a retry.
const REQUEST_CREDIT_MILLI: u32 = 100;
/// Maximum budget, in thousandths of a retry.
const MAX_BUDGET_MILLI: u32 = 10_000;
/// Initial budget, in thousandths of a retry.
const INITIAL_BUDGET_MILLI: u32 = 3_000;
/// Cost of one retry, in thousandths of a retry.
const RETRY_COST_MILLI: u32 = 1_000;

type BudgetKey = (Option<TeamId>, PoolId);

/// Retry budgets by team and pool, in thousandths of a retry.
#[derive(Debug, Clone, Default)]
pub(crate) struct RetryBudgets {
    budgets: BTreeMap<BudgetKey, u32>,
}

impl RetryBudgets {
    /// Adds the credit of a first attempt to its budget.
    pub(crate) fn add_credit(&mut self, team: &Option<TeamId>, pool: &PoolId) {
        let key = (team.clone(), pool.clone());
        let budget = self.budgets.entry(key).or_insert(INITIAL_BUDGET_MILLI);
        *budget = (*budget + REQUEST_CREDIT_MILLI).min(MAX_BUDGET_MILLI);
    }

    /// Spends one retry and returns true, if the budget allows a retry.
    pub(crate) fn try_spend(&mut self, team: &Option<TeamId>, pool: &PoolId) -> bool {
        let key = (team.clone(), pool.clone());
        let budget = self.budgets.entry(key).or_insert(INITIAL_BUDGET_MILLI);
        match budget.checked_sub(RETRY_COST_MILLI) {
            Some(remaining) => {
                *budget = remaining;
                true
            }
            None => false,
        }
    }
}
