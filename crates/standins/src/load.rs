//! The load generator: sends a fixed number of requests from concurrent callers
//! and prints the measured latencies and throughput as one JSON line.

use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use eyre::{Result, eyre};
use hdrhistogram::Histogram;
use serde_json::json;
use transport::{HttpRequest, send_http};

/// Requests that each caller sends before its first measured request.
const WARM_UP_REQUESTS: u32 = 50;
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Upper bound of the histogram; longer latencies are recorded as this value.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Precision of the histogram, in significant decimal digits.
const HISTOGRAM_DIGITS: u8 = 3;

/// Settings of one load run.
pub struct LoadSettings {
    /// Name of the measurement, printed as `figure` in the JSON line.
    pub name: String,
    /// IP address and port that receive the requests.
    pub target: String,
    /// Path of the requests, with the leading slash.
    pub path: String,
    /// API key sent as a bearer token; no `Authorization` header without a key.
    pub key: Option<String>,
    /// Number of concurrent callers.
    pub callers: u32,
    /// Number of measured requests over all callers.
    pub requests: u32,
}

struct CallerMeasurements {
    /// Latencies of the requests answered with status 200, in microseconds.
    latencies: Histogram<u64>,
    failures: u64,
}

/// Runs one load and prints its measurements as a JSON line to standard output.
///
/// # Errors
///
/// Fails if a caller's thread panics or a histogram cannot record a latency.
/// Failed requests are counted in the JSON line instead.
pub fn run_load(settings: &LoadSettings) -> Result<()> {
    let remaining_requests = AtomicU32::new(settings.requests);
    let started_at = Instant::now();
    let measurements: Vec<Result<CallerMeasurements>> = thread::scope(|scope| {
        let callers: Vec<_> = (0..settings.callers)
            .map(|_| scope.spawn(|| run_caller(settings, &remaining_requests)))
            .collect();
        let join_caller = |caller: thread::ScopedJoinHandle<'_, _>| {
            caller.join().unwrap_or_else(|_| Err(eyre!("the thread of a caller panicked")))
        };
        callers.into_iter().map(join_caller).collect()
    });
    let elapsed_secs = started_at.elapsed().as_secs_f64();
    let mut latencies = Histogram::<u64>::new_with_max(MAX_LATENCY_US, HISTOGRAM_DIGITS)?;
    let mut failures = 0;
    for caller in measurements {
        let caller = caller?;
        latencies.add(&caller.latencies)?;
        failures += caller.failures;
    }
    // The elapsed time includes the warm-up, so the throughput counts its requests too.
    let warm_up_requests = u64::from(WARM_UP_REQUESTS * settings.callers);
    let line = json!({
        "figure": settings.name,
        "callers": settings.callers,
        "requests": latencies.len(),
        "failures": failures,
        "p50_us": latencies.value_at_quantile(0.5),
        "p99_us": latencies.value_at_quantile(0.99),
        "per_second": ((latencies.len() + warm_up_requests) as f64 / elapsed_secs).round(),
    });
    println!("{line}");
    Ok(())
}

fn run_caller(
    settings: &LoadSettings,
    remaining_requests: &AtomicU32,
) -> Result<CallerMeasurements> {
    let mut measurements = CallerMeasurements {
        latencies: Histogram::new_with_max(MAX_LATENCY_US, HISTOGRAM_DIGITS)?,
        failures: 0,
    };
    let bearer = settings.key.as_ref().map(|key| format!("Bearer {key}"));
    let headers: Vec<(&str, &str)> =
        bearer.iter().map(|bearer| ("Authorization", bearer.as_str())).collect();
    let call = HttpRequest {
        method: "GET",
        address: &settings.target,
        path: &settings.path,
        headers: &headers,
        body: b"",
        timeout: REQUEST_TIMEOUT,
    };
    for _ in 0..WARM_UP_REQUESTS {
        let _ = send_http(&call);
    }
    let decrement = |remaining: u32| remaining.checked_sub(1);
    while remaining_requests.fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement).is_ok() {
        let started_at = Instant::now();
        match send_http(&call) {
            Ok(response) if response.status == 200 => {
                measurements
                    .latencies
                    .record((started_at.elapsed().as_micros() as u64).clamp(1, MAX_LATENCY_US))?;
            }
            _ => measurements.failures += 1,
        }
    }
    Ok(measurements)
}
