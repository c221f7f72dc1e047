//! Expert rebalancing for rank groups that switch maps by order of a coordinator: rank reports,
//! expert placement and map switches.
//!
//! [`ExpertDemand`] estimates the demand for each expert from the selections of all ranks
//! ([`SelectionSample`]),
//! [`plan_change`] plans a new placement for that demand, and [`SwitchDriver`] decides which orders
//! ([`RankOrder`]) bring the group to the new placement. The rank agent of `amaranthgw` that holds
//! a group's lease runs them. Ranks answer orders and don't vote; [`agreement`](crate::agreement),
//! where ranks promise and commit proposals, is a separate design.
//!
//! Placements are planned by set: a set is a number of layers that share one placement. A rank
//! reports counts and experts set after set.
//!
//! A rank switches to a prepared map when a given step begins, and all ranks must switch at the
//! same step. [`SwitchDriver`] ensures this by holding one rank before that step until all ranks
//! are armed.

mod delta;
mod demand;
mod driver;
mod history;
mod placement;
mod planner;
mod rank;
mod selections;

pub use delta::{DeltaError, PlacementDelta};
pub use demand::ExpertDemand;
pub use driver::{DriverEvent, PendingOrder, SwitchDriver, SwitchPhase, ViewTime};
pub use history::{BaseError, MapContent, MapHistory};
pub use placement::{GroupPlacement, SetPlacement};
pub use planner::{PlacementChange, PlannerInput, PlannerLimits, plan_change};
pub use rank::{ArmedMap, CoordinatorMark, OrderReply, RankOrder, RankView, SLOWDOWN_THRESHOLD};
pub use selections::{SelectionCounter, SelectionSample};
