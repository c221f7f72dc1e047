//! Rank group of the platform: ranks that step in lock-step and carry out map switch orders.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::StatusCode;
use http::header::{HeaderName, HeaderValue};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::error::Result;
use crate::http::{
    Call, CallError, CallHandler, ConnectionCloser, NoAnswer, Reply, ReplyFuture, ReplyResult,
    bind, empty_reply, json_reply, serve,
};
use crate::lagged::LaggedValue;
use crate::lock::lock;
use crate::running::{RunningStandin, Standin};

/// Time between the starts of two steps.
const STEP_INTERVAL: Duration = Duration::from_millis(20);
/// Age of a rank's reports to other VMs.
const REPORT_LAG: Duration = Duration::from_millis(200);
/// Tokens that one step routes to the popular expert of each expert set; other experts get 2.
const POPULAR_TOKENS_PER_STEP: u64 = 100;

#[derive(Clone, Debug, Default)]
struct RankRow {
    map: u64,
    experts: Vec<Vec<u16>>,
    /// Version and experts of the prepared map.
    prepared: Option<(u64, Vec<Vec<u16>>)>,
    /// Map version and the step at which the rank switches to it.
    armed: Option<(u64, u64)>,
    /// Step that may not begin before `go`.
    held_step: Option<u64>,
    /// Highest version ever prepared.
    highest_version: u64,
    /// Largest fencing token seen, also of orders that were rejected for another reason.
    fencing_token: u64,
    /// Answer to the last call.
    last_answer: Option<RankAnswer>,
    /// Whether readers get old reports, as no agent runs beside the rank.
    is_lagging: bool,
    stall: OrderStall,
}

/// Whether a rank leaves orders unanswered.
#[derive(Clone, Debug, Default)]
enum OrderStall {
    /// It answers them.
    #[default]
    None,
    /// It leaves the next order to arm unanswered, and those that follow.
    FromNextArm,
    /// It does so since this order to arm.
    Since(OrderBody),
    /// It carries this order to arm out just before the next order that arrives.
    EndsWith(OrderBody),
}

#[derive(Debug)]
struct GroupWorld {
    /// Number of expert sets; a set is the experts of one layer.
    sets: usize,
    experts: usize,
    step: u64,
    ranks: Vec<RankRow>,
    popular_expert: u16,
    unanswered_percent: u32,
    repeated_percent: u32,
    switches: u64,
    /// Reports of all ranks as other VMs see them.
    past_reports: LaggedValue<Vec<Value>>,
    /// First step that ranks began with different map versions.
    mixed_step: Option<u64>,
}

#[derive(Clone, Debug, Deserialize)]
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

/// Generation of the group; constant, since no rank of the group restarts.
const EPOCH: u64 = 1;

/// Stand-in for a rank group; each rank is started separately on its own address.
#[derive(Clone, Debug)]
pub struct SiteGroup {
    world: Arc<Mutex<GroupWorld>>,
}

