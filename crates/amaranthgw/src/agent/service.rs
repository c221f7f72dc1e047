//! HTTP service of an agent: answers the calls of coordinators, passes them on to other agents, and
//! reports the state of its group to gateways.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use compact_str::ToCompactString;
use futures_util::future::join;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};

use super::link::GROUP_PATH;
use super::local_rank::LocalRank;
use super::message::{RELAY_PATH, RelayReply, RelayRequest};
use super::relay::AgentRelay;
use crate::runtime::accept_each;
use crate::telemetry::{EventLog, NodeEvent};

/// Size limit of a request: fits the map of a group with 256 ranks and 256 experts per set.
const MAX_REQUEST_BYTES: usize = 1024 * 1024;

/// What the connections of an agent share.
#[derive(Debug)]
pub(super) struct AgentService {
    /// The rank on this VM.
    pub(super) rank: Arc<LocalRank>,
    /// Client of the other agents.
    pub(super) relay: Arc<AgentRelay>,
    /// Log of requests that can't be decoded.
    pub(super) log: EventLog,
}

/// Serves coordinators and gateways until the process ends.
pub(super) async fn serve_agent(listener: TcpListener, service: AgentService) {
    let (log, service) = (service.log.clone(), Arc::new(service));
    accept_each(listener, log, |stream| {
        serve_client(stream, Arc::clone(&service))
    })
    .await;
}

async fn serve_client(stream: TcpStream, agent: Arc<AgentService>) {
    // The connection also works without TCP_NODELAY.
    drop(stream.set_nodelay(true));
    let service = service_fn(move |request| {
        let agent = Arc::clone(&agent);
        async move { Ok::<_, Infallible>(agent.respond(request).await) }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    // A broken connection needs no handling: the client sees it.
    drop(connection.await);
}

impl AgentService {
    async fn respond(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        match (request.method(), request.uri().path()) {
            (&Method::POST, RELAY_PATH) => self.relay(request.into_body()).await,
            (&Method::GET, GROUP_PATH) => match self.rank.group_status().await {
                Ok(status) => json(&status),
                Err(_unavailable) => status(StatusCode::SERVICE_UNAVAILABLE),
            },
            _ => status(StatusCode::NOT_FOUND),
        }
    }

    async fn relay(&self, body: Incoming) -> Response<Full<Bytes>> {
        let Ok(body) = Limited::new(body, MAX_REQUEST_BYTES).collect().await else {
            return status(StatusCode::BAD_REQUEST);
        };
        let request = match postcard::from_bytes::<RelayRequest>(&body.to_bytes()) {
            Ok(request) => request,
            Err(error) => {
                self.log.record(NodeEvent::RelayRefused {
                    reason: error.to_compact_string(),
                });
                return status(StatusCode::BAD_REQUEST);
            }
        };
        let (own, mut reply) = join(
            self.rank.answer(&request.call),
            self.relay.pass_on(&request),
        )
        .await;
        reply.merge(RelayReply {
            members: vec![(self.rank.address(), own.0)],
            selections: own.1,
        });
        match postcard::to_allocvec(&reply) {
            Ok(body) => Response::new(Full::new(body.into())),
            Err(_unwritable) => status(StatusCode::INTERNAL_SERVER_ERROR),
        }
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
