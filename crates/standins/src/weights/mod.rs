//! The weight store, which shares one rate among all callers.

mod standin;
mod world;

pub use standin::{WeightSettings, WeightStandin};
