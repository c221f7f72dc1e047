//! The entry process: takes callers' requests and carries them to targets.

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
