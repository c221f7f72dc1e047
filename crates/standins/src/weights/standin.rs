//! Start and calls of the weight store.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use amaranthgw_core::{ByteCount, ByteRate, ExpertId, LayerId, ModelId};
use bytes::Bytes;
use futures_util::{Stream, stream};
use http::StatusCode;
use hyper::body::Frame;
use tokio::time::Instant;

use super::world::WeightWorld;
use crate::error::Result;
use crate::http::{
    BrokenStream, Call, CallError, CallHandler, ConnectionSwitch, Reply, ReplyFuture, bind,
    empty_reply, json_reply, parse_segment, serve, stream_reply,
};
use crate::lock::lock;
use crate::running::{RunningStandin, Standin};
use crate::settings::settings_type;

/// Bytes that are sent at once.
const PART_BYTES: u64 = 16 * 1024;

settings_type! {
    /// Settings of the weight store.
    WeightSettings {
        /// Rate over all callers.
        rate, with_rate: ByteRate = ByteRate::new(64 * 1024 * 1024);
        /// Size of each expert.
        expert_bytes, with_expert_bytes: ByteCount = ByteCount::new(1024 * 1024);
    }
}

/// Stand-in for the platform's weight store.
#[derive(Clone, Debug)]
pub struct WeightStandin {
    settings: WeightSettings,
}

impl WeightStandin {
    /// Creates the stand-in.
    #[must_use]
    pub fn new(settings: WeightSettings) -> Self {
        Self { settings }
    }
}

impl Standin for WeightStandin {
    fn start(&self, listen: SocketAddr) -> Result<RunningStandin> {
        let (listener, address) = bind(listen)?;
        let handler = Arc::new(WeightHandler {
            expert_bytes: self.settings.expert_bytes,
            world: Mutex::new(WeightWorld::new(self.settings.rate, Instant::now())),
        });
        let running = RunningStandin::new().with_address(address);
        Ok(running.with_task(serve(listener, handler, ConnectionSwitch::new())))
    }
}

#[derive(Debug)]
struct WeightHandler {
    expert_bytes: ByteCount,
    world: Mutex<WeightWorld>,
}

impl WeightHandler {
    fn answer(self: Arc<Self>, call: &Call) -> std::result::Result<Reply, CallError> {
        match (call.method(), call.segments().as_slice()) {
            ("GET", ["v1", "weights", model, layer, expert]) => {
                parse_segment::<ModelId>(model, "model")?;
                parse_segment::<LayerId>(layer, "layer")?;
                parse_segment::<ExpertId>(expert, "expert")?;
                Ok(self.read())
            }
            ("GET", ["admin", "counts"]) => {
                Ok(json_reply(StatusCode::OK, &lock(&self.world).counts))
            }
            ("POST", ["admin", "weights"]) => {
                let control = call.json()?;
                lock(&self.world).control(&control);
                Ok(empty_reply(StatusCode::OK))
            }
            _ => Ok(empty_reply(StatusCode::NOT_FOUND)),
        }
    }

    fn read(self: Arc<Self>) -> Reply {
        lock(&self.world).begin_read();
        stream_reply("application/octet-stream", self.parts())
    }

    fn parts(
        self: Arc<Self>,
    ) -> impl Stream<Item = std::result::Result<Frame<Bytes>, BrokenStream>> + Send + 'static {
        let left = self.expert_bytes.get();
        stream::unfold((self, left), |(handler, left)| async move {
            let size = left.min(PART_BYTES);
            let part = handler.next_part(size).await?;
            Some((Ok(Frame::data(part)), (handler, left - size)))
        })
    }

    /// Waits for its share of the rate; `None` at the end.
    async fn next_part(&self, size: u64) -> Option<Bytes> {
        let length = usize::try_from(size).ok().filter(|length| *length > 0)?;
        let size = ByteCount::new(size);
        let due = lock(&self.world).reserve(size, Instant::now());
        tokio::time::sleep_until(due).await;
        lock(&self.world).end_part(size);
        Some(Bytes::from(vec![0; length]))
    }
}

impl CallHandler for WeightHandler {
    fn handle(self: Arc<Self>, call: Call) -> ReplyFuture {
        let reply = self.answer(&call);
        Box::pin(std::future::ready(Ok(
            reply.unwrap_or_else(|error| error.reply())
        )))
    }
}
