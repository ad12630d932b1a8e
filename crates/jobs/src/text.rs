//! The text form in which submitters write a job: JSON with comments.
//!
//! A field that a job does not have is a fault, because a misspelt one would
//! otherwise be left out without a word (`docs/INTERFACE.md`, "Jobs of steps").

use std::fmt;

use crate::{GraphFault, JobSpec};

/// Says why a text is no job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobTextFault {
    /// It is no JSON with comments, or a field is missing or has another type.
    Form(Box<str>),
    /// It has fields that a job does not have.
    UnknownFields(Vec<Box<str>>),
    /// Its steps are no job.
    Graph(GraphFault),
}

impl fmt::Display for JobTextFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Form(reason) => f.write_str(reason),
            Self::UnknownFields(fields) => {
                write!(f, "a job has no field {}", fields.join(", "))
            }
            Self::Graph(fault) => fault.fmt(f),
        }
    }
}

impl std::error::Error for JobTextFault {}

/// Reads and checks a job.
///
/// # Errors
///
/// The first kind of [`JobTextFault`] that is found.
pub fn parse_job(text: &str) -> Result<JobSpec, JobTextFault> {
    let form = |reason: String| JobTextFault::Form(reason.into());
    let value = jsonc_parser::parse_to_serde_value(text, &Default::default())
        .map_err(|error| form(error.to_string()))?
        .ok_or_else(|| form("the text is empty".into()))?;
    let mut unknown: Vec<Box<str>> = Vec::new();
    let spec: JobSpec =
        serde_ignored::deserialize(value, |path| unknown.push(path.to_string().into()))
            .map_err(|error| form(error.to_string()))?;
    if !unknown.is_empty() {
        return Err(JobTextFault::UnknownFields(unknown));
    }
    spec.check().map_err(JobTextFault::Graph)?;
    Ok(spec)
}
