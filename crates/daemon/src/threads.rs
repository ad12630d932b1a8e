//! Starts the threads that make calls to the platform and to workers, log decisions, and post
//! frames from peers and clock ticks.
//!
//! Each thread does one kind of work. Answers and frames reach the state machine as events.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use coordination::{Core, Event, Frame};
use crossbeam::channel::Receiver;
use eyre::{Context, Result};
use state::DaemonSettings;
use transport::{call_platform, call_worker};

use crate::channels::{ChannelReceivers, QueuedPlatformCall, QueuedWorkerCall};
use crate::core_host::CoreHost;
use crate::logs;
use crate::metrics::MetricsExporter;

/// Number of platform calls in progress at one time, watches not counted.
const PLATFORM_THREAD_COUNT: usize = 8;
/// Number of worker calls in progress at one time.
const WORKER_THREAD_COUNT: usize = 8;
/// Stack size of each thread, in bytes.
const THREAD_STACK_BYTES: usize = 512 << 10;

/// Starts the threads that make calls: one for watches, several for other platform calls and
/// for worker calls.
pub fn start_call_threads(
    settings: &DaemonSettings,
    host: &Arc<CoreHost>,
    receivers: &ChannelReceivers,
) -> Result<()> {
    let platform = settings.platform.to_string();
    spawn_thread("watch", serve_platform_calls(&platform, host, &receivers.watch))?;
    for _ in 0..PLATFORM_THREAD_COUNT {
        spawn_thread("platform", serve_platform_calls(&platform, host, &receivers.platform))?;
    }
    for _ in 0..WORKER_THREAD_COUNT {
        spawn_thread("worker", serve_worker_calls(host, &receivers.worker))?;
    }
    Ok(())
}

/// Starts the thread that logs decisions.
pub fn start_log_thread(receivers: &ChannelReceivers) -> Result<()> {
    let decisions = receivers.decisions.clone();
    spawn_thread("log", move || decisions.iter().for_each(|decision| logs::log_decision(&decision)))
}

/// Starts the thread that posts frames from peers as events.
pub fn start_frame_thread(host: &Arc<CoreHost>, frames: Receiver<Box<Frame>>) -> Result<()> {
    let host = Arc::clone(host);
    spawn_thread("frames", move || {
        for frame in frames {
            host.post(Event::Frame(frame));
        }
    })
}

/// Starts the thread that posts a tick and exports metrics once per tick period.
pub fn start_clock_thread(host: &Arc<CoreHost>, mut exporter: MetricsExporter) -> Result<()> {
    let host = Arc::clone(host);
    let period = Duration::from_millis(Core::tick_period().0);
    spawn_thread("clock", move || {
        let mut next_tick = Instant::now();
        loop {
            host.post(Event::Tick);
            host.export_metrics(&mut exporter);
            next_tick = (next_tick + period).max(Instant::now());
            thread::sleep(next_tick.saturating_duration_since(Instant::now()));
        }
    })
}

fn spawn_thread(name: &str, run_thread: impl FnOnce() + Send + 'static) -> Result<()> {
    let builder = thread::Builder::new().name(name.into()).stack_size(THREAD_STACK_BYTES);
    builder.spawn(run_thread).map(drop).wrap_err_with(|| format!("cannot start a {name} thread"))
}

fn serve_platform_calls(
    address: &str,
    host: &Arc<CoreHost>,
    queued_calls: &Receiver<QueuedPlatformCall>,
) -> impl FnOnce() + Send + 'static {
    let (host, queued_calls, address) =
        (Arc::clone(host), queued_calls.clone(), address.to_owned());
    move || {
        for queued_call in queued_calls {
            let answer = call_platform(&address, &queued_call.request);
            host.post(Event::Platform { call: queued_call.call, answer });
        }
    }
}

fn serve_worker_calls(
    host: &Arc<CoreHost>,
    queued_calls: &Receiver<QueuedWorkerCall>,
) -> impl FnOnce() + Send + 'static {
    let (host, queued_calls) = (Arc::clone(host), queued_calls.clone());
    move || {
        for queued_call in queued_calls {
            let answer = call_worker(&queued_call.address, &queued_call.request);
            host.post(Event::Worker { call: queued_call.call, answer });
        }
    }
}
