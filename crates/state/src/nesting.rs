//! Bound on the nesting of JSON texts.
//!
//! The parser of JSON with comments recurses for each level, so that a text of brackets would
//! exhaust the stack of its thread and end the process.

use jsonc_parser::Scanner;
use jsonc_parser::tokens::Token;

/// Maximum number of levels, as for JSON without comments.
const MAX_NESTING: usize = 128;

/// Returns the byte offset at which `text` is nested too deeply; `None` if it is not.
///
/// A text that cannot be scanned is left to the parser, which reports the fault: it stops at
/// the same place.
pub fn find_excess_nesting(text: &str) -> Option<usize> {
    let mut scanner = Scanner::new(text);
    let mut depth = 0_usize;
    while let Ok(Some(token)) = scanner.scan() {
        match token {
            Token::OpenBrace | Token::OpenBracket => depth += 1,
            Token::CloseBrace | Token::CloseBracket => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > MAX_NESTING {
            return Some(scanner.token_start());
        }
    }
    None
}
