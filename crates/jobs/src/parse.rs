//! Parser for the text form of a job: JSON with comments.
//!
//! An unknown field is an error, because a misspelt field would otherwise be ignored silently
//! (`docs/INTERFACE.md`, "Jobs of steps").

use std::fmt;

use state::find_excess_nesting;

use crate::{JobGraphError, JobSpec};

/// Error that describes why a text is not a valid job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ParseJobError {
    /// The text is not JSON with comments, or a field is missing or has the wrong type.
    InvalidFormat(Box<str>),
    /// Paths of fields that the job format does not define.
    UnknownFields(Vec<Box<str>>),
    /// The text is well-formed, but the graph of steps is invalid.
    InvalidGraph(JobGraphError),
}

impl fmt::Display for ParseJobError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InvalidFormat(reason) => f.write_str(reason),
            Self::UnknownFields(fields) => {
                write!(f, "a job has no field {}", fields.join(", "))
            }
            Self::InvalidGraph(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for ParseJobError {}

/// Parses a job from JSON with comments and checks its graph.
///
/// # Errors
///
/// Checks the format first, then unknown fields, then the graph, and returns the
/// [`ParseJobError`] of the first check that fails.
pub fn parse_job(text: &str) -> Result<JobSpec, ParseJobError> {
    let invalid_format = |reason: String| ParseJobError::InvalidFormat(reason.into());
    if find_excess_nesting(text).is_some() {
        return Err(invalid_format("the values are nested too deeply".into()));
    }
    let value = jsonc_parser::parse_to_serde_value(text, &Default::default())
        .map_err(|error| invalid_format(error.to_string()))?
        .ok_or_else(|| invalid_format("the text is empty".into()))?;
    let mut unknown_fields: Vec<Box<str>> = Vec::new();
    let spec: JobSpec =
        serde_ignored::deserialize(value, |path| unknown_fields.push(path.to_string().into()))
            .map_err(|error| invalid_format(error.to_string()))?;
    if !unknown_fields.is_empty() {
        return Err(ParseJobError::UnknownFields(unknown_fields));
    }
    spec.check().map_err(ParseJobError::InvalidGraph)?;
    Ok(spec)
}
