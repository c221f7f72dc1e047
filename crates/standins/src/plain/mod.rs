//! Plain service with non-idempotent calls; logs every run.

mod standin;
mod world;

pub use standin::{PlainSettings, PlainStandin};
