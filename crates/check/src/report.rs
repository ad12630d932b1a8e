//! Result of a check.

use findings::{Difference, Finding};
use serde::Serialize;

use crate::FileKind;

/// File that was checked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FileSummary {
    /// Name of the file as the caller gave it.
    pub file: Box<str>,
    /// Kind of the file; `None` if it was not recognised.
    pub kind: Option<FileKind>,
}

/// Findings of all files, and the differences from the version in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Default)]
pub struct CheckReport {
    /// Files in the order of the caller.
    pub files: Vec<FileSummary>,
    /// Findings in order of file names and positions.
    pub findings: Vec<Finding>,
    /// Differences from the version in force; `None` if no such version was given, or if
    /// none was found and a file has errors.
    pub differences: Option<Vec<Difference>>,
}
