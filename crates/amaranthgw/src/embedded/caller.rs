//! HTTP client that calls an entry or a target of an embedded fleet.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::time::Instant;

/// Workspace that every call is made for.
pub const WORKSPACE: &str = "demo";

/// Answer as the caller received it.
#[derive(Clone, Debug)]
pub struct CallAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Body bytes received, also of an answer that was cut off.
    pub body: Bytes,
    /// Whether the body ended without a transport error.
    pub is_clean: bool,
    /// Time from the call to the first byte of the body; `None` for an empty body.
    pub first_byte: Option<Duration>,
    /// Time from the call to the end of the body.
    pub total: Duration,
}

/// HTTP client for one address, with a connection pool of its own.
#[derive(Clone, Debug)]
pub struct LoadCaller {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
}

impl LoadCaller {
    /// Creates a caller of the entry or target at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
            address,
        }
    }

    /// Calls a model service through an entry; `None` if no answer arrived.
    pub async fn generate(
        &self,
        service: &str,
        request: &str,
        prompt: &str,
        max_tokens: u32,
    ) -> Option<CallAnswer> {
        let body = serde_json::json!({ "prompt": prompt, "max_tokens": max_tokens }).to_string();
        let path = format!("/v1/services/{service}/generate");
        self.post(&path, request, None, body.into()).await
    }

    /// Calls a plain service through an entry, with `key` as the idempotency key if one is given.
    ///
    /// Returns `None` if no answer arrived.
    pub async fn call(
        &self,
        service: &str,
        request: &str,
        key: Option<&str>,
        body: &str,
    ) -> Option<CallAnswer> {
        let path = format!("/v1/services/{service}/call");
        self.post(&path, request, key, Bytes::copy_from_slice(body.as_bytes()))
            .await
    }

    /// Calls an engine directly, without entry and sidecar; `None` if no answer arrived.
    pub async fn generate_directly(
        &self,
        request: &str,
        prompt: &str,
        max_tokens: u32,
    ) -> Option<CallAnswer> {
        let body = serde_json::json!({
            "request": request, "prompt": prompt, "max_tokens": max_tokens,
        });
        let body = body.to_string().into();
        self.post("/v1/generate", request, None, body).await
    }

    /// Calls a plain service directly, without entry and sidecar; `None` if no answer arrived.
    pub async fn call_directly(&self, request: &str, body: &str) -> Option<CallAnswer> {
        let body = Bytes::copy_from_slice(body.as_bytes());
        self.post("/v1/call", request, None, body).await
    }

    async fn post(
        &self,
        path: &str,
        request: &str,
        key: Option<&str>,
        body: Bytes,
    ) -> Option<CallAnswer> {
        let started_at = Instant::now();
        // Entries read the identifier from `x-request-id`, plain targets from `x-request`.
        let mut builder = Request::post(format!("http://{}{path}", self.address))
            .header("x-workspace", WORKSPACE)
            .header("x-request-id", request)
            .header("x-request", request);
        if let Some(key) = key {
            builder = builder.header("idempotency-key", key);
        }
        let request = builder.body(Full::new(body)).ok()?;
        let response = self.client.request(request).await.ok()?;
        let status = response.status();
        let mut body = response.into_body();
        let mut collected = Vec::new();
        let mut first_byte = None;
        let mut is_clean = true;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                is_clean = false;
                break;
            };
            if let Ok(data) = frame.into_data() {
                first_byte.get_or_insert_with(|| started_at.elapsed());
                collected.extend_from_slice(&data);
            }
        }
        let total = started_at.elapsed();
        Some(CallAnswer {
            status,
            body: collected.into(),
            is_clean,
            first_byte,
            total,
        })
    }
}
