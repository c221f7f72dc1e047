//! Publication of target status for reports to entries.

use amaranthgw_core::{ChangeNumber, TickSystem};
use tokio::time::Instant;

use crate::entry::TargetStatus;
use crate::gate::GateStage;
use crate::routing::TargetStage;
use crate::sidecar::{GateEntry, SidecarOutput, SidecarWorld};

/// Outputs the status of each target.
#[derive(Debug)]
pub struct StatusSystem;

impl TickSystem<SidecarWorld> for StatusSystem {
    fn name(&self) -> &'static str {
        "status"
    }

    fn run(&mut self, world: &mut SidecarWorld, _now: Instant) {
        let change = world.config.number;
        let SidecarWorld {
            targets, outbox, ..
        } = world;
        for (target, entry) in targets.iter() {
            let status = status_of(entry, change);
            outbox.push(SidecarOutput::PublishStatus {
                target: target.clone(),
                status,
            });
        }
    }
}

fn status_of(entry: &GateEntry, change: ChangeNumber) -> TargetStatus {
    TargetStatus {
        kind: entry.served.kind,
        in_flight: entry.slots.in_flight(),
        limit: entry.limit(),
        stage: stage_of(entry),
        start_mark: entry.mark.unwrap_or_default(),
        first_chunk_ms: entry.first_chunk_ms,
        change,
    }
}

fn stage_of(entry: &GateEntry) -> TargetStage {
    if entry.drain.is_some() {
        return TargetStage::Leaving;
    }
    if !entry.is_reachable {
        return TargetStage::Unreachable;
    }
    match entry.gate.stage() {
        // The gate admits nothing yet, so entries must not choose the target.
        GateStage::Settling => TargetStage::Unreachable,
        GateStage::Cold | GateStage::Warming => TargetStage::Warming,
        GateStage::Full => TargetStage::Warm,
    }
}
