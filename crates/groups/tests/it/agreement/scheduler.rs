//! Deterministic scheduler over the rows of one group. A seed determines the interleaving of
//! messages, orders, store calls, steps and faults.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::{
    FencingNumber, GroupGeneration, MapVersion, MilliSpan, RankId, StartMark, StepNumber,
};
use amaranthgw_groups::agreement::{
    GroupEffect, GroupMessage, GroupTiming, LeaseGuard, MapCoordinator, MapOrder, MapProposal,
    MemberIdentity, RankMember,
};
use amaranthgw_groups::placement::{ExpertMap, LayerMap};
use tokio::time::Instant;

use super::engine_fake::EngineFake;
use super::store_fake::StoreFake;

const LEASE_TTL: MilliSpan = MilliSpan::new(3_000);
const LEASE_MARGIN: MilliSpan = MilliSpan::new(500);
const FAULT_PHASE_ACTIONS: usize = 2_000;
/// Exclusive upper bound of the fault rate, which each run draws at random.
const MAX_FAULTS_PER_THOUSAND: u32 = 60;
const MAX_RECOVERY_ROUNDS: usize = 2_000;
const MIN_PROGRESS_STEPS: u64 = 20;

/// Violation of an invariant of the agreement.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Violation {
    /// Ranks would use different versions in one step.
    MixedStep {
        step: StepNumber,
        versions: BTreeSet<MapVersion>,
    },
    /// A step would use another version than the newest committed one.
    Uncommitted {
        step: StepNumber,
        used: MapVersion,
        committed: MapProposal,
    },
    /// Two different proposals with the same generation, kind and version were committed.
    TwoOutcomes {
        first: MapProposal,
        second: MapProposal,
    },
    /// The group did not run enough steps after the faults ended.
    Stalled { step: StepNumber },
    /// The newest requested map was not in force at all engines after the faults ended.
    MapNotReached { step: StepNumber },
}

/// Size of the group, behaviour of its engines and the kinds of faults injected in one run.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each behaviour and kind of fault is on or off"
)]
#[derive(Clone, Copy, Debug)]
pub(super) struct FaultPlan {
    pub(super) ranks: u16,
    pub(super) honours_fencing: bool,
    pub(super) loses_messages: bool,
    pub(super) restarts: bool,
    pub(super) replaces: bool,
    pub(super) store_outages: bool,
    pub(super) store_stays_down: bool,
}

#[derive(Debug)]
pub(super) struct GroupScheduler {
    plan: FaultPlan,
    rng: fastrand::Rng,
    now: Instant,
    next_mark: u64,
    members: Vec<Option<RankMember>>,
    engines: Vec<EngineFake>,
    coordinators: Vec<Option<MapCoordinator>>,
    is_coordinator_paused: Vec<bool>,
    store: StoreFake,
    messages: Vec<(RankId, RankId, GroupMessage)>,
    orders: Vec<(usize, StartMark, MapOrder, FencingNumber)>,
    store_calls: Vec<(usize, GroupEffect)>,
    commits: Vec<MapProposal>,
    maps_requested: usize,
    /// Fault rate per thousand actions.
    faults_per_thousand: u32,
}

impl GroupScheduler {
    pub(super) fn new(seed: u64, plan: FaultPlan, now: Instant) -> Self {
        let ranks = usize::from(plan.ranks);
        let mut scheduler = Self {
            plan,
            rng: fastrand::Rng::with_seed(seed),
            now,
            next_mark: 1,
            members: vec![None; ranks],
            engines: Vec::new(),
            coordinators: vec![None; ranks],
            is_coordinator_paused: vec![false; ranks],
            store: StoreFake::default(),
            messages: Vec::new(),
            orders: Vec::new(),
            store_calls: Vec::new(),
            commits: Vec::new(),
            maps_requested: 0,
            faults_per_thousand: 0,
        };
        scheduler.faults_per_thousand = scheduler.rng.u32(5..MAX_FAULTS_PER_THOUSAND);
        for rank in 0..ranks {
            let start = scheduler.new_mark();
            scheduler
                .engines
                .push(EngineFake::new(start, plan.honours_fencing));
            scheduler.start_sidecar(rank);
        }
        scheduler
    }

