//! Parser for the text form of a job: JSON with comments.
//!
//! An unknown field is an error, because a misspelt field would otherwise be ignored silently
//! (`docs/INTERFACE.md`, "Jobs of steps").

use std::fmt;

use state::{ParsedValue, PathStep, Position, SettingFault, parse_value};

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

    fn unknown_fields(value: &ParsedValue, paths: &[Vec<PathStep>], names: Vec<Box<str>>) -> Self {
        let describe = |name: &str| ParseJobError::UnknownFields(vec![name.into()]).to_string();
        let faults = paths
            .iter()
            .zip(&names)
            .map(|(path, name)| SettingFault::new(value.locate(path), describe(name)))
            .collect();
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
    let mut unknown_paths = Vec::new();
    let mut unknown_names = Vec::new();
    let mut track = serde_path_to_error::Track::new();
    let json = value.to_json();
    let deserializer = serde_path_to_error::Deserializer::new(&json, &mut track);
    let spec: Result<JobSpec, _> = serde_ignored::deserialize(deserializer, |path| {
        unknown_paths.push(steps_of_ignored(&path));
        unknown_names.push(path.to_string().into());
    });
    let spec = spec.map_err(|error| {
        let position = value.locate(&steps_of_error(&track.path()));
        LocatedError::at(position, ParseJobError::InvalidFormat(error.to_string().into()))
    })?;
    if !unknown_names.is_empty() {
        return Err(LocatedError::unknown_fields(&value, &unknown_paths, unknown_names));
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
    parse_value(text).map_err(|fault| {
        let reason = format!("{} on line {} column {}", fault.message, fault.line, fault.column);
        LocatedError { error: ParseJobError::InvalidFormat(reason.into()), faults: vec![fault] }
    })
}

/// Converts the path of a field that no type reads.
fn steps_of_ignored(path: &serde_ignored::Path<'_>) -> Vec<PathStep> {
    use serde_ignored::Path;
    let (parent, step) = match path {
        Path::Root => return Vec::new(),
        Path::Seq { parent, index } => (parent, Some(PathStep::Item(*index))),
        Path::Map { parent, key } => (parent, Some(PathStep::Field(key.as_str().into()))),
        Path::Some { parent }
        | Path::NewtypeStruct { parent }
        | Path::NewtypeVariant { parent } => (parent, None),
    };
    let mut steps = steps_of_ignored(parent);
    steps.extend(step);
    steps
}

/// Converts the path of the value that a type refused.
fn steps_of_error(path: &serde_path_to_error::Path) -> Vec<PathStep> {
    use serde_path_to_error::Segment;
    let to_step = |segment: &Segment| match segment {
        Segment::Seq { index } => Some(PathStep::Item(*index)),
        Segment::Map { key } => Some(PathStep::Field(key.as_str().into())),
        Segment::Enum { .. } | Segment::Unknown => None,
    };
    path.iter().filter_map(to_step).collect()
}

fn steps_of_graph_error(error: &JobGraphError) -> Vec<PathStep> {
    let steps = PathStep::Field("steps".into());
    match error {
        JobGraphError::StepCount(_) | JobGraphError::TaskTotal(_) => vec![steps],
        JobGraphError::TaskCount { step, .. } => {
            vec![steps, PathStep::Item(*step), PathStep::Field("tasks".into())]
        }
        JobGraphError::DependencyNotEarlier { step, .. } => {
            vec![steps, PathStep::Item(*step), PathStep::Field("after".into())]
        }
    }
}
