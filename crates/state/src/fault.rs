//! Reader for the fields of a parsed settings file or list.
//!
//! [`ObjectReader`] reads the fields of an object that [`crate::parse_value`] has parsed and
//! collects all faults, each with its position, instead of stopping at the first one.

use std::fmt;
use std::ops::RangeInclusive;
use std::str::FromStr;

use crate::parsed::{Field, ParsedValue, Position, ValueKind, repeated_fields};

/// Minimum Jaro-Winkler similarity (0 to 1) at which a known field name is suggested for an unknown
/// one.
const MIN_SUGGESTION_SIMILARITY: f64 = 0.6;

/// One fault in a settings file or list.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct SettingFault {
    /// Line number, counted from 1.
    pub line: u32,
    /// Description of the fault and of the expected value.
    pub message: Box<str>,
    /// Column number in characters, counted from 1. Faults of a line are ordered by their messages
    /// first.
    pub column: u32,
}

impl SettingFault {
    /// Builds the fault that `message` describes.
    pub fn new(position: Position, message: impl Into<Box<str>>) -> Self {
        Self { line: position.line, message: message.into(), column: position.column }
    }

    /// Returns the position of the fault.
    pub fn position(&self) -> Position {
        Position { line: self.line, column: self.column }
    }
}

impl fmt::Display for SettingFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.message)
    }
}

/// Reader for the fields of one object; collects each fault and continues after it.
pub struct ObjectReader<'a> {
    /// Description of the object that messages use, such as `teams "oss"`.
    path: Box<str>,
    position: Position,
    fields: &'a [Field],
    /// Names of all fields that were requested so far.
    known_names: Vec<&'static str>,
    faults: &'a mut Vec<SettingFault>,
}

impl<'a> ObjectReader<'a> {
    /// Creates a reader for the fields of `value`. A value that is not an object is reported as a
    /// fault and read as an object without fields.
    pub fn new(value: &'a ParsedValue, path: &str, faults: &'a mut Vec<SettingFault>) -> Self {
        let fields = match &value.kind {
            ValueKind::Object(fields) => fields.as_slice(),
            other => {
                let message = format!("{path} must be an object, not {}", other.describe());
                faults.push(SettingFault::new(value.position, message));
                &[]
            }
        };
        let position = value.position;
        let mut reader =
            Self { path: path.into(), position, fields, known_names: Vec::new(), faults };
        reader.report_duplicate_fields();
        reader
    }

    fn report_duplicate_fields(&mut self) {
        for field in repeated_fields(self.fields) {
            self.report(field.position, format!("{:?} is set twice in {}", field.name, self.path));
        }
    }

    fn report(&mut self, position: Position, message: String) {
        self.faults.push(SettingFault::new(position, message));
    }

