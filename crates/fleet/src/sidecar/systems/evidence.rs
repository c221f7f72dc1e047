//! Delivery of target updates to the gates.

use amaranthgw_core::{TargetId, TickSystem};
use tokio::time::Instant;

use crate::gate::{GateEvidence, GateTransition, LoadEvidence};
use crate::sidecar::{GateEntry, SidecarOutput, SidecarWorld, TargetUpdate};

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
            let Some(entry) = targets.get_mut(&item.target) else {
                continue;
            };
            let evidence = observe(entry, &item.target, item.update, outbox);
            let transition = entry.gate.record(evidence, now);
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
    entry: &mut GateEntry,
    target: &TargetId,
    update: TargetUpdate,
    outbox: &mut Vec<SidecarOutput>,
) -> GateEvidence {
    let TargetUpdate::Evidence(evidence) = update else {
        entry.is_reachable = false;
        return GateEvidence::Broken;
    };
    match &evidence {
        GateEvidence::Answer(answer) => entry.smooth_first_chunk(answer.first_chunk),
        GateEvidence::Load(load) => observe_mark(entry, target, load, outbox),
        _ => {}
    }
    evidence
}

fn observe_mark(
    entry: &mut GateEntry,
    target: &TargetId,
    load: &LoadEvidence,
    outbox: &mut Vec<SidecarOutput>,
) {
    entry.is_reachable = true;
    let previous = entry.mark.replace(load.mark);
    if previous.is_some_and(|mark| mark != load.mark) {
        let (target, mark) = (target.clone(), load.mark);
        outbox.push(SidecarOutput::TargetRestarted { target, mark });
    }
}
