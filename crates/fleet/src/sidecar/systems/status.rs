//! Publication of target status for reports to entries.

use amaranthgw_core::{ChangeNumber, TickSystem};
use tokio::time::Instant;

use crate::entry::TargetStatus;
use crate::gate::GateStage;
use crate::routing::TargetStage;
use crate::sidecar::{ServedTargetRow, SidecarOutput, SidecarWorld};

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
        for (target, row) in targets.iter() {
            let status = status_of(row, change);
            outbox.push(SidecarOutput::PublishStatus {
                target: target.clone(),
                status,
            });
        }
    }
}

fn status_of(row: &ServedTargetRow, change: ChangeNumber) -> TargetStatus {
    TargetStatus {
        kind: row.served.kind,
        in_flight: row.slots.in_flight(),
        limit: row.limit(),
        stage: stage_of(row),
        start_mark: row.mark.unwrap_or_default(),
        first_chunk_ms: row.first_chunk_ms,
        change,
    }
}

fn stage_of(row: &ServedTargetRow) -> TargetStage {
    if row.drain.is_some() {
        return TargetStage::Leaving;
    }
    if !row.is_reachable {
        return TargetStage::Unreachable;
    }
    match row.gate.stage() {
        // The gate admits nothing yet, so entries must not choose the target.
        GateStage::Settling => TargetStage::Unreachable,
        GateStage::Cold | GateStage::Warming => TargetStage::Warming,
        GateStage::Full => TargetStage::Warm,
    }
}
