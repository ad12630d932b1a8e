//! Reads and writes JSON: just what the platform's messages need.

use std::collections::BTreeMap;
use std::fmt::{self, Write};

/// JSON value. Numbers of the platform's messages are whole.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Int(i64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    /// Returns the member `name` of an object, or null.
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(members) => members.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn as_int(&self) -> Option<i64> {
        match self {
            Json::Int(value) => Some(*value),
            _ => None,
        }
    }

    pub fn as_text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn as_list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }
}

impl From<i64> for Json {
    fn from(value: i64) -> Self {
        Json::Int(value)
    }
}

impl From<&str> for Json {
    fn from(text: &str) -> Self {
        Json::Text(text.to_owned())
    }
}

impl From<bool> for Json {
    fn from(value: bool) -> Self {
        Json::Bool(value)
    }
}

impl From<Vec<Json>> for Json {
    fn from(items: Vec<Json>) -> Self {
        Json::List(items)
    }
}

/// Builds an object from its members.
pub fn object(members: &[(&str, Json)]) -> Json {
    Json::Object(members.iter().map(|(name, value)| ((*name).to_owned(), value.clone())).collect())
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => f.write_str("null"),
            Json::Bool(value) => write!(f, "{value}"),
            Json::Int(value) => write!(f, "{value}"),
            Json::Text(text) => write_text(f, text),
            Json::List(items) => {
                f.write_char('[')?;
                for (index, item) in items.iter().enumerate() {
                    if index > 0 {
                        f.write_char(',')?;
                    }
                    write!(f, "{item}")?;
                }
                f.write_char(']')
            }
            Json::Object(members) => {
                f.write_char('{')?;
                for (index, (name, value)) in members.iter().enumerate() {
                    if index > 0 {
                        f.write_char(',')?;
                    }
                    write_text(f, name)?;
                    write!(f, ":{value}")?;
                }
                f.write_char('}')
            }
        }
    }
}

fn write_text(f: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    f.write_char('"')?;
    for c in text.chars() {
        match c {
            '"' => f.write_str("\\\"")?,
            '\\' => f.write_str("\\\\")?,
            c if (c as u32) < 0x20 => write!(f, "\\u{:04x}", c as u32)?,
            c => f.write_char(c)?,
        }
    }
    f.write_char('"')
}

/// Parses a JSON text; `None` if it is not valid.
pub fn parse(text: &[u8]) -> Option<Json> {
    let mut parser = Parser { text, position: 0 };
    let value = parser.value()?;
    parser.skip_space();
    (parser.position == text.len()).then_some(value)
}

struct Parser<'a> {
    text: &'a [u8],
    position: usize,
}

impl Parser<'_> {
    fn peek(&self) -> Option<u8> {
        self.text.get(self.position).copied()
    }

    fn skip_space(&mut self) {
        while self.peek().is_some_and(|byte| byte.is_ascii_whitespace()) {
            self.position += 1;
        }
    }

    fn take(&mut self, expected: &[u8]) -> Option<()> {
        let is_next = self.text[self.position..].starts_with(expected);
        is_next.then(|| self.position += expected.len())
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match self.peek()? {
            b'{' => self.object(),
            b'[' => self.list(),
            b'"' => self.text().map(Json::Text),
            b't' => self.take(b"true").map(|()| Json::Bool(true)),
            b'f' => self.take(b"false").map(|()| Json::Bool(false)),
            b'n' => self.take(b"null").map(|()| Json::Null),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Json> {
        let start = self.position;
        while self
            .peek()
            .is_some_and(|byte| matches!(byte, b'-' | b'+' | b'.' | b'e' | b'E' | b'0'..=b'9'))
        {
            self.position += 1;
        }
        let text = std::str::from_utf8(&self.text[start..self.position]).ok()?;
        let value: f64 = text.parse().ok()?;
        Some(Json::Int(text.parse().unwrap_or(value as i64)))
    }

    fn text(&mut self) -> Option<String> {
        self.take(b"\"")?;
        let mut bytes = Vec::new();
        loop {
            let byte = self.peek()?;
            self.position += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escape = self.peek()?;
                    self.position += 1;
                    let c = match escape {
                        b'n' => '\n',
                        b't' => '\t',
                        b'r' => '\r',
                        b'b' => '\u{8}',
                        b'f' => '\u{c}',
                        b'u' => {
                            let digits = self.text.get(self.position..self.position + 4)?;
                            self.position += 4;
                            let code =
                                u32::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()?;
                            char::from_u32(code)?
                        }
                        other => char::from(other),
                    };
                    bytes.extend_from_slice(c.encode_utf8(&mut [0; 4]).as_bytes());
                }
                other => bytes.push(other),
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.take(b"[")?;
        let mut items = Vec::new();
        self.skip_space();
        if self.take(b"]").is_some() {
            return Some(Json::List(items));
        }
        loop {
            items.push(self.value()?);
            self.skip_space();
            if self.take(b"]").is_some() {
                return Some(Json::List(items));
            }
            self.take(b",")?;
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.take(b"{")?;
        let mut members = BTreeMap::new();
        self.skip_space();
        if self.take(b"}").is_some() {
            return Some(Json::Object(members));
        }
        loop {
            self.skip_space();
            let name = self.text()?;
            self.skip_space();
            self.take(b":")?;
            members.insert(name, self.value()?);
            self.skip_space();
            if self.take(b"}").is_some() {
                return Some(Json::Object(members));
            }
            self.take(b",")?;
        }
    }
}
