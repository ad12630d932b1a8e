//! Threads that make calls to the platform and to workers.

use std::thread;

use coordination::Event;
use eyre::{Context, Result};
use state::DaemonSettings;
use transport::{call_platform, call_worker};

use crate::ring::Rings;

/// Calls to the platform at one time.
const PLATFORM_THREADS: usize = 8;
/// Calls to workers at one time.
const WORKER_THREADS: usize = 8;
/// Stack of a thread that makes calls, in bytes.
const STACK_BYTES: usize = 512 << 10;

/// Starts all of them.
pub fn start(settings: &DaemonSettings, rings: &Rings) -> Result<()> {
    let platform = settings.platform.to_string();
    spawn("watch", platform_duty(&platform, rings, true))?;
    for _ in 0..PLATFORM_THREADS {
        spawn("platform", platform_duty(&platform, rings, false))?;
    }
    for _ in 0..WORKER_THREADS {
        spawn("worker", worker_duty(rings))?;
    }
    Ok(())
}

fn spawn(name: &str, duty: impl FnOnce() + Send + 'static) -> Result<()> {
    let builder = thread::Builder::new().name(name.into()).stack_size(STACK_BYTES);
    builder.spawn(duty).map(drop).wrap_err_with(|| format!("cannot start a {name} thread"))
}

fn platform_duty(address: &str, rings: &Rings, watch: bool) -> impl FnOnce() + Send + 'static {
    let jobs = if watch { rings.watch.clone() } else { rings.platform.clone() };
    let events = rings.events_in.clone();
    let address = address.to_owned();
    move || {
        for job in jobs {
            let answer = call_platform(&address, &job.request);
            if events.send(Event::Platform { call: job.call, answer }).is_err() {
                return;
            }
        }
    }
}

fn worker_duty(rings: &Rings) -> impl FnOnce() + Send + 'static {
    let jobs = rings.worker.clone();
    let events = rings.events_in.clone();
    move || {
        for job in jobs {
            let answer = call_worker(&job.address, &job.request);
            if events.send(Event::Worker { call: job.call, answer }).is_err() {
                return;
            }
        }
    }
}
