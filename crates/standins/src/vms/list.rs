//! Messages and rows of the VM list.

use std::net::SocketAddr;

use amaranthgw_core::{DomainId, EntityTable, RegionId, ServiceId, TargetId, VmId};
use serde::{Deserialize, Serialize};

/// What runs on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmRole {
    /// An entry process.
    Entry,
    /// A target and its sidecar process.
    Sidecar,
}

/// Lifecycle state of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// In service.
    Live,
    /// About to be shut down.
    Leaving,
}

/// One VM of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// Identifier of the VM.
    pub vm: VmId,
    /// Failure domain of the VM.
    pub domain: DomainId,
    /// Region of the VM.
    pub region: RegionId,
    /// What runs on it.
    pub role: VmRole,
    /// Service of the VM's target; only for role `sidecar`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceId>,
    /// The VM's target; only for role `sidecar`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target: Option<TargetId>,
    /// Address at which peers reach the entry or sidecar process.
    pub address: SocketAddr,
    /// Whether the VM is in service or leaving.
    pub state: VmState,
}

/// Body of `GET /v1/vms` and `PUT /admin/vms`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmListBody {
    /// The VMs in list order.
    pub vms: Vec<ListedVm>,
}

impl VmListBody {
    /// Converts to a table by VM; if a VM has several rows, the last one is kept.
    pub(super) fn into_table(self) -> EntityTable<VmId, ListedVm> {
        let rows = self.vms.into_iter();
        rows.map(|row| (row.vm.clone(), row)).collect()
    }

    pub(super) fn with_table(table: &EntityTable<VmId, ListedVm>) -> Self {
        Self {
            vms: table.rows().cloned().collect(),
        }
    }
}
