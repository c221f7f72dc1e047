//! HTTP responses to callers: whole bodies, error bodies and streams of JSON lines.

use std::convert::Infallible;
use std::time::Duration;

use amaranthgw_core::ChunkSequence;
use bytes::Bytes;
use futures_util::stream::BoxStream;
use futures_util::{Stream, StreamExt, stream};
use http::{HeaderName, HeaderValue, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use serde::Serialize;
use tokio::sync::mpsc::Receiver;
use tokio::time::sleep;
use tokio_stream::wrappers::ReceiverStream;

use super::CallError;

/// Delay between an error line and closing its connection, so that the line still reaches the
/// caller.
const ABORT_DELAY: Duration = Duration::from_millis(50);

/// Body of every response to a caller.
pub(super) type AnswerBody = UnsyncBoxBody<Bytes, IncompleteAnswer>;

/// Body error that makes hyper abort the connection, so that no caller mistakes a truncated answer
/// for a complete one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct IncompleteAnswer;

impl std::fmt::Display for IncompleteAnswer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer is incomplete")
    }
}

impl std::error::Error for IncompleteAnswer {}

/// Part of an answer, sent from the task that runs the request to the one that writes the response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum AnswerPart {
    /// The next chunk of the answer.
    Chunk {
        /// Position within the answer, from 0.
        sequence: ChunkSequence,
        /// Payload of the chunk.
        data: Bytes,
    },
    /// The end of a complete answer.
    End {
        /// Number of chunks in the answer.
        chunks: ChunkSequence,
    },
    /// The stored answer to an earlier request with the same idempotency key.
    Replayed(StatusCode, Bytes),
    /// The request failed; no further part follows.
    Failed(CallError),
}

#[derive(Serialize)]
struct ChunkLine<'a> {
    sequence: ChunkSequence,
    text: &'a str,
}

#[derive(Serialize)]
struct EndLine {
    end: EndFields,
}

#[derive(Serialize)]
struct EndFields {
    chunks: ChunkSequence,
}

/// Creates an error response, with a `Retry-After` header in seconds for exceeded limits.
pub(super) fn error_response(error: &CallError) -> Response<AnswerBody> {
    let mut response = whole_response(error.status(), "application/json", error.body());
    if let CallError::OverLimit { retry_after } = error {
        let seconds = retry_after.as_millis().div_ceil(1_000).max(1);
        if let Ok(value) = HeaderValue::from_str(&seconds.to_string()) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}

/// Creates a response whose body is sent at once.
pub(super) fn whole_response(
    status: StatusCode,
    content_type: &'static str,
    body: Bytes,
) -> Response<AnswerBody> {
    let never = |error: Infallible| match error {};
    let mut response = Response::new(Full::new(body).map_err(never).boxed_unsync());
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

/// Waits for the end of a plain call and creates a response from its single chunk.
pub(super) async fn plain_response(mut parts: Receiver<AnswerPart>) -> Response<AnswerBody> {
    let mut data = Bytes::new();
    loop {
        match parts.recv().await {
            Some(AnswerPart::Chunk { data: chunk, .. }) => data = chunk,
            Some(AnswerPart::End { .. }) => {
                return whole_response(StatusCode::OK, "application/octet-stream", data);
            }
            Some(AnswerPart::Replayed(status, data)) => return replayed_response(status, data),
            Some(AnswerPart::Failed(error)) => return error_response(&error),
            None => return error_response(&CallError::OutcomeUnknown),
        }
    }
}

/// Creates a response from a stored answer, marked with `x-replayed: true`.
fn replayed_response(status: StatusCode, data: Bytes) -> Response<AnswerBody> {
    let mut response = whole_response(status, "application/octet-stream", data);
    let replayed = HeaderName::from_static("x-replayed");
    response
        .headers_mut()
        .insert(replayed, HeaderValue::from_static("true"));
    response
}

/// Waits for the first part of a model call, then streams the answer as JSON lines.
///
/// A failure before the first chunk gets an error status instead.
pub(super) async fn stream_response(mut parts: Receiver<AnswerPart>) -> Response<AnswerBody> {
    let first = match parts.recv().await {
        Some(AnswerPart::Failed(error)) => return error_response(&error),
        None => return error_response(&CallError::OutcomeUnknown),
        Some(first) => first,
    };
    let rest = ReceiverStream::new(parts);
    let parts = stream::iter([first]).chain(rest);
    let frames = parts.flat_map(|part| encode_part(&part));
    let mut response = Response::new(BodyExt::boxed_unsync(StreamBody::new(frames)));
    let content_type = HeaderValue::from_static("application/x-ndjson");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

/// Encodes a part as one line; an error line is followed by an aborted connection.
fn encode_part(part: &AnswerPart) -> BoxStream<'static, Result<Frame<Bytes>, IncompleteAnswer>> {
    let line = match part {
        AnswerPart::Chunk { sequence, data } => {
            let text = String::from_utf8_lossy(data);
            json_line(&ChunkLine {
                sequence: *sequence,
                text: &text,
            })
        }
        AnswerPart::End { chunks } => json_line(&EndLine {
            end: EndFields { chunks: *chunks },
        }),
        // Only plain calls are replayed, never model calls.
        AnswerPart::Replayed(..) => return abort_after(Duration::ZERO).boxed(),
        AnswerPart::Failed(error) => {
            let mut line = Vec::from(error.body());
            line.push(b'\n');
            let error_line = stream::iter([Ok(Frame::data(line.into()))]);
            return error_line.chain(abort_after(ABORT_DELAY)).boxed();
        }
    };
    stream::iter([Ok(Frame::data(line))]).boxed()
}

/// Aborts the connection after `delay`, which leaves time to flush the preceding lines.
fn abort_after(
    delay: Duration,
) -> impl Stream<Item = Result<Frame<Bytes>, IncompleteAnswer>> + Send {
    stream::once(async move {
        sleep(delay).await;
        Err(IncompleteAnswer)
    })
}

fn json_line(value: &impl Serialize) -> Bytes {
    // Serialisation only fails for maps with non-string keys, of which there are none.
    let mut line = serde_json::to_vec(value).unwrap_or_default();
    line.push(b'\n');
    line.into()
}
