//! Accepts callers' connections and serves HTTP/1 requests on them.

use std::collections::HashSet;
use std::convert::Infallible;
use std::error::Error as _;
use std::io::{Error, ErrorKind};
use std::sync::Arc;
use std::time::Duration;

use compact_str::ToCompactString;
use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::sleep;

use super::caller_stream::CallerStream;
use super::delivery::CallerDelivery;
use super::serve::serve_request;
use super::shared::GatewayThread;
use crate::runtime::{OpenGuard, SharedListener, StopPhase, accept_each};
use crate::telemetry::NodeEvent;

/// Smallest read buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// Interval between prunings of idle connections, which targets keep for some seconds.
const PRUNE_INTERVAL: Duration = Duration::from_secs(3);
/// Size of the kernel's buffer for what a caller has not acknowledged; the kernel doubles it for its own
/// needs. A caller 6 ms away gets 10 MB/s.
const CALLER_SEND_BUFFER_BYTES: usize = 64 * 1024;
/// Time after which unacknowledged data closes a connection to a caller.
const CALLER_TCP_USER_TIMEOUT: Duration = Duration::from_secs(5);

/// Serves callers until the process ends; the listener and each connection keep `guard` while they are open.
pub(super) async fn serve_callers(
    thread: Arc<GatewayThread>,
    listener: Arc<SharedListener>,
    guard: OpenGuard,
) {
    let stop = thread.shared.stop.clone();
    let accepting = accept_callers(guard, Arc::clone(&thread), listener);
    tokio::select! {
        () = accepting => {}
        () = prune_connections(&thread) => {}
        () = stop.reached(StopPhase::Draining) => {}
    }
    stop.reached(StopPhase::Ending).await;
}

/// Closes idle connections that have expired or whose target is no longer registered.
async fn prune_connections(thread: &GatewayThread) {
    loop {
        sleep(PRUNE_INTERVAL).await;
        let snapshot = thread.shared.snapshot.load_full();
        let targets = snapshot.targets.values().flatten();
        let known: HashSet<_> = targets.map(|target| target.record.address).collect();
        thread.pool.prune(|address| known.contains(address));
    }
}

async fn accept_callers(
    guard: OpenGuard,
    thread: Arc<GatewayThread>,
    listener: Arc<SharedListener>,
) {
    let Ok(accepting) = listener.handle() else {
        return;
    };
    let log = thread.log.clone();
    let serve = |stream| serve_caller(guard.clone(), Arc::clone(&thread), stream);
    accept_each(accepting, log, serve).await;
}

async fn serve_caller(_guard: OpenGuard, thread: Arc<GatewayThread>, stream: TcpStream) {
    configure_socket(&stream);
    let limits = thread.shared.snapshot.load().routes.limits;
    let stop = thread.shared.stop.clone();
    let (log, caller) = (thread.log.clone(), stream.peer_addr().ok());
    let delivery = CallerDelivery::new();
    let stream = CallerStream::new(stream, delivery.clone());
    let of_calls = delivery.clone();
    let service = service_fn(move |mut request: Request<Incoming>| {
        let thread = Arc::clone(&thread);
        request.extensions_mut().insert(of_calls.clone());
        async move { Ok::<_, Infallible>(serve_request(thread, request).await) }
    });
    let head_bytes = usize::try_from(limits.head.get()).unwrap_or(usize::MAX);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle.duration())
        .max_buf_size(head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let serving = async {
        tokio::select! {
            ended = connection.as_mut() => ended,
            () = stop.reached(StopPhase::Draining) => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        }
    };
    let reason = tokio::select! {
        // Any other broken connection needs no handling: the caller sees it.
        ended = serving => ended.is_err_and(|error| is_timeout(&error)).then_some("timed_out"),
        () = delivery.evicted() => Some("evicted"),
    };
    if let (Some(reason), Some(caller)) = (reason, caller) {
        let caller = caller.to_compact_string();
        log.record(NodeEvent::CallerCut { caller, reason });
    }
}

fn configure_socket(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    // The connection also works without these options.
    drop(stream.set_nodelay(true));
    drop(socket.set_tcp_user_timeout(Some(CALLER_TCP_USER_TIMEOUT)));
    drop(socket.set_send_buffer_size(CALLER_SEND_BUFFER_BYTES));
}

/// Whether a connection ended as a write to the caller took too long.
fn is_timeout(error: &hyper::Error) -> bool {
    let source = error.source().and_then(|it| it.downcast_ref::<Error>());
    source.is_some_and(|source| source.kind() == ErrorKind::TimedOut)
}
