//! HTTP handlers of the key-value service.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranthgw_core::{FencingNumber, StoreRevision};
use compact_str::{CompactString, ToCompactString};
use http::{HeaderValue, StatusCode};
use serde::Serialize;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::StoreSettings;
use super::faults::{FaultMode, StoreFaults};
use super::ids::StoreKey;
use super::request::StoreCall;
use super::rows::StoredValue;
use super::world::{self, StoreWorld, WatchState, WriteError};
use crate::http::{
    Call, CallError, CallHandler, ConnectionCloser, NoAnswer, Reply, ReplyFuture, ReplyResult,
    bytes_reply, empty_reply, json_reply,
};
use crate::lock::lock;

/// Handles the calls of one key-value service.
#[derive(Debug)]
pub(super) struct StoreHandler {
    settings: StoreSettings,
    world: Mutex<StoreWorld>,
    closer: ConnectionCloser,
    /// Wakes the task that expires leases.
    pub(super) leases_changed: Notify,
}

#[derive(Debug, Serialize)]
struct LeaseReply {
    lease: CompactString,
    fencing: FencingNumber,
}

#[derive(Debug, Serialize)]
struct RevisionReply {
    revision: StoreRevision,
}

impl StoreHandler {
    pub(super) fn new(settings: StoreSettings, closer: ConnectionCloser) -> Self {
        Self {
            settings,
            world: Mutex::default(),
            closer,
            leases_changed: Notify::new(),
        }
    }

    /// Expires the leases that are due and returns when the next one expires.
    pub(super) fn expire_leases(&self, now: Instant) -> Option<Instant> {
        let mut world = lock(&self.world);
        world.expire_leases(now);
        world.next_expiry()
    }

    async fn answer(&self, request: &Call) -> ReplyResult {
        if request.is_admin() {
            let reply = self.control(request);
            return Ok(reply.unwrap_or_else(|error| error.reply()));
        }
        let half_delay = self.half_delay()?;
        let call = match StoreCall::read(request) {
            Ok(call) => call,
            Err(error) => return Ok(error.reply()),
        };
        self.count(&call);
        tokio::time::sleep(half_delay).await;
        let reply = self.execute(call, request).await?;
        tokio::time::sleep(half_delay).await;
        Ok(reply)
    }

    fn control(&self, request: &Call) -> std::result::Result<Reply, CallError> {
        match (request.method(), request.segments().as_slice()) {
            ("POST", ["admin", "faults"]) => Ok(self.set_faults(request.json()?)),
            ("GET", ["admin", "counts"]) => {
                Ok(json_reply(StatusCode::OK, &lock(&self.world).counts))
            }
            _ => Ok(empty_reply(StatusCode::NOT_FOUND)),
        }
    }

    fn set_faults(&self, faults: StoreFaults) -> Reply {
        let is_down = faults.mode == FaultMode::Down;
        lock(&self.world).faults = faults;
        if is_down {
            self.closer.close_all();
        }
        empty_reply(StatusCode::OK)
    }

    /// Half of the injected delay of a call; an error if the service is down.
    fn half_delay(&self) -> std::result::Result<Duration, NoAnswer> {
        let world = lock(&self.world);
        if world.faults.mode == FaultMode::Down {
            return Err(NoAnswer);
        }
        Ok(world.faults.half_delay())
    }

    fn count(&self, call: &StoreCall) {
        let counts = &mut lock(&self.world).counts;
        match call {
            StoreCall::Get(_) => counts.reads += 1,
            StoreCall::Watch(..) => counts.watches += 1,
            StoreCall::Unknown => {}
            _ => counts.writes += 1,
        }
    }

    async fn execute(&self, call: StoreCall, request: &Call) -> ReplyResult {
        if let StoreCall::Watch(key, after, wait) = call {
            return Ok(self.watch(&key, after, wait).await);
        }
        let now = Instant::now();
        let mut world = lock(&self.world);
        world.expire_leases(now);
        match call {
            StoreCall::Get(key) => Ok(value_reply(world.value(&key))),
            StoreCall::Put(..) if request.body.len() > self.settings.max_value_bytes => {
                Ok(empty_reply(StatusCode::PAYLOAD_TOO_LARGE))
            }
            StoreCall::Put(key, expect, lease) => {
                let outcome = world.put(&key, expect, request.body.clone(), lease);
                write_reply(&mut world, outcome)
            }
            StoreCall::Delete(key, expect) => {
                let outcome = world.delete(&key, expect);
                write_reply(&mut world, outcome)
            }
            StoreCall::Grant(ttl) => Ok(self.grant(&mut world, ttl, now)),
            StoreCall::Renew(lease) => {
                let renewed = world.renew(lease, now);
                Ok(lease_reply(renewed.is_ok()))
            }
            StoreCall::EndLease(lease) => Ok(lease_reply(world.end_lease(lease).is_ok())),
            _ => Ok(empty_reply(StatusCode::NOT_FOUND)),
        }
    }

    fn grant(&self, world: &mut StoreWorld, ttl: Duration, now: Instant) -> Reply {
        let (lease, fencing) = world.grant(ttl, now);
        self.leases_changed.notify_one();
        let lease = lease.to_compact_string();
        json_reply(StatusCode::OK, &LeaseReply { lease, fencing })
    }

    async fn watch(&self, key: &StoreKey, after: StoreRevision, wait: Duration) -> Reply {
        let change = self.wait_for_change(key, after);
        let change = tokio::time::timeout(wait, change).await;
        change.map_or_else(|_elapsed| empty_reply(StatusCode::NO_CONTENT), value_reply)
    }

    async fn wait_for_change(&self, key: &StoreKey, after: StoreRevision) -> Option<StoredValue> {
        loop {
            let changed = {
                let mut world = lock(&self.world);
                match world.watch(key, after) {
                    WatchState::Changed(value) => return value,
                    WatchState::Unchanged(changed) => changed.notified_owned(),
                }
            };
            changed.await;
        }
    }
}

impl CallHandler for StoreHandler {
    fn handle(self: Arc<Self>, call: Call) -> ReplyFuture {
        Box::pin(async move { self.answer(&call).await })
    }
}

fn value_reply(value: Option<StoredValue>) -> Reply {
    let Some(value) = value else {
        return empty_reply(StatusCode::NOT_FOUND);
    };
    let revision = HeaderValue::from(value.revision.get());
    let mut reply = bytes_reply(StatusCode::OK, value.bytes);
    reply.headers_mut().insert("x-revision", revision);
    reply
}

fn write_reply(world: &mut StoreWorld, outcome: world::Result<StoreRevision>) -> ReplyResult {
    match outcome {
        Ok(_) if world.faults.take_lost_answer() => Err(NoAnswer),
        Ok(revision) => Ok(json_reply(StatusCode::OK, &RevisionReply { revision })),
        Err(WriteError::RevisionMismatch(revision)) => Ok(json_reply(
            StatusCode::CONFLICT,
            &RevisionReply { revision },
        )),
        Err(WriteError::LeaseNotFound) => Ok(empty_reply(StatusCode::NOT_FOUND)),
    }
}

fn lease_reply(is_known: bool) -> Reply {
    empty_reply(if is_known {
        StatusCode::OK
    } else {
        StatusCode::NOT_FOUND
    })
}
