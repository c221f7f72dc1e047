//! What reaches and leaves the tables of an entry.

use std::net::SocketAddr;
use std::sync::Arc;

use amaranthgw_core::{ChangeNumber, PlanId, ServiceId, SlotCount, StartMark, TargetId};

use super::EntrySnapshot;
use crate::burn::BurnOutcome;
use crate::config::ServingState;
use crate::limits::LimitTable;
use crate::membership::VmRecord;
use crate::routing::{ServiceKind, TargetStage};

/// State of a target as its sidecar reports it.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetStatus {
    /// How the target's service is called.
    pub kind: ServiceKind,
    /// Requests in flight at the target.
    pub in_flight: SlotCount,
    /// Requests the gate admits at once.
    pub limit: SlotCount,
    /// What the target may receive by its sidecar's word.
    pub stage: TargetStage,
    /// Mark of the target's last start.
    pub start_mark: StartMark,
    /// Smoothed time to the first chunk, in milliseconds.
    pub first_chunk_ms: f32,
    /// Last configuration change in force at the sidecar.
    pub change: ChangeNumber,
}

/// What a traffic thread or a probe learned of a target.
#[derive(Clone, Debug, PartialEq)]
pub enum TargetObservation {
    /// Its sidecar reported.
    Reported {
        /// The target.
        target: TargetId,
        /// The report.
        status: TargetStatus,
    },
    /// Its sidecar could not be reached.
    Unreachable {
        /// The target.
        target: TargetId,
    },
}

/// How the answer to one request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerRecord {
    /// Plan of the workspace.
    pub plan: PlanId,
    /// The service.
    pub service: ServiceId,
    /// How it ended.
    pub outcome: BurnOutcome,
}

/// Inputs since the last tick, by kind.
#[derive(Debug, Default)]
pub struct EntryInbox {
    /// The newest answer of the VM list.
    pub vm_list: Option<Vec<VmRecord>>,
    /// The newest configuration.
    pub config: Option<Arc<ServingState>>,
    /// Observations of targets, oldest first.
    pub observations: Vec<TargetObservation>,
    /// Answers that ended, oldest first.
    pub answers: Vec<AnswerRecord>,
    /// Whether the process was asked to stop.
    pub is_stopping: bool,
}

/// What a tick wants done.
#[derive(Clone, Debug)]
pub enum EntryOutput {
    /// Traffic threads are to use this snapshot from now on.
    Publish(Arc<EntrySnapshot>),
    /// The entry is to take part in sharing these limits; they replace the last.
    ShareLimits(LimitTable),
    /// The sidecar at `address` is to be asked for the state of `target`.
    Probe {
        /// The target.
        target: TargetId,
        /// Address of its sidecar.
        address: SocketAddr,
    },
}
