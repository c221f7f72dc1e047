//! An HTTP client for the services of the platform.

use std::net::SocketAddr;
use std::time::Duration;

use amaranthgw_net::check_status;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use super::{Result, ServiceError};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// An HTTP client for one address, with pooled connections and a timeout for each call.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
}

impl HttpClient {
    /// Creates a client of the service at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Self { client, address }
    }

    /// Sends a request and returns the response with its whole body.
    ///
    /// # Errors
    ///
    /// Returns [`ServiceError::NotReached`] if the connection could not be established and
    /// [`ServiceError::AnswerLost`] if no complete response arrived within `timeout`.
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
            .map_err(|_invalid| ServiceError::Malformed)?;
        let exchange = async {
            let response = self
                .client
                .request(request)
                .await
                .map_err(|error| error_from_client(&error))?;
            check_status(response.status()).map_err(|_invalid| ServiceError::AnswerLost)?;
            let (parts, body) = response.into_parts();
            let collected = body
                .collect()
                .await
                .map_err(|_broken| ServiceError::AnswerLost)?;
            Ok(Response::from_parts(parts, collected.to_bytes()))
        };
        let response = tokio::time::timeout(timeout, exchange).await;
        response.unwrap_or(Err(ServiceError::AnswerLost))
    }
}

fn error_from_client(error: &hyper_util::client::legacy::Error) -> ServiceError {
    if error.is_connect() {
        ServiceError::NotReached
    } else {
        ServiceError::AnswerLost
    }
}
