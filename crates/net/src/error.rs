//! Errors of calls to other processes.

use std::time::Duration;

use http::StatusCode;

/// Error of a call to another process.
#[derive(Debug)]
pub enum NetError {
    /// The TCP connection failed or timed out, so nothing was sent.
    Dial {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The HTTP handshake failed, so nothing was sent.
    Handshake {
        /// Error of the HTTP library.
        source: hyper::Error,
    },
    /// The connection closed before any byte of the request was sent.
    Unsent,
    /// The connection failed after some or all of the request may have been sent.
    Broken {
        /// Error of the HTTP library.
        source: hyper::Error,
    },
    /// The peer sent only informational responses, too many to wait for its answer.
    OnlyInformational,
    /// The status of the response is none of an answer, so the peer may or may not have done what was asked.
    InvalidStatus {
        /// The status.
        status: StatusCode,
    },
    /// The answer belongs to another call; the peer may have received this one.
    ForeignAnswer,
    /// The body of the answer is longer than allowed.
    TooLong {
        /// Longest allowed body, in bytes.
        limit: usize,
    },
    /// The complete answer did not arrive in time.
    TimedOut {
        /// Timeout of the call.
        waited: Duration,
    },
    /// The method, path or headers do not form a valid HTTP request.
    Malformed {
        /// Error of the HTTP library.
        source: http::Error,
    },
}

impl NetError {
    /// Whether the peer certainly received no part of the request, so that repeating it is safe.
    #[must_use]
    pub const fn is_unsent(&self) -> bool {
        matches!(
            self,
            Self::Dial { .. } | Self::Handshake { .. } | Self::Unsent | Self::Malformed { .. }
        )
    }
}

impl std::fmt::Display for NetError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Dial { source } => write!(f, "connection failed: {source}"),
            Self::Handshake { source } => write!(f, "HTTP handshake failed: {source}"),
            Self::Unsent => f.write_str("connection closed before the request was sent"),
            Self::Broken { source } => write!(f, "connection lost during the request: {source}"),
            Self::OnlyInformational => f.write_str("informational responses without an answer"),
            Self::InvalidStatus { status } => {
                write!(
                    f,
                    "response with the status {}, which no answer has",
                    status.as_u16()
                )
            }
            Self::ForeignAnswer => f.write_str("answer to another call"),
            Self::TooLong { limit } => write!(f, "answer longer than {limit} bytes"),
            Self::TimedOut { waited } => {
                write!(f, "no complete answer within {} ms", waited.as_millis())
            }
            Self::Malformed { source } => write!(f, "invalid HTTP request: {source}"),
        }
    }
}

impl std::error::Error for NetError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Dial { source } => Some(source),
            Self::Handshake { source } | Self::Broken { source } => Some(source),
            Self::Malformed { source } => Some(source),
            Self::Unsent
            | Self::OnlyInformational
            | Self::InvalidStatus { .. }
            | Self::ForeignAnswer
            | Self::TooLong { .. }
            | Self::TimedOut { .. } => None,
        }
    }
}
