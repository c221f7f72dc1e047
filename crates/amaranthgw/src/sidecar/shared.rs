//! What the threads of a sidecar share.

use std::sync::Arc;

use amaranthgw_fleet::config::ServingState;
use amaranthgw_fleet::entry::TargetStatus;
use amaranthgw_fleet::gate::AdmissionSlots;
use amaranthgw_fleet::routing::TargetStage;
use amaranthgw_fleet::sidecar::{ServedTarget, TargetEvidence, TargetNews};
use arc_swap::ArcSwap;

use super::queue::AdmissionQueue;
use super::target::TargetClient;
use crate::control::ReportSender;
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

    /// The published status with the counts of this instant.
    pub(super) fn current_status(&self) -> TargetStatus {
        let mut status = TargetStatus::clone(&self.status.load());
        status.in_flight = self.slots.in_flight();
        status.limit = self.slots.limit();
        status
    }

    /// The current status as a message.
    pub(super) fn report(&self) -> TargetReport {
        let status = self.current_status();
        report_from_status(&self.served.target, &self.served.service, &status)
    }

    /// Passes `news` of the target to the control thread.
    pub(super) fn tell(&self, news: TargetNews) {
        self.evidence.send(TargetEvidence {
            target: self.served.target.clone(),
            news,
        });
    }
}
