//! The entry process: accepts callers' requests and dispatches them to the sidecars of targets.

mod answer;
mod attempt;
mod claim;
mod control;
mod error;
mod head;
mod http;
mod listener;
mod probe;
mod process;
mod reporter;
mod run;
mod shared;
mod suspect;

pub use error::{CallError, RunState};
pub use process::EntryProcess;
