//! Tests that run the real binary as separate processes.

mod bad_input;
mod claims;
mod env;
mod leave;
mod limits;
mod serve;
mod suspects;
