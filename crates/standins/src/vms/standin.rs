//! Startup, settings and HTTP handlers of the VM list.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use amaranthgw_core::{EntityTable, MilliSpan, VmId};
use http::StatusCode;
use serde::Deserialize;
use tokio::time::Instant;

use super::{ListedVm, VmListBody};
use crate::error::Result;
use crate::http::{
    Call, CallError, CallHandler, ConnectionCloser, Reply, ReplyFuture, bind, empty_reply,
    json_reply, serve,
};
use crate::lagged::LaggedValue;
use crate::lock::lock;
use crate::running::{RunningStandin, Standin};
use crate::settings::settings_type;

settings_type! {
    /// Settings of the VM list stand-in.
    VmListSettings {
        /// Time until a change of the list becomes visible.
        #[serde(rename = "lag_ms", with = "crate::units::millis")]
        lag, with_lag: MilliSpan = MilliSpan::new(1_000);
        /// Initial list, visible without lag.
        list, with_list: VmListBody = VmListBody::default();
    }
}

/// Stand-in for the platform's list of live and leaving VMs.
#[derive(Clone, Debug)]
pub struct VmListStandin {
    settings: VmListSettings,
}

impl VmListStandin {
    /// Creates a stand-in that is not started yet.
    #[must_use]
    pub fn new(settings: VmListSettings) -> Self {
        Self { settings }
    }
}

impl Standin for VmListStandin {
    fn start(&self, listen: SocketAddr) -> Result<RunningStandin> {
        let (listener, address) = bind(listen)?;
        let handler = Arc::new(VmListHandler::new(self.settings.clone()));
        let running = RunningStandin::new().with_address(address);
        Ok(running.with_task(serve(listener, handler, ConnectionCloser::new())))
    }
}

#[derive(Debug)]
struct VmListHandler {
    list: Mutex<LaggedValue<EntityTable<VmId, ListedVm>>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct LagBody {
    #[serde(rename = "lag_ms", with = "crate::units::millis")]
    lag: MilliSpan,
}

impl VmListHandler {
    fn new(settings: VmListSettings) -> Self {
        let list = LaggedValue::new(settings.lag.duration(), settings.list.into_table());
        Self {
            list: Mutex::new(list),
        }
    }

    fn answer(&self, call: &Call, now: Instant) -> std::result::Result<Reply, CallError> {
        match (call.method(), call.segments().as_slice()) {
            ("GET", ["v1", "vms"]) => Ok(self.list(now)),
            ("PUT", ["admin", "vms"]) => self.replace(call, now),
            ("POST", ["admin", "vms"]) => self.set_lag(call),
            _ => Ok(empty_reply(StatusCode::NOT_FOUND)),
        }
    }

    fn list(&self, now: Instant) -> Reply {
        let list = lock(&self.list);
        json_reply(StatusCode::OK, &VmListBody::with_table(list.get(now)))
    }

    fn replace(&self, call: &Call, now: Instant) -> std::result::Result<Reply, CallError> {
        let body = call.json::<VmListBody>()?;
        let mut list = lock(&self.list);
        list.set(now, body.into_table());
        Ok(empty_reply(StatusCode::OK))
    }

    fn set_lag(&self, call: &Call) -> std::result::Result<Reply, CallError> {
        let body = call.json::<LagBody>()?;
        let mut list = lock(&self.list);
        list.set_lag(body.lag.duration());
        Ok(empty_reply(StatusCode::OK))
    }
}

impl CallHandler for VmListHandler {
    fn handle(self: Arc<Self>, call: Call) -> ReplyFuture {
        let reply = self.answer(&call, Instant::now());
        Box::pin(std::future::ready(Ok(
            reply.unwrap_or_else(|error| error.reply())
        )))
    }
}
