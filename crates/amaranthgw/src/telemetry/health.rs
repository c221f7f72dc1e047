//! HTTP endpoints for liveness, readiness and metrics.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

use super::{EventLog, MetricsHandle};
use crate::runtime::accept_each;

/// Returns the reason if the process is not ready.
pub type ReadinessCheck = Arc<dyn Fn() -> Result<(), &'static str> + Send + Sync>;

/// Serves `/healthz`, `/readyz` and `/metrics` on `listener`; never returns.
pub async fn serve_health_and_metrics(
    listener: TcpListener,
    metrics: MetricsHandle,
    ready: ReadinessCheck,
    log: EventLog,
) {
    let serve = |stream| serve_connection(stream, metrics.clone(), Arc::clone(&ready));
    accept_each(listener, log, serve).await;
}

async fn serve_connection(stream: TcpStream, metrics: MetricsHandle, ready: ReadinessCheck) {
    let service = service_fn(move |request| {
        let response = respond(&request, &metrics, &ready);
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    // Connection errors concern the client only and are not logged.
    drop(connection.await);
}

fn respond(
    request: &Request<Incoming>,
    metrics: &MetricsHandle,
    ready: &ReadinessCheck,
) -> Response<Full<Bytes>> {
    match request.uri().path() {
        "/healthz" => text_response(StatusCode::OK, "alive\n".into()),
        "/readyz" => match ready() {
            Ok(()) => text_response(StatusCode::OK, "ready\n".into()),
            Err(reason) => text_response(
                StatusCode::SERVICE_UNAVAILABLE,
                format!("{reason}\n").into(),
            ),
        },
        "/metrics" => text_response(StatusCode::OK, metrics.render().into()),
        _ => text_response(StatusCode::NOT_FOUND, "unknown path\n".into()),
    }
}

fn text_response(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
