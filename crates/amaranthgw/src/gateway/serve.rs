//! Admits callers' requests: route, key, body and the time that they have.

use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::{CallerKey, MilliSpan, ServiceId, WorkspaceId};
use amaranthgw_fleet::gateway::{GatewaySnapshot, RouteRow, RouteTable};
use amaranthgw_platform::request::{CallTerms, decode_terms};
use bytes::Bytes;
use http::request::Parts;
use http::{HeaderValue, Request, Response, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use super::body::AnswerBody;
use super::refusal::CallRefusal;
use super::run::run_call;
use super::shared::{CallGuard, GatewayThread};
use crate::runtime::StopPhase;
use crate::telemetry::{NodeEvent, count_call};

/// Longest wait of a request for the first answers of the store: each takes some milliseconds.
const START_WAIT: Duration = Duration::from_millis(150);

/// A request that may be sent.
#[derive(Debug)]
pub(super) struct AdmittedCall {
    /// Method, path and headers as the caller sent them.
    pub(super) parts: Parts,
    /// What the headers say.
    pub(super) terms: CallTerms,
    /// The whole body.
    pub(super) body: Bytes,
    /// Its route.
    pub(super) route: Arc<RouteRow>,
    /// The service that it goes to.
    pub(super) service: ServiceId,
    /// Workspace of the caller.
    pub(super) workspace: Option<WorkspaceId>,
    /// When it arrived.
    pub(super) arrived_at: Instant,
    /// When it is given up.
    pub(super) give_up_at: Instant,
    /// Counts it while it is answered.
    pub(super) _guard: CallGuard,
}

impl AdmittedCall {
    /// Name of the request in events.
    pub(super) fn name(&self) -> compact_str::CompactString {
        self.terms.name()
    }

    /// Milliseconds since the request arrived.
    pub(super) fn age_ms(&self) -> u64 {
        u64::try_from(self.arrived_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

/// Answers one request of a caller.
pub(super) async fn answer(
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
            refusal.response()
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
    let snapshot = known_snapshot(thread).await;
    let routes = &snapshot.routes;
    let route = find_route(routes, &parts).map_err(CallRefusal::Miss)?;
    let workspace = find_workspace(routes, &route, terms.key.as_ref())?;
    let waits = terms.deadline.map_or(Duration::MAX, MilliSpan::duration);
    let give_up_at = arrived_at + waits.min(route.timeout.duration());
    let limit = usize::try_from(routes.limits.body.get()).unwrap_or(usize::MAX);
    let reading = timeout_at(give_up_at, Limited::new(body, limit).collect());
    let body = match reading.await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<LengthLimitError>() => return Err(CallRefusal::BodyTooLarge),
        Ok(Err(_broken)) => return Err(CallRefusal::BodyBroken),
        Err(_elapsed) => return Err(CallRefusal::TooLate),
    };
    let service = route.service_of(fastrand::f64()).cloned();
    Ok(AdmittedCall {
        service: service.ok_or(CallRefusal::NoCapacity)?,
        parts,
        terms,
        body,
        route,
        workspace,
        arrived_at,
        give_up_at,
        _guard: guard,
    })
}

/// The snapshot in force; right after a start, waits for the first answers of the store.
async fn known_snapshot(thread: &GatewayThread) -> Arc<GatewaySnapshot> {
    let wait_until = Instant::now() + START_WAIT;
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
    let named = parts
        .headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok());
    let host = named.or_else(|| parts.uri.host()).unwrap_or_default();
    routes.route(host, parts.uri.path()).cloned()
}

fn find_workspace(
    routes: &RouteTable,
    route: &RouteRow,
    key: Option<&CallerKey>,
) -> Result<Option<WorkspaceId>, CallRefusal> {
    let holder = routes.holder(route, key).map_err(CallRefusal::Miss)?;
    Ok(holder.map(|holder| holder.workspace.clone()))
}
