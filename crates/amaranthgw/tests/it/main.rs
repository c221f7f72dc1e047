//! Tests that run the real binary as separate processes.

mod bad_input;
mod bench;
mod claims;
mod env;
mod leave;
mod serve;
