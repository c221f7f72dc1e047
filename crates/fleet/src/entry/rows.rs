//! Rows of an entry's tables.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;

use amaranthgw_core::{DomainId, RegionId, ServiceId, SlotCount, VmId};
use tokio::time::Instant;

use super::TargetStatus;
use crate::membership::VmState;
use crate::routing::{LoadHint, TargetStage};

/// When a target was last asked for its state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeState {
    /// Never.
    NotAsked,
    /// At that time.
    AskedAt(Instant),
}

/// A target as an entry knows it.
#[derive(Clone, Debug)]
pub struct TargetRow {
    /// Service the target belongs to.
    pub service: ServiceId,
    /// Its VM.
    pub vm: VmId,
    /// Failure domain of the VM.
    pub domain: DomainId,
    /// Region of the VM.
    pub region: RegionId,
    /// Address of its sidecar.
    pub address: SocketAddr,
    /// State of the VM in the VM list.
    pub vm_state: VmState,
    /// Whether operators have taken out the VM or its failure domain.
    pub is_out: bool,
    /// Last report of its sidecar.
    pub status: Option<TargetStatus>,
    /// When the last report arrived.
    pub reported_at: Option<Instant>,
    /// Requests that this entry had in flight there when the last report arrived.
    pub own_at_report: SlotCount,
    /// Since when its sidecar has not been reached.
    pub unreachable_since: Option<Instant>,
    /// Last probe.
    pub probe: ProbeState,
    /// Requests that this entry has in flight at the target.
    pub own_in_flight: Arc<AtomicU32>,
}

impl TargetRow {
    /// What the target may receive, by everything the entry knows.
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

    /// Load of the target by its last report.
    #[must_use]
    pub fn load(&self) -> Option<LoadHint> {
        let status = self.status.as_ref()?;
        Some(LoadHint {
            in_flight: status.in_flight,
            own_in_flight: self.own_at_report,
            limit: status.limit,
            first_chunk_ms: status.first_chunk_ms,
            reported_at: self.reported_at?,
        })
    }
}
