//! Estimates how long the requests of a pool take, so that a request that can no
//! longer meet its deadline is refused before it takes a slot.
//!
//! A request that is sent with too little time left is aborted at its deadline,
//! and its slot stays occupied until the request is certain to have ended. Under
//! overload, such requests would take more and more slots from requests that can
//! still meet their deadlines.

use state::Millis;

/// Assumed mean service time before the first observation, in milliseconds.
const INITIAL_MEAN_MS: f64 = 50.0;
/// Weight of the newest observation in the moving averages.
const SMOOTHING_WEIGHT: f64 = 0.1;
/// Number of mean deviations that is added to the mean as a margin.
const DEVIATION_MARGIN: f64 = 2.0;

/// Exponentially weighted mean and mean deviation of service times, in
/// milliseconds.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ServiceEstimate {
    mean: f64,
    deviation: f64,
}

impl Default for ServiceEstimate {
    fn default() -> Self {
        Self { mean: INITIAL_MEAN_MS, deviation: 0.0 }
    }
}

impl ServiceEstimate {
    /// Adds the service time of a finished request, in milliseconds.
    pub(crate) fn observe(&mut self, service_ms: f64) {
        let error = service_ms - self.mean;
        self.mean += error * SMOOTHING_WEIGHT;
        self.deviation += (error.abs() - self.deviation) * SMOOTHING_WEIGHT;
    }

    /// Mean service time in milliseconds.
    pub(crate) fn mean_ms(&self) -> f64 {
        self.mean
    }

    /// Time that must remain when a request with the total time `timeout` is sent:
    /// at most half of `timeout`, so that no estimate makes a pool refuse every
    /// request.
    pub(crate) fn required_time(&self, timeout: Millis) -> Millis {
        let needed = (self.mean + self.deviation * DEVIATION_MARGIN) as u64;
        Millis(needed.min(timeout.0 / 2))
    }
}
