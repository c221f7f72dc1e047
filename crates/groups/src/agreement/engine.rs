//! What a sidecar sees of its engine and the map orders it gives to it.
//!
//! The engine keeps holds and switches until they are ended by name, so it remembers for a
//! sidecar that restarts. Adding one never removes another: a late order cannot undo a newer one.

use amaranthgw_core::{GroupGeneration, MapVersion, StartMark, StepNumber};
use serde::{Deserialize, Serialize};

use super::MapProposal;

/// A reason for which an engine does not begin a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineHold {
    /// No step begins until the generation has its first map.
    Generation(GroupGeneration),
    /// The step of the proposal does not begin until its outcome is known.
    Proposal(MapProposal),
}

/// State of an engine of a rank group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineView {
    /// Mark of the engine process.
    pub start: StartMark,
    /// Highest generation named by an accepted order.
    pub generation: GroupGeneration,
    /// Step that the engine begins next.
    pub step: StepNumber,
    /// Map in force; `None` until the first switch takes effect.
    pub map: Option<MapProposal>,
    /// Switches accepted for steps that have not begun.
    pub switches: Vec<MapProposal>,
    /// Holds in force.
    pub holds: Vec<EngineHold>,
    /// Map versions whose weights are loaded.
    pub loaded: Vec<MapVersion>,
}

impl EngineView {
    /// Whether the engine has the hold.
    #[must_use]
    pub fn has_hold(&self, hold: EngineHold) -> bool {
        self.holds.contains(&hold)
    }

    /// Whether the weights of a version are loaded.
    #[must_use]
    pub fn has_loaded(&self, version: MapVersion) -> bool {
        self.loaded.contains(&version)
    }

    /// Whether the engine uses the proposal's version or will at its step.
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

    /// The newest proposal that the engine was ordered to use.
    #[must_use]
    pub fn newest_switch(&self) -> Option<MapProposal> {
        let ordered = self.switches.iter().copied().chain(self.map);
        ordered.max_by_key(MapProposal::order)
    }

    /// The newest proposal for which the engine holds a step.
    #[must_use]
    pub fn newest_held(&self) -> Option<MapProposal> {
        let held = self.holds.iter().filter_map(|hold| match hold {
            EngineHold::Proposal(proposal) => Some(*proposal),
            EngineHold::Generation(_) => None,
        });
        held.max_by_key(MapProposal::order)
    }
}

/// An order about maps from a sidecar to its own engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MapOrder {
    /// Adds a hold; refused for a step that has begun.
    Hold(EngineHold),
    /// Uses the version from the step on and ends the hold of that proposal; refused for a step
    /// that has begun.
    Switch(MapProposal),
    /// Ends the named hold; other holds stay.
    Release(EngineHold),
}
