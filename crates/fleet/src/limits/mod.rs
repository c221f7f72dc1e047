//! Plan limits and how entries share them.

mod cell;
mod error;
mod in_flight;
mod rate;
mod rate_meter;
mod usage;

pub use error::LimitError;
pub use in_flight::{InFlightMeter, InFlightPermit};
pub use rate::MilliRate;
pub use rate_meter::RateMeter;
pub use usage::UsageMeter;

/// Result of asking a limit.
pub type Result<T> = std::result::Result<T, LimitError>;
