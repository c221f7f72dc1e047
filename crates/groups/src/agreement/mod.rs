//! Agreement of all ranks of a rank group on one expert map per step.
//!
//! A map change is a two-phase commit: the coordinator sends `Prepare`, each rank's engine holds
//! the step of the change and the rank promises, and the change commits once every rank has
//! promised. A rank that does not learn the outcome queries the other ranks. A rank whose sidecar
//! or engine restarts opens a new generation as its opener: all engines hold, all ranks report to
//! the opener what they know, and the opener derives the generation's first map from the reports.
//!
//! Each rank's sidecar owns one [`RankMember`] row; the holder of the group's lease also owns a
//! [`MapCoordinator`] row. Both are state machines without I/O: inputs are messages, engine views,
//! responses of the key-value service and the time; outputs are [`GroupEffect`]s.

mod coordinator;
mod coordinator_store;
mod engine;
mod in_doubt;
mod lease;
mod member;
mod message;
mod opening;
mod proposal;
mod reconcile;
mod recovery;
mod store;
mod tables;
mod timing;

pub use coordinator::MapCoordinator;
pub use engine::{EngineHold, EngineView, MapOrder};
pub use lease::LeaseGuard;
pub use member::{MemberIdentity, MemberPhase, MemberStatus, RankMember};
pub use message::{GroupEffect, GroupMessage, OpeningTerms, PrepareRequest};
pub use proposal::{MapProposal, ProposalKind, RankReport};
pub use recovery::{OpeningChoice, choose_opening};
pub use store::{MapRecord, StoreAnswer};
pub use tables::{CoordinatorSystem, GroupTables, MemberSystem};
pub use timing::GroupTiming;
