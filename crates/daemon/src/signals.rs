//! Turns SIGTERM and SIGINT into a graceful stop.

use std::io;
use std::sync::Arc;
use std::thread;

use coordination::Event;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::machine::Machine;

/// Starts the signals' thread.
pub fn start(machine: Arc<Machine>) -> io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let duty = move || {
        for _ in signals.forever() {
            machine.post(Event::Stop);
        }
    };
    thread::Builder::new().name("signals".into()).spawn(duty).map(drop)
}