impl SiteGroup {
    /// Creates a group that holds `experts` experts in each of `sets` sets, distributed round-robin
    /// over `ranks`.
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
            popular_expert: 0,
            unanswered_percent: 0,
            repeated_percent: 0,
            switches: 0,
            past_reports: LaggedValue::new(REPORT_LAG, Vec::new()),
            mixed_step: None,
        };
        Self {
            world: Arc::new(Mutex::new(world)),
        }
    }

    /// Makes `expert` the one with most tokens.
    ///
    /// All counts are recomputed as if it had been popular from the start; the count of the former
    /// one falls.
    pub fn set_popular_expert(&self, expert: u16) {
        lock(&self.world).popular_expert = expert;
    }

    /// Drops the answers to `percent` of the orders after carrying them out.
    pub fn set_unanswered_percent(&self, percent: u32) {
        lock(&self.world).unanswered_percent = percent;
    }

    /// Answers `percent` of the orders with the answer to the rank's previous call, as if that had been
    /// written once more, and doesn't carry them out.
    pub fn set_repeated_percent(&self, percent: u32) {
        lock(&self.world).repeated_percent = percent;
    }

    /// Lets `rank` leave orders unanswered from its next order to arm on.
    pub fn stall_orders(&self, rank: usize) {
        lock(&self.world).ranks[rank].stall = OrderStall::FromNextArm;
    }

    /// Whether `rank` has left an order to arm unanswered.
    #[must_use]
    pub fn has_stalled_arm(&self, rank: usize) -> bool {
        matches!(lock(&self.world).ranks[rank].stall, OrderStall::Since(_))
    }

    /// Ends the stall of `rank`: it carries the order to arm out just before the next order that arrives.
    pub fn end_stall(&self, rank: usize) {
        let mut world = lock(&self.world);
        let stall = &mut world.ranks[rank].stall;
        if let OrderStall::Since(arm) = std::mem::take(stall) {
            *stall = OrderStall::EndsWith(arm);
        }
    }

    /// Lets readers of the reports of `rank` get old ones, as when its agent is down.
    pub fn set_lagging(&self, rank: usize) {
        lock(&self.world).ranks[rank].is_lagging = true;
    }

    /// Number of ranks that are armed.
    #[must_use]
    pub fn armed_ranks(&self) -> usize {
        let world = lock(&self.world);
        world
            .ranks
            .iter()
            .filter(|rank| rank.armed.is_some())
            .count()
    }

    /// Number of steps begun so far.
    #[must_use]
    pub fn steps(&self) -> u64 {
        lock(&self.world).step
    }

    /// Number of steps at which at least one rank changed its map.
    #[must_use]
    pub fn switches(&self) -> u64 {
        lock(&self.world).switches
    }

    /// The first step that ranks began with different map versions, if any.
    #[must_use]
    pub fn mixed_step(&self) -> Option<u64> {
        lock(&self.world).mixed_step
    }

    /// Begins a step at each interval, unless a rank holds it; runs until the future is dropped.
    pub async fn run(&self) {
        loop {
            sleep(STEP_INTERVAL).await;
            lock(&self.world).begin_step();
        }
    }

    /// Returns the rank with index `rank`, ready to be started on its address.
    #[must_use]
    pub fn rank(&self, rank: usize) -> SiteRank {
        SiteRank {
            rank,
            world: Arc::clone(&self.world),
        }
    }
}

impl GroupWorld {
    fn keep_reports(&mut self) {
        let reports = (0..self.ranks.len()).map(|rank| self.report(rank));
        let reports = reports.collect();
        self.past_reports.set(Instant::now(), reports);
    }

    /// The report of a rank as its readers get it.
    fn read_report(&self, rank: usize) -> Value {
        let past = self.past_reports.get(Instant::now()).get(rank);
        let past = past.filter(|_| self.ranks[rank].is_lagging);
        past.cloned().unwrap_or_else(|| self.report(rank))
    }

