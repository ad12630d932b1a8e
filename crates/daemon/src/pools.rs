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

use crate::logs;
use crate::machine::Machine;
use crate::metrics::Metrics;
use crate::ring::{ChannelReceivers, PlatformJob, WorkerJob};

/// Calls to the platform at one time.
const PLATFORM_THREADS: usize = 8;
/// Calls to workers at one time.
const WORKER_THREADS: usize = 8;
/// Stack of a thread that makes calls, in bytes.
const STACK_BYTES: usize = 512 << 10;

/// Starts the threads that make calls.
pub fn start_calls(
    settings: &DaemonSettings,
    machine: &Arc<Machine>,
    outlets: &ChannelReceivers,
) -> Result<()> {
    let platform = settings.platform.to_string();
    spawn("watch", platform_duty(&platform, machine, &outlets.watch))?;
    for _ in 0..PLATFORM_THREADS {
        spawn("platform", platform_duty(&platform, machine, &outlets.platform))?;
    }
    for _ in 0..WORKER_THREADS {
        spawn("worker", worker_duty(machine, &outlets.worker))?;
    }
    Ok(())
}

/// Starts the thread that writes decisions to the log.
pub fn start_log(outlets: &ChannelReceivers) -> Result<()> {
    let decisions = outlets.decisions.clone();
    spawn("log", move || decisions.iter().for_each(|decision| logs::decision(&decision)))
}

/// Starts the thread that hands peers' frames to the machine.
pub fn start_frames(machine: &Arc<Machine>, frames: Receiver<Box<Frame>>) -> Result<()> {
    let machine = Arc::clone(machine);
    spawn("frames", move || {
        for frame in frames {
            machine.post(Event::Frame(frame));
        }
    })
}

/// Starts the thread that tells the machine that time has passed.
pub fn start_clock(machine: &Arc<Machine>, mut metrics: Metrics) -> Result<()> {
    let machine = Arc::clone(machine);
    let period = Duration::from_millis(Core::tick_period().0);
    spawn("clock", move || {
        let mut next = Instant::now();
        loop {
            machine.post(Event::Tick);
            machine.report(&mut metrics);
            next = (next + period).max(Instant::now());
            thread::sleep(next.saturating_duration_since(Instant::now()));
        }
    })
}

fn spawn(name: &str, duty: impl FnOnce() + Send + 'static) -> Result<()> {
    let builder = thread::Builder::new().name(name.into()).stack_size(STACK_BYTES);
    builder.spawn(duty).map(drop).wrap_err_with(|| format!("cannot start a {name} thread"))
}

fn platform_duty(
    address: &str,
    machine: &Arc<Machine>,
    jobs: &Receiver<PlatformJob>,
) -> impl FnOnce() + Send + 'static {
    let (machine, jobs, address) = (Arc::clone(machine), jobs.clone(), address.to_owned());
    move || {
        for job in jobs {
            let answer = call_platform(&address, &job.request);
            machine.post(Event::Platform { call: job.call, answer });
        }
    }
}

fn worker_duty(
    machine: &Arc<Machine>,
    jobs: &Receiver<WorkerJob>,
) -> impl FnOnce() + Send + 'static {
    let (machine, jobs) = (Arc::clone(machine), jobs.clone());
    move || {
        for job in jobs {
            let answer = call_worker(&job.address, &job.request);
            machine.post(Event::Worker { call: job.call, answer });
        }
    }
}
