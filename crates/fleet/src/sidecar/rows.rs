//! Rows of a sidecar's tables.

use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::{ServiceId, SlotCount, StartMark, TargetId};

use crate::gate::{AdmissionSlots, ConnectionFailureCount, GateRow};
use crate::routing::ServiceKind;

/// Target as configured in the settings of its sidecar.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServedTarget {
    /// Identifier of the target.
    pub target: TargetId,
    /// Service that the target belongs to.
    pub service: ServiceId,
    /// Kind of the service, which decides how the target is called.
    pub kind: ServiceKind,
}

/// Reason why a target accepts no new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainReason {
    /// Operators took its VM or failure domain out of service.
    TakenOut,
    /// The platform lists its VM as leaving.
    VmLeaving,
    /// The sidecar was asked to stop.
    Stopping,
}

impl DrainReason {
    /// Name of the reason in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::TakenOut => "taken_out",
            Self::VmLeaving => "vm_leaving",
            Self::Stopping => "stopping",
        }
    }
}

/// Gate, slots and observed state of one target.
#[derive(Debug)]
pub struct ServedTargetRow {
    /// Target and service from the settings.
    pub served: ServedTarget,
    /// Decides the limit on requests in flight.
    pub gate: GateRow,
    /// Enforces the limit on the traffic threads.
    pub slots: Arc<AdmissionSlots>,
    /// Connection failures that the gate has recorded.
    pub seen_failures: ConnectionFailureCount,
    /// Start mark in the last load report of the target.
    pub mark: Option<StartMark>,
    /// Whether the target has returned a load report since it was last found unreachable.
    pub is_reachable: bool,
    /// Moving average of the time to the first chunk, in milliseconds; zero before the first answer.
    pub first_chunk_ms: f32,
    /// Reason why the target accepts no new work, if it is draining.
    pub drain: Option<DrainReason>,
}

/// Weight of one answer in the moving average of the time to the first chunk.
const FIRST_CHUNK_WEIGHT: f32 = 0.1;

impl ServedTargetRow {
    /// Creates the row of `served`; nothing is admitted until a limit is published.
    #[must_use]
    pub fn new(served: ServedTarget, gate: GateRow) -> Self {
        let slots = AdmissionSlots::new(gate.settings().cold_limit);
        let seen_failures = ConnectionFailureCount::default();
        Self {
            served,
            gate,
            slots,
            seen_failures,
            mark: None,
            is_reachable: false,
            first_chunk_ms: 0.0,
            drain: None,
        }
    }

    /// Published limit on requests in flight.
    #[must_use]
    pub fn limit(&self) -> SlotCount {
        self.slots.limit()
    }

    /// Adds the time to the first chunk of one answer to the moving average.
    pub fn smooth_first_chunk(&mut self, first_chunk: Duration) {
        let millis = first_chunk.as_secs_f32() * 1_000.0;
        if self.first_chunk_ms == 0.0 {
            self.first_chunk_ms = millis;
        } else {
            self.first_chunk_ms += FIRST_CHUNK_WEIGHT * (millis - self.first_chunk_ms);
        }
    }
}
