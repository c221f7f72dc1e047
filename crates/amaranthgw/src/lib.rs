//! The processes of amaranthgw: entries, sidecars, operators' commands and the demo.

pub mod link;
pub mod platform;
pub mod runtime;
pub mod telemetry;
pub mod wire;
