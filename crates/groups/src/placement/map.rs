//! Expert maps: replicas of each expert and their shares of its tokens.

use amaranthgw_core::{ExpertId, RankId};
use serde::{Deserialize, Serialize};

/// Share of an expert's tokens that one replica gets, in units of 1/10,000.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ReplicaShare(pub u16);

impl ReplicaShare {
    /// All tokens of an expert.
    pub const WHOLE: Self = Self(10_000);

    /// The share as a fraction of 1.
    #[must_use]
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / f64::from(Self::WHOLE.0)
    }
}

/// Replica of an expert on a rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpertReplica {
    /// Rank that holds the weights.
    pub rank: RankId,
    /// Share of the expert's tokens that it gets.
    pub share: ReplicaShare,
}

/// Replicas of every expert of a layer, by expert.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LayerMap {
    /// Replicas of each expert; at least one per expert, at most one per rank.
    pub experts: Vec<Vec<ExpertReplica>>,
}

impl LayerMap {
    /// Whether the rank holds a replica of the expert.
    #[must_use]
    pub fn has_replica(&self, expert: ExpertId, rank: RankId) -> bool {
        let replicas = self.experts.get(usize::from(expert.get()));
        replicas.is_some_and(|found| found.iter().any(|replica| replica.rank == rank))
    }
}

/// The expert map of a model: one layer map per layer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ExpertMap {
    /// Maps of the layers, by layer.
    pub layers: Vec<LayerMap>,
}
