//! Tests of this crate.

mod agreement;
mod orders;
mod placement;
