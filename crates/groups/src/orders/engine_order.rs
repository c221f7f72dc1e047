//! Orders that an engine accepts.

use amaranthgw_core::{AdapterId, ExpertId, LayerId, MapVersion, ModelId};
use serde::{Deserialize, Serialize};

use crate::agreement::MapOrder;

/// Phases of a request that an engine runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Prompt processing.
    Prefill,
    /// Token generation.
    Decode,
    /// Prompt processing and token generation.
    Both,
}

/// Order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineOrder {
    /// Loads the weights of experts of one layer for a map version.
    LoadExperts {
        /// Map version that uses the experts.
        version: MapVersion,
        /// Layer of the experts.
        layer: LayerId,
        /// Experts to load.
        experts: Vec<ExpertId>,
    },
    /// Loads an adapter.
    LoadAdapter {
        /// Adapter to load.
        adapter: AdapterId,
    },
    /// Loads a version of a model; the model id includes the version.
    LoadVersion {
        /// Model to load.
        model: ModelId,
    },
    /// Changes the role of the engine.
    ChangeRole {
        /// New role.
        role: EngineRole,
    },
    /// Adds a hold, switches the map or releases a hold, for an engine of a rank group.
    #[serde(untagged)]
    Map(MapOrder),
}

/// State that an order sets. A newer order for the same slot supersedes an older one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum OrderSlot {
    /// Weights of one layer for a map version.
    Experts(MapVersion, LayerId),
    /// One adapter.
    Adapter(AdapterId),
    /// One model.
    Model(ModelId),
    /// Role of the engine.
    Role,
    /// One map order; each is a slot of its own because map orders never replace one another.
    Map(MapOrder),
}

impl EngineOrder {
    /// The slot that the order sets.
    #[must_use]
    pub fn slot(&self) -> OrderSlot {
        match self {
            Self::LoadExperts { version, layer, .. } => OrderSlot::Experts(*version, *layer),
            Self::LoadAdapter { adapter } => OrderSlot::Adapter(adapter.clone()),
            Self::LoadVersion { model } => OrderSlot::Model(model.clone()),
            Self::ChangeRole { .. } => OrderSlot::Role,
            Self::Map(order) => OrderSlot::Map(*order),
        }
    }
}
