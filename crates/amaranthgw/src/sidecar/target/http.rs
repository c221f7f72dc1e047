//! HTTP client shared by the clients of all kinds of targets.

use std::net::SocketAddr;
use std::time::Duration;

use amaranthgw_core::{MilliSpan, SlotCount, StartMark};
use amaranthgw_net::{NetError, read_whole};
use bytes::Bytes;
use http::request::Builder;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;

use super::{Result, TargetError, TargetLoad};

/// Maximum time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest body of an answer; an entry accepts no longer message from a sidecar.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;
/// Maximum time to read a load report.
const LOAD_TIMEOUT: Duration = Duration::from_millis(500);

/// HTTP client of one target with pooled connections.
///
/// A call on a pooled connection that has closed is repeated only if the HTTP library hands the
/// request back unsent.
#[derive(Clone, Debug)]
pub(super) struct TargetHttp {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
}

#[derive(Deserialize)]
struct LoadReport {
    start_mark: StartMark,
    in_flight: u32,
    queued: u32,
    age_ms: u64,
}

impl TargetHttp {
    /// Creates a client of the target at `address`.
    pub(super) fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
            address,
        }
    }

    /// Creates the builder of a `POST` request to `path`.
    pub(super) fn post(&self, path: &str) -> Builder {
        Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{path}", self.address))
    }

    /// Sends `request` and waits for the head of the response; any status but 200 is an error.
    pub(super) async fn send(&self, request: Builder, body: Bytes) -> Result<Response<Incoming>> {
        let request = request
            .body(Full::new(body))
            .map_err(|_invalid| TargetError::Malformed)?;
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                TargetError::NotReached
            } else {
                TargetError::ConnectionLost
            }
        })?;
        if response.status() == StatusCode::OK {
            return Ok(response);
        }
        Err(TargetError::Answered {
            status: response.status().as_u16(),
        })
    }

    /// Reads the load report.
    pub(super) async fn load(&self) -> Result<TargetLoad> {
        let uri = format!("http://{}/v1/load", self.address);
        let exchange = async {
            let response = self.send(Request::get(uri), Bytes::new()).await?;
            collect(response).await
        };
        let received = tokio::time::timeout(LOAD_TIMEOUT, exchange).await;
        let body = received.unwrap_or(Err(TargetError::ConnectionLost))?;
        let report = serde_json::from_slice::<LoadReport>(&body);
        let report = report.map_err(|_malformed| TargetError::Malformed)?;
        Ok(TargetLoad {
            mark: report.start_mark,
            in_flight: SlotCount::new(report.in_flight.saturating_add(report.queued)),
            age: MilliSpan::new(report.age_ms),
        })
    }
}

/// Reads a whole response body; one of more than [`MAX_ANSWER_BYTES`] is malformed.
pub(super) async fn collect(response: Response<Incoming>) -> Result<Bytes> {
    let collected = read_whole(response.into_body(), MAX_ANSWER_BYTES).await;
    collected.map_err(|error| match error {
        NetError::TooLong { .. } => TargetError::Malformed,
        _ => TargetError::ConnectionLost,
    })
}
