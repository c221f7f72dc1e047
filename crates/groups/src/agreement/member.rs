//! State of one rank of a group and the handling of its inputs.

use std::time::Duration;

use amaranthgw_core::{FencingNumber, GroupGeneration, MapVersion, RankId, StartMark, StepNumber};
use tokio::time::Instant;

use super::opening::GenerationOpening;
use super::{
    EngineView, GroupEffect, GroupMessage, GroupTiming, MapOrder, MapProposal, OpeningTerms,
    RankReport,
};

/// Identity of a process within its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberIdentity {
    /// Rank of this process.
    pub rank: RankId,
    /// Number of ranks of the group.
    pub ranks: u16,
    /// Random mark of this process, drawn at its start.
    pub start: StartMark,
    /// Lower bound of the generations that this process opens: its start as Unix time in
    /// milliseconds, so that generations keep increasing even after all ranks are replaced.
    pub generation_floor: GroupGeneration,
}

impl MemberIdentity {
    /// All ranks of the group, including the local one.
    pub fn all_ranks(&self) -> impl Iterator<Item = RankId> + use<> {
        (0..self.ranks).map(RankId::new)
    }

    /// Whether `count` is the number of ranks of the group.
    #[must_use]
    pub fn is_all_ranks(&self, count: usize) -> bool {
        count == usize::from(self.ranks)
    }
}

/// Phase of a rank's participation in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberPhase {
    /// Does not participate: this process or its engine restarted and lost its promises, or the
    /// engine missed the step of the committed map.
    Recovering,
    /// Holds the engine until the generation has its first map.
    Joined,
    /// Uses a committed map of the generation.
    Active,
}

/// Status of a member, for other rows of the same process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// Phase of the member.
    pub phase: MemberPhase,
    /// Generation that it joined last.
    pub generation: GroupGeneration,
    /// Version that it committed last; 0 if none.
    pub version: MapVersion,
    /// Highest version that it accepted or refused, or that an opening carried over from any rank.
    pub floor: MapVersion,
}

/// Proposal that the rank accepted and whose outcome it does not know.
#[derive(Clone, Debug)]
pub(super) struct InDoubtRow {
    pub(super) proposal: MapProposal,
    pub(super) terms: Option<OpeningTerms>,
    /// Change in doubt that this opening replaced; restored if the opening is aborted.
    pub(super) displaced: Option<MapProposal>,
    /// Whether this rank has promised the proposal.
    pub(super) has_promised: bool,
    /// Ranks that are known to have promised it.
    pub(super) promised_ranks: std::collections::BTreeSet<RankId>,
    pub(super) query_at: Option<Instant>,
    pub(super) query_interval: Duration,
}

impl InDoubtRow {
    pub(super) fn new(proposal: MapProposal) -> Self {
        Self {
            proposal,
            terms: None,
            displaced: None,
            has_promised: false,
            promised_ranks: std::collections::BTreeSet::new(),
            query_at: None,
            query_interval: Duration::ZERO,
        }
    }

    pub(super) fn with_opening(self, terms: OpeningTerms, displaced: Option<MapProposal>) -> Self {
        Self {
            terms: Some(terms),
            displaced,
            ..self
        }
    }
}

/// State of one rank of a group, owned by the rank's sidecar.
#[derive(Clone, Debug)]
pub struct RankMember {
    pub(super) identity: MemberIdentity,
    pub(super) timing: GroupTiming,
    pub(super) phase: MemberPhase,
    pub(super) joined: GroupGeneration,
    pub(super) newest_seen: GroupGeneration,
    pub(super) opener: Option<(RankId, StartMark)>,
    pub(super) has_refused_opening: bool,
    pub(super) is_report_pending: bool,
    /// Whether this process has committed a proposal, so that its report takes no proposal from the
    /// engine view. Equals `committed.is_some()`.
    pub(super) has_committed: bool,
    pub(super) committed: Option<MapProposal>,
    pub(super) in_doubt: Option<InDoubtRow>,
    pub(super) floor: MapVersion,
    pub(super) settle: StepNumber,
    pub(super) fencing: FencingNumber,
    pub(super) engine: Option<EngineView>,
    pub(super) opening: Option<GenerationOpening>,
    /// Time from which the rank opens a generation itself if it is neither active nor querying an
    /// outcome; each `Open` message that it follows postpones it.
    pub(super) open_at: Instant,
    pub(super) last_order: Option<(MapOrder, Instant)>,
    next_read: Instant,
}

impl RankMember {
    /// Creates the row of a process that has just started and has no state.
    #[must_use]
    pub fn new(identity: MemberIdentity, timing: GroupTiming, now: Instant) -> Self {
        Self {
            identity,
            timing,
            phase: MemberPhase::Recovering,
            joined: GroupGeneration::default(),
            newest_seen: GroupGeneration::default(),
            opener: None,
            has_refused_opening: false,
            is_report_pending: false,
            has_committed: false,
            committed: None,
            in_doubt: None,
            floor: MapVersion::default(),
            settle: StepNumber::default(),
            fencing: FencingNumber::default(),
            engine: None,
            opening: None,
            open_at: now,
            last_order: None,
            next_read: now,
        }
    }

