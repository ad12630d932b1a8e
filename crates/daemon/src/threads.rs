//! Threads with one duty each: calls to the platform and to workers, frames
//! from peers, and the clock.

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

/// Calls to the platform at one time.
const PLATFORM_THREAD_COUNT: usize = 8;
/// Calls to workers at one time.
const WORKER_THREAD_COUNT: usize = 8;
/// Stack of a thread that makes calls, in bytes.
const THREAD_STACK_BYTES: usize = 512 << 10;

/// Starts the threads that make calls.
pub fn start_call_threads(
    settings: &DaemonSettings,
    host: &Arc<CoreHost>,
    receivers: &ChannelReceivers,
) -> Result<()> {
    let platform = settings.platform.to_string();
    spawn("watch", serve_platform_calls(&platform, host, &receivers.watch))?;
    for _ in 0..PLATFORM_THREAD_COUNT {
        spawn("platform", serve_platform_calls(&platform, host, &receivers.platform))?;
    }
    for _ in 0..WORKER_THREAD_COUNT {
        spawn("worker", serve_worker_calls(host, &receivers.worker))?;
    }
    Ok(())
}

/// Starts the thread that writes decisions to the log.
pub fn start_log_thread(receivers: &ChannelReceivers) -> Result<()> {
    let decisions = receivers.decisions.clone();
    spawn("log", move || decisions.iter().for_each(|decision| logs::decision(&decision)))
}

/// Starts the thread that hands peers' frames to the machine.
pub fn start_frame_thread(host: &Arc<CoreHost>, frames: Receiver<Box<Frame>>) -> Result<()> {
    let host = Arc::clone(host);
    spawn("frames", move || {
        for frame in frames {
            host.post(Event::Frame(frame));
        }
    })
}

/// Starts the thread that tells the machine that time has passed.
pub fn start_clock_thread(host: &Arc<CoreHost>, mut metrics: MetricsExporter) -> Result<()> {
    let host = Arc::clone(host);
    let period = Duration::from_millis(Core::tick_period().0);
    spawn("clock", move || {
        let mut next = Instant::now();
        loop {
            host.post(Event::Tick);
            host.report(&mut metrics);
            next = (next + period).max(Instant::now());
            thread::sleep(next.saturating_duration_since(Instant::now()));
        }
    })
}

fn spawn(name: &str, run_thread: impl FnOnce() + Send + 'static) -> Result<()> {
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
