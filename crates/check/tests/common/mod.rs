//! Runs checks on texts and renders the reports for snapshots.

use check::{CheckInput, CheckReport, InputFile, run_check};
use state::Millis;

pub fn file(name: &str, text: impl Into<Vec<u8>>) -> InputFile {
    InputFile { name: name.into(), bytes: text.into() }
}

pub fn input(files: &[(&str, &str)]) -> CheckInput {
    let files = files.iter().map(|(name, text)| file(name, *text)).collect();
    CheckInput { files, maintenance: Millis(1_500), ..CheckInput::default() }
}

pub fn render(report: &CheckReport) -> String {
    let mut lines: Vec<String> = report.findings.iter().map(ToString::to_string).collect();
    if let Some(differences) = &report.differences {
        lines.push("differences:".to_owned());
        lines.extend(differences.iter().map(ToString::to_string));
    }
    lines.join("\n")
}

/// Checks files and renders the report.
#[allow(dead_code)] // Each test program includes this module and uses a part of it.
pub fn check(files: &[(&str, &str)]) -> String {
    render(&run_check(&input(files)))
}
