//! Tests that run the real binary as separate processes.

mod bad_input;
mod env;
mod leave;
mod serve;
