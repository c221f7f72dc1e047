//! State that a sidecar reads from its engine, and the map orders that it sends to it.
//!
//! The engine keeps a hold until an order ends this very hold, and a switch until its step begins,
//! so that a restarted sidecar can recover its promises from them. An order never removes a hold or
//! switch of another proposal, so a late order cannot undo a newer one.

use amaranthgw_core::{GroupGeneration, MapVersion, StartMark, StepNumber};
use serde::{Deserialize, Serialize};

use super::MapProposal;

/// Reason for an engine not to begin a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineHold {
    /// Blocks every step until the generation has its first map.
    Generation(GroupGeneration),
    /// Blocks the step of the proposal until the outcome is known.
    Proposal(MapProposal),
}

/// State of an engine of a rank group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineView {
    /// Start mark of the engine process.
    pub start: StartMark,
    /// Highest generation (fencing token) of an accepted order.
    pub generation: GroupGeneration,
    /// Next step of the engine.
    pub step: StepNumber,
    /// Map in force; `None` until the first switch takes effect.
    pub map: Option<MapProposal>,
    /// Accepted switches whose steps have not begun.
    pub switches: Vec<MapProposal>,
    /// Holds in force.
    pub holds: Vec<EngineHold>,
    /// Map versions whose weights are loaded.
    pub loaded: Vec<MapVersion>,
}

impl EngineView {
    /// Whether the hold is in force.
    #[must_use]
    pub fn has_hold(&self, hold: EngineHold) -> bool {
        self.holds.contains(&hold)
    }

    /// Whether the weights of a version are loaded.
    #[must_use]
    pub fn has_loaded(&self, version: MapVersion) -> bool {
        self.loaded.contains(&version)
    }

    /// Whether the engine has begun the proposal's step with its version, or has accepted the
    /// switch to it.
    #[must_use]
    pub fn has_switch(&self, proposal: &MapProposal) -> bool {
        self.has_begun(proposal) || self.switches.contains(proposal)
    }

    /// Whether the engine has begun the proposal's step with its version.
    #[must_use]
    pub fn has_begun(&self, proposal: &MapProposal) -> bool {
        let is_in_force = self.map.is_some_and(|map| map.version == proposal.version);
        is_in_force && self.step > proposal.step
    }

    /// The newest proposal among the map in force and the accepted switches.
    #[must_use]
    pub fn newest_switch(&self) -> Option<MapProposal> {
        let ordered = self.switches.iter().copied().chain(self.map);
        ordered.max_by_key(MapProposal::sort_key)
    }

    /// The newest proposal whose step the engine holds.
    #[must_use]
    pub fn newest_held(&self) -> Option<MapProposal> {
        let held = self.holds.iter().filter_map(|hold| match hold {
            EngineHold::Proposal(proposal) => Some(*proposal),
            EngineHold::Generation(_) => None,
        });
        held.max_by_key(MapProposal::sort_key)
    }
}

/// Map order from a sidecar to its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MapOrder {
    /// Adds a hold. The engine refuses the hold of a proposal whose step has begun.
    Hold(EngineHold),
    /// Uses the proposal's version from its step on and ends the proposal's hold. The engine
    /// refuses it for a step that has begun.
    Switch(MapProposal),
    /// Ends this hold; other holds stay in force.
    Release(EngineHold),
}
