//! A client that keeps one connection to one peer and reads whole answers.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use tokio::time::{Instant, timeout};

use super::{DialSettings, HttpConnection, NetError, Result, dial};

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WholeReply {
    /// Status of the answer.
    pub status: StatusCode,
    /// Its body.
    pub body: Bytes,
}

/// Calls one peer; calls that overlap open connections of their own.
#[derive(Debug)]
pub struct KeptClient {
    address: SocketAddr,
    host: HeaderValue,
    settings: DialSettings,
    kept: Mutex<Option<HttpConnection>>,
}

/// Idle time after which a kept connection is not trusted any more.
const MAX_IDLE: Duration = Duration::from_secs(4);

impl KeptClient {
    /// Creates a client of the peer at `address`.
    #[must_use]
    pub fn new(address: SocketAddr, settings: DialSettings) -> Self {
        let host = HeaderValue::from_maybe_shared(Bytes::from(address.to_string()))
            .unwrap_or_else(|_not_ascii| HeaderValue::from_static("peer"));
        Self {
            address,
            host,
            settings,
            kept: Mutex::new(None),
        }
    }

    /// Address of the peer.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a call with a JSON body and reads its whole answer.
    ///
    /// # Errors
    ///
    /// Returns a [`NetError`]; [`NetError::is_unsent`] says whether the peer may have received it.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<WholeReply> {
        let called = timeout(limit, self.call_unbounded(method, path, body)).await;
        called.unwrap_or(Err(NetError::TimedOut { waited: limit }))
    }

    async fn call_unbounded(&self, method: Method, path: &str, body: Bytes) -> Result<WholeReply> {
        loop {
            let mut connection = match self.take_kept() {
                Some(connection) => connection,
                None => dial(self.address, self.settings).await?,
            };
            let was_fresh = connection.is_fresh();
            let request = self.request(&method, path, body.clone())?;
            let response = match connection.send(request).await {
                Ok(response) => response,
                Err(NetError::Unsent) if !was_fresh => continue,
                Err(error) => return Err(error),
            };
            let status = response.status();
            let collected = response.into_body().collect().await;
            let body = collected
                .map_err(|source| NetError::Broken { source })?
                .to_bytes();
            self.keep(connection);
            return Ok(WholeReply { status, body });
        }
    }

    fn request(&self, method: &Method, path: &str, body: Bytes) -> Result<Request<Full<Bytes>>> {
        let mut builder = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, &self.host);
        if !body.is_empty() {
            builder = builder.header(header::CONTENT_TYPE, "application/json");
        }
        builder
            .body(Full::new(body))
            .map_err(|source| NetError::Malformed { source })
    }

    fn take_kept(&self) -> Option<HttpConnection> {
        let kept = self
            .kept
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        let now = Instant::now();
        kept.filter(|connection| connection.is_ready() && connection.idle_for(now) < MAX_IDLE)
    }

    fn keep(&self, mut connection: HttpConnection) {
        connection.mark_idle(Instant::now());
        *self.kept.lock().unwrap_or_else(PoisonError::into_inner) = Some(connection);
    }
}
