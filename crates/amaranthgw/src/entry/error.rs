//! Errors in responses to callers: code, HTTP status and whether the request ran.

use std::time::Duration;

use amaranthgw_fleet::retries::RunOutcome;
use bytes::Bytes;
use http::StatusCode;
use serde::Serialize;

/// Whether a failed request ran at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// The request provably did not run and can be sent again.
    NotRun,
    /// The request may have run.
    OutcomeUnknown,
    /// The request ran, at least in part, but its answer is lost or incomplete.
    Failed,
}

impl RunState {
    /// Returns the value of the field `outcome` in error responses and logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::Failed => "failed",
        }
    }
}

/// Reason why a request got no complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// Nothing is served under the path.
    UnknownPath,
    /// The path does not support the method.
    WrongMethod,
    /// A header is missing or malformed.
    BadHeader {
        /// Name of the missing or malformed header.
        header: &'static str,
        /// Description of the allowed values.
        allowed: &'static str,
    },
    /// The body could not be read or is not a valid body of a model call.
    BadBody,
    /// The body exceeds the limit.
    BodyTooLarge {
        /// Largest allowed body, in bytes.
        limit: u64,
    },
    /// The workspace is not in the configuration.
    UnknownWorkspace,
    /// The service is not known to this entry.
    UnknownService,
    /// The path is for the other kind of service (`generate` for models, `call` for plain
    /// services).
    WrongKind,
    /// The workspace's plan does not include the service.
    NotInPlan,
    /// The deadline has passed.
    DeadlineExpired,
    /// The workspace exceeds a limit of its plan.
    OverLimit {
        /// Time after which a request may be admitted again.
        retry_after: Duration,
    },
    /// No target had capacity for the request.
    NoCapacity,
    /// The request repeatedly crashed targets and is refused.
    CrashesTargets,
    /// The entry is shutting down.
    Leaving,
    /// The idempotency key could not be claimed in the key-value service.
    KeyUnavailable,
    /// The idempotency key was already used with a different service or body.
    KeyReused,
    /// An earlier request with the same idempotency key may have run.
    AlreadySent,
    /// An earlier request with the same idempotency key ran, but its answer was not stored.
    AlreadyDone,
    /// The target failed while it ran the request.
    TargetFailed,
    /// It is unknown whether the request ran.
    OutcomeUnknown,
}

#[derive(Serialize)]
struct ErrorBody {
    error: ErrorFields,
}

#[derive(Serialize)]
struct ErrorFields {
    code: &'static str,
    outcome: RunState,
    message: String,
}

impl CallError {
    /// Returns the code of the error in responses, logs and metrics.
    #[must_use]
    pub const fn code(&self) -> &'static str {
        match self {
            Self::UnknownPath => "unknown_path",
            Self::WrongMethod => "wrong_method",
            Self::BadHeader { .. } => "bad_header",
            Self::BadBody => "bad_body",
            Self::BodyTooLarge { .. } => "body_too_large",
            Self::UnknownWorkspace => "unknown_workspace",
            Self::UnknownService => "unknown_service",
            Self::WrongKind => "wrong_kind",
            Self::NotInPlan => "not_in_plan",
            Self::DeadlineExpired => "deadline_expired",
            Self::OverLimit { .. } => "over_limit",
            Self::NoCapacity => "no_capacity",
            Self::CrashesTargets => "crashes_targets",
            Self::Leaving => "leaving",
            Self::KeyUnavailable => "key_unavailable",
            Self::KeyReused => "key_reused",
            Self::AlreadySent => "already_sent",
            Self::AlreadyDone => "already_done",
            Self::TargetFailed => "target_failed",
            Self::OutcomeUnknown => "outcome_unknown",
        }
    }

    /// Whether a failed request ran at a target.
    #[must_use]
    pub const fn state(&self) -> RunState {
        match self {
            Self::TargetFailed | Self::AlreadyDone => RunState::Failed,
            Self::OutcomeUnknown | Self::AlreadySent => RunState::OutcomeUnknown,
            _ => RunState::NotRun,
        }
    }

    /// Returns the HTTP status of the response.
    #[must_use]
    pub const fn status(&self) -> StatusCode {
        match self {
            Self::UnknownPath | Self::UnknownService => StatusCode::NOT_FOUND,
            Self::WrongMethod => StatusCode::METHOD_NOT_ALLOWED,
            Self::BadHeader { .. } | Self::BadBody | Self::WrongKind => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::UnknownWorkspace | Self::NotInPlan => StatusCode::FORBIDDEN,
            Self::DeadlineExpired => StatusCode::GATEWAY_TIMEOUT,
            Self::OverLimit { .. } => StatusCode::TOO_MANY_REQUESTS,
            Self::NoCapacity | Self::Leaving | Self::KeyUnavailable => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::KeyReused | Self::CrashesTargets => StatusCode::UNPROCESSABLE_ENTITY,
            Self::AlreadySent | Self::AlreadyDone => StatusCode::CONFLICT,
            Self::TargetFailed | Self::OutcomeUnknown => StatusCode::BAD_GATEWAY,
        }
    }

    /// Returns the error as a JSON response body.
    #[must_use]
    pub fn body(&self) -> Bytes {
        let fields = ErrorFields {
            code: self.code(),
            outcome: self.state(),
            message: self.to_string(),
        };
        // Serialisation only fails for maps with non-string keys, of which there are none.
        serde_json::to_vec(&ErrorBody { error: fields })
            .unwrap_or_default()
            .into()
    }

    /// Returns the error for a request whose attempts ended with `outcome`, or that had none.
    #[must_use]
    pub const fn with_outcome(outcome: Option<RunOutcome>) -> Self {
        match outcome {
            None | Some(RunOutcome::NotRun(_)) => Self::NoCapacity,
            Some(RunOutcome::Failed(_)) => Self::TargetFailed,
            Some(RunOutcome::Done | RunOutcome::OutcomeUnknown(_)) => Self::OutcomeUnknown,
        }
    }
}

impl std::fmt::Display for CallError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::UnknownPath => f.write_str("nothing is served under this path"),
            Self::WrongMethod => f.write_str("this path takes another method"),
            Self::BadHeader { header, allowed } => write!(f, "header {header} must be {allowed}"),
            Self::BadBody => f.write_str(r#"the body must be {"prompt": text, "max_tokens": n}"#),
            Self::BodyTooLarge { limit } => write!(f, "the body exceeds {limit} bytes"),
            Self::UnknownWorkspace => f.write_str("the workspace is not configured"),
            Self::UnknownService => f.write_str("no target of the service is known"),
            Self::WrongKind => f.write_str("the service is called in another way"),
            Self::NotInPlan => f.write_str("the plan does not include the service"),
            Self::DeadlineExpired => f.write_str("the deadline has passed"),
            Self::OverLimit { retry_after } => {
                write!(
                    f,
                    "over the plan's limit; retry in {} ms",
                    retry_after.as_millis()
                )
            }
            Self::NoCapacity => f.write_str("no target could take the request"),
            Self::CrashesTargets => f.write_str("the request crashes the targets that run it"),
            Self::Leaving => f.write_str("this entry is leaving"),
            Self::KeyUnavailable => f.write_str("the idempotency key could not be claimed"),
            Self::KeyReused => f.write_str("the idempotency key was used with another request"),
            Self::AlreadySent => f.write_str("an earlier sending with this key may have run"),
            Self::AlreadyDone => f.write_str("an earlier sending with this key has run"),
            Self::TargetFailed => f.write_str("the target failed"),
            Self::OutcomeUnknown => f.write_str("the request may have run"),
        }
    }
}

impl std::error::Error for CallError {}
