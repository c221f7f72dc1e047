//! A rank group of the platform: ranks in lock-step that take orders.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::StatusCode;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::error::Result;
use crate::http::{
    Call, CallError, CallHandler, ConnectionSwitch, NoAnswer, Reply, ReplyFuture, ReplyResult,
    bind, empty_reply, json_reply, serve,
};
use crate::lock::lock;
use crate::running::{RunningStandin, Standin};

/// Pause between two steps of a group.
const STEP_PAUSE: Duration = Duration::from_millis(20);
/// Choices that one step adds to the counts of each rank and set.
const CHOICES_PER_STEP: u64 = 100;

#[derive(Clone, Debug, Default)]
struct RankRow {
    map: u64,
    experts: Vec<Vec<u16>>,
    prepared: Option<(u64, Vec<Vec<u16>>)>,
    armed: Option<(u64, u64)>,
    held: Option<u64>,
    highest: u64,
    fence: u64,
}

#[derive(Debug)]
struct GroupWorld {
    sets: usize,
    experts: usize,
    step: u64,
    ranks: Vec<RankRow>,
    wanted: u16,
    unanswered_percent: u32,
    switches: u64,
    mixed_step: Option<u64>,
}

#[derive(Deserialize)]
struct OrderBody {
    op: String,
    #[serde(default)]
    fence: u64,
    #[serde(default)]
    epoch: u64,
    #[serde(default)]
    version: u64,
    #[serde(default)]
    step: u64,
    #[serde(default)]
    map: Vec<Vec<Vec<u16>>>,
}

/// Generation of the group; it never breaks.
const EPOCH: u64 = 1;

/// Stand-in for a rank group; each of its ranks is started on an address of its own.
#[derive(Clone, Debug)]
pub struct SiteGroup {
    world: Arc<Mutex<GroupWorld>>,
}

impl SiteGroup {
    /// Creates a group of `ranks` with experts in turn.
    #[must_use]
    pub fn new(ranks: u16, sets: usize, experts: u16) -> Self {
        let row = |rank: u16| {
            let held: Vec<u16> = (0..experts)
                .filter(|expert| expert % ranks == rank)
                .collect();
            RankRow {
                experts: vec![held; sets],
                ..RankRow::default()
            }
        };
        let world = GroupWorld {
            sets,
            experts: experts.into(),
            step: 0,
            ranks: (0..ranks).map(row).collect(),
            wanted: 0,
            unanswered_percent: 0,
            switches: 0,
            mixed_step: None,
        };
        Self {
            world: Arc::new(Mutex::new(world)),
        }
    }

    /// Makes `expert` get most of the choices.
    pub fn want(&self, expert: u16) {
        lock(&self.world).wanted = expert;
    }

    /// Leaves a part of the orders unanswered, though they are carried out.
    pub fn leave_unanswered(&self, percent: u32) {
        lock(&self.world).unanswered_percent = percent;
    }

    /// Steps that began.
    #[must_use]
    pub fn steps(&self) -> u64 {
        lock(&self.world).step
    }

    /// Changes of the map.
    #[must_use]
    pub fn switches(&self) -> u64 {
        lock(&self.world).switches
    }

    /// The first step that began under two maps.
    #[must_use]
    pub fn mixed_step(&self) -> Option<u64> {
        lock(&self.world).mixed_step
    }

    /// Begins steps for as long as the future is polled.
    pub async fn run(&self) {
        loop {
            sleep(STEP_PAUSE).await;
            lock(&self.world).begin_step();
        }
    }

    /// The rank of the given number, to be started on its address.
    #[must_use]
    pub fn rank(&self, rank: usize) -> SiteRank {
        SiteRank {
            rank,
            world: Arc::clone(&self.world),
        }
    }
}

impl GroupWorld {
    fn begin_step(&mut self) {
        let next = self.step + 1;
        if self.ranks.iter().any(|rank| rank.held == Some(next)) {
            return;
        }
        self.step = next;
        let mut is_switch = false;
        for rank in &mut self.ranks {
            if rank.armed.is_some_and(|(_, step)| step == next)
                && let Some((version, experts)) = rank.prepared.take()
            {
                rank.armed = None;
                rank.map = version;
                rank.experts = experts;
                is_switch = true;
            }
        }
        self.switches += u64::from(is_switch);
        let first = self.ranks[0].map;
        if self.ranks.iter().any(|rank| rank.map != first) {
            self.mixed_step = self.mixed_step.or(Some(next));
        }
    }

    /// Counts since the start: the wanted expert and its neighbours get most.
    fn counts(&self) -> Vec<u64> {
        let per_expert = |expert: usize| {
            let is_wanted = expert == usize::from(self.wanted);
            self.step * if is_wanted { CHOICES_PER_STEP } else { 2 }
        };
        (0..self.sets)
            .flat_map(|_| (0..self.experts).map(per_expert))
            .collect()
    }

