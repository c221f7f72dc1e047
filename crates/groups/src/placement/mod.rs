//! Placement of experts on ranks: popularity, replicas, packing and moves that pay.
//!
//! Loads are parts of the tokens of a layer, so they sum to 1 over its experts. A layer takes the
//! time of its most loaded rank; the ranks wait for it in every step.

mod balance;
mod loads;
mod map;
mod moves;
mod packing;
mod policy;
mod popularity;
mod price;
mod straggler;
mod tables;

pub use balance::balance_shares;
pub use loads::{LoadShare, rank_loads, skew};
pub use map::{ExpertMap, ExpertReplica, LayerMap, ReplicaShare};
pub use packing::{GroupShape, pack_layer, static_layer};
pub use policy::{
    EachTickPolicy, GainPolicy, PlacementInput, PlacementPlan, PlacementPolicy, StaticPolicy,
    loaded_replicas,
};
pub use popularity::{ExpertEstimate, LayerPopularity};
pub use price::MovePrice;
pub use straggler::{RankSample, StragglerCause, StragglerTracker};
pub use tables::{PlacementRow, PlacementSystem, PlacementTables};
