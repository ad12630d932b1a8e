//! Reads JSON with comments and reports all faults at once, each with its line.

use std::fmt;
use std::ops::RangeInclusive;
use std::str::FromStr;

use jsonc_parser::ast;
use jsonc_parser::common::Ranged;

/// Least likeness (0 to 1) at which a known name is offered for an unknown one.
const LEAST_LIKENESS: f64 = 0.6;

/// One fault in a file that a person wrote.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct SettingFault {
    /// Line, counted from 1.
    pub line: u32,
    /// What is wrong, and what would be right.
    pub message: Box<str>,
}

impl fmt::Display for SettingFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.message)
    }
}

/// A value with the line that it starts on.
#[derive(Debug, Clone)]
pub struct ParsedValue {
    line: u32,
    shape: Shape,
}

#[derive(Debug, Clone)]
enum Shape {
    Object(Vec<Field>),
    List(Vec<ParsedValue>),
    Text(Box<str>),
    Number(Box<str>),
    Flag(bool),
    Null,
}

#[derive(Debug, Clone)]
struct Field {
    name: Box<str>,
    line: u32,
    value: ParsedValue,
}

impl Shape {
    fn name(&self) -> &'static str {
        match self {
            Self::Object(_) => "an object",
            Self::List(_) => "a list",
            Self::Text(_) => "a text",
            Self::Number(_) => "a number",
            Self::Flag(_) => "true or false",
            Self::Null => "null",
        }
    }
}

/// Parses JSON with comments.
///
/// # Errors
///
/// The syntax fault that parsing stopped at.
pub fn parse_value(text: &str) -> Result<ParsedValue, SettingFault> {
    let lines = LineIndex::new(text);
    let parsed = jsonc_parser::parse_to_ast(text, &Default::default(), &Default::default());
    let parsed = parsed.map_err(|error| SettingFault {
        line: lines.line(error.range().start),
        message: error.kind().to_string().into(),
    })?;
    let empty = || SettingFault { line: 1, message: "the file holds no value".into() };
    let value = parsed.value.ok_or_else(empty)?;
    Ok(convert(&value, &lines))
}

struct LineIndex {
    starts: Vec<usize>,
}

impl LineIndex {
    fn new(text: &str) -> Self {
        let breaks = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
        Self { starts: breaks.map(|(index, _)| index).collect() }
    }

    fn line(&self, offset: usize) -> u32 {
        self.starts.partition_point(|start| *start < offset) as u32 + 1
    }
}

fn convert(value: &ast::Value<'_>, lines: &LineIndex) -> ParsedValue {
    let line = lines.line(value.range().start);
    let shape = match value {
        ast::Value::Object(object) => Shape::Object(convert_fields(object, lines)),
        ast::Value::Array(list) => {
            Shape::List(list.elements.iter().map(|item| convert(item, lines)).collect())
        }
        ast::Value::StringLit(text) => Shape::Text(text.value.as_ref().into()),
        ast::Value::NumberLit(number) => Shape::Number(number.value.into()),
        ast::Value::BooleanLit(flag) => Shape::Flag(flag.value),
        ast::Value::NullKeyword(_) => Shape::Null,
    };
    ParsedValue { line, shape }
}

fn convert_fields(object: &ast::Object<'_>, lines: &LineIndex) -> Vec<Field> {
    let convert_field = |property: &ast::ObjectProp<'_>| Field {
        name: property.name.as_str().into(),
        line: lines.line(property.name.range().start),
        value: convert(&property.value, lines),
    };
    object.properties.iter().map(convert_field).collect()
}

/// Reads one object's fields, and notes each fault without stopping.
pub struct ObjectReader<'a> {
    path: Box<str>,
    line: u32,
    fields: &'a [Field],
    known: Vec<&'static str>,
    faults: &'a mut Vec<SettingFault>,
}

impl<'a> ObjectReader<'a> {
    /// Starts on `outline`; a value that is no object is a fault and reads as
    /// an empty one.
    pub fn new(outline: &'a ParsedValue, path: &str, faults: &'a mut Vec<SettingFault>) -> Self {
        let fields = match &outline.shape {
            Shape::Object(fields) => fields.as_slice(),
            other => {
                let message = format!("{path} must be an object, not {}", other.name()).into();
                faults.push(SettingFault { line: outline.line, message });
                &[]
            }
        };
        let mut reader =
            Self { path: path.into(), line: outline.line, fields, known: Vec::new(), faults };
        reader.report_repeats();
        reader
    }

    fn report_repeats(&mut self) {
        for (index, field) in self.fields.iter().enumerate() {
            if self.fields[..index].iter().any(|earlier| earlier.name == field.name) {
                self.fault(field.line, format!("{:?} stands twice in {}", field.name, self.path));
            }
        }
    }

    fn fault(&mut self, line: u32, message: String) {
        self.faults.push(SettingFault { line, message: message.into() });
    }

