//! Startup, settings and HTTP handlers of the plain service.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use amaranthgw_core::MilliSpan;
use bytes::Bytes;
use compact_str::CompactString;
use http::StatusCode;

use super::world::{PlainWorld, RunRow};
use crate::error::Result;
use crate::http::{
    Call, CallError, CallHandler, ConnectionCloser, NoAnswer, Reply, ReplyFuture, ReplyResult,
    bind, bytes_reply, empty_reply, json_reply, serve,
};
use crate::lock::lock;
use crate::running::{RunningStandin, Standin};
use crate::settings::settings_type;

/// Prefix of an answer; the request's body follows.
const ANSWER_PREFIX: &[u8] = b"ran:";

settings_type! {
    /// Settings of the plain service stand-in.
    PlainSettings {
        /// Time from a call's arrival to its answer.
        #[serde(rename = "call_ms", with = "crate::units::millis")]
        call_span, with_call_span: MilliSpan = MilliSpan::new(20);
    }
}

/// Stand-in for a plain service.
#[derive(Clone, Debug)]
pub struct PlainStandin {
    settings: PlainSettings,
}

impl PlainStandin {
    /// Creates a stand-in that is not started yet.
    #[must_use]
    pub fn new(settings: PlainSettings) -> Self {
        Self { settings }
    }
}

impl Standin for PlainStandin {
    fn start(&self, listen: SocketAddr) -> Result<RunningStandin> {
        let (listener, address) = bind(listen)?;
        let world = Mutex::new(PlainWorld::new(self.settings.clone()));
        let handler = Arc::new(PlainHandler { world });
        let running = RunningStandin::new().with_address(address);
        Ok(running.with_task(serve(listener, handler, ConnectionCloser::new())))
    }
}

#[derive(Debug)]
struct PlainHandler {
    world: Mutex<PlainWorld>,
}

/// Guard of a call in flight; dropping it ends the call, also when the caller disconnects.
struct CallInFlight<'a> {
    world: &'a Mutex<PlainWorld>,
}

impl Drop for CallInFlight<'_> {
    fn drop(&mut self) {
        lock(self.world).end_run();
    }
}

impl PlainHandler {
    async fn answer(&self, call: &Call) -> ReplyResult {
        if (call.method(), call.segments().as_slice()) != ("POST", &["v1", "call"]) {
            return Ok(self
                .answer_immediately(call)
                .unwrap_or_else(|error| error.reply()));
        }
        match run_row(call) {
            Ok(row) => self.run(row, &call.body).await,
            Err(error) => Ok(error.reply()),
        }
    }

    async fn run(&self, row: RunRow, body: &Bytes) -> ReplyResult {
        let call_span = lock(&self.world).begin_run(row);
        let _in_flight = CallInFlight { world: &self.world };
        tokio::time::sleep(call_span.duration()).await;
        if lock(&self.world).take_lost_answer() {
            return Err(NoAnswer);
        }
        Ok(bytes_reply(
            StatusCode::OK,
            Bytes::from([ANSWER_PREFIX, body].concat()),
        ))
    }

    /// Handles load reports and test controls, which are answered without delay.
    fn answer_immediately(&self, call: &Call) -> std::result::Result<Reply, CallError> {
        match (call.method(), call.segments().as_slice()) {
            ("GET", ["v1", "load"]) => Ok(json_reply(StatusCode::OK, &lock(&self.world).load())),
            ("GET", ["admin", "log"]) => Ok(json_reply(StatusCode::OK, lock(&self.world).log())),
            ("POST", ["admin", "plain"]) => {
                let control = call.json()?;
                lock(&self.world).control(&control);
                Ok(empty_reply(StatusCode::OK))
            }
            _ => Ok(empty_reply(StatusCode::NOT_FOUND)),
        }
    }
}

impl CallHandler for PlainHandler {
    fn handle(self: Arc<Self>, call: Call) -> ReplyFuture {
        Box::pin(async move { self.answer(&call).await })
    }
}

fn run_row(call: &Call) -> std::result::Result<RunRow, CallError> {
    let request = call.header("x-request")?;
    Ok(RunRow {
        request: request.ok_or(CallError::Parameter("x-request"))?,
        attempt: call.header("x-attempt")?.unwrap_or_default(),
        body: CompactString::from_utf8_lossy(&call.body),
    })
}
