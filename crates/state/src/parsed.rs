//! Parser for JSON with comments that records the position of each value.

use std::collections::HashSet;
use std::fmt;

use jsonc_parser::common::Ranged;
use jsonc_parser::{ParseOptions, ast};

use crate::SettingFault;

/// Extensions of JSON that files may use: comments, final commas, and names without or with single
/// quotes.
const PARSE_OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: true,
    allow_trailing_commas: true,
    allow_single_quoted_strings: true,
    allow_missing_commas: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// Position of a character in a text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// Line number, counted from 1.
    pub line: u32,
    /// Column number in characters, counted from 1.
    pub column: u32,
}

impl Position {
    /// Position of the first character of a text.
    pub const START: Self = Self { line: 1, column: 1 };
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}

/// Step from a value to one of the values within it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PathStep {
    /// Name of an object's field.
    Field(Box<str>),
    /// Index of a list's item, counted from 0.
    Item(usize),
}

/// Parsed JSON value with the position at which the value starts.
#[derive(Debug, Clone)]
pub struct ParsedValue {
    pub(crate) position: Position,
    pub(crate) kind: ValueKind,
}

#[derive(Debug, Clone)]
pub(crate) enum ValueKind {
    Object(Vec<Field>),
    Array(Vec<ParsedValue>),
    String(Box<str>),
    Number(Box<str>),
    Bool(bool),
    Null,
}

#[derive(Debug, Clone)]
pub(crate) struct Field {
    pub(crate) name: Box<str>,
    pub(crate) position: Position,
    pub(crate) value: ParsedValue,
}

impl ValueKind {
    pub(crate) fn describe(&self) -> &'static str {
        match self {
            Self::Object(_) => "an object",
            Self::Array(_) => "a list",
            Self::String(_) => "a string",
            Self::Number(_) => "a number",
            Self::Bool(_) => "true or false",
            Self::Null => "null",
        }
    }
}

/// Parses JSON with comments.
///
/// # Errors
///
/// Returns the first syntax fault, or a fault if the text contains no value or is nested more
/// deeply than the parser allows (512 levels, an object counts as two).
pub fn parse_value(text: &str) -> Result<ParsedValue, SettingFault> {
    let text_index = TextIndex::new(text);
    let parsed = jsonc_parser::parse_to_ast(text, &Default::default(), &PARSE_OPTIONS);
    let parsed = parsed.map_err(|error| {
        SettingFault::new(
            text_index.position_at(error.range().start),
            error.kind().to_string().as_str(),
        )
    })?;
    let missing_value = || SettingFault::new(Position::START, "the file contains no JSON value");
    let value = parsed.value.ok_or_else(missing_value)?;
    Ok(convert_value(&value, &text_index))
}

/// Index of a text that converts byte offsets to positions without reading the text again.
pub struct TextIndex {
    /// Offsets of the bytes after line breaks, in ascending order.
    line_starts: Vec<usize>,
    /// Offsets of the bytes that continue a character, in ascending order; they have no column.
    continuation_bytes: Vec<usize>,
}

impl TextIndex {
    /// Builds the index of `text`.
    pub fn new(text: &str) -> Self {
        let mut line_starts = vec![0];
        let mut continuation_bytes = Vec::new();
        for (offset, byte) in text.bytes().enumerate() {
            if byte == b'\n' {
                line_starts.push(offset + 1);
            }
            if byte & 0b1100_0000 == 0b1000_0000 {
                continuation_bytes.push(offset);
            }
        }
        Self { line_starts, continuation_bytes }
    }

    /// Returns the position of the byte at `offset`.
    pub fn position_at(&self, offset: usize) -> Position {
        let line = self.line_starts.partition_point(|start| *start <= offset);
        let line_start = self.line_starts[line - 1];
        let continuations_before =
            |offset: usize| self.continuation_bytes.partition_point(|byte| *byte < offset);
        let bytes = offset - line_start;
        let continuations = continuations_before(offset) - continuations_before(line_start);
        Position { line: line as u32, column: (bytes - continuations) as u32 + 1 }
    }

    /// Returns the position of a byte that is given by its line and its number in the line, both
    /// counted from 1. A line that the text does not have yields the text's first position.
    pub fn position_in_line(&self, line: usize, byte: usize) -> Position {
        let line_start = line.checked_sub(1).and_then(|index| self.line_starts.get(index));
        line_start.map_or(Position::START, |start| self.position_at(start + byte.max(1) - 1))
    }
}

fn convert_value(value: &ast::Value<'_>, text_index: &TextIndex) -> ParsedValue {
    let position = text_index.position_at(value.range().start);
    let kind = match value {
        ast::Value::Object(object) => ValueKind::Object(convert_fields(object, text_index)),
        ast::Value::Array(list) => ValueKind::Array(
            list.elements.iter().map(|item| convert_value(item, text_index)).collect(),
        ),
        ast::Value::StringLit(text) => ValueKind::String(text.value.as_ref().into()),
        ast::Value::NumberLit(number) => ValueKind::Number(number.value.into()),
        ast::Value::BooleanLit(boolean) => ValueKind::Bool(boolean.value),
        ast::Value::NullKeyword(_) => ValueKind::Null,
    };
    ParsedValue { position, kind }
}

