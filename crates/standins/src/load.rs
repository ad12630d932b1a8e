//! Sends a bounded number of requests and prints one JSON line of figures.

use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use eyre::{Result, eyre};
use hdrhistogram::Histogram;
use serde_json::json;
use transport::{HttpRequest, send_http};

/// Requests that each caller sends before any is counted.
const WARM_UP: u32 = 50;
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
const LONGEST_US: u64 = 60_000_000;
const FIGURES: u8 = 3;

/// What a load run is told.
pub struct LoadSettings {
    /// What the figures are of.
    pub name: String,
    /// IP address and port.
    pub target: String,
    /// Path of the requests.
    pub path: String,
    /// Key to show.
    pub key: Option<String>,
    /// Callers at one time.
    pub callers: u32,
    /// Requests in all.
    pub requests: u32,
}

struct CallerFigures {
    times: Histogram<u64>,
    failures: u64,
}

/// Runs one load and prints its figures.
///
/// # Errors
///
/// The reason why the figures could not be taken.
pub fn run_load(settings: &LoadSettings) -> Result<()> {
    let left = AtomicU32::new(settings.requests);
    let started = Instant::now();
    let figures: Vec<Result<CallerFigures>> = thread::scope(|scope| {
        let callers: Vec<_> =
            (0..settings.callers).map(|_| scope.spawn(|| run_caller(settings, &left))).collect();
        let join = |caller: thread::ScopedJoinHandle<'_, _>| {
            caller.join().unwrap_or_else(|_| Err(eyre!("a caller ended early")))
        };
        callers.into_iter().map(join).collect()
    });
    let elapsed = started.elapsed().as_secs_f64();
    let mut times = Histogram::<u64>::new_with_max(LONGEST_US, FIGURES)?;
    let mut failures = 0;
    for caller in figures {
        let caller = caller?;
        times.add(&caller.times)?;
        failures += caller.failures;
    }
    let warm_up = u64::from(WARM_UP * settings.callers);
    let line = json!({
        "figure": settings.name,
        "callers": settings.callers,
        "requests": times.len(),
        "failures": failures,
        "p50_us": times.value_at_quantile(0.5),
        "p99_us": times.value_at_quantile(0.99),
        "per_second": ((times.len() + warm_up) as f64 / elapsed).round(),
    });
    println!("{line}");
    Ok(())
}

fn run_caller(settings: &LoadSettings, left: &AtomicU32) -> Result<CallerFigures> {
    let mut figures =
        CallerFigures { times: Histogram::new_with_max(LONGEST_US, FIGURES)?, failures: 0 };
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
    for _ in 0..WARM_UP {
        let _ = send_http(&call);
    }
    let take = |left: u32| left.checked_sub(1);
    while left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok() {
        let started = Instant::now();
        match send_http(&call) {
            Ok(answer) if answer.status == 200 => {
                figures
                    .times
                    .record((started.elapsed().as_micros() as u64).clamp(1, LONGEST_US))?;
            }
            _ => figures.failures += 1,
        }
    }
    Ok(figures)
}
