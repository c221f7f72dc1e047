//! Bodies of answers to callers.

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};

/// Why the body of an answer ends early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyBreak {
    /// The target broke off and the answer can't go on elsewhere.
    TargetFailed,
    /// The time of the request is over.
    TimedOut,
}

impl BodyBreak {
    /// Name for logs and metrics.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::TargetFailed => "target_failed",
            Self::TimedOut => "timed_out",
        }
    }
}

impl std::fmt::Display for BodyBreak {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::TargetFailed => "the target broke off",
            Self::TimedOut => "the time of the request is over",
        })
    }
}

impl std::error::Error for BodyBreak {}

/// Body of an answer to a caller; an error breaks the connection visibly.
pub(super) type AnswerBody = UnsyncBoxBody<Bytes, BodyBreak>;

/// A body that is known as a whole.
pub(super) fn whole_body(bytes: Bytes) -> AnswerBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}
