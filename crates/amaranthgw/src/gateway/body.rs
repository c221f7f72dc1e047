//! Response bodies for callers.

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};

/// Error that ends a response body early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyError {
    /// The answer broke off or fell silent, and no other target resumed it.
    TargetFailed,
    /// The deadline of the request passed.
    TimedOut,
    /// The process has no memory for the next events.
    NoMemory,
}

impl BodyError {
    /// Name of the error in logs and metrics.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::TargetFailed => "target_failed",
            Self::TimedOut => "timed_out",
            Self::NoMemory => "no_memory",
        }
    }
}

impl std::fmt::Display for BodyError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::TargetFailed => "target ended the response early",
            Self::TimedOut => "request deadline exceeded",
            Self::NoMemory => "no memory for the next events",
        })
    }
}

impl std::error::Error for BodyError {}

/// Response body for a caller; after an error the connection is closed without an end of body.
pub(super) type AnswerBody = UnsyncBoxBody<Bytes, BodyError>;

/// Makes a body of bytes that are already complete.
pub(super) fn full_body(bytes: Bytes) -> AnswerBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}
