//! Error type of the `FromStr` implementations in this crate.

use compact_str::CompactString;

/// Result of parsing a value type of this crate.
pub type Result<T> = std::result::Result<T, ParseError>;

/// Error of parsing a text that is not a valid value of a type.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseError {
    type_name: &'static str,
    expected: &'static str,
    text: CompactString,
}

impl ParseError {
    /// Creates the error for `text`, which is not a valid `type_name`; `expected` describes valid
    /// texts. Only the first 64 characters of `text` are kept.
    #[must_use]
    pub fn new(type_name: &'static str, expected: &'static str, text: &str) -> Self {
        const MAX_SHOWN_CHARS: usize = 64;
        let text = text.chars().take(MAX_SHOWN_CHARS).collect();
        Self {
            type_name,
            expected,
            text,
        }
    }
}

impl std::fmt::Display for ParseError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{:?} is not a valid {}: expected {}",
            self.text, self.type_name, self.expected
        )
    }
}

impl std::error::Error for ParseError {}
