//! HTTP service for callers: answers the probes of the platform's balancer, admits calls and starts
//! their runs.

use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::TokenCount;
use amaranthgw_fleet::burn::BurnOutcome;
use amaranthgw_fleet::config::PlanRow;
use amaranthgw_fleet::entry::{EntrySnapshot, OutcomeRecord};
use amaranthgw_fleet::limits::{InFlightPermit, LimitError};
use amaranthgw_fleet::routing::ServiceKind;
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde::Deserialize;
use tokio::sync::mpsc::{Sender, channel};
use tokio::time::Instant;

use super::CallError;
use super::answer::{
    AnswerBody, AnswerPart, error_response, plain_response, stream_response, whole_response,
};
use super::claim::{CallClaim, claim};
use super::head::CallHead;
use super::run::{AdmittedCall, CallRun, CallTiming};
use super::shared::{InFlightGuard, TrafficReport, TrafficThread};
use crate::runtime::StopPhase;
use crate::telemetry::{NodeEvent, count_refusal};

/// Number of answer parts buffered for a slow caller.
const PART_BUFFER: usize = 64;
/// Time by which a request may exceed its plan's deadline before it is given up, if its caller set
/// no deadline.
const LATE_TIMEOUT: Duration = Duration::from_mins(1);
/// Largest number of tokens that a call may request.
const MAX_TOKENS: u32 = 1_000_000;

/// JSON body of a model call.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct GenerateBody {
    prompt: String,
    max_tokens: u32,
}

/// Admission of a request under the limits of its plan.
struct PlanAdmission<'a> {
    plan: &'a PlanRow,
    permit: InFlightPermit,
}

/// Handles one request from a caller or a health probe from the platform's balancer.
pub(super) async fn answer(
    thread: Arc<TrafficThread>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/healthz") => text_response(StatusCode::OK, "alive"),
        (&Method::GET, "/readyz") => readiness(&thread),
        _ => answer_call(thread, request).await,
    }
}

fn readiness(thread: &TrafficThread) -> Response<AnswerBody> {
    match thread.shared.readiness() {
        Ok(()) => text_response(StatusCode::OK, "ready"),
        Err(reason) => text_response(StatusCode::SERVICE_UNAVAILABLE, reason),
    }
}

fn text_response(status: StatusCode, text: &'static str) -> Response<AnswerBody> {
    whole_response(status, "text/plain", Bytes::from_static(text.as_bytes()))
}

async fn answer_call(
    thread: Arc<TrafficThread>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let arrived_at = Instant::now();
    let guard = InFlightGuard::new(&thread.shared);
    let (parts, body) = request.into_parts();
    let head = match CallHead::new(&parts) {
        Ok(head) => head,
        Err(error) => return refuse(&thread, None, &error),
    };
    match admit(&thread, &head, body, arrived_at).await {
        Ok((call, permit)) => start(thread, call, (guard, permit)).await,
        Err(error) => refuse(&thread, Some(&head), &error),
    }
}

/// Runs `call` in a task of its own and returns its response.
///
/// `held` is released at the end of the run, even if the caller disconnects earlier.
async fn start(
    thread: Arc<TrafficThread>,
    call: AdmittedCall,
    held: (InFlightGuard, InFlightPermit),
) -> Response<AnswerBody> {
    let (sender, parts) = channel(PART_BUFFER);
    let kind = call.head.kind;
    // The claim is made in the task as well, so that a disconnecting caller doesn't interrupt it.
    tokio::spawn(async move {
        run_claimed(thread, call, sender).await;
        drop(held);
    });
    match kind {
        ServiceKind::Model => stream_response(parts).await,
        ServiceKind::Plain => plain_response(parts).await,
    }
}

async fn run_claimed(thread: Arc<TrafficThread>, call: AdmittedCall, parts: Sender<AnswerPart>) {
    let grant = match claim(&thread, &call).await {
        Ok(CallClaim::NotNeeded) => None,
        Ok(CallClaim::Granted(grant)) => Some(grant),
        Ok(CallClaim::Replayed(status, body)) => {
            // The send fails if the caller has disconnected, which needs no handling.
            drop(parts.send(AnswerPart::Replayed(status, body)).await);
            return;
        }
        Err(error) => {
            record_refusal(&thread, Some(&call.head), &error);
            drop(parts.send(AnswerPart::Failed(error)).await);
            return;
        }
    };
    CallRun::new(thread, call, parts)
        .with_grant(grant)
        .run()
        .await;
}

fn refuse(
    thread: &TrafficThread,
    head: Option<&CallHead>,
    error: &CallError,
) -> Response<AnswerBody> {
    record_refusal(thread, head, error);
    error_response(error)
}

fn record_refusal(thread: &TrafficThread, head: Option<&CallHead>, error: &CallError) {
    thread.log.record(NodeEvent::RequestRefused {
        request: head.map(|head| head.request.clone()),
        workspace: head.map(|head| head.workspace.clone()),
        code: error.code(),
        outcome: error.state().name(),
    });
    count_refusal(error.code());
    if let Some(head) = head {
        report_refusal(thread, head, error);
    }
}

