//! Opening of a generation: every rank holds its engine and reports its state, then all ranks agree
//! on the first map.

use std::collections::{BTreeMap, BTreeSet};

use amaranthgw_core::{FencingNumber, GroupGeneration, RankId, StartMark};
use tokio::time::Instant;

use super::member::send;
use super::{
    GroupEffect, GroupMessage, MapProposal, MemberPhase, OpeningTerms, PrepareRequest,
    ProposalKind, RankMember, RankReport, choose_opening,
};

/// Generation that this process is opening.
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
        let known = self.joined.max(self.newest_seen);
        let generation = known.max(self.identity.generation_floor).next();
        self.join(generation, self.identity.rank, self.identity.start);
        self.opening = Some(GenerationOpening {
            generation,
            reports: BTreeMap::new(),
            request: None,
            promised: BTreeSet::new(),
            next_send: now,
        });
    }

    /// Joins a generation; from now on this rank makes no new promise or refusal for proposals of
    /// older ones.
    fn join(&mut self, generation: GroupGeneration, opener: RankId, start: StartMark) {
        self.joined = generation;
        self.phase = MemberPhase::Joined;
        self.opener = Some((opener, start));
        self.opening = None;
        self.has_refused_opening = false;
        self.is_report_pending = true;
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
        if generation < self.joined
            || (generation == self.joined && !self.has_joined_with(from, start))
        {
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
        self.is_report_pending = true;
        self.open_at = now
            + self
                .timing
                .staggered(self.timing.opener_timeout, self.identity.rank);
    }

    /// Whether the rank joined its generation on request of this opener process.
    fn has_joined_with(&self, opener: RankId, start: StartMark) -> bool {
        self.phase != MemberPhase::Recovering && self.opener == Some((opener, start))
    }

    pub(super) fn on_superseded(&mut self, generation: GroupGeneration, now: Instant) {
        self.newest_seen = self.newest_seen.max(generation);
        let is_superseded = |opening: &GenerationOpening| opening.generation <= generation;
        if self.opening.as_ref().is_some_and(is_superseded) {
            self.opening = None;
            self.open_at = now
                + self
                    .timing
                    .staggered(self.timing.retry_interval, self.identity.rank);
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
        let identity = self.identity;
        let Some(opening) = self.opening.as_mut() else {
            return;
        };
        let is_own = opening.generation == generation && identity.start == start;
        if !is_own || opening.request.is_some() {
            return;
        }
        opening.reports.insert(from, report.clone());
        if !identity.is_all_ranks(opening.reports.len()) {
            return;
        }
        let reports: Vec<RankReport> = opening.reports.values().cloned().collect();
        let request = opening_request(generation, identity.rank, start, &reports);
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
        let identity = self.identity;
        let Some(opening) = self.opening.as_mut() else {
            return;
        };
        opening.promised.insert(from);
        if identity.is_all_ranks(opening.promised.len()) {
            self.on_commit(proposal);
            self.send_others(&GroupMessage::Commit(*proposal), out);
        }
    }

    pub(super) fn tick_opening(&mut self, now: Instant, out: &mut Vec<GroupEffect>) {
        let is_querying = self.is_querying();
        let is_waiting = self.phase != MemberPhase::Active && !is_querying;
        let has_opener_timed_out = self.opening.is_none() && now >= self.open_at;
        if is_waiting && has_opener_timed_out && self.engine.is_some() {
            self.start_opening(now);
        }
        self.send_opening(now, out);
    }

    /// Resends the opening requests to ranks that have not promised. They also serve as heartbeats:
    /// while they arrive, no other rank opens a generation.
    fn send_opening(&mut self, now: Instant, out: &mut Vec<GroupEffect>) {
        let (identity, retry) = (self.identity, self.timing.retry_interval.duration());
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
            start: identity.start,
        };
        for to in identity
            .all_ranks()
            .filter(|rank| !opening.promised.contains(rank))
        {
            send(to, open.clone(), out);
            if let Some(request) = opening.request {
                send(to, GroupMessage::Prepare(request), out);
            }
        }
    }
}

fn opening_request(
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
