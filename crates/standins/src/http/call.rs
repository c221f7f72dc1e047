//! One received call.

use std::str::FromStr;

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use http::request::Parts;
use http::{HeaderMap, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde::de::DeserializeOwned;

use super::{NoAnswer, Reply, json_reply};

/// Largest request body that is read at all, in bytes; larger ones close the connection.
const MAX_READ_BYTES: usize = 8 * 1024 * 1024;

/// A call with its whole body.
#[derive(Debug)]
pub(crate) struct Call {
    head: Parts,
    /// The body as received.
    pub(crate) body: Bytes,
}

/// Why a call cannot be carried out as it was sent.
#[derive(Debug)]
pub(crate) enum CallError {
    /// A query parameter or header is absent or malformed.
    Parameter(&'static str),
    /// The body is not the expected JSON.
    Body(serde_json::Error),
}

impl Call {
    /// Reads the body of `request`.
    pub(crate) async fn read(request: http::Request<Incoming>) -> Result<Self, NoAnswer> {
        let (head, body) = request.into_parts();
        let body = Limited::new(body, MAX_READ_BYTES).collect().await;
        let body = body.map_err(|_cut_or_too_large| NoAnswer)?.to_bytes();
        Ok(Self { head, body })
    }

    /// The method's name.
    pub(crate) fn method(&self) -> &str {
        self.head.method.as_str()
    }

    /// Method and path with query.
    pub(crate) fn line(&self) -> CompactString {
        format_compact!("{} {}", self.head.method, self.head.uri)
    }

    /// The headers.
    pub(crate) const fn headers(&self) -> &HeaderMap {
        &self.head.headers
    }

    /// The parts of the path between its slashes.
    pub(crate) fn segments(&self) -> Vec<&str> {
        let path = self.head.uri.path();
        path.strip_prefix('/').unwrap_or(path).split('/').collect()
    }

    /// Whether this is a test control, which answers through every fault.
    pub(crate) fn is_admin(&self) -> bool {
        self.head.uri.path().starts_with("/admin/")
    }

    /// The query parameter `name`, if present.
    pub(crate) fn query<T: FromStr>(&self, name: &'static str) -> Result<Option<T>, CallError> {
        let query = self.head.uri.query().unwrap_or_default();
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let text = pairs.find(|(key, _)| *key == name).map(|(_, value)| value);
        parse_optional(text, name)
    }

    /// The query parameter `name`.
    pub(crate) fn required_query<T: FromStr>(&self, name: &'static str) -> Result<T, CallError> {
        self.query(name)?.ok_or(CallError::Parameter(name))
    }

    /// The header `name`, if present.
    pub(crate) fn header<T: FromStr>(&self, name: &'static str) -> Result<Option<T>, CallError> {
        parse_optional(header_text(&self.head.headers, name), name)
    }

    /// The body as JSON.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        serde_json::from_slice(&self.body).map_err(CallError::Body)
    }
}

impl CallError {
    /// The answer for it.
    pub(crate) fn reply(&self) -> Reply {
        let reason = match self {
            Self::Parameter(name) => format!("parameter {name} is absent or malformed"),
            Self::Body(error) => format!("body is not as expected: {error}"),
        };
        let body = serde_json::json!({ "error": reason });
        json_reply(StatusCode::BAD_REQUEST, &body)
    }
}

/// Reads a path segment; `name` tells what it should be.
pub(crate) fn parse_segment<T: FromStr>(text: &str, name: &'static str) -> Result<T, CallError> {
    text.parse()
        .map_err(|_malformed| CallError::Parameter(name))
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn parse_optional<T: FromStr>(
    text: Option<&str>,
    name: &'static str,
) -> Result<Option<T>, CallError> {
    let parsed = text.map(str::parse).transpose();
    parsed.map_err(|_malformed| CallError::Parameter(name))
}
