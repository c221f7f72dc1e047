//! Tests of this crate.
