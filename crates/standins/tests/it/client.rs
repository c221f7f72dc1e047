//! HTTP test client and startup of stand-ins on free ports.

use std::net::SocketAddr;

use amaranthgw_standins::{RunningStandin, Standin};
use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;

pub(crate) type Result<T> = std::result::Result<T, NoReply>;

/// The connection failed before a complete response head.
#[derive(Debug)]
pub(crate) struct NoReply;

impl From<std::io::Error> for NoReply {
    fn from(_error: std::io::Error) -> Self {
        Self
    }
}

impl From<hyper::Error> for NoReply {
    fn from(_error: hyper::Error) -> Self {
        Self
    }
}

/// A reply with its body, as far as received.
#[derive(Debug)]
pub(crate) struct TestReply {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Whether the body was received completely.
    pub(crate) is_complete: bool,
}

impl TestReply {
    pub(crate) fn text(&self) -> &str {
        std::str::from_utf8(&self.body).expect("body is text")
    }

    pub(crate) fn json(&self) -> Value {
        serde_json::from_slice(&self.body).expect("body is JSON")
    }

    pub(crate) fn lines(&self) -> Vec<Value> {
        let lines = self.text().lines();
        lines
            .map(|line| serde_json::from_str(line).expect("line is JSON"))
            .collect()
    }
}

/// HTTP client that opens a new connection for each call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TestClient {
    address: SocketAddr,
}

impl TestClient {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    pub(crate) async fn get(&self, path: &str) -> Result<TestReply> {
        self.send("GET", path, Bytes::new()).await
    }

    pub(crate) async fn json(&self, path: &str) -> Value {
        self.get(path).await.expect("reply").json()
    }

    pub(crate) async fn post(&self, path: &str, body: Value) -> Result<TestReply> {
        self.send("POST", path, Bytes::from(body.to_string())).await
    }

    /// Posts a test control and asserts that it succeeds.
    pub(crate) async fn control(&self, path: &str, body: Value) {
        let reply = self.post(path, body).await.expect("reply");
        assert_eq!(reply.status, 200, "{}", reply.text());
    }

    pub(crate) async fn send(
        &self,
        method: &str,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<TestReply> {
        let request = Request::builder().method(method).uri(path);
        let request = request.body(Full::new(body.into())).expect("request");
        read(self.open(request).await?).await
    }

    /// Sends `request` and returns the response with its body unread.
    pub(crate) async fn open(
        &self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>> {
        let host = self.address.to_string().parse().expect("host");
        request.headers_mut().insert("host", host);
        let stream = TcpStream::connect(self.address).await?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        Ok(sender.send_request(request).await?)
    }

    /// Posts `body` and returns the response with its body unread.
    pub(crate) async fn open_post(&self, path: &str, body: &Value) -> Result<Response<Incoming>> {
        let body = Full::new(Bytes::from(body.to_string()));
        let request = Request::builder().method("POST").uri(path).body(body);
        self.open(request.expect("request")).await
    }
}

/// Reads the body of a response up to its end or failure.
pub(crate) async fn read(reply: Response<Incoming>) -> Result<TestReply> {
    let (head, mut body) = reply.into_parts();
    let mut bytes = Vec::new();
    let mut is_complete = true;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => bytes.extend_from_slice(&frame.into_data().unwrap_or_default()),
            Err(_broken) => {
                is_complete = false;
                break;
            }
        }
    }
    Ok(TestReply {
        status: head.status.as_u16(),
        headers: head.headers,
        body: bytes.into(),
        is_complete,
    })
}

pub(crate) fn free_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Starts `standin` on a free port and returns a client of it.
pub(crate) fn start(standin: &impl Standin) -> (RunningStandin, TestClient) {
    let running = standin.start(free_address()).expect("a free port");
    let client = TestClient::new(running.address());
    (running, client)
}
