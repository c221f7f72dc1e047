//! Rows of an entry's tables.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;

use amaranthgw_core::{DomainId, RegionId, ServiceId, SlotCount, VmId};
use tokio::time::Instant;

use super::TargetStatus;
use crate::membership::VmState;
use crate::routing::{LoadReport, TargetStage};

/// Whether and when a target was last probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeState {
    /// No probe was sent.
    NeverSent,
    /// The last probe was sent at this time.
    SentAt(Instant),
}

/// Target as known to an entry.
#[derive(Clone, Debug)]
pub struct TargetRow {
    /// Service the target belongs to.
    pub service: ServiceId,
    /// VM that the target runs on.
    pub vm: VmId,
    /// Failure domain of the VM.
    pub domain: DomainId,
    /// Region of the VM.
    pub region: RegionId,
    /// Address of the target's sidecar.
    pub address: SocketAddr,
    /// State of the VM in the VM list.
    pub vm_state: VmState,
    /// Whether operators have taken the VM or its failure domain out of service.
    pub is_out: bool,
    /// Last status reported by the sidecar.
    pub status: Option<TargetStatus>,
    /// Arrival time of the last report.
    pub reported_at: Option<Instant>,
    /// Requests of this entry in flight at the target when the last report arrived.
    pub own_at_report: SlotCount,
    /// Time of the last failed contact, unless the sidecar has reported since.
    pub unreachable_since: Option<Instant>,
    /// Whether and when the target was last probed.
    pub probe: ProbeState,
    /// Requests of this entry in flight at the target, counted by the traffic threads.
    pub own_in_flight: Arc<AtomicU32>,
}

impl TargetRow {
    /// Routing stage, combined from configuration, VM list, last report and reachability.
    #[must_use]
    pub fn stage(&self) -> TargetStage {
        if self.is_out || self.vm_state == VmState::Leaving {
            return TargetStage::Leaving;
        }
        match &self.status {
            Some(status) if self.unreachable_since.is_none() => status.stage,
            _ => TargetStage::Unreachable,
        }
    }

    /// Load of the target in its last report.
    #[must_use]
    pub fn load(&self) -> Option<LoadReport> {
        let status = self.status.as_ref()?;
        Some(LoadReport {
            in_flight: status.in_flight,
            own_in_flight: self.own_at_report,
            limit: status.limit,
            first_chunk_ms: status.first_chunk_ms,
            reported_at: self.reported_at?,
        })
    }
}
