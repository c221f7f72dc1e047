//! The gateway process: accepts callers' requests and forwards them directly to targets.

mod attempt;
mod basis;
mod body;
mod caller_stream;
mod choosing;
mod control;
mod delivery;
mod doubts;
mod feeds;
mod gossip;
mod groups;
mod holding;
mod listener;
mod operators;
mod peers;
mod process;
mod quarantine;
mod refusal;
mod registry;
mod retries;
mod roster;
mod run;
mod sends;
mod serve;
mod shared;
mod stream;
mod suspicion;
mod waiting;

pub use process::GatewayProcess;
