//! Model of a rank group and its coordinators, with late, lost and unanswered orders.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::{
    FencingNumber, GroupGeneration, MapVersion, RankId, StartMark, StepNumber, StoreRevision,
};
use amaranthgw_groups::rebalance::{
    ArmedMap, CoordinatorMark, GroupPlacement, OrderReply, PendingOrder, RankOrder, RankView,
    SwitchDriver, ViewTime,
};
use tokio::time::Instant;

pub(super) const RANKS: u16 = 4;
/// Time for which a VM is frozen.
const FREEZE_TIME: Duration = Duration::from_secs(4);
/// Time after which another agent takes over from a frozen coordinator.
const TAKEOVER_TIME: Duration = Duration::from_millis(400);
/// Age of the views that a rank gives while its agent is down.
const VIEW_LAG: Duration = Duration::from_millis(200);

/// Fault rates and protections of one run.
#[derive(Clone, Copy, Debug)]
pub(super) struct ModelOptions {
    /// Orders per thousand that are executed late and never answered.
    pub(super) late: u32,
    /// Orders per thousand whose answer is lost.
    pub(super) unanswered: u32,
    /// Actions per thousand that replace the coordinator.
    pub(super) replaced: u32,
    /// Actions per thousand that break the group.
    pub(super) broken: u32,
    /// Actions per thousand that freeze a VM, mostly that of the coordinator.
    pub(super) frozen: u32,
    /// Views per thousand that are as old as [`VIEW_LAG`].
    pub(super) lagging: u32,
    /// Whether ranks reject orders with a lower fencing token.
    pub(super) is_fenced: bool,
    /// Whether ranks obey holds; off only to check that the model then finds mixed steps.
    pub(super) has_hold: bool,
}

/// A map: coordinators give the same version to maps of different content.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ModelMap {
    version: u64,
    /// Fencing token of the order to prepare it, which stands for its content.
    content: u64,
}

#[derive(Clone, Debug, Default)]
struct ModelRank {
    map: ModelMap,
    prepared: Option<ModelMap>,
    armed: Option<ArmedMap>,
    held: Option<u64>,
    highest_version: u64,
    fencing: u64,
    /// What a coordinator last told the agent beside the rank.
    mark: Option<CoordinatorMark>,
}

/// A coordinator and its lease, whose number gives the rank on its VM.
#[derive(Debug)]
struct ModelDriver {
    lease: u64,
    driver: SwitchDriver,
}

/// A VM that stands still: its agent does nothing, and nobody reaches its rank, which runs on.
#[derive(Debug)]
struct FrozenVm {
    rank: usize,
    until: Instant,
    /// When another agent takes over; `None` if that has happened or the VM's agent was no coordinator.
    takeover_at: Option<Instant>,
    /// Replies that reach its agent once it goes on.
    replies: Vec<(u64, PendingOrder, OrderReply)>,
    /// Whether a step could not begin since.
    has_stalled: bool,
}

/// State of one run: a group, its coordinators and the orders in flight.
#[derive(Debug)]
pub(super) struct GroupModel {
    options: ModelOptions,
    rng: fastrand::Rng,
    now: Instant,
    generation: u64,
    step: u64,
    ranks: Vec<ModelRank>,
    /// Coordinators, oldest first; the last one holds the lease, the others still act without it.
    drivers: Vec<ModelDriver>,
    lease: u64,
    /// Orders in flight, each with the lease of its sender.
    sent: Vec<(u64, PendingOrder)>,
    frozen: Option<FrozenVm>,
    /// Freezes that began while a rank was held, and those that the group stood still to the end of.
    pub(super) freezes: (u32, u32),
    late: Vec<PendingOrder>,
    /// Views of all ranks at some past times, oldest first.
    history: VecDeque<(Instant, Vec<RankView>)>,
    pub(super) switches: u32,
    pub(super) mixed_step: Option<u64>,
}

impl GroupModel {
    pub(super) fn new(seed: u64, options: ModelOptions) -> Self {
        let mut model = Self {
            options,
            rng: fastrand::Rng::with_seed(seed),
            now: Instant::now(),
            generation: 1,
            step: 0,
            ranks: vec![ModelRank::default(); RANKS.into()],
            drivers: Vec::new(),
            lease: 0,
            sent: Vec::new(),
            frozen: None,
            freezes: (0, 0),
            late: Vec::new(),
            history: VecDeque::new(),
            switches: 0,
            mixed_step: None,
        };
        model.elect();
        model
    }

