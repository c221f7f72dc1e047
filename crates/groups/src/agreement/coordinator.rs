//! Coordinator of a group, which proposes new maps while it holds the group's lease.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use amaranthgw_core::{GroupGeneration, MapVersion, RankId, StepNumber, StoreRevision};
use tokio::time::Instant;

use super::{
    GroupEffect, GroupMessage, GroupTiming, LeaseGuard, MapProposal, MapRecord, MemberIdentity,
    MemberPhase, MemberStatus, PrepareRequest, ProposalKind,
};
use crate::placement::ExpertMap;

/// Stage of the coordinator's current proposal.
#[derive(Clone, Debug)]
pub(super) enum CoordinatorStage {
    /// Reading the map record. `written` is the record of a write whose outcome is unknown.
    Reading { written: Option<MapRecord> },
    /// No proposal in progress.
    Idle,
    /// Writing the map record, which binds the version to its content.
    Writing {
        expected: StoreRevision,
        record: MapRecord,
    },
    /// Waiting for every rank to load the version.
    Loading {
        generation: GroupGeneration,
        version: MapVersion,
        loaded: BTreeMap<RankId, StepNumber>,
    },
    /// Collecting promises.
    Preparing {
        request: PrepareRequest,
        promised: BTreeSet<RankId>,
        expires_at: Instant,
    },
}

/// Proposes maps for one group under the group's lease.
///
/// Messages that start or continue a proposal are sent only while the lease is valid by the local
/// clock. The outcome of a proposal is determined by the ranks' responses and is sent without
/// the lease as well.
#[derive(Clone, Debug)]
pub struct MapCoordinator {
    pub(super) identity: MemberIdentity,
    pub(super) timing: GroupTiming,
    pub(super) lease: LeaseGuard,
    pub(super) stage: CoordinatorStage,
    pub(super) known_record: Option<(StoreRevision, MapRecord)>,
    pub(super) requested: Option<Arc<ExpertMap>>,
    pub(super) status: Option<MemberStatus>,
    pub(super) next_send: Instant,
}

impl MapCoordinator {
    /// Creates a coordinator that first reads the map record.
    #[must_use]
    pub fn new(
        identity: MemberIdentity,
        timing: GroupTiming,
        lease: LeaseGuard,
        now: Instant,
    ) -> Self {
        Self {
            identity,
            timing,
            lease,
            stage: CoordinatorStage::Reading { written: None },
            known_record: None,
            requested: None,
            status: None,
            next_send: now,
        }
    }

    /// Requests a map. It replaces an earlier request; a proposal already in progress continues.
    pub fn request_map(&mut self, map: Arc<ExpertMap>) {
        self.requested = Some(map);
    }

    /// Whether no map is requested and no proposal is in progress.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.requested.is_none() && matches!(self.stage, CoordinatorStage::Idle)
    }

    /// Mutable access to the lease, for renewals.
    pub fn lease_mut(&mut self) -> &mut LeaseGuard {
        &mut self.lease
    }

    /// Advances the current stage and resends unanswered messages; `status` is the local rank's.
    pub fn tick(&mut self, status: MemberStatus, now: Instant) -> Vec<GroupEffect> {
        self.status = Some(status);
        if !self.lease.is_held(now) {
            return Vec::new();
        }
        self.drop_old_generation(status);
        self.expire_prepare(now);
        if now < self.next_send {
            return Vec::new();
        }
        self.next_send = now + self.timing.retry_interval.duration();
        self.send_stage(status)
    }

    /// Handles a message from a rank.
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
            GroupMessage::Commit(proposal) => self.commit(proposal),
            GroupMessage::Refuse(proposal) => self.on_refuse(proposal, now),
            _ => Vec::new(),
        }
    }

    fn drop_old_generation(&mut self, status: MemberStatus) {
        let generation = match &self.stage {
            CoordinatorStage::Loading { generation, .. } => *generation,
            CoordinatorStage::Preparing { request, .. } => request.proposal.generation,
            _ => return,
        };
        if generation != status.generation {
            self.stage = CoordinatorStage::Idle;
        }
    }

    fn expire_prepare(&mut self, now: Instant) {
        if let CoordinatorStage::Preparing { expires_at, .. } = &self.stage
            && now >= *expires_at
        {
            self.stage = CoordinatorStage::Idle;
        }
    }

    fn send_stage(&mut self, status: MemberStatus) -> Vec<GroupEffect> {
        if matches!(self.stage, CoordinatorStage::Idle) && status.phase == MemberPhase::Active {
            self.start_write(status);
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
        let ranks = self.identity.all_ranks().filter(|rank| is_addressed(*rank));
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
        if !self.identity.is_all_ranks(loaded.len()) || !self.lease.is_held(now) {
            return Vec::new();
        }
        let newest = loaded.values().max().copied().unwrap_or_default();
        let proposal = MapProposal {
            generation: *generation,
            version: *version,
            step: StepNumber::new(newest.get().saturating_add(self.timing.lead_steps)),
            proposer: self.identity.rank,
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
        let expires_at = now + self.timing.prepare_timeout.duration();
        self.stage = CoordinatorStage::Preparing {
            request,
            promised: BTreeSet::new(),
            expires_at,
        };
        self.next_send = now + self.timing.retry_interval.duration();
        self.send_where(&GroupMessage::Prepare(request), |_| true)
    }

    fn on_promise(&mut self, from: RankId, proposal: &MapProposal) -> Vec<GroupEffect> {
        let identity = self.identity;
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
        if !identity.is_all_ranks(promised.len()) {
            return Vec::new();
        }
        self.commit(proposal)
    }

    /// Ends the proposal and sends the commit to all ranks. Needs no lease, because every rank has
    /// promised.
    fn commit(&mut self, proposal: &MapProposal) -> Vec<GroupEffect> {
        if !self.is_preparing(proposal) {
            return Vec::new();
        }
        self.stage = CoordinatorStage::Idle;
        let committed = self.known_record.as_ref().map(|(_, record)| &record.map);
        let is_requested = |requested: &mut Arc<ExpertMap>| committed == Some(requested);
        self.requested.take_if(is_requested);
        self.send_where(&GroupMessage::Commit(*proposal), |_| true)
    }

    fn on_refuse(&mut self, proposal: &MapProposal, now: Instant) -> Vec<GroupEffect> {
        if !self.is_preparing(proposal) {
            return Vec::new();
        }
        self.stage = CoordinatorStage::Idle;
        // Delays the next proposal by the prepare timeout.
        self.next_send = now + self.timing.prepare_timeout.duration();
        self.send_where(&GroupMessage::Abort(*proposal), |_| true)
    }

    fn is_preparing(&self, proposal: &MapProposal) -> bool {
        match &self.stage {
            CoordinatorStage::Preparing { request, .. } => request.proposal == *proposal,
            _ => false,
        }
    }
}
