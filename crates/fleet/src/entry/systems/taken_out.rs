//! Marking of targets that operators have taken out of service.

use amaranthgw_core::TickSystem;
use tokio::time::Instant;

use crate::entry::EntryWorld;

/// Sets `is_out` of each target from the configuration in force.
#[derive(Debug)]
pub struct TakenOutSystem;

impl TickSystem<EntryWorld> for TakenOutSystem {
    fn name(&self) -> &'static str {
        "outs"
    }

    fn run(&mut self, world: &mut EntryWorld, _now: Instant) {
        if !world.needs_snapshot {
            return;
        }
        for (_, row) in world.targets.iter_mut() {
            row.is_out = world.config.is_out(&row.vm, &row.domain);
        }
    }
}
