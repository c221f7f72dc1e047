//! Rows of a sidecar's tables.

use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::{ServiceId, SlotCount, StartMark, TargetId};

use crate::gate::{AdmissionSlots, GateRow, SetbackCount};
use crate::routing::ServiceKind;

/// A target as its sidecar's settings name it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServedTarget {
    /// The target.
    pub target: TargetId,
    /// Its service.
    pub service: ServiceId,
    /// How the service is called.
    pub kind: ServiceKind,
}

/// Why a target takes no new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainReason {
    /// Operators took out its VM or failure domain.
    TakenOut,
    /// The platform lists its VM as leaving.
    VmLeaving,
    /// The sidecar was asked to stop.
    Stopping,
}

impl DrainReason {
    /// Short name for logs.
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
pub struct GateEntry {
    /// The target.
    pub served: ServedTarget,
    /// Decides the limit.
    pub gate: GateRow,
    /// Enforces the limit on the traffic threads.
    pub slots: Arc<AdmissionSlots>,
    /// Setbacks that the gate knows of.
    pub seen: SetbackCount,
    /// Start mark of the target by its last report.
    pub mark: Option<StartMark>,
    /// Whether the target answered when it was last called.
    pub is_reachable: bool,
    /// Smoothed time to the first chunk, in milliseconds.
    pub first_chunk_ms: f32,
    /// Why the target takes no new work, if it takes none.
    pub drain: Option<DrainReason>,
}

/// Weight of one answer in the smoothed time to the first chunk.
const FIRST_CHUNK_WEIGHT: f32 = 0.1;

impl GateEntry {
    /// Creates the row of `served` with a closed gate.
    #[must_use]
    pub fn new(served: ServedTarget, gate: GateRow) -> Self {
        let slots = AdmissionSlots::new(gate.settings().cold_limit);
        let seen = SetbackCount::default();
        Self {
            served,
            gate,
            slots,
            seen,
            mark: None,
            is_reachable: false,
            first_chunk_ms: 0.0,
            drain: None,
        }
    }

    /// Requests that may be in flight at the target now.
    #[must_use]
    pub fn limit(&self) -> SlotCount {
        self.slots.limit()
    }

    /// Takes the time to the first chunk of one answer into account.
    pub fn smooth_first_chunk(&mut self, first_chunk: Duration) {
        let millis = first_chunk.as_secs_f32() * 1_000.0;
        if self.first_chunk_ms == 0.0 {
            self.first_chunk_ms = millis;
        } else {
            self.first_chunk_ms += FIRST_CHUNK_WEIGHT * (millis - self.first_chunk_ms);
        }
    }
}