    /// Runs a phase with faults and one without, and returns the first violation.
    pub(super) fn run(&mut self) -> Result<(), Violation> {
        for _ in 0..FAULT_PHASE_ACTIONS {
            self.run_action()?;
        }
        self.end_faults();
        self.check_progress()
    }

    fn new_mark(&mut self) -> u64 {
        self.next_mark += 1;
        self.next_mark
    }

    fn new_identity(&mut self, rank: usize) -> MemberIdentity {
        let start = StartMark::new(self.new_mark());
        let generation_floor = GroupGeneration::new(start.get() * 1_000);
        MemberIdentity {
            rank: rank_id(rank),
            ranks: self.plan.ranks,
            start,
            generation_floor,
        }
    }

    fn start_sidecar(&mut self, rank: usize) {
        let identity = self.new_identity(rank);
        self.members[rank] = Some(RankMember::new(identity, GroupTiming::new(), self.now));
        self.coordinators[rank] = None;
        self.clear_commits_if_lost();
    }

    fn elect(&mut self, rank: usize) {
        let fencing = FencingNumber::new(self.new_mark());
        let lease = LeaseGuard::new(fencing, self.now, LEASE_TTL, LEASE_MARGIN);
        let identity = self.new_identity(rank);
        let mut row = MapCoordinator::new(identity, GroupTiming::new(), lease, self.now);
        row.request_map(self.new_map());
        self.coordinators[rank] = Some(row);
        self.is_coordinator_paused[rank] = false;
    }

    fn new_map(&mut self) -> Arc<ExpertMap> {
        self.maps_requested += 1;
        Arc::new(ExpertMap {
            layers: vec![LayerMap::default(); self.maps_requested],
        })
    }

    fn run_action(&mut self) -> Result<(), Violation> {
        let rank = self.rng.usize(..self.members.len());
        if self.rng.u32(..1_000) < self.faults_per_thousand {
            self.inject_fault(rank);
        }
        match self.rng.u32(..1_000) {
            0..450 => self.deliver_messages(),
            450..600 => self.deliver_order(),
            600..650 => self.deliver_store_call(),
            650..850 => self.advance_time(),
            _ => return self.step(),
        }
        Ok(())
    }

    fn deliver_messages(&mut self) {
        for _ in 0..self.rng.usize(1..8) {
            self.deliver_message();
        }
    }

    fn change_coordinator(&mut self, rank: usize) {
        match self.rng.u32(..4) {
            0 => self.coordinators[rank] = None,
            1 => self.is_coordinator_paused[rank] = !self.is_coordinator_paused[rank],
            _ => self.elect(rank),
        }
    }

    fn inject_fault(&mut self, rank: usize) {
        match self.rng.u32(..7) {
            0 if self.plan.restarts => self.start_sidecar(rank),
            1 if self.plan.restarts => {
                self.members[rank] = None;
                self.coordinators[rank] = None;
            }
            2 if self.plan.replaces => self.replace(rank),
            3 if self.plan.store_outages => self.store.is_down = !self.store.is_down,
            4 if self.members[rank].is_none() => self.start_sidecar(rank),
            _ => self.change_coordinator(rank),
        }
    }

    /// Replaces the engine of the rank, at random together with its sidecar. Orders to the old
    /// engine process never reach the new one.
    fn replace(&mut self, rank: usize) {
        let keeps_sidecar = self.rng.bool();
        let start = self.new_mark();
        self.engines[rank] = EngineFake::new(start, self.plan.honours_fencing);
        if !keeps_sidecar {
            self.start_sidecar(rank);
        }
        self.clear_commits_if_lost();
    }

    /// Clears the commits once no sidecar knows one and no engine has a map: the map that was in
    /// force is lost and need not be kept.
    fn clear_commits_if_lost(&mut self) {
        let mut members = self.members.iter().flatten();
        let is_known = members.any(|member| member.committed().is_some());
        if !is_known && self.engines.iter().all(|engine| engine.view.map.is_none()) {
            self.commits.clear();
        }
    }

