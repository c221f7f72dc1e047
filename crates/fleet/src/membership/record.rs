//! Entries of the VM list, and the distance between VMs.

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
    /// Runs on the VM of one target and dispatches requests to it.
    Sidecar,
}

/// State of a VM in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// In service.
    Live,
    /// About to be replaced; accepts no new requests.
    Leaving,
}

/// One VM of the platform's VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// Identifier of the VM.
    pub vm: VmId,
    /// Failure domain of the VM.
    pub domain: DomainId,
    /// Region of the VM.
    pub region: RegionId,
    /// Role of the process on the VM.
    pub role: NodeRole,
    /// Service of the VM's target; only set for sidecars.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceId>,
    /// Target on the VM; only set for sidecars.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target: Option<TargetId>,
    /// Address at which peers reach the process.
    pub address: SocketAddr,
    /// State of the VM.
    pub state: VmState,
}

/// Location of this process, from its settings.
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
    /// Distance from this process to a VM in `domain` of `region`.
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
