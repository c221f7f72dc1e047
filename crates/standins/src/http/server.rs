//! HTTP server: accepts connections, reads calls and can close all connections at once.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::{Call, ReplyFuture, ReplyResult};
use crate::error::{Result, StandinError};
use crate::reserved::new_socket;

/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1024;

/// Delay after a failed accept, such as when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Handles the calls of one stand-in.
pub(crate) trait CallHandler: std::fmt::Debug + Send + Sync + 'static {
    /// Returns the future of the reply to `call`; dropping it abandons the call.
    fn handle(self: Arc<Self>, call: Call) -> ReplyFuture;
}

/// Handle that closes all connections of a server at once.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionCloser {
    /// Counts the calls of `close_all`, to wake the connections.
    close_requests: watch::Sender<u64>,
}

impl ConnectionCloser {
    pub(crate) fn new() -> Self {
        Self {
            close_requests: watch::Sender::new(0),
        }
    }

    /// Closes every connection, even within an answer, except those whose last call was a test
    /// control.
    pub(crate) fn close_all(&self) {
        self.close_requests.send_modify(|count| *count += 1);
    }
}

/// Listens on `address` and returns the bound address, which has the port chosen for port 0.
pub(crate) fn bind(address: SocketAddr) -> Result<(TcpListener, SocketAddr)> {
    try_bind(address).map_err(|source| StandinError::Listen { address, source })
}

fn try_bind(address: SocketAddr) -> std::io::Result<(TcpListener, SocketAddr)> {
    let socket = new_socket(address)?;
    socket.bind(address)?;
    let listener = socket.listen(LISTEN_BACKLOG)?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Accepts connections and handles their calls until the future is dropped.
pub(crate) async fn serve(
    listener: TcpListener,
    handler: Arc<dyn CallHandler>,
    closer: ConnectionCloser,
) {
    accept_each(listener, |stream| {
        Connection::new(Arc::clone(&handler), &closer).serve(stream)
    })
    .await;
}

/// Accepts connections and spawns the future that `start` returns for each.
///
/// Dropping the returned future also drops those of all connections.
pub(crate) async fn accept_each<Served>(listener: TcpListener, start: impl Fn(TcpStream) -> Served)
where
    Served: Future<Output = ()> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(start(stream));
                }
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

/// One accepted connection.
struct Connection {
    handler: Arc<dyn CallHandler>,
    close_requests: watch::Receiver<u64>,
    /// Whether the last call was a test control.
    is_admin: Arc<AtomicBool>,
}

impl Connection {
    fn new(handler: Arc<dyn CallHandler>, closer: &ConnectionCloser) -> Self {
        Self {
            handler,
            close_requests: closer.close_requests.subscribe(),
            is_admin: Arc::default(),
        }
    }

    async fn serve(mut self, stream: TcpStream) {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let handler = Arc::clone(&self.handler);
        let is_admin = Arc::clone(&self.is_admin);
        let service =
            service_fn(move |request| answer(Arc::clone(&handler), Arc::clone(&is_admin), request));
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        tokio::select! {
            _ended = &mut connection => {}
            () = self.wait_for_close() => {}
        }
    }

    /// Waits until this connection has to be closed.
    async fn wait_for_close(&mut self) {
        while self.close_requests.changed().await.is_ok() {
            if !self.is_admin.load(Ordering::Relaxed) {
                return;
            }
        }
    }
}

async fn answer(
    handler: Arc<dyn CallHandler>,
    is_admin: Arc<AtomicBool>,
    request: http::Request<Incoming>,
) -> ReplyResult {
    let call = Call::read(request).await?;
    is_admin.store(call.is_admin(), Ordering::Relaxed);
    handler.handle(call).await
}
