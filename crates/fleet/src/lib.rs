//! Serving decisions: routing, gates, limits, claims, configuration and burn.
//!
//! Everything here is a plain function or a row type. Time comes in as an argument, nothing is
//! sent or received, and no message encoding is known.

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
