//! The row of one rank: its place, what it promised, and its inputs.

use std::time::Duration;

use amaranthgw_core::{FencingNumber, GroupGeneration, MapVersion, RankId, StartMark, StepNumber};
use tokio::time::Instant;

use super::opening::GenerationOpening;
use super::{
    EngineView, GroupEffect, GroupMessage, GroupTiming, MapOrder, MapProposal, OpeningTerms,
    RankReport,
};

/// Place of a process in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupPlace {
    /// The own rank.
    pub rank: RankId,
    /// Number of ranks of the group.
    pub ranks: u16,
    /// Mark of this process, drawn at random at its start.
    pub start: StartMark,
    /// Unix time of the start of this process in milliseconds: the generations it opens are
    /// larger, so they keep rising when every rank has been replaced.
    pub first_generation: GroupGeneration,
}

impl GroupPlace {
    /// All ranks of the group, the own one included.
    pub fn all(&self) -> impl Iterator<Item = RankId> + use<> {
        (0..self.ranks).map(RankId::new)
    }

    /// Whether `count` ranks are all of them.
    #[must_use]
    pub fn is_all(&self, count: usize) -> bool {
        count == usize::from(self.ranks)
    }
}

/// How far a rank takes part in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberPhase {
    /// Takes no part: this process or its engine started and forgot its promises.
    Recovering,
    /// Holds its engine and waits for the first map of the generation.
    Joined,
    /// Uses a committed map of the generation.
    Active,
}

/// What other rows of the same process need to know of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberStanding {
    /// Phase of the member.
    pub phase: MemberPhase,
    /// Generation it joined last.
    pub generation: GroupGeneration,
    /// Version it committed last.
    pub version: MapVersion,
    /// Highest version it accepted or refused.
    pub floor: MapVersion,
}

/// A proposal that the rank accepted without knowing its outcome.
#[derive(Clone, Debug)]
pub(super) struct DoubtRow {
    pub(super) proposal: MapProposal,
    pub(super) terms: Option<OpeningTerms>,
    /// Change in doubt that an opening displaced; back in force if the opening is aborted.
    pub(super) displaced: Option<MapProposal>,
    pub(super) is_promised: bool,
    pub(super) promised: std::collections::BTreeSet<RankId>,
    pub(super) ask_at: Option<Instant>,
    pub(super) ask_pause: Duration,
}

