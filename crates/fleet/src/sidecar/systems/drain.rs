//! Drain decision for the targets.

use amaranthgw_core::TickSystem;
use tokio::time::Instant;

use super::evidence::push_transition;
use crate::gate::GateEvidence;
use crate::membership::VmState;
use crate::sidecar::{DrainReason, SidecarOutput, SidecarWorld};

/// Sets the drain reason of each target; a target that returns to service restarts cold.
#[derive(Debug)]
pub struct DrainSystem;

impl TickSystem<SidecarWorld> for DrainSystem {
    fn name(&self) -> &'static str {
        "drain"
    }

    fn run(&mut self, world: &mut SidecarWorld, now: Instant) {
        world.is_stopping |= world.inbox.is_stopping;
        let reason = drain_reason(world);
        let SidecarWorld {
            targets, outbox, ..
        } = world;
        for (target, row) in targets.iter_mut() {
            if row.drain == reason {
                continue;
            }
            row.drain = reason;
            if reason.is_none() {
                let transition = row.gate.record(GateEvidence::Returned, now);
                push_transition(outbox, target, transition);
            }
            outbox.push(SidecarOutput::DrainShifted {
                target: target.clone(),
                reason,
            });
        }
    }
}

fn drain_reason(world: &SidecarWorld) -> Option<DrainReason> {
    if world.is_stopping {
        Some(DrainReason::Stopping)
    } else if world
        .config
        .is_out(&world.identity.vm, &world.identity.domain)
    {
        Some(DrainReason::TakenOut)
    } else if world.vm_state == VmState::Leaving {
        Some(DrainReason::VmLeaving)
    } else {
        None
    }
}
