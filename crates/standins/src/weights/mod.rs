//! Weight store whose callers share one rate limit.

mod standin;
mod world;

pub use standin::{WeightSettings, WeightStandin};
