//! Durations in settings and messages: whole milliseconds, written as `250ms`, `1.5s` or `2min`.

use std::time::Duration;

use crate::macros::{serde_as_text, value_type};
use crate::numbers::saturating_whole;
use crate::parse::{ParseError, Result};

value_type! {
    /// A duration in whole milliseconds. It is displayed and serialised in `ms` and also parses `s`
    /// and `min`, with or without a fraction; the result is rounded to whole milliseconds.
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
        let number = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
        let factor: u32 = match &text[number.len()..] {
            "ms" => 1,
            "s" => 1_000,
            "min" => 60_000,
            _ => return Err(error()),
        };
        let millis = if number.bytes().all(|byte| byte.is_ascii_digit()) {
            let count = number.parse::<u64>().ok();
            count.and_then(|count| count.checked_mul(factor.into()))
        } else {
            millis_of_decimal(number, factor)
        };
        millis.map(Self).ok_or_else(error)
    }
}

/// Milliseconds of a decimal `number`, such as `8.5` or `1.5e3`, of units of `factor` milliseconds; `None`
/// if it is malformed or too large.
fn millis_of_decimal(number: &str, factor: u32) -> Option<u64> {
    const MAX_MILLIS: f64 = 9_007_199_254_740_992.0; // 2^53: a larger float isn't exact
    let is_at_digit = |byte: Option<&u8>| byte.is_some_and(u8::is_ascii_digit);
    let digits = number.as_bytes();
    if !is_at_digit(digits.first()) || !is_at_digit(digits.last()) {
        return None;
    }
    let millis = number.parse::<f64>().ok()? * f64::from(factor);
    (millis <= MAX_MILLIS).then(|| saturating_whole(millis.round()))
}

serde_as_text!(MilliSpan);