    fn deliver_message(&mut self) {
        if self.messages.is_empty() {
            return;
        }
        let index = self.rng.usize(..self.messages.len());
        let is_repeated = self.plan.loses_messages && self.rng.u32(..20) == 0;
        let (from, to, message) = if is_repeated {
            self.messages[index].clone()
        } else {
            self.messages.swap_remove(index)
        };
        let is_lost = self.plan.loses_messages && self.rng.u32(..12) == 0;
        if !is_lost {
            self.receive(from, usize::from(to.get()), &message);
        }
    }

    fn receive(&mut self, from: RankId, to: usize, message: &GroupMessage) {
        let now = self.now;
        let member = self.members[to].as_mut();
        let effects = member
            .map(|row| row.handle(from, message, now))
            .unwrap_or_default();
        self.apply_effects(to, effects);
        if self.is_coordinator_paused[to] {
            return;
        }
        let coordinator = self.coordinators[to].as_mut();
        let effects = coordinator
            .map(|row| row.handle(from, message, now))
            .unwrap_or_default();
        self.apply_effects(to, effects);
    }

    fn apply_effects(&mut self, rank: usize, effects: Vec<GroupEffect>) {
        for effect in effects {
            match effect {
                GroupEffect::Send { to, message } => {
                    self.messages.push((rank_id(rank), to, message));
                }
                GroupEffect::LoadMap(version) => self.load(rank, version),
                GroupEffect::Order {
                    order,
                    fencing,
                    start,
                } => {
                    self.orders.push((rank, start, order, fencing));
                }
                GroupEffect::ReadEngine => self.read_engine(rank),
                GroupEffect::ReadStore | GroupEffect::WriteStore { .. } => {
                    self.store_calls.push((rank, effect));
                }
            }
        }
        self.record_commit(rank);
    }

    fn load(&mut self, rank: usize, version: MapVersion) {
        let view = &mut self.engines[rank].view;
        if self.rng.bool() && !view.has_loaded(version) {
            view.loaded.push(version);
        }
    }

    fn read_engine(&mut self, rank: usize) {
        let view = self.engines[rank].view.clone();
        let now = self.now;
        let member = self.members[rank].as_mut();
        let effects = member.map(|row| row.observe(view, now)).unwrap_or_default();
        self.apply_effects(rank, effects);
    }

    fn record_commit(&mut self, rank: usize) {
        let committed = self.members[rank].as_ref().and_then(RankMember::committed);
        if let Some(proposal) = committed.filter(|proposal| !self.commits.contains(proposal)) {
            self.commits.push(proposal);
        }
    }

    fn deliver_order(&mut self) {
        if self.orders.is_empty() {
            return;
        }
        let index = self.rng.usize(..self.orders.len());
        let is_repeated = self.rng.u32(..4) == 0;
        let (rank, start, order, fencing) = if is_repeated {
            self.orders[index]
        } else {
            self.orders.swap_remove(index)
        };
        if self.engines[rank].view.start == start {
            self.engines[rank].apply(order, fencing);
        }
        if self.rng.bool() {
            self.read_engine(rank);
        }
    }

    fn deliver_store_call(&mut self) {
        if self.store_calls.is_empty() {
            return;
        }
        let index = self.rng.usize(..self.store_calls.len());
        let (rank, effect) = self.store_calls.swap_remove(index);
        let answer = self.store.call(&effect);
        let is_lost = self.plan.store_outages && self.rng.u32(..4) == 0;
        let Some(answer) = answer.filter(|_| !is_lost) else {
            return;
        };
        if let Some(row) = self.coordinators[rank]
            .as_mut()
            .filter(|_| !self.is_coordinator_paused[rank])
        {
            row.handle_store(&answer, self.now);
        }
    }

    fn advance_time(&mut self) {
        self.now += Duration::from_millis(self.rng.u64(1..150));
        for rank in 0..self.members.len() {
            if self.rng.u32(..8) != 0 {
                self.tick(rank);
            }
        }
    }

    fn tick(&mut self, rank: usize) {
        let now = self.now;
        let Some(member) = self.members[rank].as_mut() else {
            return;
        };
        let effects = member.tick(now);
        let status = member.status();
        self.apply_effects(rank, effects);
        if let Some(row) = self.coordinators[rank]
            .as_mut()
            .filter(|_| !self.is_coordinator_paused[rank])
        {
            let effects = row.tick(status, now);
            self.apply_effects(rank, effects);
        }
    }

