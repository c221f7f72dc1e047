//! Promises, refusals and outcomes of proposals at one rank.

use amaranthgw_core::{GroupGeneration, MapVersion, RankId};
use tokio::time::Instant;

use super::member::{DoubtRow, send};
use super::{
    EngineView, GroupEffect, GroupMessage, MapProposal, MemberPhase, PrepareRequest, RankMember,
};

/// Pauses between two rounds of questions double up to this many times the first.
const MAX_PAUSE_FACTOR: u32 = 8;

impl RankMember {
    pub(super) fn on_propose(
        &self,
        from: RankId,
        generation: GroupGeneration,
        version: MapVersion,
        out: &mut Vec<GroupEffect>,
    ) {
        let Some(view) = self.engine.as_ref() else {
            return;
        };
        if generation != self.joined || !self.is_settled(view) {
            return;
        }
        if !view.has_loaded(version) {
            out.push(GroupEffect::LoadMap(version));
            return;
        }
        send(
            from,
            GroupMessage::Loaded {
                generation,
                version,
                step: view.step,
            },
            out,
        );
    }

    pub(super) fn on_prepare(
        &mut self,
        from: RankId,
        request: &PrepareRequest,
        out: &mut Vec<GroupEffect>,
    ) {
        let proposal = request.proposal;
        if proposal.generation < self.joined {
            return send(
                from,
                GroupMessage::Superseded {
                    generation: self.joined,
                },
                out,
            );
        }
        if proposal.generation > self.joined {
            return;
        }
        if let Some(answer) = self.known_answer(&proposal) {
            return send(from, answer, out);
        }
        if self.is_in_doubt(&proposal) {
            return;
        }
        if !self.can_accept(from, request) {
            return self.refuse(from, &proposal, out);
        }
        self.accept(request);
    }

    /// The answer to a question about a proposal of the joined generation, where one is known.
    fn known_answer(&self, proposal: &MapProposal) -> Option<GroupMessage> {
        if self.committed == Some(*proposal) {
            return Some(GroupMessage::Commit(*proposal));
        }
        if self.phase == MemberPhase::Recovering {
            return Some(GroupMessage::Unknown(*proposal));
        }
        let doubt = self
            .doubt
            .as_ref()
            .filter(|doubt| doubt.proposal == *proposal)?;
        doubt
            .is_promised
            .then_some(GroupMessage::Promise(*proposal))
    }

    fn can_accept(&self, from: RankId, request: &PrepareRequest) -> bool {
        match request.terms {
            Some(terms) => {
                let has_newer_doubt = self
                    .doubt
                    .as_ref()
                    .is_some_and(|doubt| doubt.proposal.generation == self.joined);
                let is_waiting = self.phase == MemberPhase::Joined && !has_newer_doubt;
                let is_opener = self.opener == Some((from, terms.start));
                is_waiting && is_opener && !self.has_refused_opening
            }
            None => self
                .engine
                .as_ref()
                .is_some_and(|view| self.can_change(view, request)),
        }
    }

    fn can_change(&self, view: &EngineView, request: &PrepareRequest) -> bool {
        let proposal = &request.proposal;
        let is_newest = proposal.version > self.floor && request.fencing >= self.fencing;
        let is_ahead = proposal.step >= view.step;
        self.is_settled(view) && is_newest && is_ahead && view.has_loaded(proposal.version)
    }

    /// Whether the last change is in force here and no older order can still take effect.
    fn is_settled(&self, view: &EngineView) -> bool {
        let has_begun = self
            .committed
            .is_some_and(|committed| view.has_begun(&committed));
        let is_idle = self.phase == MemberPhase::Active && self.doubt.is_none();
        is_idle && has_begun && view.step > self.settle
    }

    fn accept(&mut self, request: &PrepareRequest) {
        let displaced = self.doubt.take().map(|doubt| doubt.proposal);
        let mut doubt = DoubtRow::new(request.proposal);
        if let Some(terms) = request.terms {
            doubt = doubt.with_opening(terms, displaced);
        }
        self.floor = self.floor.max(request.proposal.version);
        self.fencing = self.fencing.max(request.fencing);
        self.doubt = Some(doubt);
    }

    /// Refuses a proposal for good.
    pub(super) fn refuse(
        &mut self,
        to: RankId,
        proposal: &MapProposal,
        out: &mut Vec<GroupEffect>,
    ) {
        self.remember_refusal(proposal);
        send(to, GroupMessage::Refuse(*proposal), out);
    }

    fn remember_refusal(&mut self, proposal: &MapProposal) {
        if proposal.generation != self.joined || self.phase == MemberPhase::Recovering {
            return;
        }
        if proposal.is_opening() {
            self.has_refused_opening = true;
        } else {
            self.floor = self.floor.max(proposal.version);
        }
    }

