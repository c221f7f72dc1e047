//! Placement of experts on ranks.

mod map;

pub use map::{ExpertMap, ExpertReplica, LayerMap, ReplicaShare};
