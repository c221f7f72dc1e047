//! Opens HTTP/1.1 connections with a connect timeout and a limit on unacknowledged data.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::ext::on_informational;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout};

use super::{NetError, Result};

/// Largest read buffer of a connection. Longer heads are rejected; bodies are read in chunks.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// Informational responses (1xx) accepted before the answer to a request.
const MAX_INFORMATIONAL: u32 = 16;

/// Timeouts and close behaviour of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DialSettings {
    /// Timeout of opening the TCP connection.
    pub connect_timeout: Duration,
    /// Time for which sent data may stay unacknowledged before the connection is closed
    /// (`TCP_USER_TIMEOUT`).
    pub silence_timeout: Duration,
    /// Whether closing resets the connection (`SO_LINGER` of 0). A reset discards unsent data, so
    /// that an abandoned request is not delivered after a network partition ends.
    pub resets_on_close: bool,
}

impl DialSettings {
    /// Creates settings that use `timeout` both for connecting and for unacknowledged data.
    #[must_use]
    pub const fn new(timeout: Duration) -> Self {
        Self {
            connect_timeout: timeout,
            silence_timeout: timeout,
            resets_on_close: false,
        }
    }

    /// Makes closing reset the connection; see [`DialSettings::resets_on_close`].
    #[must_use]
    pub const fn with_reset_on_close(mut self) -> Self {
        self.resets_on_close = true;
        self
    }

    /// Sets how long sent data may stay unacknowledged.
    #[must_use]
    pub const fn with_silence_timeout(mut self, timeout: Duration) -> Self {
        self.silence_timeout = timeout;
        self
    }
}

/// An open HTTP/1.1 connection that carries one request at a time.
#[derive(Debug)]
pub struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,
    idle_since: Instant,
    is_fresh: bool,
    /// The task that drives the connection, if closing resets the connection.
    driver: Option<AbortHandle>,
}

impl Drop for HttpConnection {
    fn drop(&mut self) {
        if let Some(task) = &self.driver {
            // The driver would first flush buffered data; aborting it closes the socket at once.
            task.abort();
        }
    }
}

impl HttpConnection {
    /// Whether the connection is open and can take a request now.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Whether no request has been sent on the connection yet.
    #[must_use]
    pub const fn is_fresh(&self) -> bool {
        self.is_fresh
    }

    /// How long the connection has been idle at `now`.
    #[must_use]
    pub fn idle_for(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.idle_since)
    }

    /// Records that the last answer ended at `now`.
    pub fn mark_idle(&mut self, now: Instant) {
        self.idle_since = now;
    }

    /// Waits until the connection can take another request; `false` if it was closed.
    pub async fn wait_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends `request` and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Returns [`NetError::Unsent`] if the connection closed before any byte was sent,
    /// [`NetError::OnlyInformational`] after `MAX_INFORMATIONAL` such responses,
    /// [`NetError::InvalidStatus`] if the response is no answer, else [`NetError::Broken`]. After an error,
    /// the connection must not be used again.
    pub async fn send(&mut self, mut request: Request<Full<Bytes>>) -> Result<Response<Incoming>> {
        self.is_fresh = false;
        let excess = limit_informational(&mut request);
        let sending = self.sender.try_send_request(request);
        let sent = tokio::select! {
            sent = sending => sent,
            () = excess.notified() => return Err(NetError::OnlyInformational),
        };
        let response = sent.map_err(|mut error| match error.take_message() {
            Some(_unsent) => NetError::Unsent,
            None => NetError::Broken {
                source: error.into_error(),
            },
        })?;
        check_status(response.status())?;
        Ok(response)
    }
}

/// Checks the status of the final response to a request that asked for no upgrade.
///
/// # Errors
///
/// Returns [`NetError::InvalidStatus`] if it is none that HTTP has for that: 101, or 600 and above.
pub fn check_status(status: StatusCode) -> Result<()> {
    let is_final = (200..600).contains(&status.as_u16());
    is_final
        .then_some(())
        .ok_or(NetError::InvalidStatus { status })
}

/// Returns a notification of the informational response to `request` that exceeds the limit.
fn limit_informational(request: &mut Request<Full<Bytes>>) -> Arc<Notify> {
    let excess = Arc::new(Notify::new());
    let (notified, count) = (Arc::clone(&excess), AtomicU32::new(0));
    on_informational(request, move |_response| {
        if count.fetch_add(1, Ordering::Relaxed) >= MAX_INFORMATIONAL {
            notified.notify_one();
        }
    });
    excess
}

/// Opens an HTTP/1.1 connection to `address` and spawns the task that drives it.
///
/// # Errors
///
/// Returns [`NetError::Dial`] if the TCP connection fails or times out, and
/// [`NetError::Handshake`] if the HTTP handshake fails.
pub async fn dial(address: SocketAddr, settings: DialSettings) -> Result<HttpConnection> {
    let connected = timeout(settings.connect_timeout, TcpStream::connect(address)).await;
    let stream = connected
        .unwrap_or_else(|_elapsed| Err(std::io::ErrorKind::TimedOut.into()))
        .map_err(|source| NetError::Dial { source })?;
    configure_socket(&stream, settings).map_err(|source| NetError::Dial { source })?;
    let mut builder = http1::Builder::new();
    builder.max_buf_size(READ_BUFFER_BYTES);
    let handshake = builder.handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|source| NetError::Handshake { source })?;
    // Errors of the connection are also returned to the request in flight.
    let driver = tokio::spawn(async move { drop(connection.await) });
    Ok(HttpConnection {
        sender,
        idle_since: Instant::now(),
        is_fresh: true,
        driver: settings.resets_on_close.then(|| driver.abort_handle()),
    })
}

fn configure_socket(stream: &TcpStream, settings: DialSettings) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    if settings.resets_on_close {
        socket.set_linger(Some(Duration::ZERO))?;
    }
    socket.set_tcp_user_timeout(Some(settings.silence_timeout))
}
