//! Turns SIGTERM and SIGINT into a graceful stop.

use std::io;
use std::thread;

use coordination::Event;
use crossbeam::channel::Sender;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Starts the signals' thread.
pub fn start(events: Sender<Event>) -> io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let duty = move || {
        for _ in signals.forever() {
            if events.send(Event::Stop).is_err() {
                return;
            }
        }
    };
    thread::Builder::new().name("signals".into()).spawn(duty).map(drop)
}
