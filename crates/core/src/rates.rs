//! Rates per second, written as `200/s`.

use crate::macros::{serde_as_text, value_type};
use crate::parse::{ParseError, Result};

/// Declares a rate type: a whole number of units per second, serialised as text.
macro_rules! rate_type {
    ($(#[$meta:meta])* $name:ident) => {
        value_type! {
            $(#[$meta])*
            #[derive(Copy, Default)]
            pub struct $name(u64);
        }

        impl $name {
            /// Creates a rate of `per_second` units per second.
            #[must_use]
            pub const fn new(per_second: u64) -> Self {
                Self(per_second)
            }

            /// Number of units per second.
            #[must_use]
            pub const fn per_second(self) -> u64 {
                self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(f, "{}/s", self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self> {
                let number = text.strip_suffix("/s").and_then(|digits| digits.parse().ok());
                number
                    .map(Self)
                    .ok_or_else(|| ParseError::new(stringify!($name), "a text like 200/s", text))
            }
        }

        serde_as_text!($name);
    };
}

rate_type!(
    /// Requests per second.
    RequestRate
);
rate_type!(
    /// Bytes per second.
    ByteRate
);
rate_type!(
    /// Tokens per second.
    TokenRate
);