    /// Status for other rows of this process.
    #[must_use]
    pub fn status(&self) -> MemberStatus {
        MemberStatus {
            phase: self.phase,
            generation: self.joined,
            version: self
                .committed
                .map_or(MapVersion::default(), |map| map.version),
            floor: self.floor,
        }
    }

    /// The proposal that this rank committed last.
    #[must_use]
    pub fn committed(&self) -> Option<MapProposal> {
        self.committed
    }

    /// Handles a message from any rank, including the local one.
    pub fn handle(
        &mut self,
        from: RankId,
        message: &GroupMessage,
        now: Instant,
    ) -> Vec<GroupEffect> {
        let mut effects = Vec::new();
        let out = &mut effects;
        match message {
            GroupMessage::Propose {
                generation,
                version,
            } => {
                self.on_propose(from, *generation, *version, out);
            }
            GroupMessage::Prepare(request) => self.on_prepare(from, request, out),
            GroupMessage::Promise(proposal) => self.on_promise(from, proposal, out),
            GroupMessage::Refuse(proposal) => self.on_refuse(proposal, now, out),
            GroupMessage::Commit(proposal) => self.on_commit(proposal),
            GroupMessage::Abort(proposal) => self.on_abort(proposal, now),
            GroupMessage::Query(proposal) => self.on_query(from, proposal, now, out),
            GroupMessage::Open { generation, start } => {
                self.on_open(from, *generation, *start, now, out);
            }
            GroupMessage::Report {
                generation,
                start,
                report,
            } => {
                self.on_report(from, *generation, *start, report, out);
            }
            GroupMessage::Superseded { generation } => self.on_superseded(*generation, now),
            GroupMessage::Loaded { .. } | GroupMessage::Unknown(_) => {}
        }
        self.reconcile(now, out);
        effects
    }

    /// Handles a view of the local engine. Views must arrive in the order in which they were read.
    pub fn observe(&mut self, view: EngineView, now: Instant) -> Vec<GroupEffect> {
        let mut effects = Vec::new();
        let is_same_engine = self
            .engine
            .as_ref()
            .is_some_and(|known| known.start == view.start);
        if !is_same_engine || view.generation > self.joined {
            self.on_engine_change(&view, now);
        }
        self.engine = Some(view);
        self.reconcile(now, &mut effects);
        effects
    }

    /// Sends whatever is pending at `now`, and requests a new engine view at each retry interval.
    pub fn tick(&mut self, now: Instant) -> Vec<GroupEffect> {
        let mut effects = Vec::new();
        self.read_engine(now, &mut effects);
        self.tick_opening(now, &mut effects);
        self.tick_in_doubt(now, &mut effects);
        self.reconcile(now, &mut effects);
        effects
    }

    fn read_engine(&mut self, now: Instant, out: &mut Vec<GroupEffect>) {
        if now >= self.next_read {
            self.next_read = now + self.timing.retry_interval.duration();
            out.push(GroupEffect::ReadEngine);
        }
    }

    /// Leaves the generation: the engine is a new process, or an order of an earlier sidecar
    /// process has brought it to a newer generation.
    fn on_engine_change(&mut self, view: &EngineView, now: Instant) {
        self.joined = self.joined.max(view.generation);
        self.start_recovering(now);
    }

    /// Stops participating until a new generation opens.
    pub(super) fn start_recovering(&mut self, now: Instant) {
        self.phase = MemberPhase::Recovering;
        self.opening = None;
        self.open_at = now
            + self
                .timing
                .staggered(self.timing.retry_interval, self.identity.rank);
    }

    /// State of this rank. Until the process has committed a proposal, what it does not know
    /// itself is taken from the engine view.
    pub(super) fn report(&self, view: &EngineView) -> RankReport {
        let mut committed = self.committed;
        let mut in_doubt = self.in_doubt.as_ref().map(|doubt| doubt.proposal);
        if !self.has_committed {
            committed = committed.or(view.newest_switch());
            in_doubt = in_doubt.or(view.newest_held());
        }
        let is_open = |proposal: &MapProposal| {
            committed.is_none_or(|committed| proposal.sort_key() > committed.sort_key())
        };
        RankReport {
            committed,
            in_doubt: in_doubt.filter(is_open),
            floor: self.floor,
            settle: self.settle,
            step: view.step,
        }
    }

    pub(super) fn send_all(&self, message: &GroupMessage, out: &mut Vec<GroupEffect>) {
        for to in self.identity.all_ranks() {
            out.push(GroupEffect::Send {
                to,
                message: message.clone(),
            });
        }
    }

    pub(super) fn send_others(&self, message: &GroupMessage, out: &mut Vec<GroupEffect>) {
        for to in self
            .identity
            .all_ranks()
            .filter(|rank| *rank != self.identity.rank)
        {
            out.push(GroupEffect::Send {
                to,
                message: message.clone(),
            });
        }
    }

    /// Whether this rank has accepted `proposal` in its generation and lacks the outcome.
    pub(super) fn is_in_doubt(&self, proposal: &MapProposal) -> bool {
        let is_accepted = self
            .in_doubt
            .as_ref()
            .is_some_and(|doubt| doubt.proposal == *proposal);
        let is_current = proposal.generation == self.joined;
        is_accepted && is_current && self.phase != MemberPhase::Recovering
    }
}

pub(super) fn send(to: RankId, message: GroupMessage, out: &mut Vec<GroupEffect>) {
    out.push(GroupEffect::Send { to, message });
}
