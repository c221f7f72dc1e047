//! The HTTP client of the tests.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

/// Timeout of one call; far above the usual duration.
const CALL_TIMEOUT: Duration = Duration::from_mins(1);

/// Response to a call, as far as it arrived.
#[derive(Clone, Debug)]
pub struct CallAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Body, as far as it arrived.
    pub body: Bytes,
    /// Whether the body was terminated as HTTP requires, rather than cut off.
    pub is_clean: bool,
}

impl CallAnswer {
    /// Parses the body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).expect("a JSON body")
    }

    /// Returns the error code and the outcome of an error body.
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

    /// Parses the lines of a streamed answer.
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

/// An HTTP client of one process.
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

    /// Sends a request and reads the response as far as it arrives; `None` if there is none.
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
            let (body, is_clean) = read_body(response.into_body()).await;
            Some(CallAnswer {
                status,
                body,
                is_clean,
            })
        };
        tokio::time::timeout(CALL_TIMEOUT, exchange)
            .await
            .expect("an answer or an error")
    }

    /// Makes a model call with the request identifier `request`.
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

    /// Makes a plain call with the request identifier `request`.
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

    /// Fetches `path` as JSON; `None` if there is no response or it is not JSON.
    pub async fn get(&self, path: &str) -> Option<Value> {
        let answer = self.send(Method::GET, path, &[], Bytes::new()).await?;
        serde_json::from_slice(&answer.body).ok()
    }
}

async fn read_body(mut body: hyper::body::Incoming) -> (Bytes, bool) {
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
