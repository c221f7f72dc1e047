//! Client of a model engine.

use std::net::SocketAddr;
use std::time::Duration;

use amaranthgw_core::{ChunkSequence, RequestId};
use bytes::{Bytes, BytesMut};
use futures_util::future::BoxFuture;
use futures_util::{StreamExt, stream};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use super::http::TargetHttp;
use super::{Result, TargetCall, TargetClient, TargetError, TargetEvent, TargetLoad, TargetStream};

/// Maximum time for the engine to confirm a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest line accepted from the engine, in bytes.
const MAX_LINE_BYTES: usize = 1024 * 1024;

/// Client of a model engine that streams its answer as JSON lines.
#[derive(Clone, Debug)]
pub struct EngineClient {
    http: TargetHttp,
}

#[derive(Serialize)]
struct GenerateBody<'a> {
    request: &'a str,
    attempt: u32,
    prompt: &'a str,
    max_tokens: u64,
    priority: u32,
    resume_from: u64,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum EngineLine {
    Chunk {
        sequence: ChunkSequence,
        text: String,
    },
    End {
        end: EndFields,
    },
}

#[derive(Deserialize)]
struct EndFields {
    chunks: u64,
}

impl EngineClient {
    /// Creates a client of the engine at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            http: TargetHttp::new(address),
        }
    }

    async fn generate(&self, call: TargetCall) -> Result<TargetStream> {
        let prompt = std::str::from_utf8(&call.body).map_err(|_invalid| TargetError::Malformed)?;
        let body = GenerateBody {
            request: call.request.as_str(),
            attempt: call.attempt.get(),
            prompt,
            max_tokens: call.max_tokens.get(),
            priority: call.priority,
            resume_from: call.resume_from.get(),
        };
        let body = serde_json::to_vec(&body).map_err(|_invalid| TargetError::Malformed)?;
        let response = self
            .http
            .send(self.http.post("/v1/generate"), body.into())
            .await?;
        let lines = LineReader {
            body: response.into_body(),
            buffer: BytesMut::new(),
        };
        Ok(stream::unfold(Some(lines), next_event).boxed())
    }

    async fn stop(&self, request: &RequestId) -> Result<()> {
        let call = self.http.post(&format!("/v1/cancel/{request}"));
        let confirmation = tokio::time::timeout(CANCEL_TIMEOUT, self.http.send(call, Bytes::new()));
        confirmation
            .await
            .unwrap_or(Err(TargetError::ConnectionLost))
            .map(drop)
    }
}

impl TargetClient for EngineClient {
    fn run(&self, call: TargetCall) -> BoxFuture<'_, Result<TargetStream>> {
        Box::pin(self.generate(call))
    }

    fn cancel<'a>(&'a self, request: &'a RequestId) -> BoxFuture<'a, Result<()>> {
        Box::pin(self.stop(request))
    }

    fn load(&self) -> BoxFuture<'_, Result<TargetLoad>> {
        Box::pin(self.http.load())
    }

    fn can_cancel(&self) -> bool {
        true
    }
}

/// Splits a response body into lines.
struct LineReader {
    body: Incoming,
    buffer: BytesMut,
}

impl LineReader {
    async fn next_line(&mut self) -> Result<Bytes> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                return Ok(self.buffer.split_to(end + 1).freeze());
            }
            if self.buffer.len() > MAX_LINE_BYTES {
                return Err(TargetError::Malformed);
            }
            let frame = self.body.frame().await.ok_or(TargetError::ConnectionLost)?;
            let frame = frame.map_err(|_broken| TargetError::ConnectionLost)?;
            if let Ok(data) = frame.into_data() {
                self.buffer.extend_from_slice(&data);
            }
        }
    }
}

/// Reads the next event and returns the reader unless the answer has ended or failed.
async fn next_event(
    lines: Option<LineReader>,
) -> Option<(Result<TargetEvent>, Option<LineReader>)> {
    let mut lines = lines?;
    let event = lines.next_line().await.and_then(|line| parse_line(&line));
    let is_last = !matches!(event, Ok(TargetEvent::Chunk { .. }));
    Some((event, (!is_last).then_some(lines)))
}

fn parse_line(line: &[u8]) -> Result<TargetEvent> {
    let parsed = serde_json::from_slice::<EngineLine>(line);
    match parsed.map_err(|_malformed| TargetError::Malformed)? {
        EngineLine::Chunk { sequence, text } => Ok(TargetEvent::Chunk {
            sequence,
            data: text.into(),
        }),
        EngineLine::End { end } => Ok(TargetEvent::End {
            chunk_count: end.chunks,
        }),
    }
}
