//! Durations in settings and messages: whole milliseconds, written as `250ms`, `3s` or `2min`.

use std::time::Duration;

use crate::macros::{serde_as_text, value_type};
use crate::parse::{ParseError, Result};

value_type! {
    /// A duration in whole milliseconds. It is displayed and serialised in `ms` and also parses `s`
    /// and `min`.
    #[derive(Copy, Default)]
    pub struct MilliSpan(u64);
}

impl MilliSpan {
    /// Creates the duration from a number of milliseconds.
    #[must_use]
    pub const fn new(millis: u64) -> Self {
        Self(millis)
    }

    /// Converts `duration`, rounded down to whole milliseconds; saturates at the maximum.
    #[must_use]
    pub fn from_duration(duration: Duration) -> Self {
        Self(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
    }

    /// Number of milliseconds.
    #[must_use]
    pub const fn millis(self) -> u64 {
        self.0
    }

    /// Converts to a [`Duration`].
    #[must_use]
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl std::fmt::Display for MilliSpan {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

impl std::str::FromStr for MilliSpan {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self> {
        let error = || ParseError::new("MilliSpan", "a text like 250ms, 3s or 2min", text);
        let unit_start = text.find(|c: char| !c.is_ascii_digit()).ok_or_else(error)?;
        let (digits, unit) = text.split_at(unit_start);
        let count = digits.parse::<u64>().ok().ok_or_else(error)?;
        let factor = match unit {
            "ms" => 1,
            "s" => 1_000,
            "min" => 60_000,
            _ => return Err(error()),
        };
        count.checked_mul(factor).map(Self).ok_or_else(error)
    }
}

serde_as_text!(MilliSpan);
