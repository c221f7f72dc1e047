//! Inputs and outputs of a sidecar's control tick.

use std::sync::Arc;

use amaranthgw_core::{StartMark, TargetId};

use super::DrainReason;
use crate::config::ServingState;
use crate::entry::TargetStatus;
use crate::gate::{GateEvidence, GateTransition};
use crate::membership::VmRecord;

/// Evidence for the gate of a target, or a report that the target could not be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetUpdate {
    /// New evidence for the gate of the target.
    Evidence(GateEvidence),
    /// The target could not be reached.
    Unreachable,
}

/// One observation of a target of the sidecar.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetEvidence {
    /// Target that was observed.
    pub target: TargetId,
    /// What was observed.
    pub update: TargetUpdate,
}

/// Inputs received since the last tick, by kind.
#[derive(Debug, Default)]
pub struct SidecarInbox {
    /// Observations of targets, oldest first.
    pub evidence: Vec<TargetEvidence>,
    /// Newest configuration received, if any.
    pub config: Option<Arc<ServingState>>,
    /// Newest VM list received, if any.
    pub vm_list: Option<Vec<VmRecord>>,
    /// Whether the process was asked to stop.
    pub is_stopping: bool,
}

/// Action or event that a tick requests from the process.
#[derive(Clone, Debug)]
pub enum SidecarOutput {
    /// Publish this status to the traffic threads, which report it to entries.
    PublishStatus {
        /// Target concerned.
        target: TargetId,
        /// Status to report.
        status: TargetStatus,
    },
    /// Log that the state or limit of a gate changed.
    GateShifted {
        /// Target concerned.
        target: TargetId,
        /// Transition with its inputs.
        transition: GateTransition,
    },
    /// Log that a load report showed a restart of the target process.
    TargetRestarted {
        /// Target concerned.
        target: TargetId,
        /// Start mark after the restart.
        mark: StartMark,
    },
    /// Log that the target began or ended a drain, or that the reason of its drain changed.
    DrainShifted {
        /// Target concerned.
        target: TargetId,
        /// Reason of the drain; `None` where the target accepts work again.
        reason: Option<DrainReason>,
    },
}
