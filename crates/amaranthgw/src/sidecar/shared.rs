//! What the threads of a sidecar share.

use std::sync::Arc;

use amaranthgw_fleet::config::ServingState;
use amaranthgw_fleet::entry::TargetStatus;
use amaranthgw_fleet::gate::AdmissionSlots;
use amaranthgw_fleet::routing::TargetStage;
use amaranthgw_fleet::sidecar::{ServedTarget, TargetEvidence, TargetUpdate};
use amaranthgw_fleet::suspects::SuspectVerdict;
use arc_swap::ArcSwap;

use super::queue::AdmissionQueue;
use super::reachability::TargetPresence;
use super::running::RunningAttempts;
use super::target::TargetClient;
use crate::control::{ReportSender, SuspectTracker, call_fingerprint};
use crate::peer::WarningSink;
use crate::runtime::StopSignal;
use crate::wire::node::TargetReport;
use crate::wire::report_from_status;

/// State of a sidecar that its traffic threads read.
#[derive(Debug)]
pub(super) struct SidecarShared {
    /// The target.
    pub(super) served: ServedTarget,
    /// Calls of the target.
    pub(super) client: Box<dyn TargetClient>,
    /// Slots of the target.
    pub(super) slots: Arc<AdmissionSlots>,
    /// Requests that wait for a slot.
    pub(super) queue: AdmissionQueue,
    /// Whether the target answers.
    pub(super) presence: TargetPresence,
    /// Attempts that the target runs.
    pub(super) running: RunningAttempts,
    /// Requests that may crash targets.
    pub(super) suspects: SuspectTracker,
    /// Status that the control thread last published.
    pub(super) status: ArcSwap<TargetStatus>,
    /// Configuration in force.
    pub(super) config: ArcSwap<ServingState>,
    /// Way of evidence to the control thread.
    pub(super) evidence: ReportSender<TargetEvidence>,
    /// Phase of the process.
    pub(super) stop: StopSignal,
}

impl SidecarShared {
    /// Whether the target takes new work, or why not.
    pub(super) fn readiness(&self) -> Result<(), &'static str> {
        match self.status.load().stage {
            TargetStage::Warming | TargetStage::Warm => Ok(()),
            TargetStage::Leaving => Err("leaving"),
            TargetStage::Unreachable => Err("target unreachable"),
        }
    }

    /// Records the death of the target process and gives what is known of `body`'s part in it.
    pub(super) fn record_death(&self, body: &[u8]) -> Option<SuspectVerdict> {
        let mark = self.status.load().start_mark;
        self.running
            .record_death(&self.served, mark, &self.suspects);
        let fingerprint = call_fingerprint(&self.served.service, self.served.kind, body);
        self.suspects.lock().verdict(&fingerprint).cloned()
    }

    /// The published status with the counts of this instant.
    pub(super) fn current_status(&self) -> TargetStatus {
        let mut status = TargetStatus::clone(&self.status.load());
        status.in_flight = self.slots.in_flight();
        status.limit = self.slots.limit();
        if self.presence.is_gone() && status.stage != TargetStage::Leaving {
            status.stage = TargetStage::Unreachable;
        }
        status
    }

    /// The current status as a message.
    pub(super) fn report(&self) -> TargetReport {
        let status = self.current_status();
        report_from_status(&self.served.target, &self.served.service, &status)
    }

    /// Notes that the target is gone: it gets no new work until a load report shows it again.
    pub(super) fn note_gone(&self) {
        self.slots.record_connection_failure();
        self.presence.note_gone();
        self.tell(TargetUpdate::Unreachable);
    }

    /// Passes `update` of the target to the control thread.
    pub(super) fn tell(&self, update: TargetUpdate) {
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
