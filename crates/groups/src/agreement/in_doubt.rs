//! Acceptance, promise and outcome of proposals at one rank.

use amaranthgw_core::{GroupGeneration, MapVersion, RankId};
use tokio::time::Instant;

use super::member::{InDoubtRow, send};
use super::{
    EngineView, GroupEffect, GroupMessage, MapProposal, MemberPhase, PrepareRequest, RankMember,
};

/// Upper bound of the doubling interval between outcome queries, as a multiple of the first
/// interval.
const MAX_QUERY_BACKOFF: u32 = 8;

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

    /// The response to a query or a repeated `Prepare`, if the state of this rank determines it.
    fn known_answer(&self, proposal: &MapProposal) -> Option<GroupMessage> {
        if self.committed == Some(*proposal) {
            return Some(GroupMessage::Commit(*proposal));
        }
        if self.phase == MemberPhase::Recovering {
            return Some(GroupMessage::Unknown(*proposal));
        }
        let doubt = self
            .in_doubt
            .as_ref()
            .filter(|doubt| doubt.proposal == *proposal)?;
        doubt
            .has_promised
            .then_some(GroupMessage::Promise(*proposal))
    }

    fn can_accept(&self, from: RankId, request: &PrepareRequest) -> bool {
        match request.terms {
            Some(terms) => {
                let has_current_doubt = self
                    .in_doubt
                    .as_ref()
                    .is_some_and(|doubt| doubt.proposal.generation == self.joined);
                let is_waiting = self.phase == MemberPhase::Joined && !has_current_doubt;
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

    /// Whether the rank is active with no proposal in doubt, the committed map is in force at the
    /// engine, and no older switch order can still take effect.
    fn is_settled(&self, view: &EngineView) -> bool {
        let has_begun = self
            .committed
            .is_some_and(|committed| view.has_begun(&committed));
        let is_idle = self.phase == MemberPhase::Active && self.in_doubt.is_none();
        is_idle && has_begun && view.step > self.settle
    }

    fn accept(&mut self, request: &PrepareRequest) {
        let displaced = self.in_doubt.take().map(|doubt| doubt.proposal);
        let mut doubt = InDoubtRow::new(request.proposal);
        if let Some(terms) = request.terms {
            doubt = doubt.with_opening(terms, displaced);
        }
        self.floor = self.floor.max(request.proposal.version);
        self.fencing = self.fencing.max(request.fencing);
        self.in_doubt = Some(doubt);
    }

    /// Refuses a proposal. Unless the rank is recovering, it remembers the refusal of a proposal of
    /// its generation, so that it never accepts the proposal later.
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
        let Some(doubt) = self.in_doubt.as_mut().filter(|doubt| doubt.has_promised) else {
            return;
        };
        doubt.promised_ranks.insert(from);
        doubt.promised_ranks.insert(self.identity.rank);
        if self.identity.is_all_ranks(doubt.promised_ranks.len()) {
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
        let terms = self.in_doubt.take().and_then(|doubt| doubt.terms);
        if let Some(terms) = terms {
            self.floor = self.floor.max(terms.floor);
            self.settle = self.settle.max(terms.settle);
            self.opening = None;
        }
        self.settle = self.settle.max(proposal.step);
        self.committed = Some(*proposal);
        self.phase = MemberPhase::Active;
        self.has_committed = true;
    }

    pub(super) fn on_abort(&mut self, proposal: &MapProposal, now: Instant) {
        if self.committed == Some(*proposal) {
            return;
        }
        let is_own_opening = self.is_opening_of(proposal);
        let was_in_doubt = self.is_in_doubt(proposal);
        self.remember_refusal(proposal);
        if was_in_doubt {
            let displaced = self.in_doubt.take().and_then(|doubt| doubt.displaced);
            self.in_doubt = displaced.map(InDoubtRow::new);
        }
        if is_own_opening {
            self.opening = None;
        }
        if proposal.is_opening() && (was_in_doubt || is_own_opening) {
            self.open_at = now
                + self
                    .timing
                    .staggered(self.timing.retry_interval, self.identity.rank);
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
            self.defer_queries_to(from, now);
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
            .is_some_and(|map| map.sort_key() >= proposal.sort_key());
        if !is_old && !self.is_in_doubt(proposal) {
            self.refuse(from, proposal, out);
        }
    }

    /// Postpones this rank's query when a lower rank queries, because that rank sends the outcome
    /// that it finds to all ranks.
    fn defer_queries_to(&mut self, from: RankId, now: Instant) {
        let delay = self
            .timing
            .staggered(self.timing.query_delay, self.identity.rank);
        let Some(doubt) = self.in_doubt.as_mut() else {
            return;
        };
        if from < self.identity.rank {
            doubt.query_at = doubt.query_at.map(|at| at.max(now + delay));
        }
    }

    /// Whether this rank has promised a proposal of its generation and needs to query the outcome.
    pub(super) fn is_querying(&self) -> bool {
        let promised = self.in_doubt.as_ref().filter(|doubt| doubt.has_promised);
        promised.is_some_and(|doubt| self.is_in_doubt(&doubt.proposal))
    }

    pub(super) fn tick_in_doubt(&mut self, now: Instant, out: &mut Vec<GroupEffect>) {
        let first_interval = self
            .timing
            .staggered(self.timing.query_delay, self.identity.rank);
        let is_querying = self.is_querying();
        let Some(doubt) = self.in_doubt.as_mut().filter(|_| is_querying) else {
            return;
        };
        if doubt.query_at.is_none_or(|at| now < at) {
            return;
        }
        let query = GroupMessage::Query(doubt.proposal);
        let proposer = doubt.proposal.proposer;
        let is_first = doubt.query_interval.is_zero();
        doubt.query_interval =
            (doubt.query_interval * 2).clamp(first_interval, first_interval * MAX_QUERY_BACKOFF);
        doubt.query_at = Some(now + doubt.query_interval);
        if is_first && proposer != self.identity.rank {
            return send(proposer, query, out);
        }
        self.send_others(&query, out);
    }
}
