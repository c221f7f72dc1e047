//! Replies to calls, including closing the connection without one.

use std::convert::Infallible;
use std::pin::Pin;

use bytes::Bytes;
use futures_util::Stream;
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use serde::Serialize;

/// HTTP response with a buffered or streamed body.
pub(crate) type Reply = Response<UnsyncBoxBody<Bytes, BrokenStream>>;

/// A reply, or [`NoAnswer`] to close the connection.
pub(crate) type ReplyResult = Result<Reply, NoAnswer>;

/// Future of a reply.
pub(crate) type ReplyFuture = Pin<Box<dyn Future<Output = ReplyResult> + Send>>;

/// Error that closes the connection without an answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NoAnswer;

impl std::fmt::Display for NoAnswer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("connection closed without an answer")
    }
}

impl std::error::Error for NoAnswer {}

/// Error that aborts a streamed body and closes its connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BrokenStream;

impl std::fmt::Display for BrokenStream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("stream aborted")
    }
}

impl std::error::Error for BrokenStream {}

impl From<Infallible> for BrokenStream {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// Creates a reply without a body.
pub(crate) fn empty_reply(status: StatusCode) -> Reply {
    bytes_reply(status, Bytes::new())
}

/// Creates a reply with `body` and no content type.
pub(crate) fn bytes_reply(status: StatusCode, body: Bytes) -> Reply {
    let body = Full::new(body).map_err(BrokenStream::from).boxed_unsync();
    let mut reply = Response::new(body);
    *reply.status_mut() = status;
    reply
}

/// Creates a reply with `body` as JSON.
pub(crate) fn json_reply(status: StatusCode, body: &impl Serialize) -> Reply {
    let Ok(text) = serde_json::to_vec(body) else {
        return empty_reply(StatusCode::INTERNAL_SERVER_ERROR);
    };
    let mut reply = bytes_reply(status, Bytes::from(text));
    set_content_type(&mut reply, "application/json");
    reply
}

/// Creates a reply with status 200 that streams the frames of `stream`.
pub(crate) fn stream_reply(
    content_type: &'static str,
    stream: impl Stream<Item = Result<Frame<Bytes>, BrokenStream>> + Send + 'static,
) -> Reply {
    let body = StreamBody::new(stream);
    let mut reply = Response::new(UnsyncBoxBody::new(body));
    set_content_type(&mut reply, content_type);
    reply
}

fn set_content_type(reply: &mut Reply, content_type: &'static str) {
    let value = HeaderValue::from_static(content_type);
    reply.headers_mut().insert(CONTENT_TYPE, value);
}
