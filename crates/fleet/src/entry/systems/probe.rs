//! Probes of targets that are unreachable or closed, or whose last report is too old.

use amaranthgw_core::TickSystem;
use tokio::time::Instant;

use crate::entry::{EntryOutput, EntryWorld, ProbeIntervals, ProbeState, TargetRow};
use crate::routing::TargetStage;

/// Outputs a probe for each target that is unreachable or closed, or whose last report is missing
/// or too old, unless it was probed recently.
#[derive(Debug)]
pub struct ProbeSystem;

impl TickSystem<EntryWorld> for ProbeSystem {
    fn name(&self) -> &'static str {
        "probe"
    }

    fn run(&mut self, world: &mut EntryWorld, now: Instant) {
        let EntryWorld {
            targets,
            probe_intervals,
            outbox,
            ..
        } = world;
        for (target, row) in targets.iter_mut() {
            if !is_due(row, probe_intervals, now) {
                continue;
            }
            row.probe = ProbeState::SentAt(now);
            outbox.push(EntryOutput::Probe {
                target: target.clone(),
                address: row.address,
            });
        }
    }
}

fn is_due(row: &TargetRow, intervals: &ProbeIntervals, now: Instant) -> bool {
    let is_unreachable = row.unreachable_since.is_some();
    let interval = if is_unreachable || is_closed(row) {
        intervals.retry_unreachable_after
    } else {
        intervals.probe_after
    };
    let is_report_old = is_unreachable || row.reported_at.is_none_or(|at| now >= at + interval);
    let is_probe_old = match row.probe {
        ProbeState::NeverSent => true,
        ProbeState::SentAt(at) => now >= at + interval,
    };
    is_report_old && is_probe_old
}

/// Whether the target has not reported, or its sidecar reports that it admits nothing yet.
fn is_closed(row: &TargetRow) -> bool {
    let status = row.status.as_ref();
    status.is_none_or(|status| status.stage == TargetStage::Unreachable)
}
