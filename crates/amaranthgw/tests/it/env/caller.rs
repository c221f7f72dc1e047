//! A caller over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

/// Bound on one call; far above what it takes.
const CALL_BOUND: Duration = Duration::from_mins(1);

/// What a caller received.
#[derive(Clone, Debug)]
pub struct CallAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Body as far as it arrived.
    pub body: Bytes,
    /// Whether the body ended as HTTP says it must.
    pub is_clean: bool,
}

impl CallAnswer {
    /// The body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).expect("a JSON body")
    }

    /// Error code and outcome of an error body.
    pub fn error(&self) -> (String, String) {
        let json = self.json();
        let text = |key: &str| {
            json["error"][key]
                .as_str()
                .expect("an error field")
                .to_owned()
        };
        (text("code"), text("outcome"))
    }

    /// The lines of a streamed answer.
    pub fn lines(&self) -> Vec<Value> {
        let lines = self
            .body
            .split(|byte| *byte == b'\n')
            .filter(|line| !line.is_empty());
        lines
            .map(|line| serde_json::from_slice(line).expect("a JSON line"))
            .collect()
    }
}

/// Makes calls at one address.
#[derive(Clone, Debug)]
pub struct CallerClient {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
}

impl CallerClient {
    /// Creates a client of the process at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            address,
        }
    }

    /// Sends a request and takes in the answer as far as it comes; `None` without any answer.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Option<CallAnswer> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request
            .body(Full::new(body.into()))
            .expect("a valid request");
        let exchange = async {
            let response = self.client.request(request).await.ok()?;
            let status = response.status();
            let (body, is_clean) = read(response.into_body()).await;
            Some(CallAnswer {
                status,
                body,
                is_clean,
            })
        };
        tokio::time::timeout(CALL_BOUND, exchange)
            .await
            .expect("an answer or an error")
    }

    /// Makes a model call.
    pub async fn generate(
        &self,
        service: &str,
        request: &str,
        prompt: &str,
        max_tokens: u32,
    ) -> Option<CallAnswer> {
        let path = format!("/v1/services/{service}/generate");
        let headers = [("x-workspace", "care-homes"), ("x-request-id", request)];
        let body = serde_json::json!({ "prompt": prompt, "max_tokens": max_tokens });
        self.send(Method::POST, &path, &headers, body.to_string())
            .await
    }

    /// Makes a plain call.
    pub async fn call(
        &self,
        service: &str,
        request: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Option<CallAnswer> {
        let path = format!("/v1/services/{service}/call");
        let mut all = vec![("x-workspace", "care-homes"), ("x-request-id", request)];
        all.extend_from_slice(headers);
        self.send(Method::POST, &path, &all, body.to_owned()).await
    }

    /// Reads JSON.
    pub async fn get(&self, path: &str) -> Option<Value> {
        let answer = self.send(Method::GET, path, &[], Bytes::new()).await?;
        serde_json::from_slice(&answer.body).ok()
    }
}

async fn read(mut body: hyper::body::Incoming) -> (Bytes, bool) {
    let mut collected = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return (collected.into(), false);
        };
        if let Ok(data) = frame.into_data() {
            collected.extend_from_slice(&data);
        }
    }
    (collected.into(), true)
}
