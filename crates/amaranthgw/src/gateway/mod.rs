//! The gateway process: accepts callers' requests and forwards them directly to targets.

mod attempt;
mod basis;
mod body;
mod control;
mod feeds;
mod groups;
mod listener;
mod peers;
mod process;
mod refusal;
mod roster;
mod run;
mod serve;
mod shared;
mod stream;

pub use process::GatewayProcess;
