//! Rows of the VM list.

use std::net::SocketAddr;

use amaranthgw_core::{DomainId, RegionId, ServiceId, TargetId, VmId};
use serde::{Deserialize, Serialize};

use crate::routing::DomainDistance;

/// Role of the process on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeRole {
    /// Accepts requests from callers.
    Entry,
    /// Runs beside one target and gives it its work.
    Sidecar,
}

/// State of a VM in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// In service.
    Live,
    /// About to be replaced; takes no new work.
    Leaving,
}

/// One VM of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// The VM.
    pub vm: VmId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its region.
    pub region: RegionId,
    /// Role of its process.
    pub role: NodeRole,
    /// Service of its target; only beside targets.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceId>,
    /// Its target; only beside targets.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target: Option<TargetId>,
    /// Where peers reach its process.
    pub address: SocketAddr,
    /// State of the VM.
    pub state: VmState,
}

/// Where a process runs, from its settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeIdentity {
    /// VM of the process.
    pub vm: VmId,
    /// Failure domain of the VM.
    pub domain: DomainId,
    /// Region of the VM.
    pub region: RegionId,
}

impl NodeIdentity {
    /// Distance to a VM in `domain` of `region`.
    #[must_use]
    pub fn distance_to(&self, domain: &DomainId, region: &RegionId) -> DomainDistance {
        if *domain == self.domain {
            DomainDistance::SameDomain
        } else if *region == self.region {
            DomainDistance::SameRegion
        } else {
            DomainDistance::OtherRegion
        }
    }
}
