//! Checks that an order whose fencing token was refused is not sent again and again.

use std::collections::BTreeMap;

/// Time after a refusal in which the same daemon may still send orders under the refused token, in
/// milliseconds: the duration of a daemon's lease.
const LEASE_MS: u64 = 3_000;
/// Number of later orders that may be on their way by chance.
const MAX_REPEATED_ORDERS: u64 = 3;

/// Daemon, minion or VM, and fencing token of an order.
type OrderKey = (usize, String, u64);

/// Refused fencing tokens, and the orders under them that came later.
#[derive(Debug, Default)]
pub struct FenceRule {
    /// Virtual time of the first refusal, in milliseconds.
    refused_at: BTreeMap<OrderKey, u64>,
    pub repeated_orders: u64,
}

impl FenceRule {
    /// Records an order, and whether it was refused because of its fencing token.
    pub fn record_order(
        &mut self,
        now: u64,
        daemon: usize,
        target: &str,
        fencing_token: u64,
        is_refused: bool,
    ) {
        let key = (daemon, target.to_owned(), fencing_token);
        let is_repeated = self.refused_at.get(&key).is_some_and(|at| now > at + LEASE_MS);
        self.repeated_orders += u64::from(is_repeated);
        if is_refused {
            self.refused_at.entry(key).or_insert(now);
        }
    }

    pub fn has_refusals(&self) -> bool {
        !self.refused_at.is_empty()
    }

    pub fn is_broken(&self) -> bool {
        self.repeated_orders > MAX_REPEATED_ORDERS
    }
}
