//! Accepts callers' connections on one traffic thread.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};

use super::http::answer;
use super::shared::TrafficThread;
use crate::runtime::{SharedListener, StopPhase};

/// Maximum time for a caller to send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay before accepting again after an accept error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves callers until the process has finished its requests or its grace period is over.
pub(super) async fn serve_callers(thread: Arc<TrafficThread>, listener: Arc<SharedListener>) {
    // Duplicating a bound socket only fails when the process is out of file descriptors.
    let Ok(handle) = listener.handle() else {
        return;
    };
    let stop = thread.shared.stop.clone();
    let graceful = GracefulShutdown::new();
    accept_until_draining(&thread, handle, &graceful).await;
    tokio::select! {
        () = graceful.shutdown() => stop.reached(StopPhase::Ending).await,
        () = stop.reached(StopPhase::Ending) => {}
    }
}

async fn accept_until_draining(
    thread: &Arc<TrafficThread>,
    listener: TcpListener,
    graceful: &GracefulShutdown,
) {
    let stop = thread.shared.stop.clone();
    let draining = stop.reached(StopPhase::Draining);
    tokio::pin!(draining);
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _peer)) => serve_connection(thread, stream, graceful),
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            },
            () = &mut draining => return,
        }
    }
}

fn serve_connection(thread: &Arc<TrafficThread>, stream: TcpStream, graceful: &GracefulShutdown) {
    // A failure only costs latency.
    drop(stream.set_nodelay(true));
    let thread = Arc::clone(thread);
    let service = service_fn(move |request| {
        let response = answer(Arc::clone(&thread), request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    let watched = graceful.watch(connection);
    tokio::spawn(async move {
        // A connection error is visible to the caller and needs no handling here.
        drop(watched.await);
    });
}
