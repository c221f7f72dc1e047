//! Streamed answer to one request.

use bytes::Bytes;
use futures_util::{Stream, stream};
use hyper::body::Frame;
use serde::Serialize;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::http::BrokenStream;

/// A part of a streamed answer.
#[derive(Debug)]
pub(super) enum StreamPart {
    /// A line, including its line feed.
    Line(Bytes),
    /// End of the answer; closes the stream cleanly.
    Close,
}

impl StreamPart {
    /// Encodes `message` as a line of JSON.
    pub(super) fn line(message: &impl Serialize) -> Self {
        let mut text = serde_json::to_vec(message).unwrap_or_default();
        text.push(b'\n');
        Self::Line(Bytes::from(text))
    }
}

/// Converts `parts` to body frames; the body is aborted if `parts` ends without
/// [`StreamPart::Close`].
pub(super) fn frames(
    parts: UnboundedReceiver<StreamPart>,
) -> impl Stream<Item = Result<Frame<Bytes>, BrokenStream>> + Send + 'static {
    stream::unfold(Some(parts), |parts| async move {
        let mut parts = parts?;
        match parts.recv().await {
            Some(StreamPart::Line(line)) => Some((Ok(Frame::data(line)), Some(parts))),
            Some(StreamPart::Close) => None,
            None => Some((Err(BrokenStream), None)),
        }
    })
}