fn convert_fields(object: &ast::Object<'_>, text_index: &TextIndex) -> Vec<Field> {
    let convert_field = |property: &ast::ObjectProp<'_>| Field {
        name: property.name.as_str().into(),
        position: text_index.position_at(property.name.range().start),
        value: convert_value(&property.value, text_index),
    };
    object.properties.iter().map(convert_field).collect()
}

/// Returns the fields whose name an earlier field of the object has.
pub(crate) fn repeated_fields(fields: &[Field]) -> impl Iterator<Item = &Field> {
    let mut names = HashSet::with_capacity(fields.len());
    fields.iter().filter(move |field| !names.insert(&*field.name))
}

impl ParsedValue {
    /// Returns the position at which the value starts.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Returns the value of the first field `name`, or `None` if the value is no object or has no
    /// such field.
    pub fn field(&self, name: &str) -> Option<&ParsedValue> {
        let ValueKind::Object(fields) = &self.kind else { return None };
        fields.iter().find(|field| &*field.name == name).map(|field| &field.value)
    }

    /// Returns the name, the name's position and the value of each field of an object, or nothing
    /// for another value.
    pub fn entries(&self) -> impl Iterator<Item = (&str, Position, &ParsedValue)> {
        let fields =
            if let ValueKind::Object(fields) = &self.kind { fields.as_slice() } else { &[] };
        fields.iter().map(|field| (&*field.name, field.position, &field.value))
    }

    /// Returns the items of a list, or nothing for another value.
    pub fn items(&self) -> &[ParsedValue] {
        if let ValueKind::Array(items) = &self.kind { items } else { &[] }
    }

    /// Returns the text of a string, or `None` for another value.
    pub fn as_str(&self) -> Option<&str> {
        if let ValueKind::String(text) = &self.kind { Some(text) } else { None }
    }

    /// Returns the position of the value at the end of `path`: of a field, the position of its
    /// name. Where the path leaves the value, returns the last position that was found.
    pub fn locate(&self, path: &[PathStep]) -> Position {
        let mut position = self.position;
        let mut value = self;
        for step in path {
            let next = match (step, &value.kind) {
                (PathStep::Field(name), ValueKind::Object(fields)) => fields
                    .iter()
                    .find(|field| field.name == *name)
                    .map(|field| (field.position, &field.value)),
                (PathStep::Item(index), ValueKind::Array(items)) => {
                    items.get(*index).map(|item| (item.position, item))
                }
                _ => None,
            };
            let Some(next) = next else { break };
            (position, value) = next;
        }
        position
    }

    /// Returns the position of the field at the end of a path of names, as [`Self::locate`] does.
    pub fn locate_field(&self, names: &[&str]) -> Position {
        let steps: Vec<PathStep> =
            names.iter().map(|name| PathStep::Field((*name).into())).collect();
        self.locate(&steps)
    }

    /// Returns one fault for each field whose name an earlier field of its object has. A reader
    /// that does not look for such fields uses one of them without notice.
    pub fn repeated_field_faults(&self) -> Vec<SettingFault> {
        let mut faults = Vec::new();
        self.collect_repeated_fields(&mut faults);
        faults
    }

    fn collect_repeated_fields(&self, faults: &mut Vec<SettingFault>) {
        match &self.kind {
            ValueKind::Object(fields) => {
                faults.extend(repeated_fields(fields).map(|field| {
                    SettingFault::new(field.position, format!("{:?} is set twice", field.name))
                }));
                fields.iter().for_each(|field| field.value.collect_repeated_fields(faults));
            }
            ValueKind::Array(items) => {
                items.iter().for_each(|item| item.collect_repeated_fields(faults));
            }
            _ => {}
        }
    }

    /// Converts the value to a JSON value without positions. Of fields with one name, the last is
    /// kept.
    ///
    /// # Errors
    ///
    /// Returns a fault for a number outside the range of a 64-bit floating-point number.
    pub fn to_json(&self) -> Result<serde_json::Value, SettingFault> {
        Ok(match &self.kind {
            ValueKind::Object(fields) => {
                let convert = |field: &Field| Ok((field.name.to_string(), field.value.to_json()?));
                let fields: Result<serde_json::Map<_, _>, SettingFault> =
                    fields.iter().map(convert).collect();
                serde_json::Value::Object(fields?)
            }
            ValueKind::Array(items) => {
                let items: Result<Vec<_>, SettingFault> = items.iter().map(Self::to_json).collect();
                serde_json::Value::Array(items?)
            }
            ValueKind::String(text) => serde_json::Value::String(text.to_string()),
            ValueKind::Number(text) => {
                let out_of_range = |_| {
                    let message = format!("the number {text} is out of range");
                    SettingFault::new(self.position, message)
                };
                serde_json::Value::Number(text.parse().map_err(out_of_range)?)
            }
            ValueKind::Bool(value) => serde_json::Value::Bool(*value),
            ValueKind::Null => serde_json::Value::Null,
        })
    }
}

/// Returns a path as text, such as `steps[1].tasks`.
pub fn describe_path(path: &[PathStep]) -> String {
    let mut text = String::new();
    for step in path {
        match step {
            PathStep::Field(name) if text.is_empty() => text.push_str(name),
            PathStep::Field(name) => text.extend([".", &**name]),
            PathStep::Item(index) => text.push_str(&format!("[{index}]")),
        }
    }
    text
}
