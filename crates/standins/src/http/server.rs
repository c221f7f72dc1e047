//! The listening side: accepts connections, reads calls and can cut every connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::{Call, ReplyFuture, ReplyResult};
use crate::error::{Result, StandinError};

/// Connections that may wait to be accepted.
const LISTEN_BACKLOG: u32 = 1024;

/// Pause after a failed accept, such as for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers the calls of one stand-in.
pub(crate) trait CallHandler: std::fmt::Debug + Send + Sync + 'static {
    /// Starts on the answer to `call`; dropping the future abandons it.
    fn handle(self: Arc<Self>, call: Call) -> ReplyFuture;
}

/// Cuts all connections of a stand-in at once.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionSwitch {
    cuts: watch::Sender<u64>,
}

impl ConnectionSwitch {
    pub(crate) fn new() -> Self {
        Self {
            cuts: watch::Sender::new(0),
        }
    }

    /// Closes every connection, in the middle of its answer too, but those of test controls.
    pub(crate) fn cut_all(&self) {
        self.cuts.send_modify(|count| *count += 1);
    }
}

/// Opens the listening port and returns the address it got.
pub(crate) fn bind(address: SocketAddr) -> Result<(TcpListener, SocketAddr)> {
    try_bind(address).map_err(|source| StandinError::Listen { address, source })
}

fn try_bind(address: SocketAddr) -> std::io::Result<(TcpListener, SocketAddr)> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    let listener = socket.listen(LISTEN_BACKLOG)?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Accepts connections and answers their calls until the future is dropped.
pub(crate) async fn serve(
    listener: TcpListener,
    handler: Arc<dyn CallHandler>,
    switch: ConnectionSwitch,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    let connection = Connection::new(Arc::clone(&handler), &switch);
                    connections.spawn(connection.serve(stream));
                }
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

/// One accepted connection.
struct Connection {
    handler: Arc<dyn CallHandler>,
    cuts: watch::Receiver<u64>,
    is_admin: Arc<AtomicBool>,
}

impl Connection {
    fn new(handler: Arc<dyn CallHandler>, switch: &ConnectionSwitch) -> Self {
        Self {
            handler,
            cuts: switch.cuts.subscribe(),
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
            () = self.cut() => {}
        }
    }

    /// Waits until this connection has to be cut.
    async fn cut(&mut self) {
        while self.cuts.changed().await.is_ok() {
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
