//! Changes of the configuration and the values that hold them in the key-value service.

use amaranthgw_core::{ChangeNumber, DomainId, OperatorId, PlanId, VmId, WorkspaceId};
use serde::{Deserialize, Serialize};

use super::{PlanRow, ServingState, WorkspaceRow};

/// What an operator takes out of service and brings back.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutScope {
    /// One VM.
    Vm(VmId),
    /// A whole failure domain.
    Domain(DomainId),
}

/// One edit within a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigEdit {
    /// Adds a plan or replaces its row.
    SetPlan {
        /// The plan.
        plan: PlanId,
        /// Its new row.
        row: PlanRow,
    },
    /// Removes a plan.
    RemovePlan {
        /// The plan.
        plan: PlanId,
    },
    /// Adds a workspace or replaces its row.
    SetWorkspace {
        /// The workspace.
        workspace: WorkspaceId,
        /// Its new row.
        row: WorkspaceRow,
    },
    /// Removes a workspace.
    RemoveWorkspace {
        /// The workspace.
        workspace: WorkspaceId,
    },
    /// Takes a VM or failure domain out of service.
    TakeOut(OutScope),
    /// Brings a VM or failure domain back into service.
    BringBack(OutScope),
}

/// Edits that come into force together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// Position in the log.
    pub number: ChangeNumber,
    /// Who made the change.
    pub operator: OperatorId,
    /// When it was made, in milliseconds since the Unix epoch by the operator's clock.
    pub made_at_unix_ms: u64,
    /// The edits, in order.
    pub edits: Vec<ConfigEdit>,
}

/// The value that operators compare-and-swap: the changes since a base.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigLog {
    /// Number of the last change that the base contains; 0 is the empty configuration.
    pub base: ChangeNumber,
    /// The changes after the base, in order and without gaps.
    pub changes: Vec<ConfigChange>,
}

/// A whole configuration, written once under the number of its last change.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConfigBase {
    /// The configuration.
    pub state: ServingState,
}