    /// Runs `actions` random actions.
    pub(super) fn run(&mut self, actions: u32) {
        for _ in 0..actions {
            let pause = Duration::from_millis(self.rng.u64(1..25));
            self.advance(pause);
            if self.chance(self.options.replaced) {
                self.elect();
            }
            if self.chance(self.options.broken) {
                self.break_group();
            }
            if self.options.frozen > 0 {
                self.run_freezes();
            }
            match self.rng.u32(0..10) {
                0..=1 => self.begin_step(),
                2..=4 => self.poll(),
                5 => self.start(),
                6 => self.execute_late(),
                _ => self.deliver(),
            }
        }
    }

    /// Ends all faults and elects a last coordinator; returns whether the group ends with nothing
    /// armed or held.
    pub(super) fn settle(&mut self) -> bool {
        self.options = ModelOptions {
            late: 0,
            unanswered: 0,
            replaced: 0,
            broken: 0,
            lagging: 0,
            frozen: 0,
            ..self.options
        };
        self.frozen = None;
        self.elect();
        let newest = self.drivers.len() - 1;
        self.drivers.drain(..newest);
        self.sent.clear();
        for _ in 0..4_000 {
            self.advance(Duration::from_millis(5));
            match self.rng.u32(0..4) {
                0 => self.begin_step(),
                1 => self.poll(),
                2 if !self.late.is_empty() => self.execute_late(),
                _ => self.deliver(),
            }
        }
        let is_quiescent = |rank: &ModelRank| rank.armed.is_none() && rank.held.is_none();
        self.ranks.iter().all(is_quiescent)
    }

    /// Lets `time` pass, and keeps the views of all ranks at its beginning for [`VIEW_LAG`].
    fn advance(&mut self, time: Duration) {
        if self.options.lagging > 0 {
            let views = (0..self.ranks.len()).map(|index| self.view(index));
            self.history.push_back((self.now, views.collect()));
        }
        self.now += time;
        let is_past = |(at, _): &(Instant, Vec<RankView>)| *at + VIEW_LAG <= self.now;
        while self.history.get(1).is_some_and(is_past) {
            self.history.pop_front();
        }
    }

    /// View of a rank at [`VIEW_LAG`] ago; `None` if the run is younger than that.
    fn lagging_view(&self, index: usize) -> Option<RankView> {
        let (at, views) = self.history.front()?;
        (*at + VIEW_LAG <= self.now).then(|| views[index].clone())
    }

    fn chance(&mut self, per_thousand: u32) -> bool {
        self.rng.u32(0..1_000) < per_thousand
    }

    fn elect(&mut self) {
        let last = StoreRevision::new(self.lease);
        let known = self.drivers.last().map(|it| it.driver.mark(last));
        self.lease += 1;
        while self.is_frozen(usize::from(local_rank(self.lease))) {
            self.lease += 1;
        }
        let local = RankId::new(local_rank(self.lease));
        let told = self.ranks[usize::from(local.get())].mark;
        // The store shows whether another coordinator came after the one that the agent knows.
        let told = told.filter(|mark| mark.known_at == last);
        // Known seeds were found with agents that know the last coordinator as it is.
        let previous = if self.options.frozen > 0 { told } else { known };
        let driver = SwitchDriver::new(local, FencingNumber::new(self.lease), self.now);
        let mark = driver.mark(StoreRevision::new(self.lease));
        self.ranks[usize::from(local.get())].mark = Some(mark);
        self.drivers.push(ModelDriver {
            lease: self.lease,
            driver: driver.with_previous(previous),
        });
        if self.drivers.len() > 3 {
            let ended = self.drivers.remove(0);
            self.sent.retain(|(lease, _)| *lease != ended.lease);
        }
    }

    /// Freezes a VM, lets one go on, or lets another agent take over.
    fn run_freezes(&mut self) {
        let now = self.now;
        if self.frozen.as_ref().is_some_and(|vm| vm.until <= now) {
            self.end_freeze();
        }
        let takeover_at = self.frozen.as_mut().map(|vm| &mut vm.takeover_at);
        if takeover_at.is_some_and(|at| at.take_if(|at| *at <= now).is_some()) {
            self.elect();
        }
        if self.frozen.is_none() && self.chance(self.options.frozen) {
            let is_coordinator = self.rng.u32(0..10) < 7;
            let rank = if is_coordinator {
                usize::from(local_rank(self.lease))
            } else {
                self.rng.usize(0..self.ranks.len())
            };
            self.freezes.0 += u32::from(self.ranks.iter().any(|rank| rank.held.is_some()));
            self.frozen = Some(FrozenVm {
                rank,
                until: now + FREEZE_TIME,
                takeover_at: is_coordinator.then(|| now + TAKEOVER_TIME),
                replies: Vec::new(),
                has_stalled: false,
            });
        }
    }

