//! What reaches and leaves the tables of a sidecar.

use std::sync::Arc;

use amaranthgw_core::{StartMark, TargetId};

use super::DrainReason;
use crate::config::ServingState;
use crate::entry::TargetStatus;
use crate::gate::{GateEvidence, GateShift};
use crate::membership::VmRecord;

/// What was learned of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetNews {
    /// Evidence for its gate.
    Evidence(GateEvidence),
    /// The target could not be reached.
    NotReached,
}

/// What was learned of one of the sidecar's targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetEvidence {
    /// The target.
    pub target: TargetId,
    /// What was learned.
    pub news: TargetNews,
}

/// Inputs since the last tick, by kind.
#[derive(Debug, Default)]
pub struct SidecarInbox {
    /// Evidence on targets, oldest first.
    pub evidence: Vec<TargetEvidence>,
    /// The newest configuration.
    pub config: Option<Arc<ServingState>>,
    /// The newest answer of the VM list.
    pub vm_list: Option<Vec<VmRecord>>,
    /// Whether the process was asked to stop.
    pub is_stopping: bool,
}

/// What a tick wants done.
#[derive(Clone, Debug)]
pub enum SidecarOutput {
    /// Traffic threads are to report this status from now on.
    PublishStatus {
        /// The target.
        target: TargetId,
        /// Its status.
        status: TargetStatus,
    },
    /// The limit of a gate changed.
    GateShifted {
        /// The target.
        target: TargetId,
        /// The change with its inputs.
        shift: GateShift,
    },
    /// The target process was seen to have started again.
    TargetRestarted {
        /// The target.
        target: TargetId,
        /// Mark of its start.
        mark: StartMark,
    },
    /// The target began or ceased to leave.
    DrainShifted {
        /// The target.
        target: TargetId,
        /// Why it leaves; `None` where it takes work again.
        reason: Option<DrainReason>,
    },
}
