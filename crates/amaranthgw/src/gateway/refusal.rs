//! Answers of the gateway itself.

use std::time::Duration;

use amaranthgw_fleet::gateway::LookupError;
use amaranthgw_platform::answer::set_retry_after;
use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};

use super::body::{AnswerBody, whole_body};

/// Pause after which a caller comes back where the gateway has just started: it needs some answers
/// of the key-value service.
const KNOWLEDGE_PAUSE: Duration = Duration::from_secs(1);
/// Pause after which a caller comes back where targets are full or away: a rank group takes 0.6 s
/// to form anew, and a heartbeat 1.2 s to tell of a target that took another's place.
const CAPACITY_PAUSE: Duration = Duration::from_millis(1_500);

/// Why the gateway ends a request itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallRefusal {
    /// The request has no route or no holder of its key.
    Miss(LookupError),
    /// The body is longer than the limit.
    BodyTooLarge,
    /// The body did not arrive whole.
    BodyBroken,
    /// No target takes the request, and none has run it.
    NoCapacity,
    /// The time of the request ended before it was sent.
    TooLate,
    /// A target may have run the request and gave no usable answer.
    OutcomeUnknown,
    /// The time of the request ended while a target may run it.
    TimedOut,
}

impl CallRefusal {
    /// Status of the answer; 408, 421, 429 and 503 promise that the request has not run.
    pub(super) const fn status(self) -> StatusCode {
        match self {
            Self::Miss(LookupError::NoRoute) => StatusCode::NOT_FOUND,
            Self::Miss(LookupError::UnknownKey) => StatusCode::UNAUTHORIZED,
            Self::Miss(LookupError::NoConfig) | Self::NoCapacity | Self::TooLate => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyBroken => StatusCode::BAD_REQUEST,
            Self::OutcomeUnknown => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Name for logs and metrics.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Miss(miss) => miss.name(),
            Self::BodyTooLarge => "body_too_large",
            Self::BodyBroken => "body_broken",
            Self::NoCapacity => "no_capacity",
            Self::TooLate => "too_late",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::TimedOut => "timed_out",
        }
    }

    const fn pause(self) -> Option<Duration> {
        match self {
            Self::Miss(LookupError::NoConfig) => Some(KNOWLEDGE_PAUSE),
            Self::NoCapacity | Self::TooLate => Some(CAPACITY_PAUSE),
            _ => None,
        }
    }

    /// The answer to the caller.
    pub(super) fn response(self) -> Response<AnswerBody> {
        let text = format!("{}\n", self.name());
        let mut response = Response::new(whole_body(Bytes::from(text)));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if let Some(pause) = self.pause() {
            set_retry_after(headers, pause);
        }
        response
    }
}
