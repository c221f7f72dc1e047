//! JSON messages of a rank's calls.

use std::time::Duration;

use amaranthgw_core::{
    ExpertId, GroupGeneration, LayerId, MapVersion, RankId, StartMark, StepNumber,
};
use serde::{Deserialize, Serialize};

/// An order to a rank.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum RankOrder {
    /// Load the experts that a map version assigns to this rank in one layer.
    LoadExperts(ExpertLoad),
    /// Switch to a map version at a step.
    SwitchMap(MapSwitch),
}

#[derive(Clone, Debug, Deserialize)]
pub(super) struct ExpertLoad {
    pub(super) version: MapVersion,
    pub(super) layer: LayerId,
    pub(super) experts: Vec<ExpertId>,
}

/// A map switch and the step at which it takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct MapSwitch {
    pub(super) generation: GroupGeneration,
    pub(super) version: MapVersion,
    pub(super) step: StepNumber,
}

/// Answer to `GET /v1/group`.
#[derive(Debug, Serialize)]
pub(super) struct GroupReply {
    pub(super) rank: RankId,
    pub(super) start_mark: StartMark,
    pub(super) generation: GroupGeneration,
    pub(super) step: StepNumber,
    pub(super) version: MapVersion,
    pub(super) loaded: Vec<MapVersion>,
    pub(super) pending: Option<MapSwitch>,
    #[serde(rename = "step_us", with = "crate::units::micros")]
    pub(super) step_span: Duration,
}

/// Answer to `GET /v1/experts`.
#[derive(Debug, Serialize)]
pub(super) struct ExpertsReply {
    pub(super) step: StepNumber,
    pub(super) layers: Vec<LayerTokens>,
}

/// Tokens that the rank's experts of one layer process in a step.
#[derive(Clone, Debug, Serialize)]
pub(super) struct LayerTokens {
    pub(super) layer: LayerId,
    pub(super) tokens: Vec<(ExpertId, f64)>,
}

/// Body of `POST /admin/group`; omitted fields change nothing.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct GroupControl {
    pub(super) popularity: Option<Vec<Vec<f64>>>,
    pub(super) tokens_per_step: Option<u32>,
    pub(super) step_ms: Option<u64>,
}

/// Body of `POST /admin/rank`; omitted fields change nothing.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct RankControl {
    pub(super) stall_ms: Option<u64>,
    pub(super) restart: bool,
    pub(super) restart_ms: u64,
    pub(super) honour_fencing: Option<bool>,
}
