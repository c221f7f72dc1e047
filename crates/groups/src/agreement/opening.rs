//! Opening a generation: every rank holds its engine and reports, then all get one first map.

use std::collections::{BTreeMap, BTreeSet};

use amaranthgw_core::{FencingNumber, GroupGeneration, RankId, StartMark};
use tokio::time::Instant;

use super::member::send;
use super::{
    GroupEffect, GroupMessage, MapProposal, MemberPhase, OpeningTerms, PrepareRequest,
    ProposalKind, RankMember, RankReport, choose_opening,
};

/// A generation that this process opens.
#[derive(Clone, Debug)]
pub(super) struct GenerationOpening {
    generation: GroupGeneration,
    reports: BTreeMap<RankId, RankReport>,
    request: Option<PrepareRequest>,
    promised: BTreeSet<RankId>,
    next_send: Instant,
}

impl RankMember {
    fn start_opening(&mut self, now: Instant) {
        let known = self.joined.max(self.newest_heard);
        let generation = known.max(self.place.first_generation).next();
        self.join(generation, self.place.rank, self.place.start);
        self.opening = Some(GenerationOpening {
            generation,
            reports: BTreeMap::new(),
            request: None,
            promised: BTreeSet::new(),
            next_send: now,
        });
    }

    /// Leaves older generations: their proposals are no longer settled here.
    fn join(&mut self, generation: GroupGeneration, opener: RankId, start: StartMark) {
        self.joined = generation;
        self.phase = MemberPhase::Joined;
        self.opener = Some((opener, start));
        self.opening = None;
        self.has_refused_opening = false;
        self.is_report_due = true;
    }

    pub(super) fn on_open(
        &mut self,
        from: RankId,
        generation: GroupGeneration,
        start: StartMark,
        now: Instant,
        out: &mut Vec<GroupEffect>,
    ) {
        if self.engine.is_none() {
            return;
        }
        if generation < self.joined || (generation == self.joined && !self.is_with(from, start)) {
            return send(
                from,
                GroupMessage::Superseded {
                    generation: self.joined,
                },
                out,
            );
        }
        if generation > self.joined {
            self.join(generation, from, start);
        }
        self.is_report_due = true;
        self.quiet_until = now + self.timing.staggered(self.timing.opening, self.place.rank);
    }

    /// Whether the rank takes part in the joined generation as the opener's process opened it.
    fn is_with(&self, opener: RankId, start: StartMark) -> bool {
        self.phase != MemberPhase::Recovering && self.opener == Some((opener, start))
    }

    pub(super) fn on_superseded(&mut self, generation: GroupGeneration, now: Instant) {
        self.newest_heard = self.newest_heard.max(generation);
        let is_beaten = |opening: &GenerationOpening| opening.generation <= generation;
        if self.opening.as_ref().is_some_and(is_beaten) {
            self.opening = None;
            self.quiet_until = now + self.timing.staggered(self.timing.retry, self.place.rank);
        }
    }

    pub(super) fn on_report(
        &mut self,
        from: RankId,
        generation: GroupGeneration,
        start: StartMark,
        report: &RankReport,
        out: &mut Vec<GroupEffect>,
    ) {
        let place = self.place;
        let Some(opening) = self.opening.as_mut() else {
            return;
        };
        let is_own = opening.generation == generation && place.start == start;
        if !is_own || opening.request.is_some() {
            return;
        }
        opening.reports.insert(from, report.clone());
        if !place.is_all(opening.reports.len()) {
            return;
        }
        let reports: Vec<RankReport> = opening.reports.values().cloned().collect();
        let request = first_request(generation, place.rank, start, &reports);
        opening.request = Some(request);
        self.send_all(&GroupMessage::Prepare(request), out);
    }

    pub(super) fn is_opening_of(&self, proposal: &MapProposal) -> bool {
        let request = self.opening.as_ref().and_then(|opening| opening.request);
        request.is_some_and(|request| request.proposal == *proposal)
    }

    pub(super) fn count_opening_promise(
        &mut self,
        from: RankId,
        proposal: &MapProposal,
        out: &mut Vec<GroupEffect>,
    ) {
        if !self.is_opening_of(proposal) {
            return;
        }
        let place = self.place;
        let Some(opening) = self.opening.as_mut() else {
            return;
        };
        opening.promised.insert(from);
        if place.is_all(opening.promised.len()) {
            self.on_commit(proposal);
            self.send_others(&GroupMessage::Commit(*proposal), out);
        }
    }

    pub(super) fn tick_opening(&mut self, now: Instant, out: &mut Vec<GroupEffect>) {
        let is_asking = self.is_asking();
        let is_waiting = self.phase != MemberPhase::Active && !is_asking;
        let is_silent = self.opening.is_none() && now >= self.quiet_until;
        if is_waiting && is_silent && self.engine.is_some() {
            self.start_opening(now);
        }
        self.send_opening(now, out);
    }

    /// Repeats the request that is not yet answered by all; it also shows that the opener lives.
    fn send_opening(&mut self, now: Instant, out: &mut Vec<GroupEffect>) {
        let (place, retry) = (self.place, self.timing.retry.duration());
        let Some(opening) = self
            .opening
            .as_mut()
            .filter(|opening| now >= opening.next_send)
        else {
            return;
        };
        opening.next_send = now + retry;
        let open = GroupMessage::Open {
            generation: opening.generation,
            start: place.start,
        };
        for to in place.all().filter(|rank| !opening.promised.contains(rank)) {
            send(to, open.clone(), out);
            if let Some(request) = opening.request {
                send(to, GroupMessage::Prepare(request), out);
            }
        }
    }
}

fn first_request(
    generation: GroupGeneration,
    proposer: RankId,
    start: StartMark,
    reports: &[RankReport],
) -> PrepareRequest {
    let choice = choose_opening(reports);
    let proposal = MapProposal {
        generation,
        version: choice.version,
        step: choice.step,
        proposer,
        kind: ProposalKind::Opening,
    };
    let terms = OpeningTerms {
        start,
        floor: choice.floor,
        settle: choice.settle,
    };
    PrepareRequest {
        proposal,
        fencing: FencingNumber::default(),
        terms: Some(terms),
    }
}
