//! A deterministic scheduler over the rows of one group: one seed gives one interleaving.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::{
    FencingNumber, GroupGeneration, MapVersion, MilliSpan, RankId, StartMark, StepNumber,
};
use amaranthgw_groups::agreement::{
    GroupEffect, GroupMessage, GroupPlace, GroupTiming, LeaseGuard, MapCoordinator, MapOrder,
    MapProposal, RankMember,
};
use amaranthgw_groups::placement::{ExpertMap, LayerMap};
use tokio::time::Instant;

use super::engine_fake::EngineFake;
use super::store_fake::StoreFake;

const LEASE_TTL: MilliSpan = MilliSpan::new(3_000);
const LEASE_MARGIN: MilliSpan = MilliSpan::new(500);
const FAULTY_ACTIONS: usize = 2_000;
/// Faults per thousand actions, at most.
const MAX_FAULTS: u32 = 60;
const HEALING_ROUNDS: usize = 2_000;
const STEPS_TO_SEE: u64 = 20;

/// A broken promise.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Violation {
    MixedStep {
        step: StepNumber,
        versions: BTreeSet<MapVersion>,
    },
    Uncommitted {
        step: StepNumber,
        used: MapVersion,
        committed: MapProposal,
    },
    TwoOutcomes {
        first: MapProposal,
        second: MapProposal,
    },
    Stalled {
        step: StepNumber,
    },
    MapNotReached {
        step: StepNumber,
    },
}

