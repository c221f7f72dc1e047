//! Serving decisions: routing, gates, limits, claims, configuration and burn.
//!
//! This crate consists of plain functions and row types: time is passed in as an argument, no I/O is
//! done, and message encodings are left to other crates.

pub mod answers;
pub mod burn;
pub mod claims;
pub mod config;
pub mod drain;
pub mod entry;
pub mod gate;
pub mod gateway;
pub mod limits;
pub mod lists;
pub mod membership;
pub mod retries;
pub mod routing;
pub mod settings;
pub mod sidecar;
pub mod suspects;
