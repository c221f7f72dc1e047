//! Map proposals, and the report of a rank that joins a generation.

use amaranthgw_core::{GroupGeneration, MapVersion, RankId, StepNumber};
use serde::{Deserialize, Serialize};

/// Occasion of a map proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProposalKind {
    /// First map of a generation, derived from the reports of all ranks.
    Opening,
    /// Map change within a generation.
    Change,
}

/// Proposal that all ranks of a generation use a map version from a given step on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MapProposal {
    /// Generation of the proposal.
    pub generation: GroupGeneration,
    /// Proposed version.
    pub version: MapVersion,
    /// First step that uses the version.
    pub step: StepNumber,
    /// Rank that sent the proposal.
    pub proposer: RankId,
    /// Opening or change.
    pub kind: ProposalKind,
}

impl MapProposal {
    /// Key by which proposals sort from oldest to newest: generation, opening before changes,
    /// version.
    #[must_use]
    pub fn sort_key(&self) -> (GroupGeneration, ProposalKind, MapVersion) {
        (self.generation, self.kind, self.version)
    }

    /// Whether this proposal opens its generation.
    #[must_use]
    pub fn is_opening(&self) -> bool {
        self.kind == ProposalKind::Opening
    }
}

/// State of one rank when it joins a generation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankReport {
    /// Newest proposal that the rank knows to be committed.
    pub committed: Option<MapProposal>,
    /// Proposal that the rank accepted and whose outcome it does not know.
    pub in_doubt: Option<MapProposal>,
    /// Highest version that the rank accepted or refused, or that an opening carried over from any
    /// rank.
    pub floor: MapVersion,
    /// Last step for which a switch order may still arrive at the engine.
    pub settle: StepNumber,
    /// Next step of the engine.
    pub step: StepNumber,
}

impl RankReport {
    /// Whether the rank knows of no map at all, as on a replaced VM.
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        self.committed.is_none() && self.in_doubt.is_none()
    }
}
