//! Tests that run the real binary as separate processes.

mod bad_input;
mod claims;
mod env;
mod events;
mod leave;
mod promises;
mod serve;
mod suspects;
