//! Agreement of all ranks of a group on one expert map per step.
//!
//! Each rank's sidecar owns one [`RankMember`] row; the lease holder of the group also owns one
//! [`MapCoordinator`] row. Both are state machines: inputs are messages, views of the own engine,
//! answers of the key-value service and the time, outputs are [`GroupEffect`]s.

mod coordinator;
mod coordinator_store;
mod doubt;
mod driving;
mod engine;
mod lease;
mod member;
mod message;
mod opening;
mod proposal;
mod recovery;
mod store;
mod tables;
mod timing;

pub use coordinator::MapCoordinator;
pub use engine::{EngineHold, EngineView, MapOrder};
pub use lease::LeaseGuard;
pub use member::{GroupPlace, MemberPhase, MemberStanding, RankMember};
pub use message::{GroupEffect, GroupMessage, OpeningTerms, PrepareRequest};
pub use proposal::{MapProposal, ProposalKind, RankReport};
pub use recovery::{OpeningChoice, choose_opening};
pub use store::{MapRecord, StoreAnswer};
pub use tables::{CoordinatorSystem, GroupTables, MemberSystem};
pub use timing::GroupTiming;
