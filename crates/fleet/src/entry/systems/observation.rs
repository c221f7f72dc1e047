//! Recording of target observations from traffic threads and probes.

use std::sync::atomic::Ordering;

use amaranthgw_core::{SlotCount, TickSystem};
use tokio::time::Instant;

use crate::entry::{EntryWorld, TargetObservation, TargetRow, TargetStatus};

/// Updates status and reachability of the observed targets.
#[derive(Debug)]
pub struct ObservationSystem;

impl TickSystem<EntryWorld> for ObservationSystem {
    fn name(&self) -> &'static str {
        "observation"
    }

    fn run(&mut self, world: &mut EntryWorld, now: Instant) {
        for observation in std::mem::take(&mut world.inbox.observations) {
            world.needs_snapshot |= apply(world, observation, now);
        }
    }
}

/// Applies one observation; returns whether the routes have to be built again.
fn apply(world: &mut EntryWorld, observation: TargetObservation, now: Instant) -> bool {
    match observation {
        TargetObservation::Reported { target, status } => {
            let row = world.targets.get_mut(&target);
            row.is_some_and(|row| apply_report(row, status, now))
        }
        TargetObservation::Unreachable { target } => {
            let row = world.targets.get_mut(&target);
            row.is_some_and(|row| row.unreachable_since.replace(now).is_none())
        }
    }
}

fn apply_report(row: &mut TargetRow, status: TargetStatus, now: Instant) -> bool {
    row.unreachable_since = None;
    row.reported_at = Some(now);
    row.own_at_report = SlotCount::new(row.own_in_flight.load(Ordering::Relaxed));
    row.status = Some(status);
    true
}
