//! Plays a case of the review: `stand-3 CASE FOLDER SCRATCH`, from the repository's root.
//!
//! The daemons run as separate processes with the command of the deploy file; the store, the list of
//! machines, the minions and the clients are stand-ins in this process. `FOLDER/record.txt` holds what was
//! sent, answered and run; `SCRATCH` gets the settings and logs of the daemons and their process ids. Exit code: 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.
//! With `TROUBLE=0` the disruption is left out.

mod cases;
mod deployment;
mod http;
mod json;
mod store;
mod world;

use std::fs;
use std::path::Path;
use std::process::ExitCode;

use cases::Verdict;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder, scratch] = arguments.as_slice() else {
        eprintln!("stand-3 CASE FOLDER SCRATCH");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let verdict = cases::play(case, Path::new(scratch), has_trouble);
    write_record(verdict, Path::new(folder), has_trouble)
}

fn write_record(verdict: Option<Verdict>, folder: &Path, has_trouble: bool) -> ExitCode {
    let Some(verdict) = verdict else {
        eprintln!("the case couldn't run");
        return ExitCode::from(2);
    };
    let mut record =
        format!("disruption: {}\n", if has_trouble { "yes" } else { "no (TROUBLE=0)" });
    for line in &verdict.findings {
        record.push_str(&format!("finding: {line}\n"));
        println!("{line}");
    }
    let outcome = if verdict.is_broken { "the rule was broken" } else { "the rule held" };
    record.push_str(&format!("result: {outcome}\n\n"));
    println!("{outcome}");
    for (at, line) in &verdict.lines {
        record.push_str(&format!("{:>8.3} {line}\n", *at as f64 / 1_000.0));
    }
    if fs::write(folder.join("record.txt"), record).is_err() {
        return ExitCode::from(2);
    }
    ExitCode::from(u8::from(verdict.is_broken))
}
