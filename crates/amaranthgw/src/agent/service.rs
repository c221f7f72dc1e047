//! HTTP service of an agent: reports the state of its rank and group, and forwards orders.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};

use super::link::{ForwardedOrder, GROUP_PATH, ORDER_PATH, RANK_PATH, ViewQuery};
use super::local_rank::LocalRank;
use crate::runtime::accept_each;
use crate::telemetry::EventLog;

/// Size limit of an order: fits the map of a group with 256 ranks and 256 experts per set.
const MAX_ORDER_BYTES: usize = 4 * 1024 * 1024;

/// Serves coordinators and gateways until the process ends.
pub(super) async fn serve_agent(listener: TcpListener, rank: Arc<LocalRank>, log: EventLog) {
    accept_each(listener, log, |stream| {
        serve_client(stream, Arc::clone(&rank))
    })
    .await;
}

async fn serve_client(stream: TcpStream, rank: Arc<LocalRank>) {
    // The connection also works without TCP_NODELAY.
    drop(stream.set_nodelay(true));
    let service = service_fn(move |request| {
        let rank = Arc::clone(&rank);
        async move { Ok::<_, Infallible>(respond(&rank, request).await) }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    // A broken connection needs no handling: the client sees it.
    drop(connection.await);
}

async fn respond(rank: &LocalRank, request: Request<Incoming>) -> Response<Full<Bytes>> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, RANK_PATH) => {
            let query = request.uri().query();
            let query = query.and_then(|query| query.parse::<ViewQuery>().ok());
            let with_counts = query.as_ref().is_some_and(|query| query.with_counts);
            let mark = query.as_ref().map(|query| query.mark);
            rank.record_query(mark, query.map_or_else(Vec::new, |query| query.slow));
            match rank.read(with_counts).await {
                Ok(view) => json(&view),
                Err(_unavailable) => status(StatusCode::SERVICE_UNAVAILABLE),
            }
        }
        (&Method::GET, GROUP_PATH) => match rank.group_status().await {
            Ok(status) => json(&status),
            Err(_unavailable) => status(StatusCode::SERVICE_UNAVAILABLE),
        },
        (&Method::POST, ORDER_PATH) => handle_order(rank, request.into_body()).await,
        _ => status(StatusCode::NOT_FOUND),
    }
}

async fn handle_order(rank: &LocalRank, body: Incoming) -> Response<Full<Bytes>> {
    let Ok(body) = Limited::new(body, MAX_ORDER_BYTES).collect().await else {
        return status(StatusCode::BAD_REQUEST);
    };
    match serde_json::from_slice::<ForwardedOrder>(&body.to_bytes()) {
        Ok(order) => json(&rank.forward_order(order).await),
        Err(_malformed) => status(StatusCode::BAD_REQUEST),
    }
}

fn json(value: &impl Serialize) -> Response<Full<Bytes>> {
    match serde_json::to_vec(value) {
        Ok(body) => Response::new(Full::new(body.into())),
        Err(_unwritable) => status(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
