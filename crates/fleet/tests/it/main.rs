//! Integration tests of the serving decisions.

mod answers;
mod burn;
mod claims;
mod config;
mod drain;
mod entry;
mod gate;
mod gateway;
mod limits;
mod lists;
mod memory;
mod retries;
mod routing;
mod settings;
mod suspects;
