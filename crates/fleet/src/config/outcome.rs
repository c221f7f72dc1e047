//! What an operator asks for, and how it ends.

use amaranthgw_core::{ChangeNumber, MilliSpan, OperatorId};

use super::{ChangeId, ChangeMark, ConfigChange, ConfigEdit, ConfigError, StoreCall};

/// What an operator wants to change.
#[derive(Clone, Debug)]
pub struct CommitAsk {
    /// Identifier of the change, drawn at random.
    pub id: ChangeId,
    /// Who makes the change.
    pub operator: OperatorId,
    /// When it is made, in milliseconds since the Unix epoch.
    pub made_at_unix_ms: u64,
    /// The edits.
    pub edits: Vec<ConfigEdit>,
}

/// What a commit does next.
#[derive(Debug)]
pub enum CommitStep {
    /// Performs `call` after waiting for `after`, and passes on the reply.
    Call {
        /// The call.
        call: StoreCall,
        /// The wait before it.
        after: MilliSpan,
    },
    /// The commit is done.
    Done(CommitOutcome),
}

/// How a commit ended.
#[derive(Clone, Debug, PartialEq)]
pub enum CommitOutcome {
    /// The change is accepted and has this number.
    Accepted(ChangeNumber),
    /// There is nothing to change.
    Unneeded,
    /// Another operator's conflicting change came first; nothing was changed.
    LostRace(RaceLoss),
    /// The edits are not valid; nothing was changed.
    Refused(ConfigError),
    /// The key-value service was not available; nothing was changed.
    NotMade,
    /// The answer to the write was lost and could not be read back.
    Unknown,
}

impl CommitOutcome {
    /// Exit code of an operator's command that ended like this.
    #[must_use]
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Accepted(_) | Self::Unneeded => 0,
            Self::NotMade => 1,
            Self::Refused(_) => 2,
            Self::LostRace(_) => 3,
            Self::Unknown => 4,
        }
    }
}

/// What came between the state that an operator saw and the commit.
#[derive(Clone, Debug, PartialEq)]
pub struct RaceLoss {
    /// Number of the state that the operator saw.
    pub seen: ChangeNumber,
    /// Number of the state in force.
    pub current: ChangeNumber,
    /// Who made the changes in between and when, oldest first.
    pub marks: Vec<ChangeMark>,
    /// Those of the changes whose edits are still in the log, oldest first.
    pub changes: Vec<ConfigChange>,
    /// The edits that lead from the state that the operator saw to the one in force.
    pub edits: Vec<ConfigEdit>,
}