    fn report(&self, rank: usize) -> Value {
        let row = &self.ranks[rank];
        json!({
            "group": { "name": "g-1", "epoch": EPOCH, "rank": rank, "state": "open" },
            "size": self.ranks.len(),
            "born": 1,
            "step": self.step,
            "map": row.map,
            "prepared": row.prepared.as_ref().map(|(version, _)| version),
            "armed": row.armed.map(|(version, step)| json!({ "version": version, "step": step })),
            "held": row.held,
            "pace": 1.0,
        })
    }

    fn order(&mut self, rank: usize, order: &OrderBody) -> StatusCode {
        let step = self.step;
        let row = &mut self.ranks[rank];
        if order.fence < row.fence {
            return StatusCode::PRECONDITION_FAILED;
        }
        row.fence = order.fence;
        if order.epoch != EPOCH {
            return StatusCode::CONFLICT;
        }
        if row.take(order, rank, step) {
            StatusCode::ACCEPTED
        } else {
            StatusCode::CONFLICT
        }
    }
}

impl RankRow {
    /// Carries an order out; `false` where it does not fit the state.
    fn take(&mut self, order: &OrderBody, rank: usize, step: u64) -> bool {
        match order.op.as_str() {
            "prepare" => {
                let is_same = self
                    .prepared
                    .as_ref()
                    .is_some_and(|it| it.0 == order.version);
                if is_same {
                    return true;
                }
                if order.version <= self.highest || self.armed.is_some() {
                    return false;
                }
                self.highest = order.version;
                let experts = order.map.iter().filter_map(|set| set.get(rank).cloned());
                self.prepared = Some((order.version, experts.collect()));
            }
            "arm" => {
                let is_prepared = self
                    .prepared
                    .as_ref()
                    .is_some_and(|it| it.0 == order.version);
                let armed = (order.version, order.step);
                let is_other = self.armed.is_some_and(|it| it != armed);
                if !is_prepared || is_other || order.step <= step {
                    return false;
                }
                self.armed = Some(armed);
            }
            "disarm" => {
                if self
                    .armed
                    .is_some_and(|(version, _)| version == order.version)
                {
                    self.armed = None;
                }
            }
            "hold" => {
                let is_other = self.held.is_some_and(|held| held != order.step);
                if order.step <= step || is_other {
                    return false;
                }
                self.held = Some(order.step);
            }
            "go" => {
                if self.held != Some(order.step) {
                    return false;
                }
                self.held = None;
            }
            _ => return false,
        }
        true
    }
}

/// One rank of a [`SiteGroup`].
#[derive(Clone, Debug)]
pub struct SiteRank {
    rank: usize,
    world: Arc<Mutex<GroupWorld>>,
}

impl SiteRank {
    fn answer(&self, call: &Call) -> ReplyResult {
        let mut world = lock(&self.world);
        Ok(match (call.method(), call.segments().as_slice()) {
            ("GET", ["report"]) => json_reply(StatusCode::OK, &world.report(self.rank)),
            ("GET", ["picked"]) => self
                .picked(&world, call)
                .unwrap_or_else(|error| error.reply()),
            ("POST", ["order"]) => match call.json::<OrderBody>() {
                Ok(order) => {
                    let status = world.order(self.rank, &order);
                    if fastrand::u32(0..100) < world.unanswered_percent {
                        return Err(NoAnswer);
                    }
                    empty_reply(status)
                }
                Err(error) => error.reply(),
            },
            _ => empty_reply(StatusCode::NOT_FOUND),
        })
    }

    fn picked(&self, world: &GroupWorld, call: &Call) -> std::result::Result<Reply, CallError> {
        let row = &world.ranks[self.rank];
        let body = if call.query::<u32>("lists")?.is_some() {
            json!({ "map": { "version": row.map, "experts": row.experts }, "prepared": null })
        } else {
            json!({ "step": world.step, "epoch": EPOCH, "counts": world.counts() })
        };
        Ok(json_reply(StatusCode::OK, &body))
    }
}

impl Standin for SiteRank {
    fn start(&self, listen: SocketAddr) -> Result<RunningStandin> {
        let (listener, address) = bind(listen)?;
        let handler = Arc::new(SiteRankHandler { rank: self.clone() });
        let running = RunningStandin::new().with_address(address);
        Ok(running.with_task(serve(listener, handler, ConnectionSwitch::new())))
    }
}

#[derive(Debug)]
struct SiteRankHandler {
    rank: SiteRank,
}

impl CallHandler for SiteRankHandler {
    fn handle(self: Arc<Self>, call: Call) -> ReplyFuture {
        Box::pin(async move { self.rank.answer(&call) })
    }
}
