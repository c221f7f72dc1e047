//! The coordinator of a group: proposes new maps while it holds the group's lease.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use amaranthgw_core::{GroupGeneration, MapVersion, RankId, StepNumber, StoreRevision};
use tokio::time::Instant;

use super::{
    GroupEffect, GroupMessage, GroupPlace, GroupTiming, LeaseGuard, MapProposal, MapRecord,
    MemberPhase, MemberStanding, PrepareRequest, ProposalKind,
};
use crate::placement::ExpertMap;

/// Stage of the coordinator's present proposal.
#[derive(Clone, Debug)]
pub(super) enum CoordinatorStage {
    /// Reads the record; `written` may have taken effect without an answer.
    Reading { written: Option<MapRecord> },
    /// Has nothing under way.
    Idle,
    /// Gives the version its content.
    Writing {
        expected: StoreRevision,
        record: MapRecord,
    },
    /// Waits until every rank has loaded the version.
    Loading {
        generation: GroupGeneration,
        version: MapVersion,
        loaded: BTreeMap<RankId, StepNumber>,
    },
    /// Collects promises.
    Preparing {
        request: PrepareRequest,
        promised: BTreeSet<RankId>,
        give_up_at: Instant,
    },
}

/// The duty of proposing maps for one group, held under a lease.
///
/// Every message that could begin something new is sent only while the lease is held by the local
/// clock. An outcome that follows from the promises is a fact and needs no lease.
#[derive(Clone, Debug)]
pub struct MapCoordinator {
    pub(super) place: GroupPlace,
    pub(super) timing: GroupTiming,
    pub(super) lease: LeaseGuard,
    pub(super) stage: CoordinatorStage,
    pub(super) known: Option<(StoreRevision, MapRecord)>,
    pub(super) wanted: Option<Arc<ExpertMap>>,
    pub(super) standing: Option<MemberStanding>,
    pub(super) next_send: Instant,
}

impl MapCoordinator {
    /// Creates the coordinator of the process at `place` under a lease.
    #[must_use]
    pub fn new(place: GroupPlace, timing: GroupTiming, lease: LeaseGuard, now: Instant) -> Self {
        Self {
            place,
            timing,
            lease,
            stage: CoordinatorStage::Reading { written: None },
            known: None,
            wanted: None,
            standing: None,
            next_send: now,
        }
    }

    /// Asks for a map; a map asked for earlier and not yet in force is dropped.
    pub fn want(&mut self, map: Arc<ExpertMap>) {
        self.wanted = Some(map);
    }

