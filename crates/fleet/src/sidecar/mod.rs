//! Control state of a sidecar: tables and the systems that run over them each tick.

mod input;
mod order;
mod rows;
mod schedule;
mod systems;
mod world;

pub use input::{SidecarInbox, SidecarOutput, TargetEvidence, TargetNews};
pub use order::{OrderRefusal, OrderTerms, check_order};
pub use rows::{DrainReason, GateEntry, ServedTarget};
pub use schedule::sidecar_schedule;
pub use world::SidecarWorld;
