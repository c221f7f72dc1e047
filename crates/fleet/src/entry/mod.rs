//! Control state of an entry: tables and the systems that run over them each tick.

mod input;
mod rows;
mod schedule;
mod snapshot;
mod systems;
mod world;

pub use input::{EntryInbox, EntryOutput, OutcomeRecord, TargetObservation, TargetStatus};
pub use rows::{ProbeState, TargetRow};
pub use schedule::entry_schedule;
pub use snapshot::{EntrySnapshot, WorkspaceMeters};
pub use world::{EntryWorld, ProbeIntervals};
