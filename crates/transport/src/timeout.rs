//! Timeout of a call on a thread that also does other work.

use std::fmt;
use std::future::Future;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::{Instant, sleep};

/// Delay up to which a timer is on time.
const TIMER_TOLERANCE: Duration = Duration::from_millis(10);

/// Total time for which a thread was too busy to run its tasks.
#[derive(Debug, Default)]
pub struct StallMeter {
    total_ms: AtomicU64,
}

impl StallMeter {
    /// Adds the delay of a periodic timer of the thread, unless the timer was on time.
    pub fn record_delay(&self, delay: Duration) {
        if delay > TIMER_TOLERANCE {
            self.total_ms.fetch_add(delay.as_millis() as u64, Ordering::Relaxed);
        }
    }

    fn total(&self) -> Duration {
        Duration::from_millis(self.total_ms.load(Ordering::Relaxed))
    }
}

/// Error for a call without a result within its timeout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimedOut(pub Duration);

impl fmt::Display for TimedOut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no answer within {:?}", self.0)
    }
}

impl std::error::Error for TimedOut {}

/// Waits for `call` for at most `timeout`, without the time for which the thread was busy.
///
/// While the thread is busy, the server's answer may wait in the socket, or the request may
/// not even have been sent. A timeout in which `meter` or the timer itself shows such a delay
/// is extended by the delay, to at most twice its duration.
///
/// # Errors
///
/// Returns [`TimedOut`] if `call` has no result within `timeout`.
pub async fn wait_with_timeout<T>(
    meter: &StallMeter,
    timeout: Duration,
    call: impl Future<Output = T>,
) -> Result<T, TimedOut> {
    tokio::select! {
        biased;
        result = call => Ok(result),
        () = expire(meter, timeout) => Err(TimedOut(timeout)),
    }
}

async fn expire(meter: &StallMeter, timeout: Duration) {
    let mut wait = timeout;
    let mut extension = timeout;
    while !wait.is_zero() {
        let (started, stalled_before) = (Instant::now(), meter.total());
        sleep(wait).await;
        let delay = started.elapsed().saturating_sub(wait);
        let delay = if delay > TIMER_TOLERANCE { delay } else { Duration::ZERO };
        wait = delay.max(meter.total() - stalled_before).min(extension);
        extension -= wait;
    }
}
