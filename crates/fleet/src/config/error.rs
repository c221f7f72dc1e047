//! Why a configuration change is refused.

use amaranthgw_core::{ByteCount, ChangeNumber, PlanId, WorkspaceId};
use compact_str::CompactString;

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
    /// The value that would hold the change is larger than the key-value service takes.
    TooLarge {
        /// Size of the value.
        size: ByteCount,
        /// Largest size.
        limit: ByteCount,
    },
    /// A value of the key-value service or a message is not one of this version.
    Unreadable(CompactString),
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
            Self::TooLarge { size, limit } => {
                write!(
                    f,
                    "the change needs a value of {size} bytes; the limit is {limit}"
                )
            }
            Self::Unreadable(message) => write!(f, "the value cannot be read: {message}"),
        }
    }
}

impl std::error::Error for ConfigError {}
