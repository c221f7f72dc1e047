//! Expert rebalancing for the platform's rank groups: rank reports, expert placement and map
//! switches.
//!
//! A rank switches to a prepared map when a given step begins, and all ranks must switch at the
//! same step. [`SwitchDriver`] ensures this by holding one rank before that step until all ranks
//! are armed.

mod demand;
mod driver;
mod placement;
mod planner;
mod rank;

pub use demand::ExpertDemand;
pub use driver::{DriverEvent, PendingOrder, SwitchDriver, SwitchPhase};
pub use placement::{GroupPlacement, SetPlacement};
pub use planner::{PlacementChange, PlannerInput, PlannerLimits, plan_change};
pub use rank::{ArmedMap, CoordinatorMark, OrderReply, RankOrder, RankView, SLOWDOWN_THRESHOLD};
