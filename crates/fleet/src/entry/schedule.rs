//! Tick schedule of an entry.

use amaranthgw_core::TickSchedule;

use super::EntryWorld;
use super::systems::{
    BudgetSystem, BurnSystem, ConfigSystem, MembershipSystem, MeterSystem, ObservationSystem,
    ProbeSystem, SnapshotSystem, TakenOutSystem,
};

/// Returns the systems of an entry in the order in which each tick runs them.
#[must_use]
pub fn entry_schedule() -> TickSchedule<EntryWorld> {
    TickSchedule::new()
        .with_system(ConfigSystem)
        .with_system(MembershipSystem)
        .with_system(TakenOutSystem)
        .with_system(ObservationSystem)
        .with_system(BurnSystem)
        .with_system(ProbeSystem)
        .with_system(MeterSystem)
        .with_system(BudgetSystem)
        .with_system(SnapshotSystem)
}
