//! How long a pool's requests take, so that one that can no longer be on time is
//! refused before it takes a slot.
//!
//! A request that is sent with too little time left breaks off, and its slot is
//! then lost until it has ended for certain. Under overload that would take ever
//! more slots from the requests that could still be on time.

use state::Millis;

/// What a request of an unknown pool is taken to need, in milliseconds.
const FIRST_MEAN_MS: f64 = 50.0;
/// Weight of the newest request.
const WEIGHT: f64 = 0.1;
/// Deviations above the mean that a request is allowed for.
const DEVIATIONS: f64 = 2.0;

/// Mean and mean deviation of service times, weighted to the newest.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ServiceEstimate {
    mean: f64,
    deviation: f64,
}

impl Default for ServiceEstimate {
    fn default() -> Self {
        Self { mean: FIRST_MEAN_MS, deviation: 0.0 }
    }
}

impl ServiceEstimate {
    pub(crate) fn observe(&mut self, took: f64) {
        let error = took - self.mean;
        self.mean += error * WEIGHT;
        self.deviation += (error.abs() - self.deviation) * WEIGHT;
    }

    pub(crate) fn mean_ms(&self) -> f64 {
        self.mean
    }

    /// Time that must be left when a request with `span` in all is sent; never
    /// more than half of it, so that no estimate shuts a pool.
    pub(crate) fn needed(&self, span: Millis) -> Millis {
        let needed = (self.mean + self.deviation * DEVIATIONS) as u64;
        Millis(needed.min(span.0 / 2))
    }
}
