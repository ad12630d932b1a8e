//! Runs one case of the review: `stand CASE FOLDER` starts a small deployment with the project's
//! daemons and stand-ins for all else, brings the disruption about (not with `TROUBLE=0`), and
//! checks one rule by what clients, minions and the platform saw.
//!
//! The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod client;
mod cloud;
mod deployment;
mod http;
mod json;
mod record;
mod store;
mod worker;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

/// Result of a case.
pub enum Verdict {
    Held(String),
    Broken(String),
}

/// What a case gets.
pub struct Setting {
    pub record: Arc<Record>,
    /// Whether the disruption is brought about.
    pub has_trouble: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [name, folder] = arguments.as_slice() else {
        eprintln!("usage: stand CASE FOLDER");
        return ExitCode::from(2);
    };
    let Some(case) = cases::find(name) else {
        eprintln!("there is no case {name}");
        return ExitCode::from(2);
    };
    let record = match Record::create(&PathBuf::from(folder).join("record.txt")) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("no record can be written to {folder}: {error}");
            return ExitCode::from(2);
        }
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let setting = Setting { record: Arc::clone(&record), has_trouble };
    record.note("case", format!("{name}, trouble: {has_trouble}"));
    let (text, code) = match case(&setting) {
        Ok(Verdict::Held(reason)) => (format!("the rule held: {reason}"), 0),
        Ok(Verdict::Broken(reason)) => (format!("the rule was broken: {reason}"), 1),
        Err(reason) => (format!("the case could not run: {reason}"), 2),
    };
    record.note("case", &text);
    println!("{text}");
    ExitCode::from(code)
}
