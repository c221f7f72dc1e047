//! The processes of amaranthgw: entries, sidecars, operators' commands and the demo.

pub mod control;
pub mod entry;
pub mod link;
pub mod peer;
pub mod platform;
pub mod runtime;
pub mod sidecar;
pub mod telemetry;
pub mod wire;
