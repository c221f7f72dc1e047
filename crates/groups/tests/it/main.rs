//! Tests of this crate.

mod agreement;
mod levels;
mod orders;
mod placement;
