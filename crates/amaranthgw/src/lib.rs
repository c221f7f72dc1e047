//! The processes and commands of amaranthgw: entries and sidecars, gateways and agents, operator
//! commands, the demo and benchmarks.

pub mod agent;
pub mod bench;
pub mod cli;
pub mod control;
pub mod demo;
pub mod embedded;
pub mod entry;
pub mod gateway;
pub mod link;
pub mod memory;
pub mod operator;
pub mod peer;
pub mod platform;
pub mod runtime;
pub mod sidecar;
pub mod telemetry;
pub mod wire;
