//! The error of every `FromStr` in this crate.

use compact_str::CompactString;

/// Result of parsing a value type of this crate.
pub type Result<T> = std::result::Result<T, ParseError>;

/// A text that is not a valid value of the named type.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseError {
    type_name: &'static str,
    allowed: &'static str,
    text: CompactString,
}

impl ParseError {
    /// Creates the error for `text`, which is no `type_name`; `allowed` states what is.
    #[must_use]
    pub fn new(type_name: &'static str, allowed: &'static str, text: &str) -> Self {
        const MAX_SHOWN_CHARS: usize = 64;
        let text = text.chars().take(MAX_SHOWN_CHARS).collect();
        Self {
            type_name,
            allowed,
            text,
        }
    }
}

impl std::fmt::Display for ParseError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{:?} is not a valid {}: allowed is {}",
            self.text, self.type_name, self.allowed
        )
    }
}

impl std::error::Error for ParseError {}
