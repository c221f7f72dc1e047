//! Configuration changes and the stored values that contain them.

use amaranthgw_core::{ChangeNumber, DomainId, OperatorId, ParseError, PlanId, VmId, WorkspaceId};
use serde::{Deserialize, Serialize};

use super::{PlanRow, ServingState, WorkspaceRow};

/// Scope that an operator takes out of service or brings back.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutScope {
    /// One VM.
    Vm(VmId),
    /// A whole failure domain.
    Domain(DomainId),
}

/// A single edit within a change.
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

impl ConfigEdit {
    /// Scope that the edit takes out or brings back; `None` for an edit of the lists.
    #[must_use]
    pub const fn out_scope(&self) -> Option<&OutScope> {
        match self {
            Self::TakeOut(scope) | Self::BringBack(scope) => Some(scope),
            _ => None,
        }
    }
}

/// Identifier of a change, generated at random by the operator's process and written as 32 hex
/// digits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChangeId(u128);

impl ChangeId {
    /// Creates the identifier from random bits.
    #[must_use]
    pub const fn new(bits: u128) -> Self {
        Self(bits)
    }
}

impl std::fmt::Display for ChangeId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl std::str::FromStr for ChangeId {
    type Err = ParseError;

    fn from_str(text: &str) -> std::result::Result<Self, ParseError> {
        const ALLOWED: &str = "32 hex digits";
        let is_hex = text.len() == 32 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let bits = u128::from_str_radix(text, 16).ok().filter(|_| is_hex);
        bits.map(Self)
            .ok_or_else(|| ParseError::new("ChangeId", ALLOWED, text))
    }
}

impl Serialize for ChangeId {
    fn serialize<S: serde::Serializer>(
        &self,
        serializer: S,
    ) -> std::result::Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for ChangeId {
    fn deserialize<D: serde::Deserializer<'de>>(
        deserializer: D,
    ) -> std::result::Result<Self, D::Error> {
        let text = compact_str::CompactString::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// Edits that are applied atomically.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// Position in the log.
    pub number: ChangeNumber,
    /// Random identifier by which the operator's process recognises the change in the log.
    pub id: ChangeId,
    /// Operator who made the change.
    pub operator: OperatorId,
    /// When it was made, in milliseconds since the Unix epoch by the operator's clock.
    pub made_at_unix_ms: u64,
    /// Edits in the order of application.
    pub edits: Vec<ConfigEdit>,
}

/// Changes since a base; the value that operators update by compare-and-swap.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigLog {
    /// Number of the last change that the base contains; 0 stands for the empty configuration.
    pub base: ChangeNumber,
    /// Every base below this number has been removed from the key-value service.
    #[serde(default)]
    pub swept: ChangeNumber,
    /// Changes after the base, in order and without gaps.
    pub changes: Vec<ConfigChange>,
}

impl ConfigChange {
    /// Returns the part of the change that a base keeps.
    #[must_use]
    pub fn mark(&self) -> ChangeMark {
        ChangeMark {
            number: self.number,
            id: self.id,
            operator: self.operator.clone(),
            made_at_unix_ms: self.made_at_unix_ms,
        }
    }
}

impl ConfigLog {
    /// Number of the last change.
    #[must_use]
    pub fn number(&self) -> ChangeNumber {
        self.changes
            .last()
            .map_or(self.base, |change| change.number)
    }
}

/// Identity and author of a change, kept in a base after the edits were merged into its state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeMark {
    /// Position in the log.
    pub number: ChangeNumber,
    /// Identifier of the change.
    pub id: ChangeId,
    /// Operator who made the change.
    pub operator: OperatorId,
    /// When it was made, in milliseconds since the Unix epoch by the operator's clock.
    pub made_at_unix_ms: u64,
}

/// Snapshot of the configuration, written once under the number of its last change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigBase {
    /// State after the last change.
    pub state: ServingState,
    /// Marks of the last changes in the state, oldest first.
    pub marks: Vec<ChangeMark>,
}
