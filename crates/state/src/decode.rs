//! Deserializes values and records where the input does not fit its type.

use serde::{Deserialize, Deserializer};

use crate::PathStep;

/// Field of the input that the type does not have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnknownField {
    /// Path of the field.
    pub path: Vec<PathStep>,
    /// Path of the field as text, for messages.
    pub name: Box<str>,
}

/// Result of a deserialization with the places that a message needs.
#[derive(Debug)]
pub struct LocatedDecode<T, E> {
    /// Value, or the first error.
    pub result: Result<T, E>,
    /// Path of the value that caused the error; empty if there is no error.
    pub error_path: Vec<PathStep>,
    /// Fields that were ignored.
    pub unknown_fields: Vec<UnknownField>,
}

/// Deserializes a value and records the path of an error and of each ignored field.
pub fn decode_located<'de, T, D>(deserializer: D) -> LocatedDecode<T, D::Error>
where
    T: Deserialize<'de>,
    D: Deserializer<'de>,
{
    let mut unknown_fields = Vec::new();
    let mut track = serde_path_to_error::Track::new();
    let deserializer = serde_path_to_error::Deserializer::new(deserializer, &mut track);
    let result = serde_ignored::deserialize(deserializer, |path| {
        unknown_fields
            .push(UnknownField { path: steps_of_ignored(&path), name: path.to_string().into() });
    });
    let error_path = if result.is_err() { steps_of_error(&track.path()) } else { Vec::new() };
    LocatedDecode { result, error_path, unknown_fields }
}

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

fn steps_of_error(path: &serde_path_to_error::Path) -> Vec<PathStep> {
    use serde_path_to_error::Segment;
    let to_step = |segment: &Segment| match segment {
        Segment::Seq { index } => Some(PathStep::Item(*index)),
        Segment::Map { key } => Some(PathStep::Field(key.as_str().into())),
        Segment::Enum { .. } | Segment::Unknown => None,
    };
    path.iter().filter_map(to_step).collect()
}
