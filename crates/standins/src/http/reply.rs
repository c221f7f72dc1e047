//! Answers to calls, and their absence.

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

/// An answer with a whole or a streamed body.
pub(crate) type Reply = Response<UnsyncBoxBody<Bytes, BrokenStream>>;

/// An answer, or the closing of the connection.
pub(crate) type ReplyResult = Result<Reply, NoAnswer>;

/// The future that makes an answer.
pub(crate) type ReplyFuture = Pin<Box<dyn Future<Output = ReplyResult> + Send>>;

/// The connection closes without an answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NoAnswer;

impl std::fmt::Display for NoAnswer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the call gets no answer")
    }
}

impl std::error::Error for NoAnswer {}

/// A streamed body breaks off and its connection closes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BrokenStream;

impl std::fmt::Display for BrokenStream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the stream broke off")
    }
}

impl std::error::Error for BrokenStream {}

impl From<Infallible> for BrokenStream {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// An answer without a body.
pub(crate) fn empty_reply(status: StatusCode) -> Reply {
    bytes_reply(status, Bytes::new())
}

/// An answer with `body` as it is.
pub(crate) fn bytes_reply(status: StatusCode, body: Bytes) -> Reply {
    let body = Full::new(body).map_err(BrokenStream::from).boxed_unsync();
    let mut reply = Response::new(body);
    *reply.status_mut() = status;
    reply
}

/// An answer with `body` in JSON.
pub(crate) fn json_reply(status: StatusCode, body: &impl Serialize) -> Reply {
    let Ok(text) = serde_json::to_vec(body) else {
        return empty_reply(StatusCode::INTERNAL_SERVER_ERROR);
    };
    let mut reply = bytes_reply(status, Bytes::from(text));
    set_content_type(&mut reply, "application/json");
    reply
}

/// An answer with the frames of `stream` as its body.
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
