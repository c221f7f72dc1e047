//! Maps that a coordinator knows.

use std::sync::Arc;

use amaranthgw_core::{GroupGeneration, MapVersion};
use amaranthgw_groups::rebalance::{GroupPlacement, PlacementDelta};

use super::switch_report::SwitchReport;

/// A map that the coordinator knows in full.
#[derive(Clone, Debug)]
pub(super) struct KnownMap {
    pub(super) generation: GroupGeneration,
    pub(super) version: MapVersion,
    pub(super) placement: Arc<GroupPlacement>,
}

/// The switch that was started last.
#[derive(Clone, Debug)]
pub(super) struct StartedSwitch {
    pub(super) map: KnownMap,
    pub(super) delta: Arc<PlacementDelta>,
    pub(super) report: Option<SwitchReport>,
}

impl KnownMap {
    /// Generation and version of the map.
    pub(super) const fn key(&self) -> (GroupGeneration, MapVersion) {
        (self.generation, self.version)
    }
}
