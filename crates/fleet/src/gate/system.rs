//! Transfer of state between the gate on the control thread and the slots of traffic threads.

use tokio::time::Instant;

use super::{AdmissionSlots, GateEvidence, GateRow, GateShift, SetbackCount};

/// Runs one tick of a gate: records connection failures and abandoned calls, then publishes the
/// limit.
///
/// `seen` is the count of connection failures that the gate has recorded; it is updated.
pub fn publish_gate(
    row: &mut GateRow,
    slots: &AdmissionSlots,
    seen: &mut SetbackCount,
    now: Instant,
) -> GateShift {
    let mut shift = row.tick(now);
    let setbacks = slots.setbacks();
    if *seen != setbacks {
        shift = row.record(GateEvidence::Broken, now);
        *seen = setbacks;
    }
    let abandoned = slots.abandoned();
    row.record(GateEvidence::Abandoned(abandoned), now);
    slots.publish_row(row, setbacks, abandoned);
    shift
}
