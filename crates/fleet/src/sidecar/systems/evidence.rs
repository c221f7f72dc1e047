//! Delivery of target updates to the gates.

use amaranthgw_core::{TargetId, TickSystem};
use tokio::time::Instant;

use crate::gate::{GateEvidence, GateTransition, LoadEvidence};
use crate::sidecar::{ServedTargetRow, SidecarOutput, SidecarWorld, TargetUpdate};

/// Records the updates since the last tick, in order of arrival.
#[derive(Debug)]
pub struct EvidenceSystem;

impl TickSystem<SidecarWorld> for EvidenceSystem {
    fn name(&self) -> &'static str {
        "evidence"
    }

    fn run(&mut self, world: &mut SidecarWorld, now: Instant) {
        let SidecarWorld {
            targets,
            inbox,
            outbox,
            ..
        } = world;
        for item in std::mem::take(&mut inbox.evidence) {
            let Some(row) = targets.get_mut(&item.target) else {
                continue;
            };
            let evidence = observe(row, &item.target, item.update, outbox);
            let transition = row.gate.record(evidence, now);
            push_transition(outbox, &item.target, transition);
        }
    }
}

/// Outputs the gate transition unless the gate is unchanged.
pub(super) fn push_transition(
    outbox: &mut Vec<SidecarOutput>,
    target: &TargetId,
    transition: GateTransition,
) {
    if transition != GateTransition::Unchanged {
        outbox.push(SidecarOutput::GateShifted {
            target: target.clone(),
            transition,
        });
    }
}

/// Updates the row and returns the evidence for its gate.
fn observe(
    row: &mut ServedTargetRow,
    target: &TargetId,
    update: TargetUpdate,
    outbox: &mut Vec<SidecarOutput>,
) -> GateEvidence {
    let TargetUpdate::Evidence(evidence) = update else {
        row.is_reachable = false;
        return GateEvidence::Broken;
    };
    match &evidence {
        GateEvidence::Answer(answer) => row.smooth_first_chunk(answer.first_chunk),
        GateEvidence::Load(load) => observe_mark(row, target, load, outbox),
        _ => {}
    }
    evidence
}

fn observe_mark(
    row: &mut ServedTargetRow,
    target: &TargetId,
    load: &LoadEvidence,
    outbox: &mut Vec<SidecarOutput>,
) {
    row.is_reachable = true;
    let previous = row.mark.replace(load.mark);
    if previous.is_some_and(|mark| mark != load.mark) {
        let (target, mark) = (target.clone(), load.mark);
        outbox.push(SidecarOutput::TargetRestarted { target, mark });
    }
}