    fn end_freeze(&mut self) {
        let Some(vm) = self.frozen.take() else {
            return;
        };
        self.freezes.1 += u32::from(vm.has_stalled && self.is_stalled());
        for (lease, order, reply) in vm.replies {
            if let Some(index) = self.drivers.iter().position(|it| it.lease == lease) {
                self.drivers[index].driver.reply(&order, reply, self.now);
                self.send_pending(index);
            }
        }
    }

    /// Whether the VM of `rank` is frozen.
    fn is_frozen(&self, rank: usize) -> bool {
        self.frozen.as_ref().is_some_and(|vm| vm.rank == rank)
    }

    /// Whether a rank is held before the next step.
    fn is_stalled(&self) -> bool {
        self.ranks
            .iter()
            .any(|rank| rank.held == Some(self.step + 1))
    }

    /// A random coordinator whose VM isn't frozen.
    fn pick_driver(&mut self) -> Option<usize> {
        let index = self.rng.usize(0..self.drivers.len());
        let rank = usize::from(local_rank(self.drivers[index].lease));
        (!self.is_frozen(rank)).then_some(index)
    }

    fn break_group(&mut self) {
        self.generation += 1;
        let kept = |rank: &ModelRank| ModelRank {
            highest_version: rank.highest_version,
            fencing: rank.fencing,
            mark: rank.mark,
            ..ModelRank::default()
        };
        self.ranks = self.ranks.iter().map(kept).collect();
    }

    /// Begins the next step unless a rank is held before it.
    fn begin_step(&mut self) {
        let next = self.step + 1;
        if self.is_stalled() {
            if let Some(vm) = &mut self.frozen {
                vm.has_stalled = true;
            }
            return;
        }
        self.step = next;
        for rank in &mut self.ranks {
            if rank.armed.is_some_and(|armed| armed.step.get() == next) {
                rank.armed = None;
                rank.map = rank.prepared.take().expect("prepared");
                self.switches += 1;
            }
        }
        let first = self.ranks[0].map;
        if self.ranks.iter().any(|rank| rank.map != first) {
            self.mixed_step = self.mixed_step.or(Some(next));
        }
    }

    fn view(&self, index: usize) -> RankView {
        let rank = &self.ranks[index];
        RankView {
            group: "g".parse().expect("group"),
            generation: GroupGeneration::new(self.generation),
            rank: RankId::new(u16::try_from(index).expect("rank")),
            size: RANKS,
            is_open: true,
            born: StartMark::new(1),
            step: StepNumber::new(self.step),
            map: MapVersion::new(rank.map.version),
            prepared: rank.prepared.map(|map| MapVersion::new(map.version)),
            armed: rank.armed,
            held: rank.held.map(StepNumber::new),
            pace_milli: 1_000,
            experts: Vec::new(),
        }
    }

    /// A random coordinator polls most of the ranks and sends its pending orders.
    fn poll(&mut self) {
        let Some(driver) = self.pick_driver() else {
            return;
        };
        for index in 0..self.ranks.len() {
            if self.rng.u32(0..10) > 0 && !self.is_frozen(index) {
                // Runs without old views draw the same numbers as ever, as known seeds rely on them.
                let is_lagging = self.options.lagging > 0 && self.chance(self.options.lagging);
                let lagging = self.lagging_view(index).filter(|_| is_lagging);
                let mut time = ViewTime::new(self.now);
                if lagging.is_some() {
                    time = time.with_max_age(VIEW_LAG * 2);
                }
                if lagging.is_none() && !self.tell(driver, index) {
                    continue;
                }
                let view = lagging.unwrap_or_else(|| self.view(index));
                self.drivers[driver].driver.observe(view, time, self.now);
            }
        }
        self.send_pending(driver);
    }

    /// Lets a coordinator tell the agent beside a rank about itself; returns `false` if the agent knows a later
    /// one.
    fn tell(&mut self, driver: usize, rank: usize) -> bool {
        if self.options.frozen == 0 {
            return true;
        }
        let row = &mut self.drivers[driver];
        let mark = row.driver.mark(StoreRevision::new(row.lease));
        let known = self.ranks[rank].mark.get_or_insert(mark);
        if mark.precedes(*known) {
            row.driver.supersede();
            return false;
        }
        *known = mark;
        true
    }

