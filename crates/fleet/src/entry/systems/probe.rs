//! Asks the sidecars that have not reported for a while.

use amaranthgw_core::TickSystem;
use tokio::time::Instant;

use crate::entry::{EntryOutput, EntryTimings, EntryWorld, ProbeState, TargetRow};

/// Emits a probe for each target whose last report is too old.
#[derive(Debug)]
pub struct ProbeSystem;

impl TickSystem<EntryWorld> for ProbeSystem {
    fn name(&self) -> &'static str {
        "probe"
    }

    fn run(&mut self, world: &mut EntryWorld, now: Instant) {
        let EntryWorld {
            targets,
            timings,
            outbox,
            ..
        } = world;
        for (target, row) in targets.iter_mut() {
            if !is_due(row, timings, now) {
                continue;
            }
            row.probe = ProbeState::AskedAt(now);
            outbox.push(EntryOutput::Probe {
                target: target.clone(),
                address: row.address,
            });
        }
    }
}

fn is_due(row: &TargetRow, timings: &EntryTimings, now: Instant) -> bool {
    let is_known = row.reported_at.is_some() && row.unreachable_since.is_none();
    let wait = if is_known {
        timings.probe_after
    } else {
        timings.retry_unreachable_after
    };
    let is_report_old = !is_known || row.reported_at.is_none_or(|at| now >= at + wait);
    let is_probe_old = match row.probe {
        ProbeState::NotAsked => true,
        ProbeState::AskedAt(at) => now >= at + wait,
    };
    is_report_old && is_probe_old
}
