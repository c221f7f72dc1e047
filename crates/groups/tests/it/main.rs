//! Tests of this crate.

mod agreement;