impl DoubtRow {
    pub(super) fn new(proposal: MapProposal) -> Self {
        Self {
            proposal,
            terms: None,
            displaced: None,
            is_promised: false,
            promised: std::collections::BTreeSet::new(),
            ask_at: None,
            ask_pause: Duration::ZERO,
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
    pub(super) place: GroupPlace,
    pub(super) timing: GroupTiming,
    pub(super) phase: MemberPhase,
    pub(super) joined: GroupGeneration,
    pub(super) newest_heard: GroupGeneration,
    pub(super) opener: Option<(RankId, StartMark)>,
    pub(super) has_refused_opening: bool,
    pub(super) is_report_due: bool,
    pub(super) remembers: bool,
    pub(super) committed: Option<MapProposal>,
    pub(super) doubt: Option<DoubtRow>,
    pub(super) floor: MapVersion,
    pub(super) settle: StepNumber,
    pub(super) fencing: FencingNumber,
    pub(super) engine: Option<EngineView>,
    pub(super) opening: Option<GenerationOpening>,
    /// Time at which the rank opens a generation itself unless it hears of one.
    pub(super) quiet_until: Instant,
    pub(super) last_order: Option<(MapOrder, Instant)>,
    next_read: Instant,
}

impl RankMember {
    /// Creates the row of a process that has just started and remembers nothing.
    #[must_use]
    pub fn new(place: GroupPlace, timing: GroupTiming, now: Instant) -> Self {
        Self {
            place,
            timing,
            phase: MemberPhase::Recovering,
            joined: GroupGeneration::default(),
            newest_heard: GroupGeneration::default(),
            opener: None,
            has_refused_opening: false,
            is_report_due: false,
            remembers: false,
            committed: None,
            doubt: None,
            floor: MapVersion::default(),
            settle: StepNumber::default(),
            fencing: FencingNumber::default(),
            engine: None,
            opening: None,
            quiet_until: now,
            last_order: None,
            next_read: now,
        }
    }

    /// What other rows of this process need to know.
    #[must_use]
    pub fn standing(&self) -> MemberStanding {
        MemberStanding {
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

    /// Takes a message of another rank, or of the own rank, to itself.
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
        self.drive(now, out);
        effects
    }

    /// Takes a view of the own engine; views of one engine come in the order they were read.
    pub fn observe(&mut self, view: EngineView, now: Instant) -> Vec<GroupEffect> {
        let mut effects = Vec::new();
        let is_same_engine = self
            .engine
            .as_ref()
            .is_some_and(|known| known.start == view.start);
        if !is_same_engine || view.generation > self.joined {
            self.meet_engine(&view, now);
        }
        self.engine = Some(view);
        self.drive(now, &mut effects);
        effects
    }

    /// Acts on the passing of time; also asks for a new view of the engine.
    pub fn tick(&mut self, now: Instant) -> Vec<GroupEffect> {
        let mut effects = Vec::new();
        self.read_engine(now, &mut effects);
        self.tick_opening(now, &mut effects);
        self.tick_doubt(now, &mut effects);
        self.drive(now, &mut effects);
        effects
    }

    fn read_engine(&mut self, now: Instant, out: &mut Vec<GroupEffect>) {
        if now >= self.next_read {
            self.next_read = now + self.timing.retry.duration();
            out.push(GroupEffect::ReadEngine);
        }
    }

    /// Leaves the generation: the engine is another process, or an order of an earlier sidecar
    /// process has taken it to a newer generation.
    fn meet_engine(&mut self, view: &EngineView, now: Instant) {
        self.joined = self.joined.max(view.generation);
        self.start_recovering(now);
    }

    /// Takes no part any more until a new generation opens.
    pub(super) fn start_recovering(&mut self, now: Instant) {
        self.phase = MemberPhase::Recovering;
        self.opening = None;
        self.quiet_until = now + self.timing.staggered(self.timing.retry, self.place.rank);
    }

    /// What this rank knows, from its memory or, after a restart, from its engine.
    pub(super) fn report(&self, view: &EngineView) -> RankReport {
        let mut committed = self.committed;
        let mut in_doubt = self.doubt.as_ref().map(|doubt| doubt.proposal);
        if !self.remembers {
            committed = committed.or(view.newest_switch());
            in_doubt = in_doubt.or(view.newest_held());
        }
        let is_open = |proposal: &MapProposal| {
            committed.is_none_or(|committed| proposal.order() > committed.order())
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
        for to in self.place.all() {
            out.push(GroupEffect::Send {
                to,
                message: message.clone(),
            });
        }
    }

    pub(super) fn send_others(&self, message: &GroupMessage, out: &mut Vec<GroupEffect>) {
        for to in self.place.all().filter(|rank| *rank != self.place.rank) {
            out.push(GroupEffect::Send {
                to,
                message: message.clone(),
            });
        }
    }

    /// Whether the outcome of `proposal` still matters to this rank.
    pub(super) fn is_in_doubt(&self, proposal: &MapProposal) -> bool {
        let is_accepted = self
            .doubt
            .as_ref()
            .is_some_and(|doubt| doubt.proposal == *proposal);
        let is_current = proposal.generation == self.joined;
        is_accepted && is_current && self.phase != MemberPhase::Recovering
    }
}

pub(super) fn send(to: RankId, message: GroupMessage, out: &mut Vec<GroupEffect>) {
    out.push(GroupEffect::Send { to, message });
}
