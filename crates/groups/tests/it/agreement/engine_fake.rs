//! Fake engine of a rank group. It handles holds and switches as [`MapOrder`] describes and can be
//! set to ignore fencing tokens.

use amaranthgw_core::{FencingNumber, GroupGeneration, MapVersion, StartMark, StepNumber};
use amaranthgw_groups::agreement::{EngineHold, EngineView, MapOrder, MapProposal};

#[derive(Debug)]
pub(super) struct EngineFake {
    pub(super) view: EngineView,
    pub(super) honours_fencing: bool,
}

impl EngineFake {
    pub(super) fn new(start: u64, honours_fencing: bool) -> Self {
        let view = EngineView {
            start: StartMark::new(start),
            generation: GroupGeneration::default(),
            step: StepNumber::default(),
            map: None,
            switches: Vec::new(),
            holds: Vec::new(),
            loaded: Vec::new(),
        };
        Self {
            view,
            honours_fencing,
        }
    }

    pub(super) fn apply(&mut self, order: MapOrder, fencing: FencingNumber) {
        if self.honours_fencing && fencing.get() < self.view.generation.get() {
            return;
        }
        let generation = GroupGeneration::new(fencing.get());
        self.view.generation = self.view.generation.max(generation);
        match order {
            MapOrder::Hold(hold) => self.hold(hold),
            MapOrder::Switch(proposal) => self.switch(proposal),
            MapOrder::Release(hold) => self.view.holds.retain(|known| *known != hold),
        }
    }

    fn hold(&mut self, hold: EngineHold) {
        let is_past = matches!(hold, EngineHold::Proposal(p) if p.step < self.view.step);
        if !is_past && !self.view.has_hold(hold) {
            self.view.holds.push(hold);
        }
    }

    fn switch(&mut self, proposal: MapProposal) {
        if proposal.step < self.view.step || self.view.switches.contains(&proposal) {
            return;
        }
        if self.view.map.is_none() {
            self.view.step = proposal.step;
        }
        self.view.switches.push(proposal);
        self.view
            .holds
            .retain(|hold| *hold != EngineHold::Proposal(proposal));
    }

    /// Version that the engine would use in its next step; `None` while a hold blocks the step.
    pub(super) fn next_version(&self) -> Option<MapVersion> {
        let step = self.view.step;
        let is_held = self.view.holds.iter().any(|hold| match hold {
            EngineHold::Generation(_) => true,
            EngineHold::Proposal(proposal) => proposal.step <= step,
        });
        let pending = self.pending_switch().or(self.view.map);
        pending
            .filter(|_| !is_held)
            .map(|proposal| proposal.version)
    }

    pub(super) fn run_step(&mut self) {
        self.view.map = self.pending_switch().or(self.view.map);
        let step = self.view.step;
        self.view.switches.retain(|proposal| proposal.step > step);
        self.view.step = step.next();
    }

    fn pending_switch(&self) -> Option<MapProposal> {
        let pending = self
            .view
            .switches
            .iter()
            .filter(|proposal| proposal.step <= self.view.step);
        pending
            .copied()
            .max_by_key(|proposal| (proposal.step, proposal.sort_key()))
    }
}
