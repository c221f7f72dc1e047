//! The client of the key-value service.

use std::net::SocketAddr;
use std::time::Duration;

use amaranthgw_core::StoreRevision;
use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::{Method, Response, StatusCode};
use serde::Deserialize;

use super::{HttpClient, Result, ServiceError};

const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const REVISION_HEADER: &str = "x-revision";

/// A value in the key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreValue {
    /// Revision of the last write to the key.
    pub revision: StoreRevision,
    /// Content of the value.
    pub bytes: Bytes,
}

/// Result of a compare-and-swap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SwapAnswer {
    /// The change was made and has this revision.
    Swapped(StoreRevision),
    /// Nothing was changed, as the key has this revision; 0 means that it is absent.
    Conflict(StoreRevision),
}

/// A client of the key-value service.
pub trait StoreClient: std::fmt::Debug + Send + Sync {
    /// Reads the value of `key`; `None` if it is absent.
    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<StoreValue>>>;

    /// Writes `value` to `key` if its revision is `expected`; revision 0 means absent.
    fn swap<'a>(
        &'a self,
        key: &'a str,
        expected: StoreRevision,
        value: Bytes,
    ) -> BoxFuture<'a, Result<SwapAnswer>>;

    /// Removes the value of `key` if its revision is `expected`.
    fn remove<'a>(
        &'a self,
        key: &'a str,
        expected: StoreRevision,
    ) -> BoxFuture<'a, Result<SwapAnswer>>;

    /// Waits until the revision of `key` exceeds `after`; `None` if it does not within `wait`.
    fn watch<'a>(
        &'a self,
        key: &'a str,
        after: StoreRevision,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Option<StoreValue>>>;
}

/// A [`StoreClient`] over HTTP.
#[derive(Clone, Debug)]
pub struct HttpStore {
    client: HttpClient,
}

impl HttpStore {
    /// Creates a client of the service at `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            client: HttpClient::new(address),
        }
    }

    async fn get(&self, path: &str, timeout: Duration) -> Result<Option<StoreValue>> {
        let response = self
            .client
            .call(Method::GET, path, Bytes::new(), timeout)
            .await?;
        match response.status() {
            StatusCode::OK => decode_value(response).map(Some),
            StatusCode::NOT_FOUND | StatusCode::NO_CONTENT => Ok(None),
            status => Err(ServiceError::Rejected {
                status: status.as_u16(),
            }),
        }
    }

    async fn change(
        &self,
        method: Method,
        key: &str,
        expected: StoreRevision,
        value: Bytes,
    ) -> Result<SwapAnswer> {
        let path = format!("/v1/values/{key}?expect={expected}");
        let response = self.client.call(method, &path, value, CALL_TIMEOUT).await?;
        match response.status() {
            StatusCode::OK => decode_revision(&response).map(SwapAnswer::Swapped),
            StatusCode::CONFLICT => decode_revision(&response).map(SwapAnswer::Conflict),
            status => Err(ServiceError::Rejected {
                status: status.as_u16(),
            }),
        }
    }
}

impl StoreClient for HttpStore {
    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<StoreValue>>> {
        Box::pin(async move { self.get(&format!("/v1/values/{key}"), CALL_TIMEOUT).await })
    }

    fn swap<'a>(
        &'a self,
        key: &'a str,
        expected: StoreRevision,
        value: Bytes,
    ) -> BoxFuture<'a, Result<SwapAnswer>> {
        Box::pin(self.change(Method::PUT, key, expected, value))
    }

    fn remove<'a>(
        &'a self,
        key: &'a str,
        expected: StoreRevision,
    ) -> BoxFuture<'a, Result<SwapAnswer>> {
        Box::pin(self.change(Method::DELETE, key, expected, Bytes::new()))
    }

    fn watch<'a>(
        &'a self,
        key: &'a str,
        after: StoreRevision,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Option<StoreValue>>> {
        let path = format!("/v1/watch/{key}?after={after}&wait_ms={}", wait.as_millis());
        Box::pin(async move { self.get(&path, wait + CALL_TIMEOUT).await })
    }
}

#[derive(Deserialize)]
struct RevisionResponse {
    revision: StoreRevision,
}

fn decode_revision(response: &Response<Bytes>) -> Result<StoreRevision> {
    let decoded = serde_json::from_slice::<RevisionResponse>(response.body());
    decoded
        .map(|decoded| decoded.revision)
        .map_err(|_malformed| ServiceError::Malformed)
}

fn decode_value(response: Response<Bytes>) -> Result<StoreValue> {
    let header = response.headers().get(REVISION_HEADER);
    let revision = header
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .ok_or(ServiceError::Malformed)?;
    Ok(StoreValue {
        revision,
        bytes: response.into_body(),
    })
}
