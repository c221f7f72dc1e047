//! State shared by the threads of a sidecar.

use std::sync::Arc;

use amaranthgw_fleet::config::ServingState;
use amaranthgw_fleet::entry::TargetStatus;
use amaranthgw_fleet::gate::AdmissionSlots;
use amaranthgw_fleet::routing::TargetStage;
use amaranthgw_fleet::sidecar::{ServedTarget, TargetEvidence, TargetUpdate};
use amaranthgw_fleet::suspects::SuspectVerdict;
use arc_swap::ArcSwap;

use super::queue::AdmissionQueue;
use super::reachability::TargetReachability;
use super::running::RunningAttempts;
use super::target::TargetClient;
use crate::control::{ReportSender, SuspectTracker, call_fingerprint};
use crate::peer::WarningSink;
use crate::runtime::StopSignal;
use crate::wire::node::TargetReport;
use crate::wire::report_from_status;

/// State shared by the control thread and the traffic threads of a sidecar.
#[derive(Debug)]
pub(super) struct SidecarShared {
    /// Identity of the target.
    pub(super) served: ServedTarget,
    /// Client of the target.
    pub(super) client: Box<dyn TargetClient>,
    /// Admission slots of the target.
    pub(super) slots: Arc<AdmissionSlots>,
    /// Queue of requests that wait for a slot.
    pub(super) queue: AdmissionQueue,
    /// Reachability of the target.
    pub(super) reachability: TargetReachability,
    /// Attempts running at the target.
    pub(super) running: RunningAttempts,
    /// Requests that may crash targets.
    pub(super) suspects: SuspectTracker,
    /// Status last published by the control thread.
    pub(super) status: ArcSwap<TargetStatus>,
    /// Configuration in force.
    pub(super) config: ArcSwap<ServingState>,
    /// Channel to the control thread.
    pub(super) evidence: ReportSender<TargetEvidence>,
    /// Phase of the process in its shutdown.
    pub(super) stop: StopSignal,
}

impl SidecarShared {
    /// Returns whether the target accepts new work.
    ///
    /// # Errors
    ///
    /// Returns the reason why not, which is the body of the readiness probe's response.
    pub(super) fn readiness(&self) -> Result<(), &'static str> {
        match self.status.load().stage {
            TargetStage::Warming | TargetStage::Warm => Ok(()),
            TargetStage::Leaving => Err("leaving"),
            TargetStage::Unreachable => Err("target unreachable"),
        }
    }

    /// Records the death of the target process and returns the verdict on the request with `body`.
    pub(super) fn record_death(&self, body: &[u8]) -> Option<SuspectVerdict> {
        let mark = self.status.load().start_mark;
        self.running
            .record_death(&self.served, mark, &self.suspects);
        let fingerprint = call_fingerprint(&self.served.service, self.served.kind, body);
        self.suspects.lock().verdict(&fingerprint).cloned()
    }

    /// Returns the published status with the current counts and reachability.
    pub(super) fn current_status(&self) -> TargetStatus {
        let mut status = TargetStatus::clone(&self.status.load());
        status.in_flight = self.slots.in_flight();
        status.limit = self.slots.limit();
        if self.reachability.is_unreachable() && status.stage != TargetStage::Leaving {
            status.stage = TargetStage::Unreachable;
        }
        status
    }

    /// Returns the current status as a protobuf message.
    pub(super) fn report(&self) -> TargetReport {
        let status = self.current_status();
        report_from_status(&self.served.target, &self.served.service, &status)
    }

    /// Marks the target as unreachable: it gets no new work until it sends a load report again.
    pub(super) fn mark_unreachable(&self) {
        self.slots.record_connection_failure();
        self.reachability.record_unreachable();
        self.send_update(TargetUpdate::Unreachable);
    }

    /// Sends `update` of the target to the control thread.
    pub(super) fn send_update(&self, update: TargetUpdate) {
        self.evidence.send(TargetEvidence {
            target: self.served.target.clone(),
            update,
        });
    }
}

impl WarningSink for SidecarShared {
    fn warn(&self, verdict: &SuspectVerdict) {
        self.suspects.merge(verdict);
    }
}
