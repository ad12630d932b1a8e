//! Turns SIGTERM and SIGINT into a graceful stop.

use std::io;
use std::sync::Arc;
use std::thread;

use coordination::Event;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::core_host::CoreHost;

/// Starts the thread that waits for signals.
///
/// # Errors
///
/// Returns the reason why the signals cannot be handled or the thread cannot be started.
pub fn start(host: Arc<CoreHost>) -> io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let run_thread = move || {
        for _ in signals.forever() {
            host.post(Event::Stop);
        }
    };
    thread::Builder::new().name("signals".into()).spawn(run_thread).map(drop)
}
