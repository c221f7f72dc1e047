//! A received call and its parsing.

use std::str::FromStr;

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use http::request::Parts;
use http::{HeaderMap, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde::de::DeserializeOwned;

use super::{NoAnswer, Reply, json_reply};

/// Maximum request body size, in bytes; a larger one closes the connection without an answer.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// An HTTP request with its complete body.
#[derive(Debug)]
pub(crate) struct Call {
    head: Parts,
    /// The body as received.
    pub(crate) body: Bytes,
}

/// Why a call is malformed; answered with status 400.
#[derive(Debug)]
pub(crate) enum CallError {
    /// A query parameter, header or path segment is missing or malformed.
    Parameter(&'static str),
    /// The body is not JSON of the expected form.
    Body(serde_json::Error),
}

impl Call {
    /// Reads `request` with its body; fails if the body is cut off or exceeds [`MAX_BODY_BYTES`].
    pub(crate) async fn read(request: http::Request<Incoming>) -> Result<Self, NoAnswer> {
        let (head, body) = request.into_parts();
        let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
        let body = body
            .map_err(|_incomplete_or_too_large| NoAnswer)?
            .to_bytes();
        Ok(Self { head, body })
    }

    /// Name of the HTTP method.
    pub(crate) fn method(&self) -> &str {
        self.head.method.as_str()
    }

    /// Method, path and query, such as `GET /v1/load`.
    pub(crate) fn request_line(&self) -> CompactString {
        format_compact!("{} {}", self.head.method, self.head.uri)
    }

    /// Request headers.
    pub(crate) const fn headers(&self) -> &HeaderMap {
        &self.head.headers
    }

    /// Path segments, split at slashes.
    pub(crate) fn segments(&self) -> Vec<&str> {
        let path = self.head.uri.path();
        path.strip_prefix('/').unwrap_or(path).split('/').collect()
    }

    /// Whether this is a test control, which injected faults do not affect.
    pub(crate) fn is_admin(&self) -> bool {
        self.head.uri.path().starts_with("/admin/")
    }

    /// Parses the query parameter `name`; `None` if absent.
    pub(crate) fn query<T: FromStr>(&self, name: &'static str) -> Result<Option<T>, CallError> {
        let query = self.head.uri.query().unwrap_or_default();
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let text = pairs.find(|(key, _)| *key == name).map(|(_, value)| value);
        parse_optional(text, name)
    }

    /// Parses the query parameter `name`; an error if absent.
    pub(crate) fn required_query<T: FromStr>(&self, name: &'static str) -> Result<T, CallError> {
        self.query(name)?.ok_or(CallError::Parameter(name))
    }

    /// Parses the header `name`; `None` if absent.
    pub(crate) fn header<T: FromStr>(&self, name: &'static str) -> Result<Option<T>, CallError> {
        parse_optional(header_text(&self.head.headers, name), name)
    }

    /// Parses the body as JSON.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        serde_json::from_slice(&self.body).map_err(CallError::Body)
    }
}

impl CallError {
    /// The status 400 answer to the call.
    pub(crate) fn reply(&self) -> Reply {
        let reason = match self {
            Self::Parameter(name) => format!("parameter {name} is missing or malformed"),
            Self::Body(error) => format!("invalid body: {error}"),
        };
        let body = serde_json::json!({ "error": reason });
        json_reply(StatusCode::BAD_REQUEST, &body)
    }
}

/// Parses a path segment; `name` names it in the error.
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