    /// Whether every map asked for is in force.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.wanted.is_none() && matches!(self.stage, CoordinatorStage::Idle)
    }

    /// The lease, to renew it.
    pub fn lease_mut(&mut self) -> &mut LeaseGuard {
        &mut self.lease
    }

    /// Acts on the passing of time, with the standing of the own rank.
    pub fn tick(&mut self, standing: MemberStanding, now: Instant) -> Vec<GroupEffect> {
        self.standing = Some(standing);
        if !self.lease.is_held(now) {
            return Vec::new();
        }
        self.leave_old_generation(standing);
        self.give_up(now);
        if now < self.next_send {
            return Vec::new();
        }
        self.next_send = now + self.timing.retry.duration();
        self.send_stage(standing)
    }

    /// Takes a message of a rank.
    pub fn handle(
        &mut self,
        from: RankId,
        message: &GroupMessage,
        now: Instant,
    ) -> Vec<GroupEffect> {
        match message {
            GroupMessage::Loaded {
                generation,
                version,
                step,
            } => self.on_loaded(from, *generation, *version, *step, now),
            GroupMessage::Promise(proposal) => self.on_promise(from, proposal),
            GroupMessage::Commit(proposal) => self.on_commit(proposal),
            GroupMessage::Refuse(proposal) => self.on_refuse(proposal, now),
            _ => Vec::new(),
        }
    }

    fn leave_old_generation(&mut self, standing: MemberStanding) {
        let generation = match &self.stage {
            CoordinatorStage::Loading { generation, .. } => *generation,
            CoordinatorStage::Preparing { request, .. } => request.proposal.generation,
            _ => return,
        };
        if generation != standing.generation {
            self.stage = CoordinatorStage::Idle;
        }
    }

    fn give_up(&mut self, now: Instant) {
        if let CoordinatorStage::Preparing { give_up_at, .. } = &self.stage
            && now >= *give_up_at
        {
            self.stage = CoordinatorStage::Idle;
        }
    }

    fn send_stage(&mut self, standing: MemberStanding) -> Vec<GroupEffect> {
        if matches!(self.stage, CoordinatorStage::Idle) && standing.phase == MemberPhase::Active {
            self.start_write(standing);
        }
        match &self.stage {
            CoordinatorStage::Idle => Vec::new(),
            CoordinatorStage::Reading { .. } => vec![GroupEffect::ReadStore],
            CoordinatorStage::Writing { expected, record } => {
                vec![GroupEffect::WriteStore {
                    expected: *expected,
                    record: record.clone(),
                }]
            }
            CoordinatorStage::Loading {
                generation,
                version,
                loaded,
            } => {
                let message = GroupMessage::Propose {
                    generation: *generation,
                    version: *version,
                };
                self.send_where(&message, |rank| !loaded.contains_key(&rank))
            }
            CoordinatorStage::Preparing {
                request, promised, ..
            } => self.send_where(&GroupMessage::Prepare(*request), |rank| {
                !promised.contains(&rank)
            }),
        }
    }

    fn send_where(
        &self,
        message: &GroupMessage,
        is_addressed: impl Fn(RankId) -> bool,
    ) -> Vec<GroupEffect> {
        let ranks = self.place.all().filter(|rank| is_addressed(*rank));
        ranks
            .map(|to| GroupEffect::Send {
                to,
                message: message.clone(),
            })
            .collect()
    }

    fn on_loaded(
        &mut self,
        from: RankId,
        from_generation: GroupGeneration,
        from_version: MapVersion,
        step: StepNumber,
        now: Instant,
    ) -> Vec<GroupEffect> {
        let CoordinatorStage::Loading {
            generation,
            version,
            loaded,
        } = &mut self.stage
        else {
            return Vec::new();
        };
        if *generation != from_generation || *version != from_version {
            return Vec::new();
        }
        loaded.insert(from, step);
        if !self.place.is_all(loaded.len()) || !self.lease.is_held(now) {
            return Vec::new();
        }
        let newest = loaded.values().max().copied().unwrap_or_default();
        let proposal = MapProposal {
            generation: *generation,
            version: *version,
            step: StepNumber::new(newest.get().saturating_add(self.timing.lead_steps)),
            proposer: self.place.rank,
            kind: ProposalKind::Change,
        };
        self.start_prepare(proposal, now)
    }

    fn start_prepare(&mut self, proposal: MapProposal, now: Instant) -> Vec<GroupEffect> {
        let fencing = self.lease.fencing();
        let request = PrepareRequest {
            proposal,
            fencing,
            terms: None,
        };
        let give_up_at = now + self.timing.prepare.duration();
        self.stage = CoordinatorStage::Preparing {
            request,
            promised: BTreeSet::new(),
            give_up_at,
        };
        self.next_send = now + self.timing.retry.duration();
        self.send_where(&GroupMessage::Prepare(request), |_| true)
    }

    fn on_promise(&mut self, from: RankId, proposal: &MapProposal) -> Vec<GroupEffect> {
        let place = self.place;
        let CoordinatorStage::Preparing {
            request, promised, ..
        } = &mut self.stage
        else {
            return Vec::new();
        };
        if request.proposal != *proposal {
            return Vec::new();
        }
        promised.insert(from);
        if !place.is_all(promised.len()) {
            return Vec::new();
        }
        self.on_commit(proposal)
    }

    /// Every rank promised: tells all, also when the lease has lapsed meanwhile.
    fn on_commit(&mut self, proposal: &MapProposal) -> Vec<GroupEffect> {
        if !self.is_preparing(proposal) {
            return Vec::new();
        }
        self.stage = CoordinatorStage::Idle;
        let in_force = self.known.as_ref().map(|(_, record)| &record.map);
        let is_wanted = |wanted: &mut Arc<ExpertMap>| in_force == Some(wanted);
        self.wanted.take_if(is_wanted);
        self.send_where(&GroupMessage::Commit(*proposal), |_| true)
    }

    fn on_refuse(&mut self, proposal: &MapProposal, now: Instant) -> Vec<GroupEffect> {
        if !self.is_preparing(proposal) {
            return Vec::new();
        }
        self.stage = CoordinatorStage::Idle;
        self.next_send = now + self.timing.prepare.duration();
        self.send_where(&GroupMessage::Abort(*proposal), |_| true)
    }

    fn is_preparing(&self, proposal: &MapProposal) -> bool {
        match &self.stage {
            CoordinatorStage::Preparing { request, .. } => request.proposal == *proposal,
            _ => false,
        }
    }
}
