//! Inputs and outputs of an entry's control tick.

use std::net::SocketAddr;
use std::sync::Arc;

use amaranthgw_core::{ChangeNumber, PlanId, ServiceId, SlotCount, StartMark, TargetId};

use super::EntrySnapshot;
use crate::burn::BurnOutcome;
use crate::config::ServingState;
use crate::limits::LimitTable;
use crate::membership::VmRecord;
use crate::routing::{ServiceKind, TargetStage};

/// State of a target as reported by its sidecar.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetStatus {
    /// Kind of the target's service.
    pub kind: ServiceKind,
    /// Requests in flight at the target.
    pub in_flight: SlotCount,
    /// Limit on requests in flight, as published by the gate.
    pub limit: SlotCount,
    /// Routing stage that the sidecar reports.
    pub stage: TargetStage,
    /// Start mark of the target process; changes with each restart.
    pub start_mark: StartMark,
    /// Moving average of the time to the first chunk, in milliseconds; zero before the first answer.
    pub first_chunk_ms: f32,
    /// Number of the configuration change in force at the sidecar.
    pub change: ChangeNumber,
}

/// Result of contacting the sidecar of a target, by a traffic thread or a probe.
#[derive(Clone, Debug, PartialEq)]
pub enum TargetObservation {
    /// The sidecar reported the status of the target.
    Reported {
        /// Target concerned.
        target: TargetId,
        /// Reported status.
        status: TargetStatus,
    },
    /// The sidecar could not be reached.
    Unreachable {
        /// Target concerned.
        target: TargetId,
    },
}

/// Outcome of one request, for service-level accounting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutcomeRecord {
    /// Plan of the workspace that sent the request.
    pub plan: PlanId,
    /// Service that the request was sent to.
    pub service: ServiceId,
    /// How the request ended.
    pub outcome: BurnOutcome,
}

/// Inputs received since the last tick, by kind.
#[derive(Debug, Default)]
pub struct EntryInbox {
    /// Newest VM list received, if any.
    pub vm_list: Option<Vec<VmRecord>>,
    /// Newest configuration received, if any.
    pub config: Option<Arc<ServingState>>,
    /// Observations of targets, oldest first.
    pub observations: Vec<TargetObservation>,
    /// Outcomes of requests, oldest first.
    pub outcomes: Vec<OutcomeRecord>,
    /// Whether the process was asked to stop.
    pub is_stopping: bool,
}

/// Action that a tick requests from the process.
#[derive(Clone, Debug)]
pub enum EntryOutput {
    /// Replace the snapshot that the traffic threads use.
    Publish(Arc<EntrySnapshot>),
    /// Replace the set of limits that this entry shares with other entries.
    ShareLimits(LimitTable),
    /// Query the sidecar at `address` for the status of `target`.
    Probe {
        /// Target concerned.
        target: TargetId,
        /// Address of the sidecar.
        address: SocketAddr,
    },
}
