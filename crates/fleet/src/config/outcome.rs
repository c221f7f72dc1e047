//! Request, steps and outcome of a commit.

use amaranthgw_core::{ChangeNumber, MilliSpan, OperatorId};

use super::{ChangeId, ChangeMark, ConfigChange, ConfigEdit, ConfigError, StoreCall};

/// Edits that an operator requests, with their author and time.
#[derive(Clone, Debug)]
pub struct CommitRequest {
    /// Random identifier of the change.
    pub id: ChangeId,
    /// Operator who makes the change.
    pub operator: OperatorId,
    /// Time of the change in milliseconds since the Unix epoch.
    pub made_at_unix_ms: u64,
    /// Edits in the order of application.
    pub edits: Vec<ConfigEdit>,
}

/// Next step of a commit.
#[derive(Debug)]
pub enum CommitStep {
    /// The caller performs `call` after the delay `after` and passes on the reply.
    Call {
        /// Call to perform.
        call: StoreCall,
        /// Delay before the call.
        after: MilliSpan,
    },
    /// The commit has ended.
    Done(CommitOutcome),
}

/// Outcome of a commit.
#[derive(Clone, Debug, PartialEq)]
pub enum CommitOutcome {
    /// The change was committed under this number.
    Accepted(ChangeNumber),
    /// There was nothing to change.
    NoChange,
    /// Another operator committed a conflicting change first; nothing was changed.
    Conflict(CommitConflict),
    /// The edits or the stored configuration were not valid, or the result would be too large;
    /// nothing was changed.
    Refused(ConfigError),
    /// The key-value service was unavailable; nothing was changed.
    StoreUnavailable,
    /// The reply to the write was lost, and no later read could tell whether it took effect.
    Unknown,
}

impl CommitOutcome {
    /// Exit code of an operator's command with this outcome.
    #[must_use]
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Accepted(_) | Self::NoChange => 0,
            Self::StoreUnavailable => 1,
            Self::Refused(_) => 2,
            Self::Conflict(_) => 3,
            Self::Unknown => 4,
        }
    }
}

/// Changes that others committed between the operator's view and the commit.
#[derive(Clone, Debug, PartialEq)]
pub struct CommitConflict {
    /// Number of the last change in the operator's view.
    pub seen: ChangeNumber,
    /// Number of the last committed change.
    pub current: ChangeNumber,
    /// Marks of the changes in between, oldest first.
    pub marks: Vec<ChangeMark>,
    /// Those of the changes in between that are still in the log, oldest first.
    pub changes: Vec<ConfigChange>,
    /// Edits that lead from the state in the operator's view to the current one.
    pub edits: Vec<ConfigEdit>,
}
