//! Shares of what gateways divide among themselves.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use crate::macros::value_type;
use crate::numbers::saturating_whole;
use crate::parse::{ParseError, Result};

/// Millionths in the whole.
const WHOLE: u32 = 1_000_000;

value_type! {
    /// Part of a service's room that one gateway may use, in millionths; written as a fraction.
    #[derive(Copy, Default, serde::Serialize, serde::Deserialize)]
    #[serde(transparent)]
    pub struct DemandShare(u32);
}

impl DemandShare {
    /// No room.
    pub const NONE: Self = Self(0);
    /// All room.
    pub const WHOLE: Self = Self(WHOLE);

    /// Creates the share from millionths.
    #[must_use]
    pub const fn new(millionths: u32) -> Self {
        Self(millionths)
    }

    /// The share in millionths.
    #[must_use]
    pub const fn millionths(self) -> u32 {
        self.0
    }

    /// The share as a fraction; 1 is the whole.
    #[must_use]
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / f64::from(WHOLE)
    }

    /// The share of `fraction`, rounded down.
    #[must_use]
    pub fn of_fraction(fraction: f64) -> Self {
        let millionths = saturating_whole(fraction * f64::from(WHOLE));
        Self(u32::try_from(millionths).unwrap_or(u32::MAX))
    }

    /// Sum of two shares; saturates.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// What is left without `other`; at least nothing.
    #[must_use]
    pub const fn minus(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl Display for DemandShare {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}", self.0 / WHOLE, self.0 % WHOLE)
    }
}

impl FromStr for DemandShare {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self> {
        let fraction = text.parse::<f64>().ok();
        let share = fraction.filter(|fraction| (0.0..=1.0).contains(fraction));
        // Half a millionth, as the nearest binary fraction may be below the text.
        share
            .map(|fraction| Self::of_fraction(fraction + 0.5 / f64::from(WHOLE)))
            .ok_or_else(|| ParseError::new("DemandShare", "a fraction from 0 to 1", text))
    }
}
