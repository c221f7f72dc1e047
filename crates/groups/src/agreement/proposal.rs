//! Proposals of a map and what a rank reports when a generation opens.

use amaranthgw_core::{GroupGeneration, MapVersion, RankId, StepNumber};
use serde::{Deserialize, Serialize};

/// Why a map is proposed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProposalKind {
    /// First map of a generation, chosen from the reports of all ranks.
    Opening,
    /// A change of the map within a generation.
    Change,
}

/// A map version that all ranks of a generation are asked to use from a step on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MapProposal {
    /// Generation in which the proposal is made.
    pub generation: GroupGeneration,
    /// Proposed version.
    pub version: MapVersion,
    /// First step that uses the version.
    pub step: StepNumber,
    /// Rank whose process made the proposal.
    pub proposer: RankId,
    /// Why the map is proposed.
    pub kind: ProposalKind,
}

impl MapProposal {
    /// Order of proposals: by generation, the opening first, then by version.
    #[must_use]
    pub fn order(&self) -> (GroupGeneration, ProposalKind, MapVersion) {
        (self.generation, self.kind, self.version)
    }

    /// Whether this proposal opens its generation.
    #[must_use]
    pub fn is_opening(&self) -> bool {
        self.kind == ProposalKind::Opening
    }
}

/// What one rank knows when it joins a generation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankReport {
    /// Last proposal the rank knows to be committed.
    pub committed: Option<MapProposal>,
    /// Proposal the rank accepted without knowing its outcome.
    pub in_doubt: Option<MapProposal>,
    /// Highest version the rank accepted or refused.
    pub floor: MapVersion,
    /// Last step for which a switch order may still be under way.
    pub settle: StepNumber,
    /// Step that the engine begins next.
    pub step: StepNumber,
}

impl RankReport {
    /// Whether the rank knows of no map at all, as after its replacement.
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        self.committed.is_none() && self.in_doubt.is_none()
    }
}
