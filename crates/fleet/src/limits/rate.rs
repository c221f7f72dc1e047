//! Request rate with a resolution of one request per 1,000 seconds.

use amaranthgw_core::{ParseError, RequestRate};
use serde::{Deserialize, Serialize};

/// Request rate in requests per 1,000 seconds, written as `1500m/s`. Shares of a limit may be far
/// below one request per second.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct MilliRate(u64);

impl MilliRate {
    const PER_UNIT: u64 = 1_000;

    /// Creates the rate from requests per 1,000 seconds.
    #[must_use]
    pub const fn new(per_1000_seconds: u64) -> Self {
        Self(per_1000_seconds)
    }

    /// Converts a rate in requests per second.
    #[must_use]
    pub const fn with_rate(rate: RequestRate) -> Self {
        Self(rate.per_second().saturating_mul(Self::PER_UNIT))
    }

    /// Requests per 1,000 seconds.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl std::fmt::Display for MilliRate {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}m/s", self.0)
    }
}

impl std::str::FromStr for MilliRate {
    type Err = ParseError;

    fn from_str(text: &str) -> std::result::Result<Self, ParseError> {
        let number = text
            .strip_suffix("m/s")
            .and_then(|digits| digits.parse().ok());
        number
            .map(Self)
            .ok_or_else(|| ParseError::new("MilliRate", "a text like 1500m/s", text))
    }
}
