//! Checks configuration files before they are sent: plain values in, findings out.
//!
//! [`run_check`] takes the contents of the files and returns a [`CheckReport`]; it does no input or
//! output. The kind of a file ([`FileKind`]) follows from its content, or the caller names it. The
//! parsers and invariants are those of the daemons (`state`, `jobs`, `platform`); this crate adds
//! what a daemon accepts and an operator hardly wants, and what no single file shows
//! (`docs/design/check.md`).

mod capacity;
mod compare;
mod config;
mod document_difference;
mod inventory;
mod job;
mod kind;
mod list_difference;
mod list_set;
mod lists;
mod report;
mod run;
mod settings;

pub use findings::{Difference, Finding, Severity};
pub use kind::{FileKind, ParseKindError};
pub use report::{CheckReport, FileSummary};
pub use run::{CheckInput, InputFile, run_check};
