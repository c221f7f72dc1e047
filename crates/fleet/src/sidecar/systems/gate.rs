//! Publication of gate limits to the traffic threads.

use amaranthgw_core::TickSystem;
use tokio::time::Instant;

use super::evidence::push_transition;
use crate::gate::publish_gate;
use crate::sidecar::SidecarWorld;

/// Ticks each gate and publishes its limit.
#[derive(Debug)]
pub struct GateSystem;

impl TickSystem<SidecarWorld> for GateSystem {
    fn name(&self) -> &'static str {
        "gate"
    }

    fn run(&mut self, world: &mut SidecarWorld, now: Instant) {
        let SidecarWorld {
            targets, outbox, ..
        } = world;
        for (target, row) in targets.iter_mut() {
            let transition = publish_gate(&mut row.gate, &row.slots, &mut row.seen_failures, now);
            push_transition(outbox, target, transition);
        }
    }
}
