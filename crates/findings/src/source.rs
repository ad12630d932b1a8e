//! File that a check has decoded.

use state::{ParsedValue, Position, SettingFault, TextIndex, parse_value};

/// Text of a file with its parsed value.
#[derive(Debug, Clone)]
pub struct SourceFile {
    /// Name of the file as the caller gave it.
    pub name: Box<str>,
    /// Text of the file.
    pub text: Box<str>,
    /// Value of the text.
    pub value: ParsedValue,
}

impl SourceFile {
    /// Decodes and parses the bytes of a file.
    ///
    /// # Errors
    ///
    /// Returns a fault if the bytes are not UTF-8 text, or the text is not JSON with comments.
    pub fn read(name: &str, bytes: &[u8]) -> Result<Self, SettingFault> {
        let text = std::str::from_utf8(bytes).map_err(|error| {
            let valid_text = String::from_utf8_lossy(&bytes[..error.valid_up_to()]);
            let position = TextIndex::new(&valid_text).position_at(error.valid_up_to());
            SettingFault::new(position, "the file is not text in UTF-8")
        })?;
        if text.starts_with('\u{feff}') {
            let message = "the file begins with a byte-order mark; save it as UTF-8 without one";
            return Err(SettingFault::new(Position::START, message));
        }
        if let Some(offset) = text.find('\0') {
            let position = TextIndex::new(text).position_at(offset);
            return Err(SettingFault::new(position, "the file is not text: it has a zero byte"));
        }
        let value = parse_value(text)?;
        Ok(Self { name: name.into(), text: text.into(), value })
    }
}