/// What may go wrong in one run.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each kind of fault is on or off"
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
    is_frozen: Vec<bool>,
    store: StoreFake,
    messages: Vec<(RankId, RankId, GroupMessage)>,
    orders: Vec<(usize, StartMark, MapOrder, FencingNumber)>,
    calls: Vec<(usize, GroupEffect)>,
    commits: Vec<MapProposal>,
    maps_wanted: usize,
    /// Faults per thousand actions.
    faults: u32,
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
            is_frozen: vec![false; ranks],
            store: StoreFake::default(),
            messages: Vec::new(),
            orders: Vec::new(),
            calls: Vec::new(),
            commits: Vec::new(),
            maps_wanted: 0,
            faults: 0,
        };
        scheduler.faults = scheduler.rng.u32(5..MAX_FAULTS);
        for rank in 0..ranks {
            let start = scheduler.mark();
            scheduler
                .engines
                .push(EngineFake::new(start, plan.honours_fencing));
            scheduler.start_sidecar(rank);
        }
        scheduler
    }

    /// Runs with faults, then without, and returns the first broken promise.
    pub(super) fn run(&mut self) -> Result<(), Violation> {
        for _ in 0..FAULTY_ACTIONS {
            self.act()?;
        }
        self.heal();
        self.settle()
    }

    fn mark(&mut self) -> u64 {
        self.next_mark += 1;
        self.next_mark
    }

    fn place(&mut self, rank: usize) -> GroupPlace {
        let start = StartMark::new(self.mark());
        let first_generation = GroupGeneration::new(start.get() * 1_000);
        GroupPlace {
            rank: rank_id(rank),
            ranks: self.plan.ranks,
            start,
            first_generation,
        }
    }

    fn start_sidecar(&mut self, rank: usize) {
        let place = self.place(rank);
        self.members[rank] = Some(RankMember::new(place, GroupTiming::new(), self.now));
        self.coordinators[rank] = None;
        self.forget_if_all_lost();
    }

    fn elect(&mut self, rank: usize) {
        let fencing = FencingNumber::new(self.mark());
        let lease = LeaseGuard::new(fencing, self.now, LEASE_TTL, LEASE_MARGIN);
        let place = self.place(rank);
        let mut row = MapCoordinator::new(place, GroupTiming::new(), lease, self.now);
        row.want(self.new_map());
        self.coordinators[rank] = Some(row);
        self.is_frozen[rank] = false;
    }

    fn new_map(&mut self) -> Arc<ExpertMap> {
        self.maps_wanted += 1;
        Arc::new(ExpertMap {
            layers: vec![LayerMap::default(); self.maps_wanted],
        })
    }

    fn act(&mut self) -> Result<(), Violation> {
        let rank = self.rng.usize(..self.members.len());
        if self.rng.u32(..1_000) < self.faults {
            self.fail(rank);
        }
        match self.rng.u32(..1_000) {
            0..450 => self.deliver_some(),
            450..600 => self.deliver_order(),
            600..650 => self.deliver_call(),
            650..850 => self.pass_time(),
            _ => return self.step(),
        }
        Ok(())
    }

    fn deliver_some(&mut self) {
        for _ in 0..self.rng.usize(1..8) {
            self.deliver_message();
        }
    }

    fn change_coordinator(&mut self, rank: usize) {
        match self.rng.u32(..4) {
            0 => self.coordinators[rank] = None,
            1 => self.is_frozen[rank] = !self.is_frozen[rank],
            _ => self.elect(rank),
        }
    }

    fn fail(&mut self, rank: usize) {
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

    /// A new VM takes the rank; orders to the old engine process never reach the new one.
    fn replace(&mut self, rank: usize) {
        let keeps_sidecar = self.rng.bool();
        let start = self.mark();
        self.engines[rank] = EngineFake::new(start, self.plan.honours_fencing);
        if !keeps_sidecar {
            self.start_sidecar(rank);
        }
        self.forget_if_all_lost();
    }

    /// Once every engine and sidecar is new, nobody can know which map was in force.
    fn forget_if_all_lost(&mut self) {
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
        self.carry_out(to, effects);
        if self.is_frozen[to] {
            return;
        }
        let coordinator = self.coordinators[to].as_mut();
        let effects = coordinator
            .map(|row| row.handle(from, message, now))
            .unwrap_or_default();
        self.carry_out(to, effects);
    }

    fn carry_out(&mut self, rank: usize, effects: Vec<GroupEffect>) {
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
                    self.calls.push((rank, effect));
                }
            }
        }
        self.note_commit(rank);
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
        self.carry_out(rank, effects);
    }

    fn note_commit(&mut self, rank: usize) {
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

    fn deliver_call(&mut self) {
        if self.calls.is_empty() {
            return;
        }
        let index = self.rng.usize(..self.calls.len());
        let (rank, effect) = self.calls.swap_remove(index);
        let answer = self.store.call(&effect);
        let is_lost = self.plan.store_outages && self.rng.u32(..4) == 0;
        let Some(answer) = answer.filter(|_| !is_lost) else {
            return;
        };
        if let Some(row) = self.coordinators[rank]
            .as_mut()
            .filter(|_| !self.is_frozen[rank])
        {
            row.handle_store(&answer, self.now);
        }
    }

    fn pass_time(&mut self) {
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
        let standing = member.standing();
        self.carry_out(rank, effects);
        if let Some(row) = self.coordinators[rank]
            .as_mut()
            .filter(|_| !self.is_frozen[rank])
        {
            let effects = row.tick(standing, now);
            self.carry_out(rank, effects);
        }
    }

    /// Runs one step of the group if no engine holds it.
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
        let newest = due.max_by_key(|proposal| proposal.order());
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

    /// One version of a generation has one outcome.
    fn check_outcomes(&self) -> Result<(), Violation> {
        for (index, first) in self.commits.iter().enumerate() {
            let same = |second: &&MapProposal| second.order() == first.order();
            if let Some(second) = self.commits[index + 1..].iter().find(same) {
                return Err(Violation::TwoOutcomes {
                    first: *first,
                    second: *second,
                });
            }
        }
        Ok(())
    }

    fn heal(&mut self) {
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

    /// Steps go on after the faults, and the newest map comes into force unless the store is down.
    fn settle(&mut self) -> Result<(), Violation> {
        let first = self.newest_step();
        for _ in 0..HEALING_ROUNDS {
            self.run_round()?;
            let has_advanced = self.newest_step().get() >= first.get() + STEPS_TO_SEE;
            if has_advanced && (self.plan.store_stays_down || self.is_idle()) {
                return Ok(());
            }
        }
        let step = self.newest_step();
        if step.get() >= first.get() + STEPS_TO_SEE {
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
        for _ in 0..self.calls.len() {
            self.deliver_call();
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

    /// Whether the newest map asked for is in force at every engine.
    fn is_idle(&self) -> bool {
        let is_idle = self.coordinators[0]
            .as_ref()
            .is_some_and(MapCoordinator::is_idle);
        let newest = self.commits.iter().max_by_key(|proposal| proposal.order());
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
    RankId::new(u16::try_from(rank).expect("few ranks"))
}
