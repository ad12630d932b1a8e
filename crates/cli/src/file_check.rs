//! Command that checks configuration files. The checks are in the crate `check`; this module reads
//! the files and prints the report.

use std::fs::File;
use std::io::Read;
use std::path::Path;

use check::{CheckInput, CheckReport, FileKind, Finding, InputFile, Severity, run_check};
use eyre::{Context, Result, ensure};
use serde::Serialize;
use state::{ConfigDoc, Millis};

use crate::CommandOutcome;
use crate::arguments::CheckArguments;
use crate::client::Client;
use crate::operator::fetch_config;

/// Maximum size of a file, several times the largest value of the store.
const MAX_FILE_BYTES: u64 = 16 * 1024 * 1024;

pub(crate) fn run(client: &Client, arguments: &CheckArguments) -> Result<CommandOutcome> {
    let in_force = match read_in_force(client) {
        Ok(in_force) => in_force,
        Err(error) => {
            eprintln!("pollenfall: {error:#}");
            return Ok(CommandOutcome::Unreachable);
        }
    };
    let mut unreadable = Vec::new();
    let input = CheckInput {
        files: read_files(&arguments.files, &mut unreadable),
        kind: arguments.kind,
        against: read_files(&arguments.against, &mut unreadable),
        in_force,
        vms: read_files(arguments.vms.as_slice(), &mut unreadable).pop(),
        maintenance: Millis(arguments.maintenance_ms),
    };
    let report = run_check(&input);
    if client.json {
        println!(
            "{}",
            serde_json::to_string(&JsonReport { report: &report, unreadable: &unreadable })?
        );
    } else {
        print_report(&report);
        unreadable.iter().for_each(|reason| eprintln!("pollenfall: {reason}"));
    }
    Ok(outcome(&report, &unreadable))
}

/// Report as one JSON document.
#[derive(Serialize)]
struct JsonReport<'a> {
    #[serde(flatten)]
    report: &'a CheckReport,
    /// Reasons why files were not read.
    unreadable: &'a [String],
}

fn outcome(report: &CheckReport, unreadable: &[String]) -> CommandOutcome {
    if !unreadable.is_empty() {
        return CommandOutcome::Usage;
    }
    if report.findings.is_empty() { CommandOutcome::Done } else { CommandOutcome::Findings }
}

/// Reads the configuration in force if the command line names a daemon.
fn read_in_force(client: &Client) -> Result<Option<ConfigDoc>> {
    if !client.has_daemon() {
        return Ok(None);
    }
    fetch_config(client).map(Some)
}

fn read_files<P: AsRef<Path>>(paths: &[P], unreadable: &mut Vec<String>) -> Vec<InputFile> {
    let read = |path: &P| {
        let path = path.as_ref();
        let file = read_file(path).map_err(|error| unreadable.push(format!("{error:#}")));
        file.ok().map(|bytes| InputFile { name: path.display().to_string().into(), bytes })
    };
    paths.iter().filter_map(read).collect()
}

fn read_file(path: &Path) -> Result<Vec<u8>> {
    let name = || path.display().to_string();
    let file = File::open(path).wrap_err_with(name)?;
    let mut bytes = Vec::new();
    file.take(MAX_FILE_BYTES + 1).read_to_end(&mut bytes).wrap_err_with(name)?;
    ensure!(
        bytes.len() as u64 <= MAX_FILE_BYTES,
        "{}: the file is larger than {MAX_FILE_BYTES} bytes",
        name()
    );
    Ok(bytes)
}

fn print_report(report: &CheckReport) {
    report.findings.iter().for_each(|finding| println!("{finding}"));
    for summary in &report.files {
        let Some(kind) = summary.kind else { continue };
        if report.findings.iter().all(|finding| finding.file != summary.file) {
            println!("{}: {kind}, no findings", summary.file);
        }
    }
    let Some(differences) = &report.differences else { return };
    if differences.is_empty() {
        println!("no differences from the version in force");
    } else {
        println!("differences from the version in force:");
        differences.iter().for_each(|difference| println!("  {difference}"));
    }
}

/// Reads a file and checks it as one of a kind. Prints the findings, and returns `None` if there
/// are errors.
pub(crate) fn read_checked(path: &Path, kind: FileKind) -> Result<Option<String>> {
    let bytes = read_file(path)?;
    let file = InputFile { name: path.display().to_string().into(), bytes };
    let input = CheckInput { files: vec![file.clone()], kind: Some(kind), ..CheckInput::default() };
    let report = run_check(&input);
    report.findings.iter().for_each(|finding| eprintln!("{finding}"));
    let is_error = |finding: &Finding| finding.severity == Severity::Error;
    if report.findings.iter().any(is_error) {
        return Ok(None);
    }
    Ok(String::from_utf8(file.bytes).ok())
}
