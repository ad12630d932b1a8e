//! Findings of a check, ordered by file and position.

use std::fmt;

use serde::Serialize;
use state::{Position, SettingFault};

/// Severity of a finding.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Severity {
    /// Daemons refuse the file, or an entry of the file cannot have its effect.
    Error,
    /// The file is accepted, but an entry is probably not what its author wants.
    Warning,
}

impl fmt::Display for Severity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Error => "error",
            Self::Warning => "warning",
        })
    }
}

/// One finding of a check.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Finding {
    /// Name of the file as the caller gave it.
    pub file: Box<str>,
    /// Line number, counted from 1.
    pub line: u32,
    /// Column number in characters, counted from 1.
    pub column: u32,
    /// Severity of the finding.
    pub severity: Severity,
    /// Description of the finding, without the text of any key.
    pub message: Box<str>,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { file, line, column, severity, message } = self;
        write!(f, "{file}:{line}:{column}: {severity}: {message}")
    }
}

/// Findings of one file.
#[derive(Debug)]
pub struct FindingList {
    file: Box<str>,
    findings: Vec<Finding>,
}

impl FindingList {
    /// Builds an empty list for the file of this name.
    pub fn new(file: &str) -> Self {
        Self { file: file.into(), findings: Vec::new() }
    }

    /// Adds an error.
    pub fn error(&mut self, position: Position, message: impl Into<Box<str>>) {
        self.add(Severity::Error, position, message.into());
    }

    /// Adds a warning.
    pub fn warn(&mut self, position: Position, message: impl Into<Box<str>>) {
        self.add(Severity::Warning, position, message.into());
    }

    /// Adds the faults of a parser as errors.
    pub fn add_faults(&mut self, faults: Vec<SettingFault>) {
        for fault in faults {
            self.error(fault.position(), fault.message);
        }
    }

    /// Returns whether the list has an error.
    pub fn has_errors(&self) -> bool {
        self.findings.iter().any(|finding| finding.severity == Severity::Error)
    }

    /// Returns the findings in order of their positions.
    pub fn into_findings(mut self) -> Vec<Finding> {
        self.findings.sort();
        self.findings
    }

    fn add(&mut self, severity: Severity, position: Position, message: Box<str>) {
        let Position { line, column } = position;
        self.findings.push(Finding { file: self.file.clone(), line, column, severity, message });
    }
}
