//! Number types of the gate.

use amaranthgw_core::{ParseError, SlotCount};
use serde::{Deserialize, Serialize};

/// Percentage of another value; a ratio may exceed 100.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct PartPercent(u32);

impl PartPercent {
    /// Creates the percentage from a number of percent.
    #[must_use]
    pub const fn new(percent: u32) -> Self {
        Self(percent)
    }

    /// Returns the number of percent.
    #[must_use]
    pub const fn get(self) -> u32 {
        self.0
    }

    /// Returns this percentage of `slots`, rounded down.
    #[must_use]
    pub fn of(self, slots: SlotCount) -> SlotCount {
        let part = u64::from(slots.get()) * u64::from(self.0) / 100;
        SlotCount::new(u32::try_from(part).unwrap_or(u32::MAX))
    }
}

impl std::fmt::Display for PartPercent {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}%", self.0)
    }
}

impl std::str::FromStr for PartPercent {
    type Err = ParseError;

    fn from_str(text: &str) -> std::result::Result<Self, ParseError> {
        let digits = text
            .strip_suffix('%')
            .and_then(|digits| digits.parse().ok());
        digits
            .map(Self)
            .ok_or_else(|| ParseError::new("PartPercent", "a whole number followed by %", text))
    }
}

/// Sequence number of a request in one queue, in order of arrival.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketNumber(u64);

impl TicketNumber {
    /// Wraps a plain number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the next number; saturates at the maximum.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl std::fmt::Display for TicketNumber {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

impl std::str::FromStr for TicketNumber {
    type Err = ParseError;

    fn from_str(text: &str) -> std::result::Result<Self, ParseError> {
        let number = text.parse().ok();
        number
            .map(Self)
            .ok_or_else(|| ParseError::new("TicketNumber", "a whole number", text))
    }
}
