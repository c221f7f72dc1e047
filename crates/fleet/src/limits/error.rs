//! Why a limit admits no further request.

use std::time::Duration;

/// Why a request is over the limit of its plan at this entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitError {
    /// The rate is used up for the moment.
    RateExceeded {
        /// Time until a request would be admitted at the present rate.
        retry_after: Duration,
    },
    /// As many requests are in flight as the entry's share allows.
    InFlightExceeded {
        /// The share, in requests.
        limit: u32,
    },
    /// The entry holds no share of the limit.
    NoShare,
}

impl std::fmt::Display for LimitError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::RateExceeded { retry_after } => {
                write!(
                    f,
                    "rate limit reached; next in {} ms",
                    retry_after.as_millis()
                )
            }
            Self::InFlightExceeded { limit } => {
                write!(f, "{limit} requests are in flight, which is the limit here")
            }
            Self::NoShare => f.write_str("this entry holds no share of the limit"),
        }
    }
}

impl std::error::Error for LimitError {}
