//! One HTTP call with a timeout.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use super::{PlatformError, Result};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Makes HTTP calls to one address over kept connections.
#[derive(Clone, Debug)]
pub struct HttpCaller {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
}

impl HttpCaller {
    /// Creates a caller of the service at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Self { client, address }
    }

    /// Sends `method path` with `body` and collects the answer within `timeout`.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError::NotReached`] where no connection came about and
    /// [`PlatformError::AnswerLost`] where no whole answer arrived in time.
    pub async fn call(
        &self,
        method: http::Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Response<Bytes>> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .body(Full::new(body))
            .map_err(|_invalid| PlatformError::Malformed)?;
        let exchange = async {
            let response = self
                .client
                .request(request)
                .await
                .map_err(|error| classify(&error))?;
            let (parts, body) = response.into_parts();
            let collected = body
                .collect()
                .await
                .map_err(|_broken| PlatformError::AnswerLost)?;
            Ok(Response::from_parts(parts, collected.to_bytes()))
        };
        let answer = tokio::time::timeout(timeout, exchange).await;
        answer.unwrap_or(Err(PlatformError::AnswerLost))
    }
}

fn classify(error: &hyper_util::client::legacy::Error) -> PlatformError {
    if error.is_connect() {
        PlatformError::NotReached
    } else {
        PlatformError::AnswerLost
    }
}