    /// Runs one step of the group if all engines are at the same step and none holds it.
    fn step(&mut self) -> Result<(), Violation> {
        self.check_outcomes()?;
        let step = self.engines[0].view.step;
        let is_aligned = self.engines.iter().all(|engine| engine.view.step == step);
        let versions: Option<BTreeSet<MapVersion>> =
            self.engines.iter().map(EngineFake::next_version).collect();
        let Some(versions) = versions.filter(|_| is_aligned) else {
            return Ok(());
        };
        let used = versions.first().copied().unwrap_or_default();
        if versions.len() > 1 {
            return Err(Violation::MixedStep { step, versions });
        }
        let due = self.commits.iter().filter(|proposal| proposal.step <= step);
        let newest = due.max_by_key(|proposal| proposal.sort_key());
        if let Some(committed) = newest.filter(|proposal| proposal.version != used) {
            return Err(Violation::Uncommitted {
                step,
                used,
                committed: *committed,
            });
        }
        self.engines.iter_mut().for_each(EngineFake::run_step);
        Ok(())
    }

    /// Checks that no two proposals with the same generation, kind and version were committed.
    fn check_outcomes(&self) -> Result<(), Violation> {
        for (index, first) in self.commits.iter().enumerate() {
            let same = |second: &&MapProposal| second.sort_key() == first.sort_key();
            if let Some(second) = self.commits[index + 1..].iter().find(same) {
                return Err(Violation::TwoOutcomes {
                    first: *first,
                    second: *second,
                });
            }
        }
        Ok(())
    }

    fn end_faults(&mut self) {
        self.plan.loses_messages = false;
        self.plan.store_outages = false;
        self.store.is_down = self.plan.store_stays_down;
        for rank in 0..self.members.len() {
            self.coordinators[rank] = None;
            if self.members[rank].is_none() {
                self.start_sidecar(rank);
            }
        }
        self.elect(0);
    }

    /// Checks that steps continue after the faults, and that the newest map comes into force unless
    /// the store stays down.
    fn check_progress(&mut self) -> Result<(), Violation> {
        let first = self.newest_step();
        for _ in 0..MAX_RECOVERY_ROUNDS {
            self.run_round()?;
            let has_advanced = self.newest_step().get() >= first.get() + MIN_PROGRESS_STEPS;
            if has_advanced && (self.plan.store_stays_down || self.is_idle()) {
                return Ok(());
            }
        }
        let step = self.newest_step();
        if step.get() >= first.get() + MIN_PROGRESS_STEPS {
            return Err(Violation::MapNotReached { step });
        }
        Err(Violation::Stalled { step })
    }

    fn run_round(&mut self) -> Result<(), Violation> {
        self.now += Duration::from_millis(20);
        for rank in 0..self.members.len() {
            self.tick(rank);
        }
        for _ in 0..self.messages.len() {
            self.deliver_message();
        }
        for _ in 0..self.orders.len() {
            self.deliver_order();
        }
        for _ in 0..self.store_calls.len() {
            self.deliver_store_call();
        }
        if let Some(row) = self.coordinators[0].as_mut() {
            row.lease_mut().renew(self.now, LEASE_TTL);
        }
        self.step()
    }

    fn newest_step(&self) -> StepNumber {
        let steps = self.engines.iter().map(|engine| engine.view.step);
        steps.max().unwrap_or_default()
    }

    /// Whether no map request is open and the newest committed map is in force at every engine.
    fn is_idle(&self) -> bool {
        let is_idle = self.coordinators[0]
            .as_ref()
            .is_some_and(MapCoordinator::is_idle);
        let newest = self
            .commits
            .iter()
            .max_by_key(|proposal| proposal.sort_key());
        let version = newest.map(|proposal| proposal.version);
        let in_force = |engine: &EngineFake| engine.view.map.map(|map| map.version);
        is_idle
            && self
                .engines
                .iter()
                .all(|engine| in_force(engine) == version)
    }
}

fn rank_id(rank: usize) -> RankId {
    RankId::new(u16::try_from(rank).expect("rank fits u16"))
}