    fn find(&mut self, name: &'static str) -> Option<&'a Field> {
        self.known.push(name);
        self.fields.iter().find(|field| &*field.name == name)
    }

    fn required(&mut self, name: &'static str) -> Option<&'a Field> {
        let field = self.find(name);
        if field.is_none() {
            self.fault(self.line, format!("{} lacks {name:?}", self.path));
        }
        field
    }

    fn wrong_shape(&mut self, field: &Field, wanted: &str) {
        let found = field.value.shape.name();
        self.fault(field.line, format!("{:?} must be {wanted}, not {found}", field.name));
    }

    /// A required text that parses as `T`.
    pub fn parsed<T: FromStr>(&mut self, name: &'static str) -> Option<T>
    where
        T::Err: fmt::Display,
    {
        let field = self.required(name)?;
        self.parse_field(field)
    }

    /// An optional text that parses as `T`.
    pub fn optional<T: FromStr>(&mut self, name: &'static str) -> Option<T>
    where
        T::Err: fmt::Display,
    {
        let field = self.find(name)?;
        self.parse_field(field)
    }

    fn parse_field<T: FromStr>(&mut self, field: &Field) -> Option<T>
    where
        T::Err: fmt::Display,
    {
        let Shape::Text(text) = &field.value.shape else {
            self.wrong_shape(field, "a text");
            return None;
        };
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.fault(field.line, format!("{:?}: {error}", field.name));
                None
            }
        }
    }

    /// A required whole number within `range`.
    pub fn number(&mut self, name: &'static str, range: RangeInclusive<u64>) -> Option<u64> {
        let field = self.required(name)?;
        self.number_field(field, range)
    }

    /// An optional whole number within `range`.
    pub fn number_or(
        &mut self,
        name: &'static str,
        range: RangeInclusive<u64>,
        fallback: u64,
    ) -> u64 {
        let field = self.find(name);
        field.and_then(|field| self.number_field(field, range)).unwrap_or(fallback)
    }

    fn number_field(&mut self, field: &Field, range: RangeInclusive<u64>) -> Option<u64> {
        let Shape::Number(text) = &field.value.shape else {
            self.wrong_shape(field, "a whole number");
            return None;
        };
        let number = text.parse().ok().filter(|number| range.contains(number));
        if number.is_none() {
            let (least, most) = (range.start(), range.end());
            let message = format!(
                "{:?} must be a whole number from {least} to {most}, not {text}",
                field.name
            );
            self.fault(field.line, message);
        }
        number
    }

    /// An optional `true` or `false`.
    pub fn flag_or(&mut self, name: &'static str, fallback: bool) -> bool {
        let Some(field) = self.find(name) else { return fallback };
        match field.value.shape {
            Shape::Flag(flag) => flag,
            _ => {
                self.wrong_shape(field, "true or false");
                fallback
            }
        }
    }

    /// A required list of texts that parse as `T`.
    pub fn list<T: FromStr>(&mut self, name: &'static str) -> Vec<T>
    where
        T::Err: fmt::Display,
    {
        let Some(field) = self.required(name) else { return Vec::new() };
        let Shape::List(items) = &field.value.shape else {
            self.wrong_shape(field, "a list of texts");
            return Vec::new();
        };
        items.iter().filter_map(|item| self.list_item(field, item)).collect()
    }

    fn list_item<T: FromStr>(&mut self, field: &Field, item: &ParsedValue) -> Option<T>
    where
        T::Err: fmt::Display,
    {
        let Shape::Text(text) = &item.shape else {
            let found = item.shape.name();
            self.fault(item.line, format!("{:?} must list texts, not {found}", field.name));
            return None;
        };
        text.parse()
            .map_err(|error| self.fault(item.line, format!("{:?}: {text:?}: {error}", field.name)))
            .ok()
    }

    /// A required object whose field names are ids: calls `read` on each.
    pub fn entries<K: FromStr>(
        &mut self,
        name: &'static str,
        mut read: impl FnMut(K, &mut ObjectReader<'_>),
    ) where
        K::Err: fmt::Display,
    {
        let Some(field) = self.required(name) else { return };
        let Shape::Object(fields) = &field.value.shape else {
            return self.wrong_shape(field, "an object");
        };
        for entry in fields {
            let path = format!("{name} {:?}", entry.name);
            match entry.name.parse() {
                Ok(key) => {
                    let mut reader = ObjectReader::new(&entry.value, &path, self.faults);
                    read(key, &mut reader);
                    reader.finish();
                }
                Err(error) => self.fault(entry.line, format!("{path}: {error}")),
            }
        }
    }

    /// Reports every field that no call asked for, with the nearest known name.
    pub fn finish(mut self) {
        for field in self.fields {
            if self.known.contains(&&*field.name) {
                continue;
            }
            let nearest = nearest_name(&field.name, &self.known);
            let hint = nearest.map(|name| format!("; did you mean {name:?}?")).unwrap_or_default();
            self.fault(field.line, format!("{} has no setting {:?}{hint}", self.path, field.name));
        }
    }
}

fn nearest_name(name: &str, known: &[&'static str]) -> Option<&'static str> {
    let likeness = |candidate: &str| strsim::jaro_winkler(name, candidate);
    let nearest = known.iter().max_by(|a, b| likeness(a).total_cmp(&likeness(b)))?;
    (likeness(nearest) >= LEAST_LIKENESS).then_some(*nearest)
}
