//! Timeout of a call on a thread that also does other work.

use std::fmt;
use std::future::Future;
use std::time::Duration;

use tokio::time::Instant;

/// Number of timers that make up a timeout.
const TIMEOUT_SLICES: u32 = 8;
/// Delay up to which a timer is on time.
const TIMER_TOLERANCE: Duration = Duration::from_millis(5);

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
/// The timeout is made of [`TIMEOUT_SLICES`] timers, one after the other. A thread that is
/// busy ends a timer late, and the server may have answered in the meantime, or may not even
/// have got the request. Such a delay counts as one slice at most, and a slice that ends late
/// is never the last one unless it is the additional one.
///
/// # Errors
///
/// Returns [`TimedOut`] if `call` has no result within `timeout`.
pub async fn wait_with_timeout<T>(
    timeout: Duration,
    call: impl Future<Output = T>,
) -> Result<T, TimedOut> {
    tokio::select! {
        biased;
        result = call => Ok(result),
        () = expire_slices(timeout / TIMEOUT_SLICES) => Err(TimedOut(timeout)),
    }
}

async fn expire_slices(slice: Duration) {
    for _ in 1..TIMEOUT_SLICES {
        tokio::time::sleep(slice).await;
    }
    let started = Instant::now();
    tokio::time::sleep(slice).await;
    if started.elapsed() > slice + TIMER_TOLERANCE {
        tokio::time::sleep(slice).await;
    }
}
