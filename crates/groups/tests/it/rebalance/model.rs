//! Model of a rank group and its coordinators, with late, lost and unanswered orders.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::{
    FencingNumber, GroupGeneration, MapVersion, RankId, StartMark, StepNumber, StoreRevision,
};
use amaranthgw_groups::rebalance::{
    ArmedMap, GroupPlacement, OrderReply, PendingOrder, RankOrder, RankView, SwitchDriver, ViewTime,
};
use tokio::time::Instant;

pub(super) const RANKS: u16 = 4;
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
    drivers: Vec<SwitchDriver>,
    lease: u64,
    sent: Vec<(usize, PendingOrder)>,
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
            ..self.options
        };
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
        let previous = self.drivers.last();
        let previous = previous.map(|driver| driver.mark(StoreRevision::default()));
        self.lease += 1;
        let local = RankId::new(local_rank(self.lease));
        let driver = SwitchDriver::new(local, FencingNumber::new(self.lease), self.now);
        self.drivers.push(driver.with_previous(previous));
        if self.drivers.len() > 3 {
            self.drivers.remove(0);
            self.sent.retain(|(driver, _)| *driver > 0);
            for (driver, _) in &mut self.sent {
                *driver -= 1;
            }
        }
    }

    fn break_group(&mut self) {
        self.generation += 1;
        let kept = |rank: &ModelRank| ModelRank {
            highest_version: rank.highest_version,
            fencing: rank.fencing,
            ..ModelRank::default()
        };
        self.ranks = self.ranks.iter().map(kept).collect();
    }

    /// Begins the next step unless a rank is held before it.
    fn begin_step(&mut self) {
        let next = self.step + 1;
        if self.ranks.iter().any(|rank| rank.held == Some(next)) {
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
        let driver = self.rng.usize(0..self.drivers.len());
        for index in 0..self.ranks.len() {
            if self.rng.u32(0..10) > 0 {
                // Runs without old views draw the same numbers as ever, as known seeds rely on them.
                let is_lagging = self.options.lagging > 0 && self.chance(self.options.lagging);
                let lagging = self.lagging_view(index).filter(|_| is_lagging);
                let mut time = ViewTime::new(self.now);
                if lagging.is_some() {
                    time = time.with_max_age(VIEW_LAG * 2);
                }
                let view = lagging.unwrap_or_else(|| self.view(index));
                self.drivers[driver].observe(view, time, self.now);
            }
        }
        self.send_pending(driver);
    }

    fn send_pending(&mut self, driver: usize) {
        let pending = self.drivers[driver].pending_orders(self.now);
        self.sent
            .extend(pending.into_iter().map(|order| (driver, order)));
    }

    fn start(&mut self) {
        let driver = self.rng.usize(0..self.drivers.len());
        self.drivers[driver].start(
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
        let (driver, order) = self.sent.swap_remove(at);
        let reply = if self.chance(self.options.late) {
            self.late.push(order.clone());
            OrderReply::Unanswered
        } else if self.chance(self.options.unanswered) {
            self.execute(&order);
            OrderReply::Unanswered
        } else {
            self.execute(&order)
        };
        self.drivers[driver].reply(&order, reply, self.now);
        self.send_pending(driver);
    }

    fn execute_late(&mut self) {
        if self.late.is_empty() {
            return;
        }
        let at = self.rng.usize(0..self.late.len());
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
