//! HTTP handlers of a model engine.

use std::sync::{Arc, Mutex};

use amaranthgw_core::TickSchedule;
use http::StatusCode;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::EngineSettings;
use super::messages::{CancelReply, EngineControl};
use super::stream::frames;
use super::world::{EngineDown, EngineWorld};
use crate::http::{
    Call, CallError, CallHandler, ConnectionCloser, NoAnswer, Reply, ReplyFuture, empty_reply,
    json_reply, parse_segment, stream_reply,
};
use crate::lock::lock;

const STREAM_TYPE: &str = "application/x-ndjson";

/// Result of a call.
type Result<T> = std::result::Result<T, CallFailure>;

/// Why a call failed.
#[derive(Debug)]
enum CallFailure {
    Malformed(CallError),
    Down,
}

impl From<CallError> for CallFailure {
    fn from(error: CallError) -> Self {
        Self::Malformed(error)
    }
}

impl From<EngineDown> for CallFailure {
    fn from(_down: EngineDown) -> Self {
        Self::Down
    }
}

/// Handles the calls of one engine.
#[derive(Debug)]
pub(super) struct EngineHandler {
    world: Mutex<EngineWorld>,
    closer: ConnectionCloser,
    /// Wakes the task that runs the decoding steps; notified after every call.
    pub(super) changed: Notify,
}

impl EngineHandler {
    pub(super) fn new(settings: EngineSettings, closer: ConnectionCloser, now: Instant) -> Self {
        Self {
            world: Mutex::new(EngineWorld::new(settings, now)),
            closer,
            changed: Notify::new(),
        }
    }

    /// Runs the systems if a step is due and returns when the next one is; `None` while idle.
    pub(super) fn run_due(
        &self,
        schedule: &mut TickSchedule<EngineWorld>,
        now: Instant,
    ) -> Option<Instant> {
        let mut world = lock(&self.world);
        if world.next_due().is_some_and(|due| due <= now) {
            schedule.run(&mut world, now);
        }
        world.next_due()
    }

    fn answer(&self, call: &Call, now: Instant) -> Result<Reply> {
        if !call.is_admin() {
            lock(&self.world).ensure_up(now)?;
        }
        match (call.method(), call.segments().as_slice()) {
            ("POST", ["v1", "generate"]) => self.generate(call, now),
            ("POST", ["v1", "cancel", request @ ..]) => self.cancel(&request.join("/"), now),
            ("GET", ["v1", "load"]) => self.load(now),
            ("POST", ["v1", "orders"]) => self.order(call, now),
            ("POST", ["admin", "engine"]) => self.control(call, now),
            ("GET", ["admin", "log"]) => Ok(json_reply(StatusCode::OK, &lock(&self.world).log)),
            _ => Ok(empty_reply(StatusCode::NOT_FOUND)),
        }
    }

    fn generate(&self, call: &Call, now: Instant) -> Result<Reply> {
        let body = call.json()?;
        let parts = lock(&self.world).dispatch(body, now)?;
        Ok(stream_reply(STREAM_TYPE, frames(parts)))
    }

    fn cancel(&self, request: &str, now: Instant) -> Result<Reply> {
        let request = parse_segment(request, "request")?;
        let stopped = lock(&self.world).cancel(request, now)?;
        Ok(json_reply(StatusCode::OK, &CancelReply { stopped }))
    }

    fn load(&self, now: Instant) -> Result<Reply> {
        let load = lock(&self.world).load(now)?;
        Ok(json_reply(StatusCode::OK, &load))
    }

    fn order(&self, call: &Call, now: Instant) -> Result<Reply> {
        let body = call.json()?;
        let mut world = lock(&self.world);
        let status = if world.record_order(body, now)? {
            StatusCode::OK
        } else {
            StatusCode::CONFLICT
        };
        Ok(json_reply(status, &world.fencing.reply()))
    }

    fn control(&self, call: &Call, now: Instant) -> Result<Reply> {
        let control = call.json::<EngineControl>()?;
        lock(&self.world).control(&control, now);
        Ok(empty_reply(StatusCode::OK))
    }

    /// Closes all connections if the engine has just crashed.
    fn close_if_crashed(&self) {
        let has_crashed = std::mem::take(&mut lock(&self.world).has_crashed);
        if has_crashed {
            self.closer.close_all();
        }
    }
}

impl CallHandler for EngineHandler {
    fn handle(self: Arc<Self>, call: Call) -> ReplyFuture {
        let reply = match self.answer(&call, Instant::now()) {
            Ok(reply) => Ok(reply),
            Err(CallFailure::Malformed(error)) => Ok(error.reply()),
            Err(CallFailure::Down) => Err(NoAnswer),
        };
        self.close_if_crashed();
        self.changed.notify_one();
        Box::pin(std::future::ready(reply))
    }
}
