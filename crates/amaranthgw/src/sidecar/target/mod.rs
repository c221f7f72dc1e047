//! Clients of targets: model engines and plain services.

mod client;
mod engine;
mod http;
mod plain;

pub use client::{
    Result, TargetCall, TargetClient, TargetError, TargetEvent, TargetLoad, TargetStream,
};
pub use engine::EngineClient;
pub use plain::PlainClient;
