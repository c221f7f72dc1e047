//! Rows of the VM list.

use std::net::SocketAddr;

use amaranthgw_core::{DomainId, EntityTable, RegionId, ServiceId, TargetId, VmId};
use serde::{Deserialize, Serialize};

/// What runs on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmRole {
    /// An entry process.
    Entry,
    /// A target with the process beside it.
    Sidecar,
}

/// Whether a VM stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// In service.
    Live,
    /// About to go.
    Leaving,
}

/// One VM of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// The VM.
    pub vm: VmId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its region.
    pub region: RegionId,
    /// What runs on it.
    pub role: VmRole,
    /// Service of the VM's target; for sidecars only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceId>,
    /// The VM's target; for sidecars only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target: Option<TargetId>,
    /// Where peers reach the VM's own process.
    pub address: SocketAddr,
    /// Whether the VM stays.
    pub state: VmState,
}

/// Body of the list calls.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmListBody {
    /// The VMs in the order of the list.
    pub vms: Vec<ListedVm>,
}

impl VmListBody {
    /// The rows under their identifiers; a later row replaces an earlier one of the same VM.
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
