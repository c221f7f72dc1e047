//! Value types, entity tables and tick schedules shared by all crates of amaranthgw.
//!
//! The crate performs no I/O. Entities are rows of an [`EntityTable`]; a [`TickSchedule`] runs a
//! fixed list of [`TickSystem`]s over the tables of one world.

mod ids;
mod macros;
mod numbers;
mod parse;
mod rates;
mod revision;
mod shares;
mod sizes;
mod spans;
mod system;
mod table;

pub use ids::{
    AdapterId, CallerId, CallerKey, DomainId, GroupId, IdempotencyKey, ModelId, OperatorId, PlanId,
    RegionId, RequestId, RouteId, ServiceId, TargetId, VmId, WorkspaceId,
};
pub use numbers::{
    AttemptNumber, CallUrgency, ChangeNumber, ChunkSequence, ConfigVersion, ExpertId,
    FencingNumber, GroupGeneration, HeartbeatNumber, LayerId, LeaseId, MapVersion, PartId,
    PriorityLevel, RankId, StartMark, StepNumber, WaiterNumber, saturating_whole,
};
pub use parse::{ParseError, Result};
pub use rates::{ByteRate, RequestRate, TokenRate};
pub use revision::{StoreEra, StoreRevision};
pub use shares::DemandShare;
pub use sizes::{ByteCount, DemandRate, DemandWork, SlotCount, TokenCount};
pub use spans::MilliSpan;
pub use system::{TickSchedule, TickSystem};
pub use table::EntityTable;
