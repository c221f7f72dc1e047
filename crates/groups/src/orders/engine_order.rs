//! The orders that an engine accepts.

use amaranthgw_core::{AdapterId, ExpertId, LayerId, MapVersion, ModelId};
use serde::{Deserialize, Serialize};

use crate::agreement::MapOrder;

/// What an engine does for its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Reads prompts.
    Prefill,
    /// Generates tokens.
    Decode,
    /// Reads prompts and generates tokens.
    Both,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineOrder {
    /// Load the weights of experts of a layer for a map version.
    LoadExperts {
        /// Map version that needs them.
        version: MapVersion,
        /// The layer.
        layer: LayerId,
        /// The experts.
        experts: Vec<ExpertId>,
    },
    /// Load an adapter.
    LoadAdapter {
        /// The adapter.
        adapter: AdapterId,
    },
    /// Load a version of a model; a model id names its version.
    LoadVersion {
        /// The model.
        model: ModelId,
    },
    /// Take a role.
    ChangeRole {
        /// The role.
        role: EngineRole,
    },
    /// Hold, switch or release a step of a rank group.
    #[serde(untagged)]
    Map(MapOrder),
}

/// What an order sets; a newer order for the same slot replaces an older one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum OrderSlot {
    /// The weights of a layer for a map version.
    Experts(MapVersion, LayerId),
    /// One adapter.
    Adapter(AdapterId),
    /// One model.
    Model(ModelId),
    /// The role.
    Role,
    /// One hold or switch, which ends by name only.
    Map(MapOrder),
}

impl EngineOrder {
    /// What the order sets.
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
