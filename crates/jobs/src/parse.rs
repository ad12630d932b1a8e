//! Parser for the text form of a job: JSON with comments.
//!
//! An unknown field is an error, because a misspelt field would otherwise be ignored silently
//! (`docs/INTERFACE.md`, "Jobs of steps").

use std::fmt;

use state::{
    LocatedDecode, ParsedValue, PathStep, Position, SettingFault, UnknownField, decode_located,
    describe_path, parse_value,
};

use crate::{JobGraphError, JobSpec};

/// Maximum number of unknown fields that are reported one by one, since each is searched for in the
/// text.
const MAX_LOCATED_FIELDS: usize = 100;

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

/// Error of a text that is not a valid job, with the faults and their positions.
#[derive(Debug, Clone, PartialEq, Eq)]
struct LocatedError {
    error: ParseJobError,
    faults: Vec<SettingFault>,
}

impl LocatedError {
    /// Builds an error of one fault.
    fn at(position: Position, error: ParseJobError) -> Self {
        let faults = vec![SettingFault::new(position, error.to_string())];
        Self { error, faults }
    }

    /// Builds the error of a text that is not JSON with comments.
    fn invalid_syntax(fault: SettingFault) -> Self {
        let reason = format!("{} on line {} column {}", fault.message, fault.line, fault.column);
        Self { error: ParseJobError::InvalidFormat(reason.into()), faults: vec![fault] }
    }

    fn unknown_fields(value: &ParsedValue, fields: Vec<UnknownField>) -> Self {
        let describe = |name: &str| ParseJobError::UnknownFields(vec![name.into()]).to_string();
        let to_fault = |field: &UnknownField| {
            SettingFault::new(value.locate(&field.path), describe(&field.name))
        };
        let faults = fields.iter().take(MAX_LOCATED_FIELDS).map(to_fault).collect();
        let names = fields.into_iter().map(|field| field.name).collect();
        Self { error: ParseJobError::UnknownFields(names), faults }
    }
}

/// Parses a job from JSON with comments and checks its graph.
///
/// # Errors
///
/// Checks the format first, then unknown fields, then the graph, and returns the
/// [`ParseJobError`] of the first check that fails.
pub fn parse_job(text: &str) -> Result<JobSpec, ParseJobError> {
    read_job(text).map_err(|located| located.error)
}

/// Parses a job like [`parse_job`], and locates the faults of an invalid text.
///
/// # Errors
///
/// Returns the faults of the first check that fails, each with its position.
pub fn parse_job_file(text: &str) -> Result<JobSpec, Vec<SettingFault>> {
    read_job(text).map_err(|located| located.faults)
}

fn read_job(text: &str) -> Result<JobSpec, LocatedError> {
    let value = read_value(text)?;
    let json = value.to_json().map_err(LocatedError::invalid_syntax)?;
    let decoded: LocatedDecode<JobSpec, _> = decode_located(&json);
    let spec = decoded.result.map_err(|error| {
        let path = &decoded.error_path;
        let message = match path.as_slice() {
            [] => error.to_string(),
            path => format!("{}: {error}", describe_path(path)),
        };
        LocatedError {
            error: ParseJobError::InvalidFormat(error.to_string().into()),
            faults: vec![SettingFault::new(value.locate(path), message)],
        }
    })?;
    if !decoded.unknown_fields.is_empty() {
        return Err(LocatedError::unknown_fields(&value, decoded.unknown_fields));
    }
    spec.check().map_err(|error| {
        let position = value.locate(&steps_of_graph_error(&error));
        LocatedError::at(position, ParseJobError::InvalidGraph(error))
    })?;
    Ok(spec)
}

fn read_value(text: &str) -> Result<ParsedValue, LocatedError> {
    if text.trim().is_empty() {
        let error = ParseJobError::InvalidFormat("the text is empty".into());
        return Err(LocatedError::at(Position::START, error));
    }
    parse_value(text).map_err(LocatedError::invalid_syntax)
}

fn steps_of_graph_error(error: &JobGraphError) -> Vec<PathStep> {
    let steps = PathStep::Field("steps".into());
    match error {
        JobGraphError::PayloadLength(_) => vec![PathStep::Field("payload".into())],
        JobGraphError::StepCount(_) | JobGraphError::TaskTotal(_) => vec![steps],
        JobGraphError::TaskCount { step, .. } => {
            vec![steps, PathStep::Item(*step), PathStep::Field("tasks".into())]
        }
        JobGraphError::DependencyNotEarlier { step, .. } => {
            vec![steps, PathStep::Item(*step), PathStep::Field("after".into())]
        }
    }
}
