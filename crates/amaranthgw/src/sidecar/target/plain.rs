//! Client of a plain service.

use std::net::SocketAddr;

use amaranthgw_core::{ChunkSequence, RequestId};
use futures_util::future::BoxFuture;
use futures_util::{StreamExt, stream};

use super::http::{TargetHttp, collect};
use super::{Result, TargetCall, TargetClient, TargetError, TargetEvent, TargetLoad, TargetStream};

/// Client of a plain service, whose answer is a single chunk.
#[derive(Clone, Debug)]
pub struct PlainClient {
    http: TargetHttp,
}

impl PlainClient {
    /// Creates a client of the service at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            http: TargetHttp::new(address),
        }
    }

    async fn call(&self, call: TargetCall) -> Result<TargetStream> {
        let request = self
            .http
            .post("/v1/call")
            .header("x-request", call.request.as_str())
            .header("x-attempt", call.attempt.get());
        let response = self.http.send(request, call.body).await?;
        let data = collect(response).await?;
        let chunk = TargetEvent::Chunk {
            sequence: ChunkSequence::new(0),
            data,
        };
        let events = [Ok(chunk), Ok(TargetEvent::End { chunk_count: 1 })];
        Ok(stream::iter(events).boxed())
    }
}

impl TargetClient for PlainClient {
    fn run(&self, call: TargetCall) -> BoxFuture<'_, Result<TargetStream>> {
        Box::pin(self.call(call))
    }

    fn cancel<'a>(&'a self, _request: &'a RequestId) -> BoxFuture<'a, Result<()>> {
        // Plain services can't cancel a call, so nothing is confirmed.
        Box::pin(async { Err(TargetError::Malformed) })
    }

    fn load(&self) -> BoxFuture<'_, Result<TargetLoad>> {
        Box::pin(self.http.load())
    }

    fn can_cancel(&self) -> bool {
        false
    }
}
