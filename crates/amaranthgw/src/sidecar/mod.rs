//! The sidecar process: the only one that gives its target work.

mod attempt;
mod control;
mod load_actor;
mod process;
mod queue;
mod reachability;
mod reporter;
mod running;
mod service;
mod shared;
pub mod target;

pub use process::SidecarProcess;
