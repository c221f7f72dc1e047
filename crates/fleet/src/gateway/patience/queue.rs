//! Whether a silent target has a queue.

use tokio::time::Instant;

use crate::gateway::TargetCandidate;

/// Largest number of targets whose reports are compared.
const MAX_COMPARED: usize = 32;

/// Whether a request sent to `target` is probably queued there: by what the target lately reported, or if it
/// reported nothing, by what most of those of its service's `targets` did that reported. Many targets are
/// compared from `offset` on only.
#[must_use]
pub fn is_probably_queued(
    target: &TargetCandidate,
    targets: &[TargetCandidate],
    offset: usize,
    now: Instant,
) -> bool {
    if let Some(is_full) = reported_full(target, now) {
        return is_full;
    }
    let first = offset % targets.len().max(1);
    let (after, before) = (targets.iter().skip(first), targets.iter().take(first));
    let compared = after.chain(before).take(MAX_COMPARED);
    let reports = compared.filter_map(|it| reported_full(it, now));
    let (full, known) = reports.fold((0, 0), |(full, known), is_full| {
        (full + usize::from(is_full), known + 1)
    });
    full * 2 > known
}

fn reported_full(target: &TargetCandidate, now: Instant) -> Option<bool> {
    target.gauge.reported_full(target.record.slots, now)
}
