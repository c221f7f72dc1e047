//! The answer to a caller while it is made.

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

/// Time between an error line and the cut of its connection.
const CUT_DELAY: Duration = Duration::from_millis(50);

/// Body of an answer.
pub(super) type AnswerBody = UnsyncBoxBody<Bytes, AnswerCut>;

/// Ends the connection of an answer that is not whole, so that no caller takes it for a whole one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AnswerCut;

impl std::fmt::Display for AnswerCut {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer is not whole")
    }
}

impl std::error::Error for AnswerCut {}

/// Part of an answer in the order in which the caller receives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum AnswerPart {
    /// The next chunk.
    Chunk {
        /// Its position.
        sequence: ChunkSequence,
        /// Its bytes.
        data: Bytes,
    },
    /// The end of a whole answer.
    End {
        /// Number of its chunks.
        chunks: ChunkSequence,
    },
    /// The whole answer to an earlier sending of the call.
    Replayed(StatusCode, Bytes),
    /// There will be no whole answer.
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

/// Answers with an error.
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

/// Answers with a whole body.
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

/// Answers a plain call with its one chunk.
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

/// Answers with the answer to an earlier sending of the same call.
fn replayed_response(status: StatusCode, data: Bytes) -> Response<AnswerBody> {
    let mut response = whole_response(status, "application/octet-stream", data);
    let replayed = HeaderName::from_static("x-replayed");
    response
        .headers_mut()
        .insert(replayed, HeaderValue::from_static("true"));
    response
}

/// Answers a model call with a stream of lines once its first part is here.
pub(super) async fn stream_response(mut parts: Receiver<AnswerPart>) -> Response<AnswerBody> {
    let first = match parts.recv().await {
        Some(AnswerPart::Failed(error)) => return error_response(&error),
        None => return error_response(&CallError::OutcomeUnknown),
        Some(first) => first,
    };
    let rest = ReceiverStream::new(parts);
    let parts = stream::iter([first]).chain(rest);
    let frames = parts.flat_map(|part| frames_of(&part));
    let mut response = Response::new(BodyExt::boxed_unsync(StreamBody::new(frames)));
    let content_type = HeaderValue::from_static("application/x-ndjson");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

/// The line of a part; an error line is followed by the cut of the connection.
fn frames_of(part: &AnswerPart) -> BoxStream<'static, Result<Frame<Bytes>, AnswerCut>> {
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
        // Only plain calls are replayed.
        AnswerPart::Replayed(..) => return cut_after(Duration::ZERO).boxed(),
        AnswerPart::Failed(error) => {
            let mut line = Vec::from(error.body());
            line.push(b'\n');
            let error_line = stream::iter([Ok(Frame::data(line.into()))]);
            return error_line.chain(cut_after(CUT_DELAY)).boxed();
        }
    };
    stream::iter([Ok(Frame::data(line))]).boxed()
}

/// Cuts the connection after `delay`, so that what was written before can leave.
fn cut_after(delay: Duration) -> impl Stream<Item = Result<Frame<Bytes>, AnswerCut>> + Send {
    stream::once(async move {
        sleep(delay).await;
        Err(AnswerCut)
    })
}

fn json_line(value: &impl Serialize) -> Bytes {
    // Only maps with other than text keys can fail to serialise.
    let mut line = serde_json::to_vec(value).unwrap_or_default();
    line.push(b'\n');
    line.into()
}
