//! What a caller is told when there is no whole answer.

use std::time::Duration;

use amaranthgw_fleet::retries::RunOutcome;
use bytes::Bytes;
use http::StatusCode;
use serde::Serialize;

/// Whether the request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// It is proven that it did not run.
    NotRun,
    /// It may have run.
    OutcomeUnknown,
    /// It ran, at least in part, and failed.
    Failed,
}

impl RunState {
    /// The state as it stands in answers.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::Failed => "failed",
        }
    }
}

/// Why a request has no whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The path names nothing.
    UnknownPath,
    /// The path exists, but not with this method.
    WrongMethod,
    /// A header is missing or malformed.
    BadHeader {
        /// Name of the header.
        header: &'static str,
        /// What it may hold.
        allowed: &'static str,
    },
    /// The body is not what the call takes.
    BadBody,
    /// The body exceeds the limit.
    BodyTooLarge {
        /// Largest number of bytes.
        limit: u64,
    },
    /// The workspace is not in the configuration.
    UnknownWorkspace,
    /// No target of the service is known.
    UnknownService,
    /// The service is called in another way.
    WrongKind,
    /// The workspace's plan does not include the service.
    NotInPlan,
    /// The deadline has passed.
    DeadlineExpired,
    /// The workspace is over the limit of its plan.
    OverLimit {
        /// Time until a request may be admitted.
        retry_after: Duration,
    },
    /// No target could take the request.
    NoCapacity,
    /// The request crashes the targets that run it.
    CrashesTargets,
    /// The entry is leaving.
    Leaving,
    /// The claim on the idempotency key could not be made.
    KeyUnavailable,
    /// The idempotency key was used with another request.
    KeyReused,
    /// An earlier sending with the same idempotency key may have run.
    AlreadySent,
    /// An earlier sending with the same idempotency key ran; its answer is not kept.
    AlreadyDone,
    /// The target failed.
    TargetFailed,
    /// Whether the request ran cannot be known.
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
    /// Code of the error in answers and logs.
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

    /// Whether the request ran.
    #[must_use]
    pub const fn state(&self) -> RunState {
        match self {
            Self::TargetFailed | Self::AlreadyDone => RunState::Failed,
            Self::OutcomeUnknown | Self::AlreadySent => RunState::OutcomeUnknown,
            _ => RunState::NotRun,
        }
    }

    /// HTTP status of the answer.
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

    /// The error as a JSON body.
    #[must_use]
    pub fn body(&self) -> Bytes {
        let fields = ErrorFields {
            code: self.code(),
            outcome: self.state(),
            message: self.to_string(),
        };
        // Only maps with other than text keys can fail to serialise.
        serde_json::to_vec(&ErrorBody { error: fields })
            .unwrap_or_default()
            .into()
    }

    /// The error for a request whose attempts ended with `outcome`.
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
