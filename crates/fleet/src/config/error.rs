//! Errors of configuration changes and stored values.

use amaranthgw_core::{ByteCount, ChangeNumber, PlanId, WorkspaceId};
use compact_str::CompactString;

/// Reason why a change, a stored value or a message is not valid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigError {
    /// The change doesn't follow the last applied one.
    OutOfOrder {
        /// Number of the last applied change.
        current: ChangeNumber,
        /// Number of the rejected change.
        offered: ChangeNumber,
    },
    /// A workspace subscribes to a plan that does not exist.
    UnknownPlan {
        /// Workspace with the subscription.
        workspace: WorkspaceId,
        /// Plan that doesn't exist.
        plan: PlanId,
    },
    /// With the change the stored value would exceed the size limit of the key-value service.
    TooLarge {
        /// Size of the value.
        size: ByteCount,
        /// Largest allowed size.
        limit: ByteCount,
    },
    /// A stored value or a message could not be encoded as JSON or decoded from it.
    Unreadable(CompactString),
}

impl std::fmt::Display for ConfigError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::OutOfOrder { current, offered } => {
                write!(
                    f,
                    "change {offered} is out of order: expected the one after {current}"
                )
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
                    "with the change the stored value would have {size} bytes; the limit is {limit}"
                )
            }
            Self::Unreadable(message) => write!(f, "unreadable configuration value: {message}"),
        }
    }
}

impl std::error::Error for ConfigError {}
