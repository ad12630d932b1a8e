//! Runs one case of the review: the platform, minions and clients are stand-ins in this process,
//! the daemons are processes of their own.
//!
//! Usage: `review-stand-2 CASE FOLDER RECORD`. `TROUBLE=0` leaves the disruption out. The exit
//! status is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod daemon;
mod http;
mod json;
mod machines;
mod minion;
mod store;
mod system;

use std::path::Path;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, record] = arguments.as_slice() else {
        eprintln!("usage: review-stand-2 CASE FOLDER RECORD");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let outcome = cases::run(case, Path::new(folder), has_trouble);
    let (status, text) = match outcome {
        Some(outcome) => outcome,
        None => (2, format!("there is no case {case}\n")),
    };
    if std::fs::write(record, &text).is_err() {
        eprintln!("cannot write {record}");
        std::process::exit(2);
    }
    let last = text.lines().last().unwrap_or_default();
    println!("{last}");
    std::process::exit(status);
}
