//! The way from a sidecar to its target.

mod client;
mod engine;
mod http;
mod plain;

pub use client::{
    Result, TargetCall, TargetClient, TargetError, TargetLoad, TargetStep, TargetStream,
};
pub use engine::EngineClient;
pub use plain::PlainClient;
