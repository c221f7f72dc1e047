//! HTTP calls to the target.

use std::net::SocketAddr;
use std::time::Duration;

use amaranthgw_core::{MilliSpan, SlotCount, StartMark};
use bytes::Bytes;
use http::request::Builder;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;

use super::{Result, TargetError, TargetLoad};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const LOAD_TIMEOUT: Duration = Duration::from_millis(500);

/// Makes HTTP calls to one target over kept connections.
///
/// A call over a kept connection that closed meanwhile is repeated only where the library gives
/// the whole request back as never sent.
#[derive(Clone, Debug)]
pub(super) struct TargetHttp {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
}

#[derive(Deserialize)]
struct LoadAnswer {
    start_mark: StartMark,
    in_flight: u32,
    queued: u32,
    age_ms: u64,
}

impl TargetHttp {
    /// Creates a caller of the target at `address`.
    pub(super) fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
            address,
        }
    }

    /// Starts a request to `path`.
    pub(super) fn post(&self, path: &str) -> Builder {
        Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{path}", self.address))
    }

    /// Sends `request` and waits for the head of the answer.
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
        let answered = tokio::time::timeout(LOAD_TIMEOUT, exchange).await;
        let body = answered.unwrap_or(Err(TargetError::ConnectionLost))?;
        let answer = serde_json::from_slice::<LoadAnswer>(&body);
        let answer = answer.map_err(|_malformed| TargetError::Malformed)?;
        Ok(TargetLoad {
            mark: answer.start_mark,
            in_flight: SlotCount::new(answer.in_flight.saturating_add(answer.queued)),
            age: MilliSpan::new(answer.age_ms),
        })
    }
}

/// Collects a whole body.
pub(super) async fn collect(response: Response<Incoming>) -> Result<Bytes> {
    let collected = response.into_body().collect().await;
    collected
        .map(http_body_util::Collected::to_bytes)
        .map_err(|_broken| TargetError::ConnectionLost)
}
