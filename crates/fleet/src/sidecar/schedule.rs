//! Tick schedule of a sidecar.

use amaranthgw_core::TickSchedule;

use super::SidecarWorld;
use super::systems::{ConfigSystem, DrainSystem, EvidenceSystem, GateSystem, StatusSystem};

/// Returns the systems of a sidecar in the order in which each tick runs them.
#[must_use]
pub fn sidecar_schedule() -> TickSchedule<SidecarWorld> {
    TickSchedule::new()
        .with_system(ConfigSystem)
        .with_system(DrainSystem)
        .with_system(EvidenceSystem)
        .with_system(GateSystem)
        .with_system(StatusSystem)
}