    fn begin_step(&mut self) {
        self.keep_reports();
        let next = self.step + 1;
        if self.ranks.iter().any(|rank| rank.held_step == Some(next)) {
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

    /// Tokens routed to each expert since the start, one expert set after another.
    fn counts(&self) -> Vec<u64> {
        let per_expert = |expert: usize| {
            let is_popular = expert == usize::from(self.popular_expert);
            self.step
                * if is_popular {
                    POPULAR_TOKENS_PER_STEP
                } else {
                    2
                }
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
            "held": row.held_step,
            "pace": 1.0,
        })
    }

    /// Takes an order; `None` if the rank leaves it unanswered.
    fn take_order(&mut self, rank: usize, order: &OrderBody) -> Option<StatusCode> {
        let stall = std::mem::take(&mut self.ranks[rank].stall);
        let (stall, is_answered) = match stall {
            OrderStall::FromNextArm if order.op == "arm" => {
                (OrderStall::Since(order.clone()), false)
            }
            OrderStall::Since(arm) => (OrderStall::Since(arm), false),
            OrderStall::EndsWith(arm) => {
                self.order(rank, &arm);
                (OrderStall::None, true)
            }
            OrderStall::None | OrderStall::FromNextArm => (stall, true),
        };
        self.ranks[rank].stall = stall;
        is_answered.then(|| self.order(rank, order))
    }

    fn order(&mut self, rank: usize, order: &OrderBody) -> StatusCode {
        let step = self.step;
        let row = &mut self.ranks[rank];
        if order.fence < row.fencing_token {
            return StatusCode::PRECONDITION_FAILED;
        }
        row.fencing_token = order.fence;
        if order.epoch != EPOCH {
            return StatusCode::CONFLICT;
        }
        if row.apply_order(order, rank, step) {
            StatusCode::ACCEPTED
        } else {
            StatusCode::CONFLICT
        }
    }
}

impl RankRow {
    /// Carries out an order and returns whether the rank's state allowed it.
    fn apply_order(&mut self, order: &OrderBody, rank: usize, step: u64) -> bool {
        match order.op.as_str() {
            "prepare" => {
                let is_same = self
                    .prepared
                    .as_ref()
                    .is_some_and(|prepared| prepared.0 == order.version);
                if is_same {
                    return true;
                }
                if order.version <= self.highest_version || self.armed.is_some() {
                    return false;
                }
                self.highest_version = order.version;
                let experts = order.map.iter().filter_map(|set| set.get(rank).cloned());
                self.prepared = Some((order.version, experts.collect()));
            }
            "arm" => {
                let is_prepared = self
                    .prepared
                    .as_ref()
                    .is_some_and(|prepared| prepared.0 == order.version);
                let armed = (order.version, order.step);
                let is_conflicting = self.armed.is_some_and(|current| current != armed);
                if !is_prepared || is_conflicting || order.step <= step {
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
                let is_conflicting = self
                    .held_step
                    .is_some_and(|held_step| held_step != order.step);
                if order.step <= step || is_conflicting {
                    return false;
                }
                self.held_step = Some(order.step);
            }
            "go" => {
                if self.held_step != Some(order.step) {
                    return false;
                }
                self.held_step = None;
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

/// Header that names a call and its answer.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-amaranthgw-request-id");

/// An answer of a rank, kept so that it can be written once more.
#[derive(Clone, Debug)]
struct RankAnswer {
    /// Id of the call; `None` if it had none.
    id: Option<HeaderValue>,
    status: StatusCode,
    body: Option<Value>,
}

impl RankAnswer {
    fn reply(self) -> Reply {
        let mut reply = self.body.map_or_else(
            || empty_reply(self.status),
            |body| json_reply(self.status, &body),
        );
        if let Some(id) = self.id {
            reply.headers_mut().insert(REQUEST_ID, id);
        }
        reply
    }
}

impl SiteRank {
    fn answer(&self, call: &Call) -> ReplyResult {
        let mut world = lock(&self.world);
        if call.method() == "POST"
            && fastrand::u32(0..100) < world.repeated_percent
            && let Some(last) = world.ranks[self.rank].last_answer.clone()
        {
            return Ok(last.reply());
        }
        let (status, body) = match (call.method(), call.segments().as_slice()) {
            ("GET", ["report"]) => (StatusCode::OK, Some(world.read_report(self.rank))),
            ("GET", ["picked"]) => match self.picked(&world, call) {
                Ok(body) => (StatusCode::OK, Some(body)),
                Err(error) => return Ok(error.reply()),
            },
            ("POST", ["order"]) => match call.json::<OrderBody>() {
                Ok(order) => {
                    let Some(status) = world.take_order(self.rank, &order) else {
                        return Err(NoAnswer);
                    };
                    if fastrand::u32(0..100) < world.unanswered_percent {
                        return Err(NoAnswer);
                    }
                    (status, None)
                }
                Err(error) => return Ok(error.reply()),
            },
            _ => (StatusCode::NOT_FOUND, None),
        };
        let id = call.headers().get(REQUEST_ID).cloned();
        let answer = RankAnswer { id, status, body };
        world.ranks[self.rank].last_answer = Some(answer.clone());
        Ok(answer.reply())
    }

    fn picked(&self, world: &GroupWorld, call: &Call) -> std::result::Result<Value, CallError> {
        let row = &world.ranks[self.rank];
        Ok(if call.query::<u32>("lists")?.is_some() {
            json!({ "map": { "version": row.map, "experts": row.experts }, "prepared": null })
        } else {
            json!({ "step": world.step, "epoch": EPOCH, "counts": world.counts() })
        })
    }
}

impl Standin for SiteRank {
    fn start(&self, listen: SocketAddr) -> Result<RunningStandin> {
        let (listener, address) = bind(listen)?;
        let handler = Arc::new(SiteRankHandler { rank: self.clone() });
        let running = RunningStandin::new().with_address(address);
        Ok(running.with_task(serve(listener, handler, ConnectionCloser::new())))
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
