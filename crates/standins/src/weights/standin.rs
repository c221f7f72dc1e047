//! Startup, settings and HTTP handlers of the weight store.

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
    BrokenStream, Call, CallError, CallHandler, ConnectionCloser, Reply, ReplyFuture, bind,
    empty_reply, json_reply, parse_segment, serve, stream_reply,
};
use crate::lock::lock;
use crate::running::{RunningStandin, Standin};
use crate::settings::settings_type;

/// Maximum size of one streamed chunk, in bytes.
const CHUNK_BYTES: u64 = 16 * 1024;

settings_type! {
    /// Settings of the weight store stand-in.
    WeightSettings {
        /// Total send rate, shared by all callers.
        rate, with_rate: ByteRate = ByteRate::new(64 * 1024 * 1024);
        /// Size of each expert, in bytes.
        expert_bytes, with_expert_bytes: ByteCount = ByteCount::new(1024 * 1024);
    }
}

/// Stand-in for the platform's weight store.
#[derive(Clone, Debug)]
pub struct WeightStandin {
    settings: WeightSettings,
}

impl WeightStandin {
    /// Creates a stand-in that is not started yet.
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
        Ok(running.with_task(serve(listener, handler, ConnectionCloser::new())))
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
        stream_reply("application/octet-stream", self.chunks())
    }

    fn chunks(
        self: Arc<Self>,
    ) -> impl Stream<Item = std::result::Result<Frame<Bytes>, BrokenStream>> + Send + 'static {
        let remaining = self.expert_bytes.get();
        stream::unfold((self, remaining), |(handler, remaining)| async move {
            let size = remaining.min(CHUNK_BYTES);
            let chunk = handler.next_chunk(size).await?;
            Some((Ok(Frame::data(chunk)), (handler, remaining - size)))
        })
    }

    /// Waits until the rate limit admits a chunk of `size` bytes; `None` if `size` is 0.
    async fn next_chunk(&self, size: u64) -> Option<Bytes> {
        let length = usize::try_from(size).ok().filter(|length| *length > 0)?;
        let size = ByteCount::new(size);
        let due = lock(&self.world).reserve(size, Instant::now());
        tokio::time::sleep_until(due).await;
        lock(&self.world).record_sent(size);
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
