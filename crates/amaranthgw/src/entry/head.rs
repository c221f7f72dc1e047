//! Parses and validates the path and headers of a caller's request.

use amaranthgw_core::{CallerId, IdempotencyKey, MilliSpan, RequestId, ServiceId, WorkspaceId};
use amaranthgw_fleet::retries::RepeatRule;
use amaranthgw_fleet::routing::ServiceKind;
use compact_str::format_compact;
use http::request::Parts;
use http::{HeaderMap, Method};

use super::CallError;

const WORKSPACE_HEADER: &str = "x-workspace";
const CALLER_HEADER: &str = "x-caller";
const REQUEST_HEADER: &str = "x-request-id";
const DEADLINE_HEADER: &str = "x-deadline-ms";
const IDEMPOTENT_HEADER: &str = "x-idempotent";
const KEY_HEADER: &str = "idempotency-key";

const ID_ALLOWED: &str = "an identifier of letters, digits or any of . _ - : /";
const DEADLINE_ALLOWED: &str = "a whole number of milliseconds";
const FLAG_ALLOWED: &str = "true or false";

/// Parsed path and headers of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct CallHead {
    /// Service named in the path.
    pub(super) service: ServiceId,
    /// Kind of service that the path is for.
    pub(super) kind: ServiceKind,
    /// Workspace whose plan and limits apply.
    pub(super) workspace: WorkspaceId,
    /// Caller within the workspace, if named.
    pub(super) caller: Option<CallerId>,
    /// Identifier of the request; random if the caller sent none.
    pub(super) request: RequestId,
    /// Time from arrival after which the caller no longer waits.
    pub(super) deadline: Option<MilliSpan>,
    /// Whether the request may run more than once, and whether its answer can be resumed.
    pub(super) rule: RepeatRule,
    /// Idempotency key that the caller may resend the request with.
    pub(super) key: Option<IdempotencyKey>,
}

impl CallHead {
    /// Parses the head of a call.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] for an unknown path, a wrong method or a missing or malformed
    /// header.
    pub(super) fn new(parts: &Parts) -> Result<Self, CallError> {
        let (service, kind) = parse_path(parts.uri.path())?;
        if parts.method != Method::POST {
            return Err(CallError::WrongMethod);
        }
        let headers = &parts.headers;
        let workspace = parse_header(headers, WORKSPACE_HEADER, ID_ALLOWED)?;
        let workspace = workspace.ok_or(CallError::BadHeader {
            header: WORKSPACE_HEADER,
            allowed: ID_ALLOWED,
        })?;
        let request = parse_header(headers, REQUEST_HEADER, ID_ALLOWED)?;
        Ok(Self {
            service,
            kind,
            workspace,
            caller: parse_header(headers, CALLER_HEADER, ID_ALLOWED)?,
            request: request.unwrap_or_else(random_request_id),
            deadline: parse_header(headers, DEADLINE_HEADER, DEADLINE_ALLOWED)?.map(MilliSpan::new),
            rule: parse_rule(headers, kind)?,
            key: parse_header(headers, KEY_HEADER, ID_ALLOWED)?,
        })
    }
}

fn parse_path(path: &str) -> Result<(ServiceId, ServiceKind), CallError> {
    let rest = path
        .strip_prefix("/v1/services/")
        .ok_or(CallError::UnknownPath)?;
    let (service, action) = rest.split_once('/').ok_or(CallError::UnknownPath)?;
    let kind = match action {
        "generate" => ServiceKind::Model,
        "call" => ServiceKind::Plain,
        _ => return Err(CallError::UnknownPath),
    };
    let service = service
        .parse()
        .map_err(|_invalid| CallError::UnknownService)?;
    Ok((service, kind))
}

fn parse_header<Value: std::str::FromStr>(
    headers: &HeaderMap,
    header: &'static str,
    allowed: &'static str,
) -> Result<Option<Value>, CallError> {
    let Some(value) = headers.get(header) else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    parsed
        .map(Some)
        .ok_or(CallError::BadHeader { header, allowed })
}

fn parse_rule(headers: &HeaderMap, kind: ServiceKind) -> Result<RepeatRule, CallError> {
    let is_idempotent = parse_header::<bool>(headers, IDEMPOTENT_HEADER, FLAG_ALLOWED)?;
    Ok(match kind {
        ServiceKind::Model => RepeatRule::Resumable,
        ServiceKind::Plain if is_idempotent == Some(true) => RepeatRule::Idempotent,
        ServiceKind::Plain => RepeatRule::NonIdempotent,
    })
}

/// Creates a random identifier of 128 bits for a request that came without one.
fn random_request_id() -> RequestId {
    let text = format_compact!("r-{:016x}{:016x}", fastrand::u64(..), fastrand::u64(..));
    text.parse()
        .unwrap_or_else(|_| unreachable!("hex digits are valid in an identifier"))
}
