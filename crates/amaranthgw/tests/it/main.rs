//! Integration tests that run the binary as separate processes.

mod agents;
mod bad_input;
mod bench;
mod check_config;
mod claims;
mod env;
mod events;
mod faults;
mod gateway;
mod leave;
mod limits;
mod promises;
mod serve;
mod suspects;
mod templates;
