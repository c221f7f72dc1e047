//! Why a configuration change is refused.

use amaranthgw_core::{ChangeNumber, PlanId, WorkspaceId};

/// Why a change cannot be applied; the state it met is left as it was.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigError {
    /// The change does not follow the last one in force.
    OutOfOrder {
        /// Number in force.
        current: ChangeNumber,
        /// Number of the refused change.
        offered: ChangeNumber,
    },
    /// A workspace subscribes to a plan that does not exist.
    UnknownPlan {
        /// The workspace.
        workspace: WorkspaceId,
        /// Its missing plan.
        plan: PlanId,
    },
}

impl std::fmt::Display for ConfigError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::OutOfOrder { current, offered } => {
                write!(f, "change {offered} does not follow change {current}")
            }
            Self::UnknownPlan { workspace, plan } => {
                write!(
                    f,
                    "workspace {workspace} subscribes to plan {plan}, which does not exist"
                )
            }
        }
    }
}

impl std::error::Error for ConfigError {}