    pub(super) fn on_promise(
        &mut self,
        from: RankId,
        proposal: &MapProposal,
        out: &mut Vec<GroupEffect>,
    ) {
        self.count_opening_promise(from, proposal, out);
        if !self.is_in_doubt(proposal) {
            return;
        }
        let Some(doubt) = self.doubt.as_mut().filter(|doubt| doubt.is_promised) else {
            return;
        };
        doubt.promised.insert(from);
        doubt.promised.insert(self.place.rank);
        if self.place.is_all(doubt.promised.len()) {
            self.on_commit(proposal);
            self.send_others(&GroupMessage::Commit(*proposal), out);
        }
    }

    pub(super) fn on_refuse(
        &mut self,
        proposal: &MapProposal,
        now: Instant,
        out: &mut Vec<GroupEffect>,
    ) {
        let is_own_opening = self.is_opening_of(proposal);
        if self.is_in_doubt(proposal) || is_own_opening {
            self.send_others(&GroupMessage::Abort(*proposal), out);
        }
        self.on_abort(proposal, now);
    }

    pub(super) fn on_commit(&mut self, proposal: &MapProposal) {
        if !self.is_in_doubt(proposal) {
            return;
        }
        let terms = self.doubt.take().and_then(|doubt| doubt.terms);
        if let Some(terms) = terms {
            self.floor = self.floor.max(terms.floor);
            self.settle = self.settle.max(terms.settle);
            self.opening = None;
        }
        self.settle = self.settle.max(proposal.step);
        self.committed = Some(*proposal);
        self.phase = MemberPhase::Active;
        self.remembers = true;
    }

    pub(super) fn on_abort(&mut self, proposal: &MapProposal, now: Instant) {
        if self.committed == Some(*proposal) {
            return;
        }
        let is_own_opening = self.is_opening_of(proposal);
        let was_in_doubt = self.is_in_doubt(proposal);
        self.remember_refusal(proposal);
        if was_in_doubt {
            let displaced = self.doubt.take().and_then(|doubt| doubt.displaced);
            self.doubt = displaced.map(DoubtRow::new);
        }
        if is_own_opening {
            self.opening = None;
        }
        if proposal.is_opening() && (was_in_doubt || is_own_opening) {
            self.quiet_until = now + self.timing.staggered(self.timing.retry, self.place.rank);
        }
    }

    pub(super) fn on_query(
        &mut self,
        from: RankId,
        proposal: &MapProposal,
        now: Instant,
        out: &mut Vec<GroupEffect>,
    ) {
        if proposal.generation > self.joined {
            return;
        }
        if let Some(answer) = self.known_answer(proposal) {
            self.leave_asking_to(from, now);
            return send(from, answer, out);
        }
        if proposal.generation < self.joined {
            return send(
                from,
                GroupMessage::Superseded {
                    generation: self.joined,
                },
                out,
            );
        }
        let is_old = self
            .committed
            .is_some_and(|map| map.order() >= proposal.order());
        if !is_old && !self.is_in_doubt(proposal) {
            self.refuse(from, proposal, out);
        }
    }

    /// A lower rank that asks will tell everybody; this rank need not ask as well.
    fn leave_asking_to(&mut self, from: RankId, now: Instant) {
        let pause = self.timing.staggered(self.timing.doubt, self.place.rank);
        let Some(doubt) = self.doubt.as_mut() else {
            return;
        };
        if from < self.place.rank {
            doubt.ask_at = doubt.ask_at.map(|at| at.max(now + pause));
        }
    }

    /// Whether this rank has promised a proposal of its generation and asks for the outcome.
    pub(super) fn is_asking(&self) -> bool {
        let promised = self.doubt.as_ref().filter(|doubt| doubt.is_promised);
        promised.is_some_and(|doubt| self.is_in_doubt(&doubt.proposal))
    }

    pub(super) fn tick_doubt(&mut self, now: Instant, out: &mut Vec<GroupEffect>) {
        let first_pause = self.timing.staggered(self.timing.doubt, self.place.rank);
        let is_asking = self.is_asking();
        let Some(doubt) = self.doubt.as_mut().filter(|_| is_asking) else {
            return;
        };
        if doubt.ask_at.is_none_or(|at| now < at) {
            return;
        }
        let query = GroupMessage::Query(doubt.proposal);
        let proposer = doubt.proposal.proposer;
        let is_first = doubt.ask_pause.is_zero();
        doubt.ask_pause = (doubt.ask_pause * 2).clamp(first_pause, first_pause * MAX_PAUSE_FACTOR);
        doubt.ask_at = Some(now + doubt.ask_pause);
        if is_first && proposer != self.place.rank {
            return send(proposer, query, out);
        }
        self.send_others(&query, out);
    }
}
