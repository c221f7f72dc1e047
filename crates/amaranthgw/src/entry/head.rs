//! Reads the head of a caller's request.

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

/// The head of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct CallHead {
    /// Service that is called.
    pub(super) service: ServiceId,
    /// How it is called.
    pub(super) kind: ServiceKind,
    /// Workspace the call counts for.
    pub(super) workspace: WorkspaceId,
    /// Caller within the workspace.
    pub(super) caller: Option<CallerId>,
    /// The request.
    pub(super) request: RequestId,
    /// Time after which the caller gives up.
    pub(super) deadline: Option<MilliSpan>,
    /// What a repetition may do.
    pub(super) rule: RepeatRule,
    /// Key under which the caller may send the request again.
    pub(super) key: Option<IdempotencyKey>,
}

impl CallHead {
    /// Reads the head of a call.
    ///
    /// # Errors
    ///
    /// Returns the [`CallError`] that names the wrong part.
    pub(super) fn new(parts: &Parts) -> Result<Self, CallError> {
        let (service, kind) = read_path(parts.uri.path())?;
        if parts.method != Method::POST {
            return Err(CallError::WrongMethod);
        }
        let headers = &parts.headers;
        let workspace = read_header(headers, WORKSPACE_HEADER, ID_ALLOWED)?;
        let workspace = workspace.ok_or(CallError::BadHeader {
            header: WORKSPACE_HEADER,
            allowed: ID_ALLOWED,
        })?;
        let request = read_header(headers, REQUEST_HEADER, ID_ALLOWED)?;
        Ok(Self {
            service,
            kind,
            workspace,
            caller: read_header(headers, CALLER_HEADER, ID_ALLOWED)?,
            request: request.unwrap_or_else(draw_request_id),
            deadline: read_header(headers, DEADLINE_HEADER, DEADLINE_ALLOWED)?.map(MilliSpan::new),
            rule: read_rule(headers, kind)?,
            key: read_header(headers, KEY_HEADER, ID_ALLOWED)?,
        })
    }
}

fn read_path(path: &str) -> Result<(ServiceId, ServiceKind), CallError> {
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

fn read_header<Value: std::str::FromStr>(
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

fn read_rule(headers: &HeaderMap, kind: ServiceKind) -> Result<RepeatRule, CallError> {
    let is_idempotent = read_header::<bool>(headers, IDEMPOTENT_HEADER, FLAG_ALLOWED)?;
    Ok(match kind {
        ServiceKind::Model => RepeatRule::Resumable,
        ServiceKind::Plain if is_idempotent == Some(true) => RepeatRule::Idempotent,
        ServiceKind::Plain => RepeatRule::NonIdempotent,
    })
}

/// Draws the identifier of a request that its caller did not name.
fn draw_request_id() -> RequestId {
    let text = format_compact!("r-{:016x}{:016x}", fastrand::u64(..), fastrand::u64(..));
    text.parse()
        .unwrap_or_else(|_| unreachable!("hex digits are valid in an identifier"))
}