    fn send_pending(&mut self, driver: usize) {
        let lease = self.drivers[driver].lease;
        let pending = self.drivers[driver].driver.pending_orders(self.now);
        self.sent
            .extend(pending.into_iter().map(|order| (lease, order)));
    }

    fn start(&mut self) {
        let Some(driver) = self.pick_driver() else {
            return;
        };
        self.drivers[driver].driver.start(
            Arc::new(GroupPlacement::initial(1, 8, RANKS.into())),
            Duration::from_millis(100),
            self.now,
        );
        self.send_pending(driver);
    }

    /// Delivers a random order in flight, or delays it.
    fn deliver(&mut self) {
        if self.sent.is_empty() {
            return;
        }
        let at = self.rng.usize(0..self.sent.len());
        let (lease, order) = self.sent.swap_remove(at);
        let sender = usize::from(local_rank(lease));
        let receiver = usize::from(order.rank.get());
        if self.is_frozen(sender) && sender == receiver {
            // The agent hasn't sent it yet.
            self.sent.push((lease, order));
            return;
        }
        let reply = if self.is_frozen(receiver) || self.chance(self.options.late) {
            self.late.push(order.clone());
            OrderReply::Unanswered
        } else if self.chance(self.options.unanswered) {
            self.execute(&order);
            OrderReply::Unanswered
        } else {
            self.execute(&order)
        };
        if let Some(vm) = self.frozen.as_mut().filter(|vm| vm.rank == sender) {
            vm.replies.push((lease, order, reply));
        } else if let Some(index) = self.drivers.iter().position(|it| it.lease == lease) {
            self.drivers[index].driver.reply(&order, reply, self.now);
            self.send_pending(index);
        }
    }

    fn execute_late(&mut self) {
        if self.late.is_empty() {
            return;
        }
        let at = self.rng.usize(0..self.late.len());
        if self.is_frozen(usize::from(self.late[at].rank.get())) {
            return;
        }
        let order = self.late.swap_remove(at);
        self.execute(&order);
    }

    fn execute(&mut self, pending: &PendingOrder) -> OrderReply {
        let is_current = pending.generation.get() == self.generation;
        let (step, has_hold, is_fenced) =
            (self.step, self.options.has_hold, self.options.is_fenced);
        let rank = &mut self.ranks[usize::from(pending.rank.get())];
        if is_fenced && pending.fencing.get() < rank.fencing {
            return OrderReply::Fenced;
        }
        rank.fencing = rank.fencing.max(pending.fencing.get());
        if !is_current {
            return OrderReply::Conflict;
        }
        if rank.apply(pending, step, has_hold) {
            OrderReply::Accepted
        } else {
            OrderReply::Conflict
        }
    }
}

fn local_rank(lease: u64) -> u16 {
    u16::try_from(lease % u64::from(RANKS)).expect("rank")
}

impl ModelRank {
    /// Executes an order; returns `false` if it does not fit the state.
    fn apply(&mut self, pending: &PendingOrder, step: u64, has_hold: bool) -> bool {
        match &pending.order {
            RankOrder::Prepare { version, .. } => {
                let version = version.get();
                if self.prepared.is_some_and(|map| map.version == version) {
                    return true;
                }
                if version <= self.highest_version || self.armed.is_some() {
                    return false;
                }
                self.highest_version = version;
                self.prepared = Some(ModelMap {
                    version,
                    content: pending.fencing.get(),
                });
            }
            RankOrder::Arm(armed) => {
                if self.armed == Some(*armed) {
                    return true;
                }
                let version = armed.version.get();
                let is_prepared = self.prepared.is_some_and(|map| map.version == version);
                if !is_prepared || armed.step.get() <= step || self.armed.is_some() {
                    return false;
                }
                self.armed = Some(*armed);
            }
            RankOrder::Disarm { version } => {
                if self.map.version == version.get() {
                    return false;
                }
                if self.armed.is_some_and(|armed| armed.version == *version) {
                    self.armed = None;
                }
            }
            RankOrder::Hold { step: held } => {
                if held.get() <= step {
                    return false;
                }
                if has_hold {
                    self.held = Some(held.get());
                }
            }
            RankOrder::Go { step: held } => {
                if self.held != Some(held.get()) {
                    return false;
                }
                self.held = None;
            }
        }
        true
    }
}