/// Reports a refusal that counts towards the plan's service level; other errors don't.
fn report_refusal(thread: &TrafficThread, head: &CallHead, error: &CallError) {
    let outcome = match error {
        CallError::OverLimit { .. } => BurnOutcome::OverLimit,
        CallError::Leaving | CallError::KeyUnavailable => BurnOutcome::Refused,
        _ => return,
    };
    let snapshot = thread.shared.snapshot.load();
    let Some(row) = snapshot.config.workspaces.get(&head.workspace) else {
        return;
    };
    let (plan, service) = (row.plan.clone(), head.service.clone());
    let record = OutcomeRecord {
        plan,
        service,
        outcome,
    };
    thread.shared.reports.send(TrafficReport::Answered(record));
}

async fn admit(
    thread: &TrafficThread,
    head: &CallHead,
    body: Incoming,
    arrived_at: Instant,
) -> Result<(AdmittedCall, InFlightPermit), CallError> {
    if thread.shared.stop.phase() >= StopPhase::Draining {
        return Err(CallError::Leaving);
    }
    let snapshot = thread.shared.snapshot.load_full();
    let row = snapshot.config.workspaces.get(&head.workspace);
    let row = row.ok_or(CallError::UnknownWorkspace)?;
    check_service(&snapshot, head)?;
    if head.deadline.is_some_and(|deadline| deadline.millis() == 0) {
        return Err(CallError::DeadlineExpired);
    }
    let limit = thread.shared.max_body.get();
    let body = read_body(body, limit).await?;
    let (body, max_tokens) = read_call_body(head, body)?;
    let admission = admit_to_plan(&snapshot, head, &row.plan, arrived_at)?;
    let plan = row.plan.clone();
    let call = admitted_call(head, plan, admission.plan, body, max_tokens, arrived_at);
    let is_expired = Instant::now() >= call.cutoff;
    if is_expired {
        Err(CallError::DeadlineExpired)
    } else {
        Ok((call, admission.permit))
    }
}

fn check_service(snapshot: &EntrySnapshot, head: &CallHead) -> Result<(), CallError> {
    let routes = snapshot
        .routes
        .services
        .get(&head.service)
        .ok_or(CallError::UnknownService)?;
    // The kind of a service comes with the first status of a target, as its load does.
    let is_kind_known = routes.targets().iter().any(|route| route.load.is_some());
    if is_kind_known && routes.kind != head.kind {
        return Err(CallError::WrongKind);
    }
    Ok(())
}

fn admit_to_plan<'a>(
    snapshot: &'a EntrySnapshot,
    head: &CallHead,
    plan: &amaranthgw_core::PlanId,
    now: Instant,
) -> Result<PlanAdmission<'a>, CallError> {
    let plan = snapshot
        .config
        .plans
        .get(plan)
        .ok_or(CallError::NotInPlan)?;
    if !plan.uses.contains(&head.service) {
        return Err(CallError::NotInPlan);
    }
    let meters = snapshot.meters.get(&head.workspace);
    let meter = meters.and_then(|meters| meters.get(&head.service));
    let meter = meter.ok_or(CallError::NoCapacity)?;
    let permit = meter.try_admit(now).map_err(|error| over_limit(&error))?;
    Ok(PlanAdmission { plan, permit })
}

fn over_limit(error: &LimitError) -> CallError {
    /// `Retry-After` where the limit doesn't tell when it admits a request again.
    const DEFAULT_RETRY_DELAY: Duration = Duration::from_secs(1);
    match error {
        LimitError::RateExceeded { retry_after } => CallError::OverLimit {
            retry_after: *retry_after,
        },
        LimitError::InFlightExceeded { .. } | LimitError::NoShare => CallError::OverLimit {
            retry_after: DEFAULT_RETRY_DELAY,
        },
    }
}

async fn read_body(body: Incoming, limit: u64) -> Result<Bytes, CallError> {
    let bound = usize::try_from(limit).unwrap_or(usize::MAX);
    match Limited::new(body, bound).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            Err(CallError::BodyTooLarge { limit })
        }
        Err(_) => Err(CallError::BadBody),
    }
}

fn read_call_body(head: &CallHead, body: Bytes) -> Result<(Bytes, TokenCount), CallError> {
    if head.kind == ServiceKind::Plain {
        return Ok((body, TokenCount::default()));
    }
    let parsed = serde_json::from_slice::<GenerateBody>(&body);
    let parsed = parsed.map_err(|_malformed| CallError::BadBody)?;
    if parsed.max_tokens == 0 || parsed.max_tokens > MAX_TOKENS {
        return Err(CallError::BadBody);
    }
    Ok((
        parsed.prompt.into(),
        TokenCount::new(parsed.max_tokens.into()),
    ))
}

fn admitted_call(
    head: &CallHead,
    plan_id: amaranthgw_core::PlanId,
    plan: &PlanRow,
    body: Bytes,
    max_tokens: TokenCount,
    arrived_at: Instant,
) -> AdmittedCall {
    let due_at = arrived_at + plan.deadline.duration();
    let caller_deadline = head
        .deadline
        .map(|deadline| arrived_at + deadline.duration());
    AdmittedCall {
        head: head.clone(),
        plan: plan_id,
        refund_weight: plan.refund_weight,
        body,
        max_tokens,
        timing: CallTiming {
            arrived_at,
            first_token: plan.first_token.duration(),
            token_gap: plan.token_gap.duration(),
            last_chunk_at: None,
            is_late: false,
        },
        due_at,
        cutoff: caller_deadline.unwrap_or(due_at + LATE_TIMEOUT),
    }
}
