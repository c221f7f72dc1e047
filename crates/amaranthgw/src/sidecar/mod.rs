//! The sidecar process: admits attempts of all entries and is the only client of its target.

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
