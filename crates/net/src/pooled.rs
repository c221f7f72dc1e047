//! Client of one peer that reuses one idle connection and reads complete answers.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode, header};
use http_body_util::Full;
use tokio::time::{Instant, timeout};

use super::naming::{AnswerOrigin, CallNaming};
use super::{DialSettings, HttpConnection, NetError, Result, dial, read_whole};

/// A complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WholeReply {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// Calls one peer over HTTP and reuses an idle connection. Concurrent calls each use a connection;
/// only that of the call that finishes last is kept.
#[derive(Debug)]
pub struct PooledClient {
    address: SocketAddr,
    host: HeaderValue,
    settings: DialSettings,
    naming: Option<CallNaming>,
    idle: Mutex<Option<IdleConnection>>,
}

/// Idle time after which a connection is no longer reused, as the peer may be about to close it.
const MAX_IDLE_TIME: Duration = Duration::from_secs(4);

/// Longest answer. The longest valid one is a page of the key-value service: values of 1 MB in
/// base64.
const MAX_REPLY_BYTES: usize = 8 * 1024 * 1024;

impl PooledClient {
    /// Creates a client of the peer at `address`; connects at the first call.
    #[must_use]
    pub fn new(address: SocketAddr, settings: DialSettings) -> Self {
        let host = HeaderValue::from_maybe_shared(Bytes::from(address.to_string()))
            .unwrap_or_else(|_not_ascii| HeaderValue::from_static("peer"));
        Self {
            address,
            host,
            settings,
            naming: None,
            idle: Mutex::new(None),
        }
    }

    /// Names each call in `header`, which the peer may echo. An answer that names another call is not accepted.
    /// Where answers have no names, a call that is no `GET` request has a connection of its own; the answer to
    /// such a request may be an earlier one of its connection.
    #[must_use]
    pub fn with_call_header(mut self, header: HeaderName) -> Self {
        self.naming = Some(CallNaming::new(header));
        self
    }

    /// Address of the peer.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request, with `body` as JSON unless it is empty, and reads the complete answer. If
    /// the idle connection closed before the request was sent, another one is used, as for a `GET` request
    /// that got the answer to another call.
    ///
    /// # Errors
    ///
    /// Returns a [`NetError`] if the call fails or takes longer than `call_timeout`;
    /// [`NetError::is_unsent`] tells whether the peer may have received the request.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        call_timeout: Duration,
    ) -> Result<WholeReply> {
        let outcome = timeout(call_timeout, self.call_untimed(method, path, body)).await;
        outcome.unwrap_or(Err(NetError::TimedOut {
            waited: call_timeout,
        }))
    }

    async fn call_untimed(&self, method: Method, path: &str, body: Bytes) -> Result<WholeReply> {
        let is_read = method == Method::GET;
        loop {
            let mut idle = match self.take_idle(is_read) {
                Some(idle) => idle,
                None => IdleConnection::new(dial(self.address, self.settings).await?),
            };
            let was_fresh = idle.connection.is_fresh();
            let request = self.request(&method, path, body.clone())?;
            match self.exchange(&mut idle, request).await {
                Ok(reply) => {
                    // The next answer could be this one once more.
                    if is_read || idle.is_named || self.naming.is_none() {
                        self.put_idle(idle);
                    }
                    return Ok(reply);
                }
                Err(NetError::Unsent) if !was_fresh => {}
                Err(NetError::ForeignAnswer) if !was_fresh && is_read => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// Sends `request` and reads its answer.
    async fn exchange(
        &self,
        idle: &mut IdleConnection,
        mut request: Request<Full<Bytes>>,
    ) -> Result<WholeReply> {
        let named = self.naming.as_ref().map(|naming| {
            let (header, name) = naming.next_call();
            request.headers_mut().insert(header, name.clone());
            (naming, name)
        });
        let response = idle.connection.send(request).await?;
        if let Some((naming, name)) = named {
            idle.accept(naming.origin(response.headers(), &name))?;
        }
        let (parts, body) = response.into_parts();
        let body = read_whole(body, MAX_REPLY_BYTES).await?;
        Ok(WholeReply {
            status: parts.status,
            headers: parts.headers,
            body,
        })
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

    /// Takes the idle connection; for a call that is no read, only one whose peer names its answers.
    fn take_idle(&self, is_read: bool) -> Option<IdleConnection> {
        let now = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let is_usable = |idle: &mut IdleConnection| {
            is_read || idle.is_named || self.naming.is_none() || !idle.is_reusable(now)
        };
        let taken = idle.take_if(is_usable);
        taken.filter(|idle| idle.is_reusable(now))
    }

    fn put_idle(&self, mut idle: IdleConnection) {
        idle.connection.mark_idle(Instant::now());
        *self.idle.lock().unwrap_or_else(PoisonError::into_inner) = Some(idle);
    }
}

/// A connection between two calls.
#[derive(Debug)]
struct IdleConnection {
    connection: HttpConnection,
    /// Whether the peer has named its answers.
    is_named: bool,
}

impl IdleConnection {
    const fn new(connection: HttpConnection) -> Self {
        Self {
            connection,
            is_named: false,
        }
    }

    fn is_reusable(&self, now: Instant) -> bool {
        self.connection.is_ready() && self.connection.idle_for(now) < MAX_IDLE_TIME
    }

    /// Takes an answer of `origin` as the one to the current call.
    fn accept(&mut self, origin: AnswerOrigin) -> Result<()> {
        match origin {
            AnswerOrigin::Own => self.is_named = true,
            AnswerOrigin::Unnamed if !self.is_named => {}
            AnswerOrigin::Unnamed | AnswerOrigin::Other => return Err(NetError::ForeignAnswer),
        }
        Ok(())
    }
}
