//! The plain service, whose calls may not be repeated.

mod standin;
mod world;

pub use standin::{PlainSettings, PlainStandin};
