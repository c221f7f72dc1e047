//! For whom bytes are held.

use amaranthgw_core::{TargetId, WorkspaceId};
use compact_str::{CompactString, ToCompactString};

/// The peer that sends the bytes of a reservation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ByteHolder {
    /// A target that answers.
    Target(TargetId),
    /// Callers with keys of a workspace.
    Workspace(WorkspaceId),
    /// Callers without a key.
    Anonymous,
}

impl ByteHolder {
    /// The holder of requests of `workspace`.
    #[must_use]
    pub fn of_caller(workspace: Option<&WorkspaceId>) -> Self {
        workspace.map_or(Self::Anonymous, |it| Self::Workspace(it.clone()))
    }

    /// Label of the kind of holder in metrics.
    #[must_use]
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Target(_) => "target",
            Self::Workspace(_) | Self::Anonymous => "caller",
        }
    }

    /// Name of the holder in logs.
    #[must_use]
    pub fn name(&self) -> CompactString {
        match self {
            Self::Target(target) => target.to_compact_string(),
            Self::Workspace(workspace) => workspace.to_compact_string(),
            Self::Anonymous => CompactString::const_new("-"),
        }
    }
}