    /// Finds the field `name` and records the name as known.
    fn find_field(&mut self, name: &'static str) -> Option<&'a Field> {
        self.known_names.push(name);
        self.fields.iter().find(|field| &*field.name == name)
    }

    fn required_field(&mut self, name: &'static str) -> Option<&'a Field> {
        let field = self.find_field(name);
        if field.is_none() {
            self.report(self.position, format!("{} is missing {name:?}", self.path));
        }
        field
    }

    fn report_wrong_type(&mut self, field: &Field, expected: &str) {
        let found = field.value.kind.describe();
        self.report(field.position, format!("{:?} must be {expected}, not {found}", field.name));
    }

    /// Reads a required string that parses as `T`.
    pub fn required_value<T: FromStr>(&mut self, name: &'static str) -> Option<T>
    where
        T::Err: fmt::Display,
    {
        let field = self.required_field(name)?;
        self.parse_field(field)
    }

    /// Reads an optional string that parses as `T`.
    pub fn optional_value<T: FromStr>(&mut self, name: &'static str) -> Option<T>
    where
        T::Err: fmt::Display,
    {
        let field = self.find_field(name)?;
        self.parse_field(field)
    }

    fn parse_field<T: FromStr>(&mut self, field: &Field) -> Option<T>
    where
        T::Err: fmt::Display,
    {
        let ValueKind::String(text) = &field.value.kind else {
            self.report_wrong_type(field, "a string");
            return None;
        };
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.report(field.position, format!("{:?}: {error}", field.name));
                None
            }
        }
    }

    /// Reads a required whole number within `range`.
    pub fn required_number(
        &mut self,
        name: &'static str,
        range: RangeInclusive<u64>,
    ) -> Option<u64> {
        let field = self.required_field(name)?;
        self.parse_number(field, range)
    }

    /// Reads an optional whole number within `range`; a missing or invalid field yields `default`.
    pub fn number_or_default(
        &mut self,
        name: &'static str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> u64 {
        let field = self.find_field(name);
        field.and_then(|field| self.parse_number(field, range)).unwrap_or(default)
    }

    /// Reads an optional whole number within `range`.
    pub fn optional_number(
        &mut self,
        name: &'static str,
        range: RangeInclusive<u64>,
    ) -> Option<u64> {
        let field = self.find_field(name)?;
        self.parse_number(field, range)
    }

    /// Reports a fault of the field `name`, or of the object if the field is absent.
    pub fn report_field(&mut self, name: &str, reason: &str) {
        let field = self.fields.iter().find(|field| &*field.name == name);
        let position = field.map_or(self.position, |field| field.position);
        self.report(position, format!("{name:?}: {reason}"));
    }

    fn parse_number(&mut self, field: &Field, range: RangeInclusive<u64>) -> Option<u64> {
        let ValueKind::Number(text) = &field.value.kind else {
            self.report_wrong_type(field, "a whole number");
            return None;
        };
        let number = text.parse().ok().filter(|number| range.contains(number));
        if number.is_none() {
            let (minimum, maximum) = (range.start(), range.end());
            let message = format!(
                "{:?} must be a whole number from {minimum} to {maximum}, not {text}",
                field.name
            );
            self.report(field.position, message);
        }
        number
    }

    /// Reads an optional boolean; a missing or invalid field yields `default`.
    pub fn bool_or_default(&mut self, name: &'static str, default: bool) -> bool {
        let Some(field) = self.find_field(name) else { return default };
        match field.value.kind {
            ValueKind::Bool(value) => value,
            _ => {
                self.report_wrong_type(field, "true or false");
                default
            }
        }
    }

    /// Reads a required list of strings that parse as `T`. An invalid item is reported and left
    /// out of the result.
    pub fn required_list<T: FromStr>(&mut self, name: &'static str) -> Vec<T>
    where
        T::Err: fmt::Display,
    {
        let Some(field) = self.required_field(name) else { return Vec::new() };
        let ValueKind::Array(items) = &field.value.kind else {
            self.report_wrong_type(field, "a list of strings");
            return Vec::new();
        };
        items.iter().filter_map(|item| self.parse_list_item(field, item)).collect()
    }

    fn parse_list_item<T: FromStr>(&mut self, field: &Field, item: &ParsedValue) -> Option<T>
    where
        T::Err: fmt::Display,
    {
        let ValueKind::String(text) = &item.kind else {
            let found = item.kind.describe();
            self.report(
                item.position,
                format!("{:?} must be a list of strings; an item is {found}", field.name),
            );
            return None;
        };
        text.parse()
            .map_err(|error| {
                self.report(item.position, format!("{:?}: {text:?}: {error}", field.name))
            })
            .ok()
    }

    /// Reads a required object whose field names are identifiers, and calls `read_entry` with the
    /// identifier and a reader for the value of each field. A field with an invalid name is
    /// reported and not read.
    pub fn read_entries<K: FromStr>(
        &mut self,
        name: &'static str,
        mut read_entry: impl FnMut(K, &mut ObjectReader<'_>),
    ) where
        K::Err: fmt::Display,
    {
        let Some(field) = self.required_field(name) else { return };
        let ValueKind::Object(fields) = &field.value.kind else {
            return self.report_wrong_type(field, "an object");
        };
        for entry in fields {
            let path = format!("{name} {:?}", entry.name);
            match entry.name.parse() {
                Ok(key) => {
                    let mut reader = ObjectReader::new(&entry.value, &path, self.faults);
                    read_entry(key, &mut reader);
                    reader.report_unknown_fields();
                }
                Err(error) => self.report(entry.position, format!("{path}: {error}")),
            }
        }
    }

    /// Reports each field that no call requested, with the most similar known name as a suggestion.
    pub fn report_unknown_fields(mut self) {
        for field in self.fields {
            if self.known_names.contains(&&*field.name) {
                continue;
            }
            let similar_name = most_similar_name(&field.name, &self.known_names);
            let suggestion =
                similar_name.map(|name| format!("; did you mean {name:?}?")).unwrap_or_default();
            self.report(
                field.position,
                format!("{} has no setting {:?}{suggestion}", self.path, field.name),
            );
        }
    }
}

fn most_similar_name(name: &str, known_names: &[&'static str]) -> Option<&'static str> {
    let similarity = |candidate: &str| strsim::jaro_winkler(name, candidate);
    let most_similar = known_names.iter().max_by(|a, b| similarity(a).total_cmp(&similarity(b)))?;
    (similarity(most_similar) >= MIN_SUGGESTION_SIMILARITY).then_some(*most_similar)
}
