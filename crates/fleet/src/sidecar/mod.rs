//! Control state of a sidecar: tables and the systems that run over them each tick.

mod attempt;
mod input;
mod rows;
mod schedule;
mod systems;
mod world;

pub use attempt::{AttemptInput, AttemptRefusal, check_attempt};
pub use input::{SidecarInbox, SidecarOutput, TargetEvidence, TargetUpdate};
pub use rows::{DrainReason, ServedTarget, ServedTargetRow};
pub use schedule::sidecar_schedule;
pub use world::SidecarWorld;
