//! Gateway control state and routing decisions: route table, target registry, load balancing,
//! retry windows, rank group health and event stream framing.

mod budget;
mod choice;
mod events;
mod groups;
mod routes;
mod systems;
mod targets;
mod world;

pub use budget::{WindowBudget, WindowSettings};
pub use choice::{ChoiceInput, ChoicePolicy, LeastLoadedPolicy, RoundRobinPolicy};
pub use events::{EventId, EventScanner};
pub use groups::{GroupGauge, GroupStatus, GroupStream, GroupSuspicion};
pub use routes::{
    CallLimits, ExpertShape, KeyHolder, LookupError, RouteKind, RouteRow, RouteTable, ServiceRow,
    SplitShare,
};
pub use systems::{PEER_TIMEOUT, gateway_schedule};
pub use targets::{FlightGuard, RegistryEntry, TargetChoice, TargetGauge, TargetRecord};
pub use world::{FleetBounds, GatewaySnapshot, GatewayWorld, TargetRow, TargetTransition};
