//! Placement of experts on ranks: popularity estimates, replica packing, and policies that weigh
//! the gain of a new map against its cost.
//!
//! Loads are shares of the tokens of a layer, so they sum to 1 over its experts. A layer takes as
//! long as its most loaded rank, for which all other ranks wait in every step.

mod balance;
mod cost;
mod loads;
mod map;
mod moves;
mod packing;
mod policy;
mod popularity;
mod straggler;
mod tables;

pub use balance::balance_shares;
pub use cost::MoveCost;
pub use loads::{LoadShare, rank_loads, skew};
pub use map::{ExpertMap, ExpertReplica, LayerMap, ReplicaShare};
pub use packing::{GroupShape, pack_layer, static_layer};
pub use policy::{
    GainPolicy, PlacementInput, PlacementPlan, PlacementPolicy, RepackPolicy, StaticPolicy,
    count_new_replicas,
};
pub use popularity::{ExpertEstimate, LayerPopularity};
pub use straggler::{RankSample, StragglerCause, StragglerTracker};
pub use tables::{PlacementRow, PlacementSystem, PlacementTables};
