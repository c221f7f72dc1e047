//! Error responses of the gateway itself.

use std::time::Duration;

use amaranthgw_fleet::gateway::LookupError;
use amaranthgw_platform::answer::set_retry_after;
use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};

use super::body::{AnswerBody, full_body};

/// `Retry-After` while the gateway starts: it waits for a few replies of the key-value service.
const STARTUP_RETRY_DELAY: Duration = Duration::from_secs(1);
/// `Retry-After` of a process that stops: other ones take the request at once.
const STOPPING_RETRY_DELAY: Duration = Duration::ZERO;
/// `Retry-After` while targets are full or down: a rank group takes 0.6 s to form again, and a
/// heartbeat takes 1.2 s to report a replaced target.
const CAPACITY_RETRY_DELAY: Duration = Duration::from_millis(1_500);

/// What a refused request would wait for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RetryWait {
    /// Targets that take requests again, after this time if it is known.
    Targets(Duration),
    /// Places at targets that others wait for, for about this time.
    Backlog(Duration),
}

/// Reason for which the gateway itself ends a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallRefusal {
    /// No route matches the request, its key has no holder, or no configuration is known yet.
    Lookup(LookupError),
    /// The body exceeds the limit.
    BodyTooLarge,
    /// The body ended early.
    BodyBroken,
    /// The process has no memory for the body; the request was not run.
    NoMemory,
    /// No target accepted the request, its route has no service or the retry budget is spent; none
    /// has run it.
    NoCapacity,
    /// The deadline passed before any target could run the request.
    TooLate,
    /// Earlier ones of this request, or requests with parts of its prompt, have crashed targets; it was
    /// not run.
    CrashesTargets,
    /// The process stops before the request would surely be answered; it was not run.
    Stopping,
    /// A target may have run the request but gave no usable answer.
    OutcomeUnknown,
    /// The deadline passed while a target may run the request.
    TimedOut,
}

impl CallRefusal {
    /// Status of the response; only 502 and 504 leave open whether the request was run.
    pub(super) const fn status(self) -> StatusCode {
        match self {
            Self::Lookup(LookupError::NoRoute) => StatusCode::NOT_FOUND,
            Self::Lookup(LookupError::UnknownKey) => StatusCode::UNAUTHORIZED,
            Self::Lookup(LookupError::NoConfig)
            | Self::NoCapacity
            | Self::NoMemory
            | Self::CrashesTargets
            | Self::Stopping
            | Self::TooLate => StatusCode::SERVICE_UNAVAILABLE,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyBroken => StatusCode::BAD_REQUEST,
            Self::OutcomeUnknown => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Name of the refusal in logs and metrics.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Lookup(error) => error.name(),
            Self::BodyTooLarge => "body_too_large",
            Self::BodyBroken => "body_broken",
            Self::NoCapacity => "no_capacity",
            Self::NoMemory => "no_memory",
            Self::CrashesTargets => "crashes_targets",
            Self::TooLate => "too_late",
            Self::Stopping => "stopping",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::TimedOut => "timed_out",
        }
    }

    fn retry_after(self, wait: RetryWait) -> Option<Duration> {
        match (self, wait) {
            (Self::Lookup(LookupError::NoConfig), _) => Some(STARTUP_RETRY_DELAY),
            (Self::Stopping, _) => Some(STOPPING_RETRY_DELAY),
            (Self::NoCapacity, RetryWait::Backlog(wait)) => Some(wait),
            (
                Self::NoCapacity | Self::NoMemory | Self::CrashesTargets | Self::TooLate,
                RetryWait::Targets(wait),
            ) => Some(CAPACITY_RETRY_DELAY.max(wait)),
            (Self::NoMemory | Self::CrashesTargets | Self::TooLate, _) => {
                Some(CAPACITY_RETRY_DELAY)
            }
            _ => None,
        }
    }

    /// Builds the response to the caller, who is not asked back before `wait`.
    pub(super) fn response(self, wait: RetryWait) -> Response<AnswerBody> {
        let text = format!("{}\n", self.name());
        let mut response = Response::new(full_body(Bytes::from(text)));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if let Some(delay) = self.retry_after(wait) {
            set_retry_after(headers, delay);
        }
        response
    }
}
