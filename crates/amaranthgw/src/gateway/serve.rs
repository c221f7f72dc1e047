//! Admission of callers' requests: route, key, body and deadline.

use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::{DemandWork, MilliSpan, PartId, ServiceId, WorkspaceId};
use amaranthgw_fleet::gateway::{CallRank, GatewaySnapshot, RouteRow, RouteTable, request_mark};
use amaranthgw_fleet::memory::ByteHolder;
use amaranthgw_platform::request::{CallTerms, decode_terms};
use bytes::Bytes;
use http::request::Parts;
use http::uri::PathAndQuery;
use http::{HeaderValue, Request, Response, header};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use super::body::AnswerBody;
use super::refusal::{CallRefusal, RetryWait};
use super::run::run_call;
use super::shared::{CallGuard, GatewayThread};
use crate::memory::{BodyReadError, read_held};
use crate::runtime::StopPhase;
use crate::telemetry::{NodeEvent, count_call};

/// Longest wait of a request for the first replies of the store, each of which takes milliseconds.
const FIRST_SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(150);

/// Work that a request counts as in the demand that gateways tell each other.
pub(super) const ORDINARY_WORK: DemandWork = DemandWork::new(1_000);

/// A request that passed admission.
#[derive(Debug)]
pub(super) struct AdmittedCall {
    /// Method, path and headers as the caller sent them.
    pub(super) parts: Parts,
    /// Terms decoded from the headers.
    pub(super) terms: CallTerms,
    /// Body, read completely.
    pub(super) body: Bytes,
    /// Mark by which the request is known again if it comes once more.
    pub(super) mark: PartId,
    /// Route that matched.
    pub(super) route: Arc<RouteRow>,
    /// Service that the request is sent to.
    pub(super) service: ServiceId,
    /// Workspace that holds the caller's key; `None` on a public route without a known key, or in a
    /// deployment that never had workspaces.
    pub(super) workspace: Option<WorkspaceId>,
    /// Rank among the requests that wait.
    pub(super) rank: CallRank,
    /// Time of arrival.
    pub(super) arrived_at: Instant,
    /// Time at which the request times out.
    pub(super) deadline: Instant,
    /// Counts the request as in flight.
    pub(super) _guard: CallGuard,
}

impl AdmittedCall {
    /// Id of the request in events; `-` if the caller gave none.
    pub(super) fn name(&self) -> compact_str::CompactString {
        self.terms.name()
    }

    /// Milliseconds since the request arrived.
    pub(super) fn age_ms(&self) -> u64 {
        u64::try_from(self.arrived_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

/// Serves one request of a caller.
pub(super) async fn serve_request(
    thread: Arc<GatewayThread>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let arrived_at = Instant::now();
    let (parts, body) = request.into_parts();
    let terms = decode_terms(&parts.headers);
    let name = terms.name();
    let mut response = match admit(&thread, parts, terms, body, arrived_at).await {
        Ok(call) => run_call(Arc::clone(&thread), call).await,
        Err(refusal) => {
            count_call("unrouted", refusal.name(), arrived_at.elapsed());
            thread.log.record(NodeEvent::CallRefused {
                request: name,
                route: compact_str::CompactString::default(),
                reason: refusal.name(),
                status: refusal.status().as_u16(),
                version: thread.shared.snapshot.load().routes.version,
                age_ms: u64::try_from(arrived_at.elapsed().as_millis()).unwrap_or(u64::MAX),
            });
            refusal.response(RetryWait::Targets(Duration::ZERO))
        }
    };
    if thread.shared.stop.phase() > StopPhase::Serving {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

async fn admit(
    thread: &GatewayThread,
    parts: Parts,
    terms: CallTerms,
    body: Incoming,
    arrived_at: Instant,
) -> Result<AdmittedCall, CallRefusal> {
    let guard = CallGuard::new(&thread.shared);
    let snapshot = wait_for_snapshot(thread).await;
    let routes = &snapshot.routes;
    let route = find_route(routes, &parts).map_err(CallRefusal::Lookup)?;
    let holder = routes.holder(&route, terms.key.as_ref());
    let holder = holder.map_err(CallRefusal::Lookup)?;
    let workspace = holder.map(|holder| holder.workspace.clone());
    let priority = holder.and_then(|holder| holder.priority);
    let rank = CallRank::new(priority, route.priority);
    let time_limit = terms.deadline.map_or(Duration::MAX, MilliSpan::duration);
    let deadline = arrived_at + time_limit.min(route.timeout.duration());
    let limit = usize::try_from(routes.limits.body.get()).unwrap_or(usize::MAX);
    let holder = ByteHolder::of_caller(workspace.as_ref());
    let reading = read_held(body, limit, &thread.shared.memory, holder, None);
    let body = match timeout_at(deadline, reading).await {
        Ok(Ok(body)) => body.bytes,
        Ok(Err(BodyReadError::TooLong { .. })) => return Err(CallRefusal::BodyTooLarge),
        Ok(Err(BodyReadError::NoMemory { .. })) => return Err(CallRefusal::NoMemory),
        Ok(Err(BodyReadError::Broken { .. })) => return Err(CallRefusal::BodyBroken),
        Err(_elapsed) => return Err(CallRefusal::TooLate),
    };
    if !thread.shared.takes(deadline, Instant::now()) {
        return Err(CallRefusal::Stopping);
    }
    let service = route.pick_service(fastrand::f64()).cloned();
    let service = service.ok_or(CallRefusal::NoCapacity)?;
    let demand = &thread.shared.demand;
    demand.record_arrival(
        &service,
        routes.target_urgency(rank),
        ORDINARY_WORK,
        arrived_at,
    );
    let path = parts.uri.path_and_query().map_or("", PathAndQuery::as_str);
    let mark = request_mark(workspace.as_ref(), parts.method.as_str(), path, &body);
    Ok(AdmittedCall {
        service,
        parts,
        terms,
        body,
        mark,
        route,
        workspace,
        rank,
        arrived_at,
        deadline,
        _guard: guard,
    })
}

/// The current snapshot; after a start, waits a short time for the first replies of the store.
async fn wait_for_snapshot(thread: &GatewayThread) -> Arc<GatewaySnapshot> {
    let wait_until = Instant::now() + FIRST_SNAPSHOT_TIMEOUT;
    loop {
        let published = thread.shared.published.notified();
        let snapshot = thread.shared.snapshot.load_full();
        if snapshot.is_ready {
            return snapshot;
        }
        if timeout_at(wait_until, published).await.is_err() {
            return snapshot;
        }
    }
}

fn find_route(
    routes: &RouteTable,
    parts: &Parts,
) -> Result<Arc<RouteRow>, amaranthgw_fleet::gateway::LookupError> {
    let host_header = parts
        .headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok());
    let host = host_header.or_else(|| parts.uri.host()).unwrap_or_default();
    routes.route(host, parts.uri.path()).cloned()
}
