//! Errors of the admission check.

use std::time::Duration;

/// Reason why this entry doesn't admit a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitError {
    /// The request rate is exceeded.
    RateExceeded {
        /// Time until a request is admitted at the current rate.
        retry_after: Duration,
    },
    /// The number of requests in flight has reached the entry's share.
    InFlightExceeded {
        /// Share of the entry, in requests.
        limit: u32,
    },
    /// The entry has no share of the limit.
    NoShare,
}

impl std::fmt::Display for LimitError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::RateExceeded { retry_after } => {
                write!(
                    f,
                    "rate limit exceeded; retry in {} ms",
                    retry_after.as_millis()
                )
            }
            Self::InFlightExceeded { limit } => {
                write!(
                    f,
                    "limit of {limit} requests in flight at this entry is reached"
                )
            }
            Self::NoShare => f.write_str("this entry has no share of the limit"),
        }
    }
}

impl std::error::Error for LimitError {}
