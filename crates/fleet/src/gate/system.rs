//! Transfer of state between the gate on the control thread and the slots of traffic threads.

use tokio::time::Instant;

use super::{AdmissionSlots, ConnectionFailureCount, GateEvidence, GateRow, GateTransition};

/// Runs one tick of a gate: records connection failures and abandoned calls, then publishes the
/// limit.
///
/// `seen_failures` is the count of connection failures that the gate has recorded; it is updated.
pub fn publish_gate(
    row: &mut GateRow,
    slots: &AdmissionSlots,
    seen_failures: &mut ConnectionFailureCount,
    now: Instant,
) -> GateTransition {
    let mut transition = row.tick(now);
    let connection_failures = slots.connection_failures();
    if *seen_failures != connection_failures {
        transition = row.record(GateEvidence::Broken, now);
        *seen_failures = connection_failures;
    }
    let abandoned = slots.abandoned();
    row.record(GateEvidence::Abandoned(abandoned), now);
    slots.publish_row(row, connection_failures, abandoned);
    transition
}
