//! HTTP handlers of the ranks.

use std::sync::{Arc, Mutex};

use amaranthgw_core::{EntityTable, RankId, TickSchedule};
use http::StatusCode;
use serde::Serialize;
use tokio::sync::Notify;
use tokio::sync::futures::OwnedNotified;
use tokio::time::Instant;

use super::GroupSettings;
use super::messages::RankControl;
use super::world::GroupWorld;
use crate::http::{
    Call, CallError, CallHandler, ConnectionCloser, NoAnswer, Reply, ReplyFuture, empty_reply,
    json_reply,
};
use crate::lock::lock;

/// Reply to a call, or `None` while the rank is down.
type Result = std::result::Result<Option<Reply>, CallError>;

/// State shared by the ranks of a group.
#[derive(Debug)]
pub(super) struct GroupShared {
    pub(super) world: Mutex<GroupWorld>,
    /// Wakes the expert loader of a rank when an order arrives.
    orders: EntityTable<RankId, Arc<Notify>>,
}

impl GroupShared {
    pub(super) fn new(settings: GroupSettings, now: Instant) -> Self {
        let ranks = (0..settings.ranks).map(RankId::new);
        Self {
            orders: ranks.map(|rank| (rank, Arc::default())).collect(),
            world: Mutex::new(GroupWorld::new(settings, now)),
        }
    }

    /// Returns a future that completes at the next order to `rank`.
    pub(super) fn next_order(&self, rank: RankId) -> OwnedNotified {
        let notify = self.orders.get(&rank).map(Arc::clone);
        notify.unwrap_or_default().notified_owned()
    }

    /// Runs the systems if a step is due and returns when the next one is.
    pub(super) fn run_due(&self, schedule: &mut TickSchedule<GroupWorld>, now: Instant) -> Instant {
        let mut world = lock(&self.world);
        if world.next_step <= now {
            schedule.run(&mut world, now);
        }
        world.next_step
    }

    fn wake_loader(&self, rank: RankId) {
        if let Some(notify) = self.orders.get(&rank) {
            notify.notify_one();
        }
    }
}

/// Handles the calls of one rank.
#[derive(Debug)]
pub(super) struct RankHandler {
    rank: RankId,
    shared: Arc<GroupShared>,
    closer: ConnectionCloser,
}

impl RankHandler {
    pub(super) fn new(rank: RankId, shared: Arc<GroupShared>, closer: ConnectionCloser) -> Self {
        Self {
            rank,
            shared,
            closer,
        }
    }

    fn answer(&self, call: &Call, now: Instant) -> Result {
        let is_down = lock(&self.shared.world).running(self.rank, now).is_none();
        if is_down && !call.is_admin() {
            return Ok(None);
        }
        match (call.method(), call.segments().as_slice()) {
            ("POST", ["v1", "orders"]) => self.order(call, now),
            ("GET", ["v1", "group"]) => {
                Ok(reply_if_up(lock(&self.shared.world).state(self.rank, now)))
            }
            ("GET", ["v1", "experts"]) => Ok(reply_if_up(
                lock(&self.shared.world).experts(self.rank, now),
            )),
            ("GET", ["admin", "log"]) => {
                let world = lock(&self.shared.world);
                Ok(Some(json_reply(StatusCode::OK, &world.log)))
            }
            ("POST", ["admin", "group"]) => {
                let control = call.json()?;
                lock(&self.shared.world).control(control);
                Ok(Some(empty_reply(StatusCode::OK)))
            }
            ("POST", ["admin", "rank"]) => self.control(call, now),
            _ => Ok(Some(empty_reply(StatusCode::NOT_FOUND))),
        }
    }

    fn order(&self, call: &Call, now: Instant) -> Result {
        let body = call.json()?;
        let mut world = lock(&self.shared.world);
        let Some(row) = world.running(self.rank, now) else {
            return Ok(None);
        };
        let status = if row.apply_order(body) {
            StatusCode::OK
        } else {
            StatusCode::CONFLICT
        };
        self.shared.wake_loader(self.rank);
        Ok(Some(json_reply(status, &row.fencing.reply())))
    }

    fn control(&self, call: &Call, now: Instant) -> Result {
        let control = call.json::<RankControl>()?;
        lock(&self.shared.world).control_rank(self.rank, &control, now);
        if control.restart {
            self.closer.close_all();
        }
        Ok(Some(empty_reply(StatusCode::OK)))
    }
}

impl CallHandler for RankHandler {
    fn handle(self: Arc<Self>, call: Call) -> ReplyFuture {
        let reply = match self.answer(&call, Instant::now()) {
            Ok(reply) => reply.ok_or(NoAnswer),
            Err(error) => Ok(error.reply()),
        };
        Box::pin(std::future::ready(reply))
    }
}

fn reply_if_up(body: Option<impl Serialize>) -> Option<Reply> {
    body.map(|body| json_reply(StatusCode::OK, &body))
}
